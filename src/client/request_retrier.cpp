#include "oxbowmill/client/request_retrier.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill::client {

namespace {
constexpr double min_response_timeout_s = 0.1;
constexpr int max_doublings = 10;
}  // namespace

const char* name_of(AttemptState state) {
  static constexpr const char* names[] = {"ready", "sent", "backing_off", "answered", "gave_up"};
  return names[static_cast<int>(state)];
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

// A random first controller spreads the load of clients that start at the same time.
RequestRetrier::RequestRetrier(std::size_t controllers, RetryPolicy policy, std::uint64_t seed, double now)
    : policy_(policy),
      controller_count_(std::max<std::size_t>(controllers, 1)),
      random_(seed),
      controller_(random_() % controller_count_),
      deadline_(now + policy.total_timeout_s) {}

void RequestRetrier::set_state(AttemptState state) {
  bool over = state_ == AttemptState::answered || state_ == AttemptState::gave_up;
  if (!over) state_ = state;
}

double RequestRetrier::response_timeout(double now) const {
  return std::max(min_response_timeout_s, std::min(policy_.response_timeout_s, deadline_ - now));
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
    // The other controllers may still respond, so each of them is tried once without backoff.
    return set_state(AttemptState::ready);
  }
  if (status != 0 || unresponsive_in_a_row_ >= controller_count_) unresponsive_in_a_row_ = 0;
  back_off(retry_after_s, now);
}

void RequestRetrier::back_off(double retry_after_s, double now) {
  // Exponential backoff with jitter, so that clients that were refused at the same time do not retry at the
  // same time. It is at least as long as the controller asked for, up to `max_backoff_s`.
  double longest = std::min(policy_.max_backoff_s,
                            policy_.initial_backoff_s * std::exp2(std::min(backoffs_++, max_doublings)));
  double backoff = std::uniform_real_distribution<>(std::min(policy_.initial_backoff_s, longest),
                                                    std::max(longest, policy_.initial_backoff_s))(random_);
  backoff = std::max(backoff, std::min(retry_after_s, policy_.max_backoff_s));
  next_attempt_at_ = now + backoff;
  set_state(next_attempt_at_ < deadline_ ? AttemptState::backing_off : AttemptState::gave_up);
}

void RequestRetrier::tick(double now) {
  if (now >= deadline_) return set_state(AttemptState::gave_up);
  if (state_ == AttemptState::backing_off && now >= next_attempt_at_) set_state(AttemptState::ready);
}

}  // namespace oxbowmill::client
