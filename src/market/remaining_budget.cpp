#include "oxbowmill/market/remaining_budget.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill::market {

RemainingBudget::RemainingBudget(const std::vector<Demand>& demands, const std::vector<Offer>& offers,
                                 const Ledger& ledger, const Settings& settings) {
  std::size_t markets = 0;
  for (const Offer& offer : offers) {
    machines_left_by_offer_.push_back(offer.max_machines);
    if (offer.market.valid()) markets = std::max<std::size_t>(markets, offer.market.value + 1);
  }
  std::uint32_t wanted = 0;
  for (const Demand& demand : demands) wanted += demand.machines;
  auto trial_machines = static_cast<std::uint32_t>(std::ceil(settings.trial_fraction * wanted));
  unproven_machines_left_by_market_.assign(markets, std::max<std::uint32_t>(trial_machines, 1));
  Ledger::Usage usage = ledger.usage();
  total_money_.per_hour = remaining(settings.total_limit.per_hour, usage.per_hour);
  total_money_.in_window = remaining(settings.total_limit.per_window, usage.in_window);
  auto starved_limit = static_cast<MoneyAmount>(settings.starvation_fraction *
                                                static_cast<double>(settings.total_limit.per_hour));
  starved_per_hour_ = remaining(starved_limit, ledger.starved_per_hour());
  for (const auto& [partition, limit] : settings.team_limits) {
    Ledger::Usage team = ledger.usage(partition);
    team_money_[partition] = {remaining(limit.per_hour, team.per_hour),
                              remaining(limit.per_window, team.in_window)};
  }
}

MoneyAmount RemainingBudget::remaining(MoneyAmount limit, MoneyAmount used) {
  return limit <= 0 ? unlimited : std::max<MoneyAmount>(0, limit - used);
}

bool RemainingBudget::spend(MoneyAmount& available, MoneyAmount cost) {
  if (available < 0) return true;
  if (available < cost) return false;
  available -= cost;
  return true;
}

bool RemainingBudget::reserve(const Expense& expense, const Offer& offer) {
  if (machines_left_by_offer_[expense.offer_index] < expense.machines) return false;
  if (offer.market.valid() && !reserve_money(expense, offer)) return false;
  machines_left_by_offer_[expense.offer_index] -= expense.machines;
  return true;
}

bool RemainingBudget::reserve_money(const Expense& expense, const Offer& offer) {
  MoneyAmount per_hour = expense.limit * static_cast<MoneyAmount>(expense.machines);
  MoneyAmount worst_case = worst_case_cost(expense.limit, expense.max_paid_s, expense.machines);
  bool allowed = spend(total_money_.per_hour, per_hour) && spend(total_money_.in_window, worst_case);
  if (expense.priority == BidPriority::starved) allowed = allowed && spend(starved_per_hour_, per_hour);
  auto team = team_money_.find(expense.partition);
  if (team != team_money_.end())
    allowed = allowed && spend(team->second.per_hour, per_hour) && spend(team->second.in_window, worst_case);
  if (!offer.is_proven) {
    std::uint32_t& machines_left = unproven_machines_left_by_market_[offer.market.value];
    allowed = allowed && machines_left >= expense.machines;
    machines_left -= std::min(machines_left, expense.machines);
  }
  return allowed;
}

}  // namespace oxbowmill::market
