// What a market is worth, learnt from what it did: share delivered, delay, price drift, each with how sure we
// are. Shares have a Beta posterior; the logs of delay and drift a Student t, after Gelman et al., "Bayesian
// Data Analysis", 2.4 and 3.2.
#pragma once

#include <array>

#include "oxbowmill/core/records.h"
#include "oxbowmill/core/settings.h"

namespace oxbowmill::market {

/// Chance that a delivery is there within a time, tabulated: plans ask for it thousands of times.
class Punctuality {
 public:
  static constexpr std::size_t points = 48;
  static constexpr double shortest_s = 1, longest_s = 7200;
  double within(Seconds s) const;

 private:
  friend class Trust;
  std::array<double, points> chance_{};
};

class Trust {
 public:
  Trust() = default;
  explicit Trust(const Evidence& e) : e_(e) {}

  void machines(double kept, double broken);
  /// A delivery, promised within `promised_s` of the bid, took `actual_s`.
  void delivery(Seconds promised_s, Seconds actual_s);
  void price(double quoted, double paid);

  /// Expected share of what is bid for that comes.
  double share() const;
  /// The share that it is below with this probability.
  double share_at(double probability) const;
  /// Width of the middle 80% of the share's posterior, 0 to 1.
  double uncertainty() const;
  /// By when a delivery is there with this probability.
  Seconds delay_at(Seconds promised_s, double probability) const;
  double on_time(Seconds promised_s, Seconds within_s) const;
  Punctuality punctuality(Seconds promised_s) const;
  /// Expected final price over the quoted one, and the one that it stays below with this probability.
  double drift() const;
  double drift_at(double probability) const;
  const Evidence& evidence() const { return e_; }
  /// This kind's own evidence on top of what is known of the whole market.
  Trust within(const Trust& whole) const;

 private:
  Evidence e_;
};

}  // namespace oxbowmill::market
