#include "oxbowmill/market/reputation.h"

#include <algorithm>
#include <boost/math/distributions/beta.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>

namespace oxbowmill::market {

namespace {
// Priors for a market without evidence.
constexpr double prior_delivered = 2, prior_undelivered = 1;
constexpr double prior_weight = 4;
constexpr double prior_delay_sd = 0.25, prior_drift_sd = 0.1;
// A market may change, so older evidence is discounted: its weight halves after this many newer machines, or
// after this many newer deliveries or prices.
constexpr double half_life_machines = 60, half_life_events = 25;
// Limit on the weight of the whole market's evidence in the reputation of one kind of machine, in machines.
constexpr double max_overall_machines = 6;
constexpr double min_ratio = 0.02, max_ratio = 50;  // ratios are clamped to this range
constexpr double min_quoted = 1e-9;
constexpr Seconds min_delay_s = 1;
constexpr double lower_decile = 0.1, upper_decile = 0.9;

double decay_factor(double sample_weight, double half_life) {
  return std::exp2(-sample_weight / half_life);
}

/// Updates a running mean and sum of squared deviations (Welford's algorithm) after discounting older
/// evidence.
void add_observation(double& sample_weight, double& mean, double& m2, double value) {
  double decay = decay_factor(1, half_life_events);
  sample_weight = sample_weight * decay + 1;
  m2 *= decay;
  double deviation = value - mean;
  mean += deviation / sample_weight;
  m2 += deviation * (value - mean);
}

/// Student t distribution of the next value, with a prior mean of 0.
struct PredictiveDistribution {
  double center, scale, degrees_of_freedom;
  PredictiveDistribution(double sample_weight, double mean, double m2, double prior_sd) {
    double total_weight = prior_weight + sample_weight;
    center = sample_weight * mean / total_weight;
    degrees_of_freedom = total_weight;
    double sum_of_squares =
        prior_weight * prior_sd * prior_sd + m2 + prior_weight * sample_weight / total_weight * mean * mean;
    scale = std::sqrt(sum_of_squares / degrees_of_freedom * (1 + 1 / total_weight));
  }
  double cdf(double value) const {
    return boost::math::cdf(boost::math::students_t(degrees_of_freedom), (value - center) / scale);
  }
  double quantile(double probability) const {
    return center + scale * boost::math::quantile(boost::math::students_t(degrees_of_freedom), probability);
  }
};

double log_ratio(double actual, double stated) {
  return std::log(std::clamp(actual / std::max(stated, min_quoted), min_ratio, max_ratio));
}

PredictiveDistribution delay_distribution(const MarketEvidence& evidence) {
  return {evidence.delay_weight, evidence.delay_mean, evidence.delay_m2, prior_delay_sd};
}

PredictiveDistribution drift_distribution(const MarketEvidence& evidence) {
  return {evidence.drift_weight, evidence.drift_mean, evidence.drift_m2, prior_drift_sd};
}
}  // namespace

Seconds DeliveryDistribution::sample_time(std::size_t sample) {
  const double step = std::log(longest_s / shortest_s) / (sample_count - 1);
  return shortest_s * std::exp(step * static_cast<double>(sample));
}

double DeliveryDistribution::probability_within(Seconds within_s) const {
  if (!(within_s > shortest_s)) return within_s <= 0 ? 0 : probabilities_.front() * within_s / shortest_s;
  double position = std::log(within_s / shortest_s) / std::log(longest_s / shortest_s) * (sample_count - 1);
  if (position >= sample_count - 1) return probabilities_.back();
  auto sample = static_cast<std::size_t>(position);
  double fraction = position - static_cast<double>(sample);
  return probabilities_[sample] * (1 - fraction) + probabilities_[sample + 1] * fraction;
}

void Reputation::record_machines(double delivered, double undelivered) {
  double decay = decay_factor(delivered + undelivered, half_life_machines);
  evidence_.delivered = evidence_.delivered * decay + delivered;
  evidence_.undelivered = evidence_.undelivered * decay + undelivered;
}

void Reputation::record_delivery(Seconds promised_s, Seconds actual_s) {
  add_observation(evidence_.delay_weight, evidence_.delay_mean, evidence_.delay_m2,
                  log_ratio(std::max(actual_s, min_delay_s), std::max(promised_s, min_delay_s)));
}

void Reputation::record_price(double quoted, double paid) {
  add_observation(evidence_.drift_weight, evidence_.drift_mean, evidence_.drift_m2, log_ratio(paid, quoted));
}

double Reputation::delivered_fraction() const {
  return (prior_delivered + evidence_.delivered) /
         (prior_delivered + prior_undelivered + evidence_.delivered + evidence_.undelivered);
}

double Reputation::delivered_fraction_quantile(double probability) const {
  return boost::math::quantile(boost::math::beta_distribution<>(prior_delivered + evidence_.delivered,
                                                                prior_undelivered + evidence_.undelivered),
                               probability);
}

double Reputation::uncertainty() const {
  return delivered_fraction_quantile(upper_decile) - delivered_fraction_quantile(lower_decile);
}

Seconds Reputation::delay_quantile(Seconds promised_s, double probability) const {
  return std::max(promised_s, min_delay_s) * std::exp(delay_distribution(evidence_).quantile(probability));
}

double Reputation::on_time_probability(Seconds promised_s, Seconds within_s) const {
  if (within_s <= 0) return 0;
  return delay_distribution(evidence_).cdf(std::log(within_s / std::max(promised_s, min_delay_s)));
}

DeliveryDistribution Reputation::delivery_distribution(Seconds promised_s) const {
  DeliveryDistribution::Samples probabilities{};
  for (std::size_t i = 0; i < probabilities.size(); ++i)
    probabilities[i] = on_time_probability(promised_s, DeliveryDistribution::sample_time(i));
  return DeliveryDistribution(probabilities);
}

double Reputation::price_drift() const {
  return std::exp(drift_distribution(evidence_).center);
}

double Reputation::price_drift_quantile(double probability) const {
  return std::exp(drift_distribution(evidence_).quantile(probability));
}

Reputation Reputation::combined_with(const Reputation& whole) const {
  // Machines of this kind count fully, those of the whole market as at most `max_overall_machines` machines.
  MarketEvidence evidence = whole.evidence_;
  double overall_machines = evidence.delivered + evidence.undelivered;
  double scale = overall_machines > max_overall_machines ? max_overall_machines / overall_machines : 1;
  evidence.delivered = evidence.delivered * scale + evidence_.delivered;
  evidence.undelivered = evidence.undelivered * scale + evidence_.undelivered;
  return Reputation(evidence);
}

}  // namespace oxbowmill::market
