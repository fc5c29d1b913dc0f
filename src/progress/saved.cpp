#include "oxbowmill/progress/saved.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill::progress {

namespace {

double checkpoint(double progress, double save_every_s) {
  return std::floor(progress / save_every_s) * save_every_s;
}

Saved ran_on(const Saved& before, const Ran& ran, const Settings& s) {
  return {before.low + ran.least * s.slowest, before.likely + ran.least,
          before.high + std::max(ran.least, ran.most) * s.fastest};
}

}  // namespace

Saved after_loss(const Saved& before, const Ran& ran, double save_every_s, const Settings& s) {
  if (save_every_s <= 0) return {};
  Saved now = ran_on(before, ran, s);
  Saved at = {checkpoint(now.low, save_every_s), checkpoint(now.likely, save_every_s),
              checkpoint(now.high, save_every_s)};
  // A save at its stop may lie between two multiples: it is not lost again.
  return {std::max(before.low, at.low), std::max(before.likely, at.likely), std::max(before.high, at.high)};
}

Saved after_store(const Saved& before, const Ran& ran, double save_every_s, const Settings& s) {
  if (save_every_s <= 0) return {};
  return ran_on(before, ran, s);
}

Saved merged(const Saved& a, const Saved& b) {
  Saved m{std::max(a.low, b.low), std::max(a.likely, b.likely), std::max(a.high, b.high)};
  m.likely = std::max(m.likely, m.low);
  m.high = std::max(m.high, m.likely);
  return m;
}

double remaining(double estimate_s, const Saved& saved) {
  // An estimate is often wrong by half: what has run longer than it is not taken to end at once.
  constexpr double least_share = 0.1;
  return std::max(estimate_s - saved.likely, least_share * estimate_s);
}

double execution_time(double elapsed_s, const Saved& before) {
  return elapsed_s + before.high;
}

std::vector<double> in_order(std::vector<Finish> finishes) {
  std::stable_sort(finishes.begin(), finishes.end(),
                   [](const Finish& a, const Finish& b) { return a.at_s < b.at_s; });
  std::vector<double> out;
  for (const Finish& f : finishes) out.push_back(f.run_s);
  return out;
}

}  // namespace oxbowmill::progress
