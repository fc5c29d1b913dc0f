// Estimates the reliability of a market from its past behaviour: delivered fraction, delay and price drift,
// each with its uncertainty. The fraction has a Beta posterior; the logarithms of delay and drift have a
// Student t distribution (Gelman et al., "Bayesian Data Analysis", 2.4 and 3.2). Plain values without locks.
#pragma once

#include <array>
#include <cstddef>

#include "oxbowmill/cluster/records.h"
#include "oxbowmill/cluster/settings.h"

namespace oxbowmill::market {

/// Tabulated probability that a delivery is made within a given time. Tabulated because a plan evaluates it
/// thousands of times.
class DeliveryDistribution {
 public:
  /// Number of tabulated times.
  static constexpr std::size_t sample_count = 48;
  /// First tabulated time. Times up to the last are evenly spaced on a logarithmic scale.
  static constexpr Seconds shortest_s = 1;
  /// Last tabulated time.
  static constexpr Seconds longest_s = 7200;
  /// Probability for each tabulated time.
  using Samples = std::array<double, sample_count>;

  /// Creates the distribution of a delivery that is never made.
  DeliveryDistribution() = default;
  /// Takes the probability for each tabulated time, in their order.
  explicit DeliveryDistribution(const Samples& probabilities) : probabilities_(probabilities) {}
  /// The tabulated time of this index, in seconds after the bid.
  static Seconds sample_time(std::size_t sample);
  /// Probability that a delivery is made within `within_s` of the bid, interpolated.
  double probability_within(Seconds within_s) const;

 private:
  Samples probabilities_{};
};

/// Evidence about a market, or about one kind of machine on it, and the predictions that follow from it.
class Reputation {
 public:
  /// Starts without evidence; predictions follow the priors.
  Reputation() = default;
  /// Starts from stored evidence.
  explicit Reputation(const MarketEvidence& evidence) : evidence_(evidence) {}

  /// Counts machines that were delivered as agreed (`delivered`) and that were not (`undelivered`).
  void record_machines(double delivered, double undelivered);
  /// Counts a delivery that was promised within `promised_s` of the bid and made after `actual_s`.
  void record_delivery(Seconds promised_s, Seconds actual_s);
  /// Counts the ratio of a final price to the quoted one (both in the currency per machine and hour).
  void record_price(double quoted, double paid);

  /// Expected fraction of the requested machines that is delivered, 0 to 1.
  double delivered_fraction() const;
  /// Quantile of the delivered fraction, 0 to 1.
  double delivered_fraction_quantile(double probability) const;
  /// Width of the central 80 % interval of the delivered fraction, 0 to 1.
  double uncertainty() const;
  /// Seconds after the bid by which a delivery is made with this probability.
  Seconds delay_quantile(Seconds promised_s, double probability) const;
  /// Probability that a delivery is made within `within_s` of the bid.
  double on_time_probability(Seconds promised_s, Seconds within_s) const;
  /// The distribution of the delivery time, tabulated.
  DeliveryDistribution delivery_distribution(Seconds promised_s) const;
  /// Expected ratio of the final price to the quoted one.
  double price_drift() const;
  /// Quantile of the ratio of the final price to the quoted one.
  double price_drift_quantile(double probability) const;
  /// The evidence counted so far, in its stored form.
  const MarketEvidence& evidence() const { return evidence_; }
  /// Combines this evidence about one kind of machine with that about the whole market.
  Reputation combined_with(const Reputation& whole) const;

 private:
  MarketEvidence evidence_;
};

}  // namespace oxbowmill::market
