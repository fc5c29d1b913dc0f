#include "oxbowmill/market/ledger.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace oxbowmill::market {

std::int64_t Ledger::window(double wall) const {
  return static_cast<std::int64_t>(std::floor(wall / settings_.window_s));
}

void Ledger::load(const LedgerRecord& rec, double wall) {
  // A clock that was set back does not bring spending of a later window to nothing.
  std::int64_t now = std::max(window(wall), rec.window);
  paid_ = rec.window == now ? rec : LedgerRecord{now, {}};
}

Ledger::Use Ledger::use() const {
  Use u;
  for (const auto& [part, amount] : paid_.spent) u.in_window += amount;
  for (const auto& [name, held] : held_) {
    u.per_hour += held.rec.limit * static_cast<Money>(held.rec.count());
    u.in_window += worst_case(held.rec);
  }
  return u;
}

Money Ledger::for_starved() const {
  Money sum = 0;
  for (const auto& [name, held] : held_) {
    if (held.starved) sum += held.rec.limit * static_cast<Money>(held.rec.count());
  }
  return sum;
}

Ledger::Use Ledger::use(PartIndex part) const {
  Use u;
  if (auto it = paid_.spent.find(part); it != paid_.spent.end()) u.in_window = it->second;
  for (const auto& [name, held] : held_) {
    const BidRecord& rec = held.rec;
    auto it = rec.machines.find(part);
    if (it == rec.machines.end()) continue;
    u.per_hour += rec.limit * static_cast<Money>(it->second);
    u.in_window += worst_case(rec.limit, rec.term_s, it->second);
  }
  return u;
}

const Ceiling* Ledger::team(PartIndex part) const {
  auto it = settings_.teams.find(part);
  return it == settings_.teams.end() ? nullptr : &it->second;
}

std::uint32_t Ledger::room(PartIndex part, Money limit, double term_s) const {
  constexpr std::uint32_t plenty = 1'000'000;
  Money one = worst_case(limit, term_s, 1);
  std::uint32_t most = plenty;
  auto within = [&](const Ceiling& c, const Use& u) {
    auto bound = [&](Money ceiling, Money used, Money each) {
      if (ceiling <= 0 || each <= 0) return;
      Money n = std::max<Money>(0, ceiling - used) / each;
      most = static_cast<std::uint32_t>(std::min<Money>(most, n));
    };
    bound(c.per_hour, u.per_hour, limit);
    bound(c.per_window, u.in_window, one);
  };
  within(settings_.all, use());
  if (const Ceiling* c = team(part)) within(*c, use(part));
  return most;
}

std::optional<std::string> Ledger::refusal(const BidRecord& rec) const {
  auto over = [](const Ceiling& c, const Use& u, Money hour, Money worst) -> const char* {
    if (c.per_hour > 0 && u.per_hour + hour > c.per_hour) return "per hour";
    if (c.per_window > 0 && u.in_window + worst > c.per_window) return "per window";
    return nullptr;
  };
  auto machines = static_cast<Money>(rec.count());
  if (const char* what = over(settings_.all, use(), rec.limit * machines, worst_case(rec)))
    return std::string("the ceiling ") + what + " is reached";
  for (const auto& [part, n] : rec.machines) {
    const Ceiling* c = team(part);
    if (c == nullptr) continue;
    if (const char* what =
            over(*c, use(part), rec.limit * static_cast<Money>(n), worst_case(rec.limit, rec.term_s, n)))
      return std::string("a team's ceiling ") + what + " is reached";
  }
  return std::nullopt;
}

LedgerRecord Ledger::after(const BidRecord& rec, Money charged, double wall) const {
  LedgerRecord r = paid_;
  if (r.window < window(wall)) r = {window(wall), {}};
  Money left = charged;
  auto machines = static_cast<Money>(rec.count());
  for (auto it = rec.machines.begin(); it != rec.machines.end() && machines > 0; ++it) {
    // The last takes what rounding leaves, so that the parts add up to the whole.
    Money part = std::next(it) == rec.machines.end() ? left : charged * it->second / machines;
    r.spent[it->first] += part;
    left -= part;
  }
  if (machines == 0 && charged != 0) r.spent[PartIndex{0}] += charged;
  return r;
}

}  // namespace oxbowmill::market
