#include "oxbowmill/market/trust.h"

#include <algorithm>
#include <boost/math/distributions/beta.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>

#include "oxbowmill/market/settings.h"

namespace oxbowmill::market {

Money to_money(double amount) {
  return static_cast<Money>(std::llround(amount * static_cast<double>(unit)));
}

namespace {
// Priors: what is thought of a market that nobody has dealt with.
constexpr double prior_kept = 2, prior_broken = 1;
constexpr double prior_n = 4;
constexpr double prior_delay_sd = 0.25, prior_drift_sd = 0.1;
// A market may change: evidence halves in weight every so many machines, or deliveries.
constexpr double memory_machines = 60, memory_events = 25;
constexpr double whole_weight = 6;  // machines' worth of the whole market's evidence in that of a kind
constexpr double least_ratio = 0.02, most_ratio = 50;

double fading(double n, double half) {
  return std::exp2(-n / half);
}

/// Running mean and sum of squared deviations, with the old evidence faded.
void add(double& n, double& mean, double& m2, double x) {
  double keep = fading(1, memory_events);
  n = n * keep + 1;
  m2 *= keep;
  double d = x - mean;
  mean += d / n;
  m2 += d * (x - mean);
}

/// Student t of the next value, from a prior around 0.
struct Next {
  double centre, scale, df;
  Next(double n, double mean, double m2, double prior_sd) {
    double all = prior_n + n;
    centre = n * mean / all;
    df = all;
    double var = prior_n * prior_sd * prior_sd + m2 + prior_n * n / all * mean * mean;
    scale = std::sqrt(var / df * (1 + 1 / all));
  }
  double cdf(double x) const { return boost::math::cdf(boost::math::students_t(df), (x - centre) / scale); }
  double at(double p) const { return centre + scale * boost::math::quantile(boost::math::students_t(df), p); }
};

double log_ratio(double a, double b) {
  return std::log(std::clamp(a / std::max(b, 1e-9), least_ratio, most_ratio));
}
}  // namespace

double Punctuality::within(Seconds s) const {
  if (!(s > shortest_s)) return s <= 0 ? 0 : chance_.front() * s / shortest_s;
  double at = std::log(s / shortest_s) / std::log(longest_s / shortest_s) * (points - 1);
  if (at >= points - 1) return chance_.back();
  auto i = static_cast<std::size_t>(at);
  double f = at - static_cast<double>(i);
  return chance_[i] * (1 - f) + chance_[i + 1] * f;
}

void Trust::machines(double kept, double broken) {
  double keep = fading(kept + broken, memory_machines);
  e_.kept = e_.kept * keep + kept;
  e_.broken = e_.broken * keep + broken;
}

void Trust::delivery(Seconds promised_s, Seconds actual_s) {
  add(e_.delay_n, e_.delay_mean, e_.delay_m2, log_ratio(std::max(actual_s, 1.0), std::max(promised_s, 1.0)));
}

void Trust::price(double quoted, double paid) {
  add(e_.drift_n, e_.drift_mean, e_.drift_m2, log_ratio(paid, quoted));
}

double Trust::share() const {
  return (prior_kept + e_.kept) / (prior_kept + prior_broken + e_.kept + e_.broken);
}

double Trust::share_at(double probability) const {
  return boost::math::quantile(
      boost::math::beta_distribution<>(prior_kept + e_.kept, prior_broken + e_.broken), probability);
}

double Trust::uncertainty() const {
  return share_at(0.9) - share_at(0.1);
}

Seconds Trust::delay_at(Seconds promised_s, double probability) const {
  return std::max(promised_s, 1.0) *
         std::exp(Next(e_.delay_n, e_.delay_mean, e_.delay_m2, prior_delay_sd).at(probability));
}

double Trust::on_time(Seconds promised_s, Seconds within_s) const {
  if (within_s <= 0) return 0;
  return Next(e_.delay_n, e_.delay_mean, e_.delay_m2, prior_delay_sd)
      .cdf(std::log(within_s / std::max(promised_s, 1.0)));
}

Punctuality Trust::punctuality(Seconds promised_s) const {
  Punctuality p;
  double step = std::log(Punctuality::longest_s / Punctuality::shortest_s) / (Punctuality::points - 1);
  for (std::size_t i = 0; i < Punctuality::points; ++i)
    p.chance_[i] = on_time(promised_s, Punctuality::shortest_s * std::exp(step * static_cast<double>(i)));
  return p;
}

double Trust::drift() const {
  return std::exp(Next(e_.drift_n, e_.drift_mean, e_.drift_m2, prior_drift_sd).centre);
}

double Trust::drift_at(double probability) const {
  return std::exp(Next(e_.drift_n, e_.drift_mean, e_.drift_m2, prior_drift_sd).at(probability));
}

Trust Trust::within(const Trust& whole) const {
  // The kind's own machines count fully; of the rest of the market as much as `whole_weight` machines say.
  Evidence e = whole.e_;
  double all = e.kept + e.broken;
  double scale = all > whole_weight ? whole_weight / all : 1;
  e.kept = e.kept * scale + e_.kept;
  e.broken = e.broken * scale + e_.broken;
  return Trust(e);
}

}  // namespace oxbowmill::market
