#include "oxbowmill/market/remaining_budget.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill::market {

RemainingBudget::RemainingBudget(const std::vector<Demand>& demands, const std::vector<Offer>& offers,
                                 const Ledger& ledger, const Settings& settings) {
  std::size_t markets = 0;
  for (const Offer& offer : offers) {
    offers_.push_back(offer.max_machines);
    if (offer.market.valid()) markets = std::max<std::size_t>(markets, offer.market.value + 1);
  }
  std::uint32_t wanted = 0;
  for (const Demand& demand : demands) wanted += demand.machines;
  auto trial = static_cast<std::uint32_t>(std::ceil(settings.trial_fraction * wanted));
  unproven_.assign(markets, std::max<std::uint32_t>(trial, 1));
  Ledger::Usage usage = ledger.usage();
  total_.per_hour = remaining(settings.total_limit.per_hour, usage.per_hour);
  total_.in_window = remaining(settings.total_limit.per_window, usage.in_window);
  auto starved_limit = static_cast<MoneyAmount>(settings.starvation_fraction *
                                                static_cast<double>(settings.total_limit.per_hour));
  starved_per_hour_ = remaining(starved_limit, ledger.starved_per_hour());
  for (const auto& [partition, limit] : settings.team_limits) {
    Ledger::Usage team = ledger.usage(partition);
    teams_[partition] = {remaining(limit.per_hour, team.per_hour),
                         remaining(limit.per_window, team.in_window)};
  }
}

MoneyAmount RemainingBudget::remaining(MoneyAmount limit, MoneyAmount used) {
  return limit <= 0 ? unlimited : std::max<MoneyAmount>(0, limit - used);
}

bool RemainingBudget::spend(MoneyAmount& left, MoneyAmount cost) {
  if (left < 0) return true;
  if (left < cost) return false;
  left -= cost;
  return true;
}

bool RemainingBudget::reserve(const Expense& expense, const Offer& offer) {
  if (offers_[expense.offer_index] < expense.machines) return false;
  if (offer.market.valid() && !reserve_money(expense, offer)) return false;
  offers_[expense.offer_index] -= expense.machines;
  return true;
}

bool RemainingBudget::reserve_money(const Expense& expense, const Offer& offer) {
  MoneyAmount per_hour = expense.limit * static_cast<MoneyAmount>(expense.machines);
  MoneyAmount worst = worst_case(expense.limit, expense.max_paid_s, expense.machines);
  bool allowed = spend(total_.per_hour, per_hour) && spend(total_.in_window, worst);
  if (expense.priority == BidPriority::starved) allowed = allowed && spend(starved_per_hour_, per_hour);
  auto team = teams_.find(expense.partition);
  if (team != teams_.end())
    allowed = allowed && spend(team->second.per_hour, per_hour) && spend(team->second.in_window, worst);
  if (!offer.proven) {
    std::uint32_t& left = unproven_[offer.market.value];
    allowed = allowed && left >= expense.machines;
    left -= std::min(left, expense.machines);
  }
  return allowed;
}

}  // namespace oxbowmill::market
