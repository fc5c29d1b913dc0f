// Token bucket that limits the rate of calls, writes and commands. Pure arithmetic on the times passed in.
// Not thread-safe.
#pragma once

#include <algorithm>

namespace oxbowmill {

/// Tokens that refill at a constant rate, up to a burst. Times are in seconds of the steady clock.
class TokenBucket {
 public:
  /// Refills `rate` tokens per second and holds at most `burst`. Starts full.
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}
  /// Changes rate and burst; keeps the tokens that are available.
  void set_rate(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
  }
  /// Takes `tokens` if that many (or a full burst) are available. Returns whether it did.
  bool take(double tokens, double now) {
    refill(now);
    if (tokens_ < std::min(tokens, burst_)) return false;
    tokens_ -= tokens;
    return true;
  }
  /// Seconds until `take` of the same number succeeds.
  double wait_for(double tokens, double now) {
    refill(now);
    double missing = std::min(tokens, burst_) - tokens_;
    return missing <= 0 ? 0 : missing / rate_;
  }

 private:
  void refill(double now) {
    if (now > refilled_at_) tokens_ = std::min(burst_, tokens_ + (now - refilled_at_) * rate_);
    refilled_at_ = now;
  }
  double rate_, burst_, tokens_;
  double refilled_at_ = 0;
};

}  // namespace oxbowmill
