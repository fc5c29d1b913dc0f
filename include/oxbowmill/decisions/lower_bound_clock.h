// Clock whose time of day is never ahead of the true one, for actions that must not happen early
// (docs/decisions.md, D7). Owns the offsets between time of day and steady clock that were measured within
// its window. Not thread-safe.
#pragma once

#include <deque>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::decisions {

/// Returns the earliest time of day that is consistent with the clock readings of the last `window_s`
/// seconds. The node's time of day is accurate only to within `skew_s`, and a forward jump is not trusted
/// before the window has passed.
class LowerBoundClock {
 public:
  /// `skew_s`: upper bound of the error of the time of day, in seconds. `window_s`: how long a measured
  /// offset counts, in seconds.
  explicit LowerBoundClock(double skew_s, double window_s = 60) : skew_s_(skew_s), window_s_(window_s) {}
  /// Takes the reading into account and returns the earliest time of day, in seconds since the epoch. Must be
  /// called with every reading, because a smaller offset counts only if it was seen.
  double earliest_time(Clock clock);

 private:
  struct Offset {
    Seconds measured_at = 0;
    double offset_s = 0;  // time of day minus steady clock
  };
  double skew_s_, window_s_;
  std::deque<Offset> offsets_;  // ascending, so that the front is the smallest offset of the window
};

}  // namespace oxbowmill::decisions
