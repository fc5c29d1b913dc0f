#include "oxbowmill/decisions/lower_bound_clock.h"

namespace oxbowmill::decisions {

double LowerBoundClock::earliest_time(Clock clock) {
  double offset_s = clock.wall - clock.now;
  while (!offsets_.empty() && offsets_.back().offset_s >= offset_s) offsets_.pop_back();
  offsets_.push_back({clock.now, offset_s});
  while (clock.now - offsets_.front().measured_at > window_s_) offsets_.pop_front();
  return clock.now + offsets_.front().offset_s - skew_s_;
}

}  // namespace oxbowmill::decisions
