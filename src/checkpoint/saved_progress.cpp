#include "oxbowmill/checkpoint/saved_progress.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill::checkpoint {

namespace {

double last_checkpoint(double progress, double save_every_s) {
  return std::floor(progress / save_every_s) * save_every_s;
}

SavedProgress progress_after_run(const SavedProgress& before, const RunTimeBounds& ran, const Settings& s) {
  return {before.low + ran.min_s * s.min_speed, before.likely + ran.min_s,
          before.high + std::max(ran.min_s, ran.max_s) * s.max_speed};
}

}  // namespace

SavedProgress after_loss(const SavedProgress& before, const RunTimeBounds& ran, double save_every_s,
                         const Settings& s) {
  if (save_every_s <= 0) return {};
  SavedProgress now = progress_after_run(before, ran, s);
  SavedProgress at = {last_checkpoint(now.low, save_every_s), last_checkpoint(now.likely, save_every_s),
                      last_checkpoint(now.high, save_every_s)};
  // A save at its stop may lie between two multiples: it is not lost again.
  return {std::max(before.low, at.low), std::max(before.likely, at.likely), std::max(before.high, at.high)};
}

SavedProgress after_store(const SavedProgress& before, const RunTimeBounds& ran, double save_every_s,
                          const Settings& s) {
  if (save_every_s <= 0) return {};
  return progress_after_run(before, ran, s);
}

SavedProgress merged(const SavedProgress& a, const SavedProgress& b) {
  SavedProgress m{std::max(a.low, b.low), std::max(a.likely, b.likely), std::max(a.high, b.high)};
  m.likely = std::max(m.likely, m.low);
  m.high = std::max(m.high, m.likely);
  return m;
}

double remaining_run_time(double estimate_s, const SavedProgress& saved) {
  // An estimate is often wrong by half: what has run longer than it is not taken to end at once.
  constexpr double least_share = 0.1;
  return std::max(estimate_s - saved.likely, least_share * estimate_s);
}

double execution_time(double elapsed_s, const SavedProgress& before) {
  return elapsed_s + before.high;
}

std::vector<double> run_times_by_finish(std::vector<FinishedTask> finishes) {
  std::stable_sort(finishes.begin(), finishes.end(), [](const FinishedTask& a, const FinishedTask& b) {
    return a.finished_at_s < b.finished_at_s;
  });
  std::vector<double> out;
  for (const FinishedTask& f : finishes) out.push_back(f.run_s);
  return out;
}

}  // namespace oxbowmill::checkpoint
