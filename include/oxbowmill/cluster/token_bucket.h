// A rate with a burst: what calls, changes and orders are paced by.
#pragma once

#include <algorithm>

namespace oxbowmill {

class TokenBucket {
 public:
  /// `rate` a second; up to `burst` at once.
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}
  void set_rate(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
  }
  bool take(double sample_weight, double now) {
    refill(now);
    if (tokens_ < std::min(sample_weight, burst_)) return false;
    tokens_ -= sample_weight;
    return true;
  }
  /// Seconds until `n` can be taken.
  double wait_for(double sample_weight, double now) {
    refill(now);
    double missing = std::min(sample_weight, burst_) - tokens_;
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
