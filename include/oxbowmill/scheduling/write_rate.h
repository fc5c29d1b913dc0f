// How many changes this controller writes. Owns a decaying count. Pure; steady clock.
#pragma once

#include <cmath>

#include "oxbowmill/cluster/settings.h"

namespace oxbowmill {

/// Compares the changes written lately with what the state service takes.
class WriteRate {
 public:
  /// `settings` must outlive this object.
  explicit WriteRate(const Settings& settings) : settings_(settings) {}

  /// Changes that are being sent.
  void add(std::size_t changes) { recent_changes_ += static_cast<double>(changes); }
  /// Lets the earlier changes decay; once a cycle.
  void advance(Seconds now) {
    recent_changes_ *= std::exp((last_advance_at_ - now) / window_s);
    last_advance_at_ = now;
  }
  /// This controller writes more than that fraction of all changes that the state service takes.
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
