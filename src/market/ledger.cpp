#include "oxbowmill/market/ledger.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace oxbowmill::market {

std::int64_t Ledger::window_number(double wall) const {
  return static_cast<std::int64_t>(std::floor(wall / settings_.window_s));
}

void Ledger::load(const LedgerRecord& rec, double wall) {
  // A clock that was set back does not bring spending of a later window to nothing.
  std::int64_t now = std::max(window_number(wall), rec.window);
  spent_ = rec.window == now ? rec : LedgerRecord{now, {}};
}

Ledger::Usage Ledger::usage() const {
  Usage current_usage;
  for (const auto& [partition, amount] : spent_.spent) current_usage.in_window += amount;
  for (const auto& [name, reservation] : reservations_) {
    current_usage.per_hour +=
        reservation.record.price_limit * static_cast<MoneyAmount>(reservation.record.count());
    current_usage.in_window += worst_case(reservation.record);
  }
  return current_usage;
}

MoneyAmount Ledger::starved_per_hour() const {
  MoneyAmount sum = 0;
  for (const auto& [name, reservation] : reservations_) {
    if (reservation.starved)
      sum += reservation.record.price_limit * static_cast<MoneyAmount>(reservation.record.count());
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
    current_usage.in_window += worst_case(record.price_limit, record.max_paid_s, it->second);
  }
  return current_usage;
}

const SpendingLimit* Ledger::team_limit(PartitionIndex partition) const {
  auto it = settings_.team_limits.find(partition);
  return it == settings_.team_limits.end() ? nullptr : &it->second;
}

std::uint32_t Ledger::affordable_machines(PartitionIndex partition, MoneyAmount limit,
                                          double max_paid_s) const {
  constexpr std::uint32_t plenty = 1'000'000;
  MoneyAmount one = worst_case(limit, max_paid_s, 1);
  std::uint32_t most = plenty;
  auto within = [&](const SpendingLimit& spending_limit, const Usage& current_usage) {
    auto bound = [&](MoneyAmount ceiling, MoneyAmount used, MoneyAmount each) {
      if (ceiling <= 0 || each <= 0) return;
      MoneyAmount n = std::max<MoneyAmount>(0, ceiling - used) / each;
      most = static_cast<std::uint32_t>(std::min<MoneyAmount>(most, n));
    };
    bound(spending_limit.per_hour, current_usage.per_hour, limit);
    bound(spending_limit.per_window, current_usage.in_window, one);
  };
  within(settings_.total_limit, usage());
  if (const SpendingLimit* c = team_limit(partition)) within(*c, usage(partition));
  return most;
}

std::optional<std::string> Ledger::rejection_reason(const BidRecord& record) const {
  auto over = [](const SpendingLimit& spending_limit, const Usage& current_usage, MoneyAmount hour,
                 MoneyAmount worst) -> const char* {
    if (spending_limit.per_hour > 0 && current_usage.per_hour + hour > spending_limit.per_hour)
      return "per hour";
    if (spending_limit.per_window > 0 && current_usage.in_window + worst > spending_limit.per_window)
      return "per window";
    return nullptr;
  };
  auto machines = static_cast<MoneyAmount>(record.count());
  if (const char* what =
          over(settings_.total_limit, usage(), record.price_limit * machines, worst_case(record)))
    return std::string("the ceiling ") + what + " is reached";
  for (const auto& [partition, machine_count] : record.machines) {
    const SpendingLimit* c = team_limit(partition);
    if (c == nullptr) continue;
    if (const char* what =
            over(*c, usage(partition), record.price_limit * static_cast<MoneyAmount>(machine_count),
                 worst_case(record.price_limit, record.max_paid_s, machine_count)))
      return std::string("a team's ceiling ") + what + " is reached";
  }
  return std::nullopt;
}

LedgerRecord Ledger::after_settlement(const BidRecord& record, MoneyAmount charged, double wall) const {
  LedgerRecord ledger_record = spent_;
  if (ledger_record.window < window_number(wall)) ledger_record = {window_number(wall), {}};
  MoneyAmount left = charged;
  auto machines = static_cast<MoneyAmount>(record.count());
  for (auto it = record.machines.begin(); it != record.machines.end() && machines > 0; ++it) {
    // The last takes what rounding leaves, so that the parts add up to the whole.
    MoneyAmount partition_cost =
        std::next(it) == record.machines.end() ? left : charged * it->second / machines;
    ledger_record.spent[it->first] += partition_cost;
    left -= partition_cost;
  }
  if (machines == 0 && charged != 0) ledger_record.spent[PartitionIndex{0}] += charged;
  return ledger_record;
}

}  // namespace oxbowmill::market
