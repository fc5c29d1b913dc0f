// Simple allocations of demands to offers, and the oracle, with which the planner is compared.
#include <algorithm>
#include <cmath>
#include <numeric>

#include "oxbowmill/simulation/market_simulation.h"

namespace oxbowmill::simulation {

namespace {

constexpr int delivery_samples = 40;  // observations from which the oracle's delivery distribution is built
constexpr double max_oracle_loss_chance = 0.9;  // above it, the oracle ignores the market
constexpr double raised_price_margin = 1.05, price_margin = 1.03;

/// Expected fraction of the ordered machines that the market delivers.
double actual_delivered_fraction(const MarketBehavior& behavior, bool faulty) {
  if (!faulty) return 1;
  if (behavior.overcharge_factor > 1 || behavior.lost_request_chance > max_oracle_loss_chance ||
      behavior.stall_chance > max_oracle_loss_chance)
    return 0;
  return (1 - behavior.never_delivers_chance) * behavior.delivered_fraction *
         (1 - behavior.wrong_delivery_chance) * (1 - behavior.double_delivery_chance) *
         (1 - behavior.absurd_response_chance);
}

market::Reputation actual_reputation(const MarketBehavior& behavior, bool faulty,
                                     double promised_delivery_s) {
  market::Reputation reputation;
  for (int i = 0; i < delivery_samples; ++i) {
    double late_factor = faulty && i < delivery_samples * behavior.late_chance ? behavior.late_factor : 1;
    reputation.record_delivery(
        promised_delivery_s,
        promised_delivery_s * late_factor * std::exp(behavior.delivery_spread * (i % 2 == 0 ? 1 : -1)));
  }
  return reputation;
}

/// Replaces the estimates in the offer by the expected values of the market's actual behaviour at `now`.
void set_actual_behavior(market::Offer& offer, const MarketBehavior& behavior, double now) {
  bool faulty = now >= behavior.faults_from_s && now < behavior.faults_to_s;
  offer.delivered_fraction = actual_delivered_fraction(behavior, faulty);
  double raised = faulty ? 1 + behavior.raise_chance * (behavior.raise_factor - 1) : 1;
  offer.expected_price = behavior.price * raised;
  offer.price_limit =
      std::max(offer.price_limit,
               offer.quoted_price * (faulty && behavior.raise_chance > 0
                                         ? behavior.raise_factor * behavior.raise_factor * raised_price_margin
                                         : price_margin));
  offer.delivery_distribution = actual_reputation(behavior, faulty, offer.promised_delivery_s)
                                    .delivery_distribution(offer.promised_delivery_s);
  offer.is_proven = true;
}

std::vector<market::Offer> oracle_offers(std::vector<market::Offer> offers,
                                         const std::vector<MarketBehavior>& behaviors, double now) {
  for (market::Offer& offer : offers) {
    if (offer.market.valid()) set_actual_behavior(offer, behaviors[offer.market.value], now);
  }
  for (market::Offer& offer : offers) {
    if (offer.delivered_fraction <= 0) offer.max_machines = 0;
  }
  return offers;
}

/// Serves demands by priority, each from the cheapest offers first and within the ledger's limits.
class GreedyAllocation {
 public:
  GreedyAllocation(const std::vector<market::Demand>& demands, const std::vector<market::Offer>& offers,
                   const market::Ledger& ledger, const market::Settings& settings)
      : demands_(demands), offers_(offers), ledger_(ledger), settings_(settings) {
    for (const market::Offer& offer : offers) remaining_machines_.push_back(offer.max_machines);
    offers_by_price_.resize(offers.size());
    std::iota(offers_by_price_.begin(), offers_by_price_.end(), 0);
    std::stable_sort(offers_by_price_.begin(), offers_by_price_.end(), [&](std::size_t a, std::size_t b) {
      return offers[a].quoted_price < offers[b].quoted_price;
    });
  }

  market::Plan run(Policy policy) {
    std::vector<std::size_t> by_priority(demands_.size());
    std::iota(by_priority.begin(), by_priority.end(), 0);
    std::stable_sort(by_priority.begin(), by_priority.end(), [&](std::size_t a, std::size_t b) {
      return demands_[a].priority < demands_[b].priority;
    });
    plan_.unmet_units.resize(demands_.size());
    for (std::size_t demand_index : by_priority) serve(policy, demand_index);
    return std::move(plan_);
  }

 private:
  void serve(Policy policy, std::size_t demand_index) {
    std::uint32_t wanted = demands_[demand_index].machines;
    if (policy == Policy::even_split && !offers_.empty()) {
      auto each = static_cast<std::uint32_t>((wanted + offers_.size() - 1) / offers_.size());
      for (std::size_t offer_index : offers_by_price_) take(demand_index, offer_index, each, wanted);
    }
    for (std::size_t offer_index : offers_by_price_) {
      // `single_market` buys from the first market of the list alone, and the rest from the cloud.
      const market::Offer& offer = offers_[offer_index];
      if (policy == Policy::single_market && offer.market.valid() && offer.market.value != 0) continue;
      take(demand_index, offer_index, wanted, wanted);
    }
    plan_.unmet_units[demand_index] = wanted;
  }

  void take(std::size_t demand_index, std::size_t offer_index, std::uint32_t limit, std::uint32_t& wanted) {
    std::uint32_t count = std::min({wanted, remaining_machines_[offer_index], limit});
    if (offers_[offer_index].market.valid()) {
      std::uint32_t affordable = ledger_.affordable_machines(
          demands_[demand_index].partition, market::to_money_amount(offers_[offer_index].price_limit),
          settings_.max_paid_s);
      count = std::min(count, affordable > awarded_machines_ ? affordable - awarded_machines_ : 0);
      awarded_machines_ += count;
    }
    if (count == 0 || market::Pricing::machines_per_unit(demands_[demand_index], offers_[offer_index]) != 1)
      return;
    plan_.awards.push_back({demand_index, offer_index, count});
    remaining_machines_[offer_index] -= count;
    wanted -= count;
  }

  const std::vector<market::Demand>& demands_;
  const std::vector<market::Offer>& offers_;
  const market::Ledger& ledger_;
  const market::Settings& settings_;
  market::Plan plan_;
  std::vector<std::uint32_t> remaining_machines_;  // machines not awarded yet, by offer
  std::vector<std::size_t> offers_by_price_;       // offer indices, the cheapest first
  std::uint32_t awarded_machines_ = 0;             // machines of markets that were awarded so far
};

}  // namespace

market::Plan make_policy_plan(Policy policy, const std::vector<MarketBehavior>& behaviors, double now,
                              const std::vector<market::Demand>& demands, std::vector<market::Offer> offers,
                              const market::Ledger& ledger, double reference_price,
                              const market::Settings& settings) {
  if (policy == Policy::planner) return market::make_plan(demands, offers, ledger, reference_price, settings);
  if (policy == Policy::oracle) {
    return market::make_plan(demands, oracle_offers(std::move(offers), behaviors, now), ledger,
                             reference_price, settings);
  }
  return GreedyAllocation(demands, offers, ledger, settings).run(policy);
}

}  // namespace oxbowmill::simulation
