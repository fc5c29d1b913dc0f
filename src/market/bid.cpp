#include "oxbowmill/market/bid.h"

#include <spdlog/spdlog.h>

#include <array>
#include <cmath>

namespace oxbowmill::market {

namespace {
using S = BidState;
constexpr std::size_t state_count = static_cast<std::size_t>(S::closed) + 1;

constexpr std::uint32_t state_bit(S s) {
  return 1U << static_cast<unsigned>(s);
}

/// By state: those that may follow it.
constexpr std::array<std::uint32_t, state_count> allowed_transitions = {
    /* committing  */ state_bit(S::committed) | state_bit(S::closed),
    /* committed   */ state_bit(S::submitted) | state_bit(S::settling),
    /* asked       */ state_bit(S::open) | state_bit(S::raised) | state_bit(S::won) | state_bit(S::running) |
        state_bit(S::withdrawing) | state_bit(S::settling),
    /* in_doubt    */ state_bit(S::open) | state_bit(S::raised) | state_bit(S::won) | state_bit(S::running) |
        state_bit(S::withdrawing) | state_bit(S::settling),
    /* open        */ state_bit(S::raised) | state_bit(S::won) | state_bit(S::running) |
        state_bit(S::withdrawing) | state_bit(S::settling),
    /* raised      */ state_bit(S::confirming) | state_bit(S::open) | state_bit(S::won) |
        state_bit(S::running) | state_bit(S::withdrawing) | state_bit(S::settling),
    /* confirming  */ state_bit(S::raised) | state_bit(S::open) | state_bit(S::won) | state_bit(S::running) |
        state_bit(S::withdrawing) | state_bit(S::settling),
    /* won         */ state_bit(S::running) | state_bit(S::withdrawing) | state_bit(S::settling),
    /* running     */ state_bit(S::settling),
    /* withdrawing */ state_bit(S::running) | state_bit(S::settling),
    /* settling    */ state_bit(S::closed),
    /* closed      */ 0,
};
}  // namespace

const char* name_of(BidState state) {
  static constexpr const char* names[] = {"committing", "committed",   "asked",      "in_doubt",
                                          "open",       "raised",      "confirming", "won",
                                          "running",    "withdrawing", "settling",   "closed"};
  return names[static_cast<int>(state)];
}

const char* name_of(BidPriority demand_class) {
  static constexpr const char* names[] = {"guaranteed", "starved", "high", "standard", "best_effort"};
  return names[static_cast<int>(demand_class)];
}

bool may_follow(BidState from, BidState to) {
  return (allowed_transitions[static_cast<std::size_t>(from)] & state_bit(to)) != 0;
}

bool set_state(Bid& bid, BidState to, const std::string& why) {
  if (bid.state == to) return true;
  if (!may_follow(bid.state, to)) {
    SPDLOG_ERROR("bid {}: {} cannot become {} ({})", bid.name, name_of(bid.state), name_of(to), why);
    return false;
  }
  SPDLOG_INFO("bid {}: {} -> {}: {}", bid.name, name_of(bid.state), name_of(to), why);
  bid.state = to;
  return true;
}

MoneyAmount worst_case(MoneyAmount limit, double max_paid_s, std::uint32_t machines) {
  double one = std::ceil(static_cast<double>(limit) * max_paid_s / 3600);
  return static_cast<MoneyAmount>(one) * static_cast<MoneyAmount>(machines);
}

MoneyAmount worst_case(const BidRecord& record) {
  return worst_case(record.price_limit, record.max_paid_s, record.count());
}

}  // namespace oxbowmill::market
