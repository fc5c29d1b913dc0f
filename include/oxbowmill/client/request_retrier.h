// How often, when and where a client asks again: one request over several nodes. Pure; times in seconds.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace oxbowmill::client {

enum class AttemptState : std::uint8_t {
  ready,        // to be sent to `node()` now
  sent,         // waits for an answer
  backing_off,  // to be sent again at `next_at()`
  answered,     // a final answer came
  gave_up,      // its time is over
};
const char* name_of(AttemptState s);

/// What an answer means for the caller.
enum class RequestOutcome : std::uint8_t {
  ok,          // 200, 201
  malformed,   // 400: not to be tried again
  impossible,  // 422: not to be tried again
  unknown,     // 404: nobody was told that this job is accepted
  retry,       // refused for now, or no answer: may be tried again under the same id
};
RequestOutcome outcome_of(int status);
inline bool is_retryable(RequestOutcome v) {
  return v == RequestOutcome::retry;
}

struct RetryPolicy {
  double response_timeout_s = 5;  // for one answer
  double total_timeout_s = 60;    // for the whole request, pauses included
  double initial_backoff_s = 1, max_backoff_s = 30;
};

class RequestRetrier {
 public:
  RequestRetrier(std::size_t nodes, RetryPolicy patience, std::uint64_t seed, double now);

  AttemptState state() const { return state_; }
  std::size_t controller() const { return controller_; }
  double next_attempt_at() const { return next_attempt_at_; }
  double deadline() const { return deadline_; }
  /// How long to wait for the answer of what is sent now.
  double response_timeout(double now) const;
  int attempts() const { return attempts_; }

  void on_sent(double now);
  /// `status` 0: no answer or no connection. `retry_after_s` 0: not said.
  void on_response(int status, double retry_after_s, double now);
  /// Time passes: a pause may end, the whole may be over.
  void tick(double now);

 private:
  void set_state(AttemptState s);
  RetryPolicy policy_;
  std::size_t controller_count_;
  std::mt19937_64 random_;
  AttemptState state_ = AttemptState::ready;
  std::size_t controller_ = 0;
  std::size_t unresponsive_in_a_row_ = 0;  // nodes in a row that gave no answer
  int backoffs_ = 0, attempts_ = 0;
  double next_attempt_at_ = 0, deadline_ = 0;
};

}  // namespace oxbowmill::client
