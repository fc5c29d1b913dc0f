#include "oxbowmill/market/ledger.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill::market {

namespace {
constexpr std::uint32_t no_machine_limit = 1'000'000;  // above the machines of any plan

/// Lowers `machines` to the number that a limit still allows at `price` per machine. A limit of 0 is
/// unlimited.
void limit_machines(std::uint32_t& machines, MoneyAmount limit, MoneyAmount used, MoneyAmount price) {
  if (limit <= 0 || price <= 0) return;
  MoneyAmount affordable = std::max<MoneyAmount>(0, limit - used) / price;
  machines = static_cast<std::uint32_t>(std::min<MoneyAmount>(machines, affordable));
}

/// Name of the limit that additional money would exceed; null if it exceeds none.
const char* exceeded_limit(const SpendingLimit& limit, const Ledger::Usage& usage, MoneyAmount per_hour,
                           MoneyAmount worst_case) {
  if (limit.per_hour > 0 && usage.per_hour + per_hour > limit.per_hour) return "per hour";
  if (limit.per_window > 0 && usage.in_window + worst_case > limit.per_window) return "per window";
  return nullptr;
}
}  // namespace

std::int64_t Ledger::window_number(double wall) const {
  return static_cast<std::int64_t>(std::floor(wall / settings_.window_s));
}

void Ledger::load(const LedgerRecord& record, double wall) {
  // A clock that was set back must not discard the spending of a later window.
  std::int64_t window = std::max(window_number(wall), record.window);
  spent_ = record.window == window ? record : LedgerRecord{window, {}};
}

Ledger::Usage Ledger::usage() const {
  Usage current_usage;
  for (const auto& [partition, amount] : spent_.spent) current_usage.in_window += amount;
  for (const auto& [name, reservation] : reservations_) {
    current_usage.per_hour += reservation.per_hour();
    current_usage.in_window += worst_case_cost(reservation.record);
  }
  return current_usage;
}

MoneyAmount Ledger::starved_per_hour() const {
  MoneyAmount sum = 0;
  for (const auto& [name, reservation] : reservations_) {
    if (reservation.starved) sum += reservation.per_hour();
  }
  return sum;
}

Ledger::Usage Ledger::usage(PartitionIndex partition) const {
  Usage current_usage;
  if (auto it = spent_.spent.find(partition); it != spent_.spent.end()) current_usage.in_window = it->second;
  for (const auto& [name, reservation] : reservations_) {
    const BidRecord& record = reservation.record;
    auto it = record.machines.find(partition);
    if (it == record.machines.end()) continue;
    current_usage.per_hour += record.price_limit * static_cast<MoneyAmount>(it->second);
    current_usage.in_window += worst_case_cost(record.price_limit, record.max_paid_s, it->second);
  }
  return current_usage;
}

const SpendingLimit* Ledger::team_limit(PartitionIndex partition) const {
  auto it = settings_.team_limits.find(partition);
  return it == settings_.team_limits.end() ? nullptr : &it->second;
}

std::uint32_t Ledger::affordable_machines(PartitionIndex partition, MoneyAmount limit,
                                          double max_paid_s) const {
  MoneyAmount worst_case = worst_case_cost(limit, max_paid_s, 1);
  std::uint32_t machines = no_machine_limit;
  auto apply = [&](const SpendingLimit& spending_limit, const Usage& current_usage) {
    limit_machines(machines, spending_limit.per_hour, current_usage.per_hour, limit);
    limit_machines(machines, spending_limit.per_window, current_usage.in_window, worst_case);
  };
  apply(settings_.total_limit, usage());
  if (const SpendingLimit* team = team_limit(partition)) apply(*team, usage(partition));
  return machines;
}

std::optional<std::string> Ledger::rejection_reason(const BidRecord& record) const {
  auto machines = static_cast<MoneyAmount>(record.count());
  if (const char* limit_name = exceeded_limit(settings_.total_limit, usage(), record.price_limit * machines,
                                              worst_case_cost(record)))
    return std::string("spending limit ") + limit_name + " would be exceeded";
  for (const auto& [partition, machine_count] : record.machines) {
    const SpendingLimit* team = team_limit(partition);
    if (team == nullptr) continue;
    if (const char* limit_name = exceeded_limit(
            *team, usage(partition), record.price_limit * static_cast<MoneyAmount>(machine_count),
            worst_case_cost(record.price_limit, record.max_paid_s, machine_count)))
      return std::string("a team's spending limit ") + limit_name + " would be exceeded";
  }
  return std::nullopt;
}

LedgerRecord Ledger::after_settlement(const BidRecord& record, MoneyAmount charged, double wall) const {
  LedgerRecord ledger_record = spent_;
  if (ledger_record.window < window_number(wall)) ledger_record = {window_number(wall), {}};
  MoneyAmount remaining = charged;
  auto machines = static_cast<MoneyAmount>(record.count());
  for (auto it = record.machines.begin(); it != record.machines.end() && machines > 0; ++it) {
    // The last partition gets the rounding remainder, so that the parts add up to the charge.
    MoneyAmount partition_cost =
        std::next(it) == record.machines.end() ? remaining : charged * it->second / machines;
    ledger_record.spent[it->first] += partition_cost;
    remaining -= partition_cost;
  }
  if (machines == 0 && charged != 0) ledger_record.spent[PartitionIndex{0}] += charged;
  return ledger_record;
}

}  // namespace oxbowmill::market
