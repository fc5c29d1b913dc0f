// A time of day that is never ahead of the true one, for what must not happen early (docs/decisions.md, D7).
// Owns the offsets between time of day and steady clock that were measured within its window. Not
// thread-safe.
#pragma once

#include <deque>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::decisions {

/// Gives the earliest time of day that the clock readings of the last `window_s` allow: the machine's time of
/// day is right within `skew_s` only, and after a jump forward it is not believed before the window has
/// passed.
class LowerBoundClock {
 public:
  /// `skew_s`: bound of the clock's error, in seconds. `window_s`: how long a measured offset counts, in
  /// seconds.
  explicit LowerBoundClock(double skew_s, double window_s = 60) : skew_s_(skew_s), window_s_(window_s) {}
  /// Takes the reading into account; returns the earliest time of day, in seconds since the epoch. To be
  /// called with every reading: a smaller offset that was not seen cannot be remembered.
  double earliest_time(Clock clock);

 private:
  struct Offset {
    Seconds measured_at = 0;
    double offset_s = 0;  // time of day minus steady clock
  };
  double skew_s_, window_s_;
  std::deque<Offset> offsets_;  // rising, so that the front is the least offset of the window
};

}  // namespace oxbowmill::decisions
