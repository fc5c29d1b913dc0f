#include "oxbowmill/client/request_retrier.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill::client {

namespace {
constexpr double min_response_timeout_s = 0.1;
constexpr int max_backoff_doublings = 10;
}  // namespace

const char* name_of(RequestState state) {
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
      return RequestOutcome::not_found;
    case 422:
      return RequestOutcome::impossible;
    default:
      return RequestOutcome::retryable;
  }
}

// A random first controller spreads the load of clients that start at the same time.
RequestRetrier::RequestRetrier(std::size_t controller_count, RetryPolicy policy, std::uint64_t seed,
                               double now)
    : policy_(policy),
      controller_count_(std::max<std::size_t>(controller_count, 1)),
      random_(seed),
      controller_index_(random_() % controller_count_),
      deadline_(now + policy.total_timeout_s) {}

void RequestRetrier::set_state(RequestState state) {
  bool is_final = state_ == RequestState::answered || state_ == RequestState::gave_up;
  if (!is_final) state_ = state;
}

double RequestRetrier::response_timeout(double now) const {
  return std::max(min_response_timeout_s, std::min(policy_.response_timeout_s, deadline_ - now));
}

void RequestRetrier::on_sent(double) {
  if (state_ != RequestState::ready) return;
  ++attempts_;
  set_state(RequestState::sent);
}

void RequestRetrier::on_response(int status, double retry_after_s, double now) {
  if (state_ != RequestState::sent) return;
  if (outcome_of(status) != RequestOutcome::retryable) return set_state(RequestState::answered);
  controller_index_ = (controller_index_ + 1) % controller_count_;
  if (status == 0 && ++consecutive_unanswered_ < controller_count_ && now < deadline_) {
    // The other controllers may still respond, so each of them is tried once without backoff.
    return set_state(RequestState::ready);
  }
  if (status != 0 || consecutive_unanswered_ >= controller_count_) consecutive_unanswered_ = 0;
  back_off(retry_after_s, now);
}

void RequestRetrier::back_off(double retry_after_s, double now) {
  // Exponential backoff with jitter, so that clients that were refused at the same time do not retry at the
  // same time. It is at least as long as the controller asked for, up to `max_backoff_s`.
  double longest_backoff_s =
      std::min(policy_.max_backoff_s,
               policy_.initial_backoff_s * std::exp2(std::min(backoff_count_++, max_backoff_doublings)));
  double backoff_s =
      std::uniform_real_distribution<>(std::min(policy_.initial_backoff_s, longest_backoff_s),
                                       std::max(longest_backoff_s, policy_.initial_backoff_s))(random_);
  backoff_s = std::max(backoff_s, std::min(retry_after_s, policy_.max_backoff_s));
  next_attempt_at_ = now + backoff_s;
  set_state(next_attempt_at_ < deadline_ ? RequestState::backing_off : RequestState::gave_up);
}

void RequestRetrier::tick(double now) {
  if (now >= deadline_) return set_state(RequestState::gave_up);
  if (state_ == RequestState::backing_off && now >= next_attempt_at_) set_state(RequestState::ready);
}

}  // namespace oxbowmill::client
