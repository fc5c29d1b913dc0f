// Rate of the changes that this controller writes. Owns an exponentially decaying count. No I/O; steady
// clock.
#pragma once

#include <cmath>

#include "oxbowmill/cluster/settings.h"

namespace oxbowmill {

/// Compares the recently written changes with the write limit of the state service.
class WriteRate {
 public:
  /// `settings` must outlive this object.
  explicit WriteRate(const Settings& settings) : settings_(settings) {}

  /// Counts changes that are being sent.
  void add(std::size_t changes) { recent_changes_ += static_cast<double>(changes); }
  /// Decays the earlier changes; to be called once a cycle.
  void advance(Seconds now) {
    recent_changes_ *= std::exp((last_advance_at_ - now) / window_s);
    last_advance_at_ = now;
  }
  /// Whether this controller writes more than this fraction of the state service's write limit.
  bool exceeds(double fraction) const {
    return recent_changes_ > fraction * settings_.state_write_rps * window_s;
  }

 private:
  static constexpr double window_s = 5;

  const Settings& settings_;
  double recent_changes_ = 0;
  Seconds last_advance_at_ = 0;
};

}  // namespace oxbowmill
