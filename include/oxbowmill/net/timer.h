// Timer on the event loop. event_handles.h describes the threading rules.
#pragma once

#include <functional>

#include "oxbowmill/net/event_handles.h"

namespace oxbowmill::net {

/// Calls a function once after a delay. Must not be moved or copied, because libevent holds its address.
class Timer {
 public:
  /// `on_expiry` is the function that is called. It may schedule the timer again.
  Timer(event_base* base, std::function<void()> on_expiry);
  /// Schedules the call in `seconds`, or in the next iteration of the loop if that is 0 or less. Replaces an
  /// earlier schedule.
  void schedule(double seconds);
  /// Cancels the scheduled call, if there is one.
  void cancel();
  /// Whether a call is scheduled.
  bool pending() const;

 private:
  std::function<void()> on_expiry_;
  EventPtr event_;
};

}  // namespace oxbowmill::net
