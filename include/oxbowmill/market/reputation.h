// What to expect of a market, learnt from what it did: fraction delivered, delay and price drift, each with
// its uncertainty. Fractions have a Beta posterior; the logarithms of delay and drift a Student t, after
// Gelman et al., "Bayesian Data Analysis", 2.4 and 3.2. Plain values without locks.
#pragma once

#include <array>
#include <cstddef>

#include "oxbowmill/cluster/records.h"
#include "oxbowmill/cluster/settings.h"

namespace oxbowmill::market {

/// Chance that a delivery has been made within a time, tabulated: plans ask for it thousands of times.
class DeliveryDistribution {
 public:
  /// Number of tabulated times.
  static constexpr std::size_t sample_count = 48;
  /// First tabulated time; those between are evenly spaced on a logarithmic scale.
  static constexpr Seconds shortest_s = 1;
  /// Last tabulated time.
  static constexpr Seconds longest_s = 7200;
  /// Chance for each tabulated time.
  using Samples = std::array<double, sample_count>;

  /// Nothing is ever delivered.
  DeliveryDistribution() = default;
  /// From the chance for each tabulated time, in their order.
  explicit DeliveryDistribution(const Samples& probabilities) : probabilities_(probabilities) {}
  /// The tabulated time of this number.
  static Seconds sample_time(std::size_t sample);
  /// Chance that a delivery has been made within `within_s` of the bid, interpolated.
  double probability_within(Seconds within_s) const;

 private:
  Samples probabilities_{};
};

/// What is expected of a market, or of one kind of machine there.
class Reputation {
 public:
  /// What is expected of a market that nobody has dealt with.
  Reputation() = default;
  /// From stored evidence.
  explicit Reputation(const MarketEvidence& evidence) : evidence_(evidence) {}

  /// Counts machines that came as agreed (`kept`) and that did not (`broken`).
  void record_machines(double kept, double broken);
  /// Counts a delivery: promised within `promised_s` of the bid, made after `actual_s`.
  void record_delivery(Seconds promised_s, Seconds actual_s);
  /// Counts a final price against the quoted one (the currency per machine and hour).
  void record_price(double quoted, double paid);

  /// Expected fraction of what is bid for that comes, 0 to 1.
  double delivered_fraction() const;
  /// The fraction that it stays below with this probability.
  double delivered_fraction_quantile(double probability) const;
  /// Width of the middle 80% of the fraction's posterior, 0 to 1.
  double uncertainty() const;
  /// Seconds after the bid by which a delivery has been made with this probability.
  Seconds delay_quantile(Seconds promised_s, double probability) const;
  /// Chance that a delivery has been made within `within_s` of the bid.
  double on_time_probability(Seconds promised_s, Seconds within_s) const;
  /// The same, tabulated over times.
  DeliveryDistribution delivery_distribution(Seconds promised_s) const;
  /// Expected ratio of the final price to the quoted one.
  double price_drift() const;
  /// The ratio that it stays below with this probability.
  double price_drift_quantile(double probability) const;
  /// What has been counted, as it is stored.
  const MarketEvidence& evidence() const { return evidence_; }
  /// This kind's own evidence on top of what is known of the whole market.
  Reputation combined_with(const Reputation& whole) const;

 private:
  MarketEvidence evidence_;
};

}  // namespace oxbowmill::market
