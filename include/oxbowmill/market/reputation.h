// What a market is worth, learnt from what it did: share delivered, delay, price drift, each with how sure we
// are. Shares have a Beta posterior; the logs of delay and drift a Student t, after Gelman et al., "Bayesian
// Data Analysis", 2.4 and 3.2.
#pragma once

#include <array>

#include "oxbowmill/cluster/records.h"
#include "oxbowmill/cluster/settings.h"

namespace oxbowmill::market {

/// Chance that a delivery is there within a time, tabulated: plans ask for it thousands of times.
class DeliveryDistribution {
 public:
  static constexpr std::size_t sample_count = 48;
  static constexpr double shortest_s = 1, longest_s = 7200;
  double probability_within(Seconds s) const;

 private:
  friend class Reputation;
  std::array<double, sample_count> probability_{};
};

class Reputation {
 public:
  Reputation() = default;
  explicit Reputation(const Evidence& e) : evidence_(e) {}

  void record_machines(double kept, double broken);
  /// A delivery, promised within `promised_delivery_s` of the bid, took `actual_s`.
  void record_delivery(Seconds promised_s, Seconds actual_s);
  void record_price(double quoted, double paid);

  /// Expected share of what is bid for that comes.
  double delivered_fraction() const;
  /// The share that it is below with this probability.
  double delivered_fraction_quantile(double probability) const;
  /// Width of the middle 80% of the share's posterior, 0 to 1.
  double uncertainty() const;
  /// By when a delivery is there with this probability.
  Seconds delay_quantile(Seconds promised_s, double probability) const;
  double on_time_probability(Seconds promised_s, Seconds within_s) const;
  DeliveryDistribution delivery_distribution(Seconds promised_s) const;
  /// Expected final price over the quoted one, and the one that it stays below with this probability.
  double price_drift() const;
  double price_drift_quantile(double probability) const;
  const Evidence& evidence() const { return evidence_; }
  /// This kind's own evidence on top of what is known of the whole market.
  Reputation combined_with(const Reputation& whole) const;

 private:
  Evidence evidence_;
};

}  // namespace oxbowmill::market
