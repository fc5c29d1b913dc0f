#include "oxbowmill/market/pricing.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill::market {

namespace {
/// Fraction of a machine's value that depends on a delivery within the slack. The rest is lost only if the
/// delivery takes longer than the slack, the promised delivery time and the delivery tolerance together.
constexpr double deadline_weight = 0.7;

/// Cost of a machine that does not come in time, as a multiple of its running cost at the reference price.
double lateness_weight(BidPriority priority) {
  switch (priority) {
    case BidPriority::guaranteed:
      return 12;
    case BidPriority::high:
      return 8;
    case BidPriority::starved:
    case BidPriority::standard:
      return 5;
    case BidPriority::best_effort:
      return 2.5;
  }
  return 1;
}

double run_hours(const Demand& demand) {
  return std::max(demand.run_s, min_run_s) / seconds_per_hour;
}
}  // namespace

double Pricing::unserved_cost(const Demand& demand, double reference_price) {
  return lateness_weight(demand.priority) * reference_price * run_hours(demand);
}

double Pricing::machines_per_unit(const Demand& demand, const Offer& offer) {
  if (offer.spot && !demand.spot) return 0;
  if (demand.zone.valid() && demand.zone != offer.zone) return 0;
  if (offer.type.value >= demand.tasks_per_machine.size() || demand.tasks_per_machine[offer.type.value] == 0)
    return 0;
  double most_tasks = *std::max_element(demand.tasks_per_machine.begin(), demand.tasks_per_machine.end());
  return most_tasks / demand.tasks_per_machine[offer.type.value];
}

double Pricing::bid_limit(const Demand& demand, const Offer& offer, double reference_price,
                          const Settings& settings) {
  if (!offer.market.valid()) return offer.price_limit;
  // Best-effort work, starved or not, bids at most the quoted price, so that it never outbids other work.
  if (demand.priority == BidPriority::best_effort || demand.priority == BidPriority::starved)
    return std::min(offer.quoted_price, settings.limit_factor * reference_price);
  // The price must not exceed the cost of leaving the work unserved.
  return std::min({offer.price_limit, lateness_weight(demand.priority) * reference_price,
                   settings.limit_factor * reference_price});
}

double Pricing::on_time_probability(const Demand& demand, const Offer& offer, const Settings& settings) {
  double slack = std::isfinite(demand.slack_s) ? demand.slack_s : settings.delivery_tolerance_s;
  // Work past its deadline still gains from a machine that comes soon; otherwise it would never be served.
  double later = std::max(slack, 0.0) + offer.promised_delivery_s + settings.delivery_tolerance_s;
  double on_time_weight = deadline_weight * std::clamp(slack / settings.delivery_tolerance_s, 0.0, 1.0);
  double probability = on_time_weight * offer.delivery_distribution.probability_within(slack) +
                       (1 - on_time_weight) * offer.delivery_distribution.probability_within(later);
  return offer.delivered_fraction * probability;
}

double Pricing::expected_cost(const Demand& demand, const Offer& offer, double reference_price,
                              const Settings& settings) {
  // A machine is paid for even if it comes late; one that never comes only causes the cost of lateness.
  return offer.delivered_fraction * offer.expected_price * run_hours(demand) +
         (1 - on_time_probability(demand, offer, settings)) * unserved_cost(demand, reference_price);
}

}  // namespace oxbowmill::market
