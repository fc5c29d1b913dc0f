#include "oxbowmill/checkpoint/saved_progress.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill::checkpoint {

namespace {

double last_checkpoint(double progress, double checkpoint_interval_s) {
  return std::floor(progress / checkpoint_interval_s) * checkpoint_interval_s;
}

SavedProgress progress_after_run(const SavedProgress& before, const RunTimeBounds& run_time,
                                 const Settings& settings) {
  return {before.low + run_time.min_s * settings.min_speed, before.likely + run_time.min_s,
          before.high + std::max(run_time.min_s, run_time.max_s) * settings.max_speed};
}

}  // namespace

SavedProgress progress_after_unsaved_end(const SavedProgress& before, const RunTimeBounds& run_time,
                                         double checkpoint_interval_s, const Settings& settings) {
  if (checkpoint_interval_s <= 0) return {};
  SavedProgress reached = progress_after_run(before, run_time, settings);
  SavedProgress saved = {last_checkpoint(reached.low, checkpoint_interval_s),
                         last_checkpoint(reached.likely, checkpoint_interval_s),
                         last_checkpoint(reached.high, checkpoint_interval_s)};
  // Progress that was saved at an earlier stop may lie between two multiples of the interval; it is not lost.
  return {std::max(before.low, saved.low), std::max(before.likely, saved.likely),
          std::max(before.high, saved.high)};
}

SavedProgress progress_after_saved_stop(const SavedProgress& before, const RunTimeBounds& run_time,
                                        double checkpoint_interval_s, const Settings& settings) {
  if (checkpoint_interval_s <= 0) return {};
  return progress_after_run(before, run_time, settings);
}

SavedProgress merge(const SavedProgress& a, const SavedProgress& b) {
  SavedProgress result{std::max(a.low, b.low), std::max(a.likely, b.likely), std::max(a.high, b.high)};
  result.likely = std::max(result.likely, result.low);
  result.high = std::max(result.high, result.likely);
  return result;
}

double remaining_run_time(double estimate_s, const SavedProgress& saved) {
  // Estimates are often wrong by half, so a task that has run longer than its estimate is not expected to
  // end at once.
  constexpr double min_remaining_share = 0.1;
  return std::max(estimate_s - saved.likely, min_remaining_share * estimate_s);
}

double execution_time(double elapsed_s, const SavedProgress& before) {
  return elapsed_s + before.high;
}

std::vector<double> run_times_by_finish(std::vector<FinishedTask> finishes) {
  std::stable_sort(finishes.begin(), finishes.end(), [](const FinishedTask& a, const FinishedTask& b) {
    return a.finished_at_s < b.finished_at_s;
  });
  std::vector<double> run_times;
  run_times.reserve(finishes.size());
  for (const FinishedTask& finished : finishes) run_times.push_back(finished.run_s);
  return run_times;
}

}  // namespace oxbowmill::checkpoint
