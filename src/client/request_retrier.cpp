#include "oxbowmill/client/request_retrier.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill::client {

const char* name_of(AttemptState s) {
  static constexpr const char* names[] = {"ready", "sent", "backing_off", "answered", "gave_up"};
  return names[static_cast<int>(s)];
}

RequestOutcome outcome_of(int status) {
  switch (status) {
    case 200:
    case 201:
      return RequestOutcome::ok;
    case 400:
      return RequestOutcome::malformed;
    case 404:
      return RequestOutcome::unknown;
    case 422:
      return RequestOutcome::impossible;
    default:
      return RequestOutcome::retry;
  }
}

RequestRetrier::RequestRetrier(std::size_t nodes, RetryPolicy patience, std::uint64_t seed, double now)
    : policy_(patience),
      controller_count_(std::max<std::size_t>(nodes, 1)),
      random_(seed),
      controller_(random_() % controller_count_),
      deadline_(now + patience.total_timeout_s) {
  // Clients that start together spread over the nodes.
}

void RequestRetrier::set_state(AttemptState s) {
  bool over = state_ == AttemptState::answered || state_ == AttemptState::gave_up;
  if (!over) state_ = s;
}

double RequestRetrier::response_timeout(double now) const {
  return std::max(0.1, std::min(policy_.response_timeout_s, deadline_ - now));
}

void RequestRetrier::on_sent(double) {
  if (state_ != AttemptState::ready) return;
  ++attempts_;
  set_state(AttemptState::sent);
}

void RequestRetrier::on_response(int status, double retry_after_s, double now) {
  if (state_ != AttemptState::sent) return;
  if (outcome_of(status) != RequestOutcome::retry) return set_state(AttemptState::answered);
  controller_ = (controller_ + 1) % controller_count_;
  if (status == 0 && ++unresponsive_in_a_row_ < controller_count_ && now < deadline_) {
    // A node that is gone says nothing of the others: they are asked at once, each once.
    return set_state(AttemptState::ready);
  }
  if (status != 0 || unresponsive_in_a_row_ >= controller_count_) unresponsive_in_a_row_ = 0;
  // Doubling, with jitter so that clients that were refused together do not come back together; never before
  // the node's own word, which is taken up to the longest pause.
  double most =
      std::min(policy_.max_backoff_s, policy_.initial_backoff_s * std::exp2(std::min(backoffs_++, 10)));
  double pause = std::uniform_real_distribution<>(std::min(policy_.initial_backoff_s, most),
                                                  std::max(most, policy_.initial_backoff_s))(random_);
  pause = std::max(pause, std::min(retry_after_s, policy_.max_backoff_s));
  next_attempt_at_ = now + pause;
  set_state(next_attempt_at_ < deadline_ ? AttemptState::backing_off : AttemptState::gave_up);
}

void RequestRetrier::tick(double now) {
  if (now >= deadline_) return set_state(AttemptState::gave_up);
  if (state_ == AttemptState::backing_off && now >= next_attempt_at_) set_state(AttemptState::ready);
}

}  // namespace oxbowmill::client
