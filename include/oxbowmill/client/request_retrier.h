// Decides when a client sends a request again, and to which controller. Owns the state of one request and
// uses neither a clock nor sockets. Times are in seconds of the caller's clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace oxbowmill::client {

/// State of a request.
enum class RequestState : std::uint8_t {
  ready,        ///< must be sent to `controller_index()` now
  sent,         ///< sent and waiting for the response
  backing_off,  ///< must be sent again at `next_attempt_at()`
  answered,     ///< a final response was received
  gave_up,      ///< no further attempt fits into the total timeout
};
/// Name of the state for logs and tests.
const char* name_of(RequestState state);

/// What the caller may conclude from a response.
enum class RequestOutcome : std::uint8_t {
  ok,          ///< 200 or 201: accepted
  malformed,   ///< 400: the request is invalid and must not be sent again
  impossible,  ///< 422: the job can never run and must not be sent again
  not_found,   ///< 404: no job with this id was ever accepted
  retryable,   ///< refused for now, or no response: may be sent again with the same id
};
/// Outcome for an HTTP status; `status` 0 means that there was no response.
RequestOutcome outcome_of(int status);
/// Whether the caller may send the same request again.
inline bool is_retryable(RequestOutcome outcome) {
  return outcome == RequestOutcome::retryable;
}

/// Time limits of one request, in seconds.
struct RetryPolicy {
  double response_timeout_s = 5;  ///< for the response to one attempt
  double total_timeout_s = 60;    ///< for the whole request, including its backoffs
  double initial_backoff_s = 1;   ///< minimum backoff
  double max_backoff_s = 30;      ///< maximum backoff, even if the controller asks for a longer one
};

/// State machine of one request that may be sent to several controllers.
class RequestRetrier {
 public:
  /// `seed` decides which of the controllers is tried first.
  RequestRetrier(std::size_t controller_count, RetryPolicy policy, std::uint64_t seed, double now);

  /// What the caller has to do next.
  RequestState state() const { return state_; }
  /// Index of the controller of the current or next attempt.
  std::size_t controller_index() const { return controller_index_; }
  /// When the backoff ends; valid only in state `backing_off`.
  double next_attempt_at() const { return next_attempt_at_; }
  /// When the client gives up the request.
  double deadline() const { return deadline_; }
  /// Seconds to wait for the response to an attempt that is sent at `now`.
  double response_timeout(double now) const;
  /// Number of attempts sent so far.
  int attempts() const { return attempts_; }

  /// Records that the request was sent to `controller_index()`.
  void on_sent(double now);
  /// Records the response to the last attempt. `status` 0: no connection or no response. `retry_after_s` 0:
  /// the controller did not say when to retry.
  void on_response(int status, double retry_after_s, double now);
  /// Ends the backoff or gives up the request if its time has passed at `now`.
  void tick(double now);

 private:
  void set_state(RequestState state);
  void back_off(double retry_after_s, double now);
  RetryPolicy policy_;
  std::size_t controller_count_;
  std::mt19937_64 random_;
  RequestState state_ = RequestState::ready;
  std::size_t controller_index_ = 0;
  std::size_t consecutive_unanswered_ = 0;  // consecutive attempts that got no response
  int backoff_count_ = 0, attempts_ = 0;
  double next_attempt_at_ = 0, deadline_ = 0;
};

}  // namespace oxbowmill::client
