#include "oxbowmill/net/timer.h"

#include <algorithm>

#include "event_util.h"
#include "oxbowmill/error.h"
#include "oxbowmill/net/broken_pipe.h"

namespace oxbowmill::net {

EventBasePtr make_event_base() {
  ignore_broken_pipe_signal();
  EventBasePtr base(event_base_new());
  if (!base) throw Error("libevent cannot create an event base");
  return base;
}

Timer::Timer(event_base* base, std::function<void()> on_expiry)
    : on_expiry_(std::move(on_expiry)),
      event_(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->on_expiry_(); },
          this)) {}

void Timer::schedule(double seconds) {
  timeval tv = to_timeval(std::max(0.0, seconds));
  event_add(event_.get(), &tv);
}

void Timer::cancel() {
  event_del(event_.get());
}

bool Timer::pending() const {
  return event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0;
}

}  // namespace oxbowmill::net
