// A timer on the event loop; see event_handles.h for threads.
#pragma once

#include <functional>

#include "oxbowmill/net/event_handles.h"

namespace oxbowmill::net {

/// Calls back after a time, once for each `schedule`. Its address must not change.
class Timer {
 public:
  /// `on_expiry` may schedule the timer again.
  Timer(event_base* base, std::function<void()> on_expiry);
  /// Calls back in so many seconds, at the next turn of the loop for 0 or less; replaces an earlier schedule.
  void schedule(double seconds);
  /// No call comes until it is scheduled again.
  void cancel();
  /// Whether a call is to come.
  bool pending() const;

 private:
  std::function<void()> on_expiry_;
  EventPtr event_;
};

}  // namespace oxbowmill::net
