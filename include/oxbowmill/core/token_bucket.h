// A rate with a burst: what calls, changes and orders are paced by.
#pragma once

#include <algorithm>

namespace oxbowmill {

class TokenBucket {
 public:
  /// `rate` a second; up to `burst` at once.
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}
  void set_rate(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
  }
  bool take(double n, double now) {
    refill(now);
    if (level_ < std::min(n, burst_)) return false;
    level_ -= n;
    return true;
  }
  /// Seconds until `n` can be taken.
  double wait_for(double n, double now) {
    refill(now);
    double missing = std::min(n, burst_) - level_;
    return missing <= 0 ? 0 : missing / rate_;
  }

 private:
  void refill(double now) {
    if (now > last_) level_ = std::min(burst_, level_ + (now - last_) * rate_);
    last_ = now;
  }
  double rate_, burst_, level_;
  double last_ = 0;
};

}  // namespace oxbowmill
