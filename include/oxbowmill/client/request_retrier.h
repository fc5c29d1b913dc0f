// When a client sends a request again, and to which controller. It owns the state of one request; pure,
// without clock or sockets. Times are in seconds of the caller's clock. For one thread.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace oxbowmill::client {

/// State of a request between its attempts.
enum class AttemptState : std::uint8_t {
  ready,        ///< to be sent to `controller()` now
  sent,         ///< waits for a response
  backing_off,  ///< to be sent again at `next_attempt_at()`
  answered,     ///< a final response came
  gave_up,      ///< the total timeout has passed
};
/// Name for logs and tests.
const char* name_of(AttemptState state);

/// What a response means for the caller.
enum class RequestOutcome : std::uint8_t {
  ok,          ///< 200, 201
  malformed,   ///< 400: must not be sent again
  impossible,  ///< 422: must not be sent again
  unknown,     ///< 404: no job with this id was ever acknowledged
  retry,       ///< refused for now, or no response: may be sent again under the same id
};
/// The outcome that an HTTP status stands for; `status` 0 means no response.
RequestOutcome outcome_of(int status);
/// Whether the caller may send the same request again.
inline bool is_retryable(RequestOutcome outcome) {
  return outcome == RequestOutcome::retry;
}

/// Limits of one request; all in seconds.
struct RetryPolicy {
  double response_timeout_s = 5;  ///< for one response
  double total_timeout_s = 60;    ///< for the whole request, backoffs included
  double initial_backoff_s = 1;   ///< shortest backoff
  double max_backoff_s = 30;      ///< longest backoff, also where the controller asks for a longer one
};

/// State machine of one request over several controllers.
class RequestRetrier {
 public:
  /// `controllers`: how many there are; the first one is drawn with `seed`.
  RequestRetrier(std::size_t controllers, RetryPolicy policy, std::uint64_t seed, double now);

  /// What the caller has to do next.
  AttemptState state() const { return state_; }
  /// Index of the controller of the current or next attempt.
  std::size_t controller() const { return controller_; }
  /// End of the backoff; meaningful in `backing_off`.
  double next_attempt_at() const { return next_attempt_at_; }
  /// When the request is given up.
  double deadline() const { return deadline_; }
  /// How long to wait for the response to an attempt sent now.
  double response_timeout(double now) const;
  /// Attempts sent so far.
  int attempts() const { return attempts_; }

  /// The request was sent to `controller()`.
  void on_sent(double now);
  /// `status` 0: no response or no connection. `retry_after_s` 0: the controller named no time.
  void on_response(int status, double retry_after_s, double now);
  /// Ends a backoff or the whole request when its time has passed.
  void tick(double now);

 private:
  void set_state(AttemptState state);
  void back_off(double retry_after_s, double now);
  RetryPolicy policy_;
  std::size_t controller_count_;
  std::mt19937_64 random_;
  AttemptState state_ = AttemptState::ready;
  std::size_t controller_ = 0;
  std::size_t unresponsive_in_a_row_ = 0;  // controllers in a row that gave no response
  int backoffs_ = 0, attempts_ = 0;
  double next_attempt_at_ = 0, deadline_ = 0;
};

}  // namespace oxbowmill::client
