#include "oxbowmill/market/bid.h"

#include <spdlog/spdlog.h>

#include <array>
#include <cmath>

namespace oxbowmill::market {

namespace {
using S = BidState;
constexpr std::size_t states = static_cast<std::size_t>(S::closed) + 1;

constexpr std::uint32_t bit(S s) {
  return 1U << static_cast<unsigned>(s);
}

/// By state: those that may follow it.
constexpr std::array<std::uint32_t, states> following = {
    /* committing  */ bit(S::committed) | bit(S::closed),
    /* committed   */ bit(S::asked) | bit(S::settling),
    /* asked       */ bit(S::open) | bit(S::raised) | bit(S::won) | bit(S::running) | bit(S::withdrawing) |
        bit(S::settling),
    /* in_doubt    */ bit(S::open) | bit(S::raised) | bit(S::won) | bit(S::running) | bit(S::withdrawing) |
        bit(S::settling),
    /* open        */ bit(S::raised) | bit(S::won) | bit(S::running) | bit(S::withdrawing) | bit(S::settling),
    /* raised      */ bit(S::confirming) | bit(S::open) | bit(S::won) | bit(S::running) |
        bit(S::withdrawing) | bit(S::settling),
    /* confirming  */ bit(S::raised) | bit(S::open) | bit(S::won) | bit(S::running) | bit(S::withdrawing) |
        bit(S::settling),
    /* won         */ bit(S::running) | bit(S::withdrawing) | bit(S::settling),
    /* running     */ bit(S::settling),
    /* withdrawing */ bit(S::running) | bit(S::settling),
    /* settling    */ bit(S::closed),
    /* closed      */ 0,
};
}  // namespace

const char* name_of(BidState s) {
  static constexpr const char* names[] = {"committing", "committed",   "asked",      "in_doubt",
                                          "open",       "raised",      "confirming", "won",
                                          "running",    "withdrawing", "settling",   "closed"};
  return names[static_cast<int>(s)];
}

const char* name_of(Claim c) {
  static constexpr const char* names[] = {"guaranteed", "starved", "high", "standard", "best_effort"};
  return names[static_cast<int>(c)];
}

bool may_follow(BidState from, BidState to) {
  return (following[static_cast<std::size_t>(from)] & bit(to)) != 0;
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

Money worst_case(Money limit, double term_s, std::uint32_t machines) {
  double one = std::ceil(static_cast<double>(limit) * term_s / 3600);
  return static_cast<Money>(one) * static_cast<Money>(machines);
}

Money worst_case(const BidRecord& r) {
  return worst_case(r.limit, r.term_s, r.count());
}

}  // namespace oxbowmill::market
