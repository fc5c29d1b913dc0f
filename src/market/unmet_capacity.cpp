#include "oxbowmill/market/unmet_capacity.h"

#include <spdlog/spdlog.h>

namespace oxbowmill::market {

namespace {
constexpr Seconds log_interval_s = 30;
/// Whether at least 95 % of a limit is used. The rest is often less than the cost of one machine.
bool is_reached(MoneyAmount used, MoneyAmount limit) {
  return limit > 0 && used * 20 >= limit * 19;
}
}  // namespace

void UnmetCapacity::update(const std::vector<Demand>& demands, const Plan& plan, const Ledger& ledger,
                           double reference_price, Seconds now) {
  clear();
  std::uint32_t unmet_machines = 0;
  MoneyAmount price = to_money_amount(reference_price);
  for (std::size_t i = 0; i < demands.size(); ++i) {
    unmet_machines += plan.unmet_units[i];
    if (demands[i].priority != BidPriority::guaranteed) continue;
    guaranteed_machines_ += plan.unmet_units[i];
    if (plan.unmet_units[i] > ledger.affordable_machines(demands[i].partition, price, settings_.max_paid_s))
      budget_exhausted_ = true;
  }
  if (unmet_machines == 0 || now - logged_at_ < log_interval_s) return;
  logged_at_ = now;
  Ledger::Usage usage = ledger.usage();
  SPDLOG_INFO(
      "unmet demand machines={} guaranteed={} reason=\"{}\" committed_per_hour={:.2f} "
      "committed_in_window={:.2f}",
      unmet_machines, guaranteed_machines_, reason(usage), to_currency(usage.per_hour),
      to_currency(usage.in_window));
}

void UnmetCapacity::clear() {
  guaranteed_machines_ = 0;
  budget_exhausted_ = false;
}

const char* UnmetCapacity::reason(const Ledger::Usage& usage) const {
  if (is_reached(usage.in_window, settings_.total_limit.per_window))
    return "spending limit of the window reached";
  if (is_reached(usage.per_hour, settings_.total_limit.per_hour)) return "spending limit per hour reached";
  return "no remaining offer is worth its price";
}

}  // namespace oxbowmill::market
