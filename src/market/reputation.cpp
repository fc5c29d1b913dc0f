#include "oxbowmill/market/reputation.h"

#include <algorithm>
#include <boost/math/distributions/beta.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>

#include "oxbowmill/market/settings.h"

namespace oxbowmill::market {

MoneyAmount to_money_amount(double amount) {
  return static_cast<MoneyAmount>(std::llround(amount * static_cast<double>(currency_unit)));
}

namespace {
// Priors: what is thought of a market that nobody has dealt with.
constexpr double prior_delivered = 2, prior_undelivered = 1;
constexpr double prior_weight = 4;
constexpr double prior_delay_sd = 0.25, prior_drift_sd = 0.1;
// A market may change: evidence halves in weight every so many machines, or deliveries.
constexpr double half_life_machines = 60, half_life_events = 25;
constexpr double overall_weight = 6;  // machines' worth of the whole market's evidence in that of a kind
constexpr double min_ratio = 0.02, max_ratio = 50;

double fading(double sample_weight, double half) {
  return std::exp2(-sample_weight / half);
}

/// Running mean and sum of squared deviations, with the old evidence faded.
void add_observation(double& sample_weight, double& mean, double& m2, double value) {
  double keep = fading(1, half_life_events);
  sample_weight = sample_weight * keep + 1;
  m2 *= keep;
  double d = value - mean;
  mean += d / sample_weight;
  m2 += d * (value - mean);
}

/// Student t of the next value, from a prior around 0.
struct PredictiveDistribution {
  double center, scale, degrees_of_freedom;
  PredictiveDistribution(double sample_weight, double mean, double m2, double prior_sd) {
    double all = prior_weight + sample_weight;
    center = sample_weight * mean / all;
    degrees_of_freedom = all;
    double var = prior_weight * prior_sd * prior_sd + m2 + prior_weight * sample_weight / all * mean * mean;
    scale = std::sqrt(var / degrees_of_freedom * (1 + 1 / all));
  }
  double cdf(double value) const {
    return boost::math::cdf(boost::math::students_t(degrees_of_freedom), (value - center) / scale);
  }
  double quantile(double p) const {
    return center + scale * boost::math::quantile(boost::math::students_t(degrees_of_freedom), p);
  }
};

double log_ratio(double a, double b) {
  return std::log(std::clamp(a / std::max(b, 1e-9), min_ratio, max_ratio));
}
}  // namespace

double DeliveryDistribution::probability_within(Seconds s) const {
  if (!(s > shortest_s)) return s <= 0 ? 0 : probability_.front() * s / shortest_s;
  double at = std::log(s / shortest_s) / std::log(longest_s / shortest_s) * (sample_count - 1);
  if (at >= sample_count - 1) return probability_.back();
  auto i = static_cast<std::size_t>(at);
  double f = at - static_cast<double>(i);
  return probability_[i] * (1 - f) + probability_[i + 1] * f;
}

void Reputation::record_machines(double kept, double broken) {
  double keep = fading(kept + broken, half_life_machines);
  evidence_.delivered = evidence_.delivered * keep + kept;
  evidence_.undelivered = evidence_.undelivered * keep + broken;
}

void Reputation::record_delivery(Seconds promised_s, Seconds actual_s) {
  add_observation(evidence_.delay_weight, evidence_.delay_mean, evidence_.delay_m2,
                  log_ratio(std::max(actual_s, 1.0), std::max(promised_s, 1.0)));
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
  return delivered_fraction_quantile(0.9) - delivered_fraction_quantile(0.1);
}

Seconds Reputation::delay_quantile(Seconds promised_s, double probability) const {
  return std::max(promised_s, 1.0) *
         std::exp(PredictiveDistribution(evidence_.delay_weight, evidence_.delay_mean, evidence_.delay_m2,
                                         prior_delay_sd)
                      .quantile(probability));
}

double Reputation::on_time_probability(Seconds promised_s, Seconds within_s) const {
  if (within_s <= 0) return 0;
  return PredictiveDistribution(evidence_.delay_weight, evidence_.delay_mean, evidence_.delay_m2,
                                prior_delay_sd)
      .cdf(std::log(within_s / std::max(promised_s, 1.0)));
}

DeliveryDistribution Reputation::delivery_distribution(Seconds promised_s) const {
  DeliveryDistribution distribution;
  double step = std::log(DeliveryDistribution::longest_s / DeliveryDistribution::shortest_s) /
                (DeliveryDistribution::sample_count - 1);
  for (std::size_t i = 0; i < DeliveryDistribution::sample_count; ++i)
    distribution.probability_[i] = on_time_probability(
        promised_s, DeliveryDistribution::shortest_s * std::exp(step * static_cast<double>(i)));
  return distribution;
}

double Reputation::price_drift() const {
  return std::exp(
      PredictiveDistribution(evidence_.drift_weight, evidence_.drift_mean, evidence_.drift_m2, prior_drift_sd)
          .center);
}

double Reputation::price_drift_quantile(double probability) const {
  return std::exp(
      PredictiveDistribution(evidence_.drift_weight, evidence_.drift_mean, evidence_.drift_m2, prior_drift_sd)
          .quantile(probability));
}

Reputation Reputation::combined_with(const Reputation& whole) const {
  // The kind's own machines count fully; of the rest of the market as much as `overall_weight` machines say.
  Evidence evidence = whole.evidence_;
  double all = evidence.delivered + evidence.undelivered;
  double scale = all > overall_weight ? overall_weight / all : 1;
  evidence.delivered = evidence.delivered * scale + evidence_.delivered;
  evidence.undelivered = evidence.undelivered * scale + evidence_.undelivered;
  return Reputation(evidence);
}

}  // namespace oxbowmill::market
