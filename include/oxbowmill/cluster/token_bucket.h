// A rate limit with a burst, for calls, writes and commands. Pure arithmetic over given times. Not
// thread-safe.
#pragma once

#include <algorithm>

namespace oxbowmill {

/// Tokens that refill at a rate, up to a burst. Times in seconds of the steady clock.
class TokenBucket {
 public:
  /// `rate` tokens a second; up to `burst` at once. Starts full.
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}
  /// Changes rate and burst; tokens that are there stay.
  void set_rate(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
  }
  /// Takes so many tokens, if they (or a full burst) are there; says whether it did.
  bool take(double tokens, double now) {
    refill(now);
    if (tokens_ < std::min(tokens, burst_)) return false;
    tokens_ -= tokens;
    return true;
  }
  /// Seconds until so many can be taken.
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
