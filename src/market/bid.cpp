#include "oxbowmill/market/bid.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "oxbowmill/market/state_set.h"

namespace oxbowmill::market {

namespace {
using State = BidState;
constexpr std::size_t state_count = static_cast<std::size_t>(State::closed) + 1;

/// Allowed successors of each state.
constexpr std::array<StateSet<State>, state_count> allowed_transitions = {{
    /* committing  */ {State::committed, State::closed},
    /* committed   */ {State::submitted, State::settling},
    /* submitted   */
    {State::open, State::raised, State::won, State::running, State::withdrawing, State::settling},
    /* unconfirmed */
    {State::open, State::raised, State::won, State::running, State::withdrawing, State::settling},
    /* open        */ {State::raised, State::won, State::running, State::withdrawing, State::settling},
    /* raised      */
    {State::confirming, State::open, State::won, State::running, State::withdrawing, State::settling},
    /* confirming  */
    {State::raised, State::open, State::won, State::running, State::withdrawing, State::settling},
    /* won         */ {State::running, State::withdrawing, State::settling},
    /* running     */ {State::settling},
    /* withdrawing */ {State::running, State::settling},
    /* settling    */ {State::closed},
    /* closed      */ {},
}};
}  // namespace

const char* name_of(BidState state) {
  static constexpr std::array<const char*, state_count> names = {
      "committing", "committed", "submitted", "unconfirmed", "open",     "raised",
      "confirming", "won",       "running",   "withdrawing", "settling", "closed"};
  return names.at(static_cast<std::size_t>(state));
}

const char* name_of(BidPriority priority) {
  static constexpr std::array<const char*, 5> names = {"guaranteed", "starved", "high", "standard",
                                                       "best_effort"};
  return names.at(static_cast<std::size_t>(priority));
}

bool may_follow(BidState from, BidState to) {
  return allowed_transitions.at(static_cast<std::size_t>(from)).contains(to);
}

bool set_state(Bid& bid, BidState to, const std::string& reason) {
  if (bid.state == to) return true;
  if (!may_follow(bid.state, to)) {
    SPDLOG_ERROR("bid state change refused bid={} from={} to={} reason=\"{}\"", bid.name, name_of(bid.state),
                 name_of(to), reason);
    return false;
  }
  SPDLOG_INFO("bid state changed bid={} from={} to={} reason=\"{}\"", bid.name, name_of(bid.state),
              name_of(to), reason);
  bid.state = to;
  return true;
}

std::string bid_name_prefix(const std::string& controller_name, Revision leadership_revision) {
  return controller_name + "-" + std::to_string(leadership_revision) + "-b";
}

std::uint32_t missing_machines(const Bid& bid) {
  switch (bid.state) {
    case State::running:
    case State::settling:
    case State::closed:
      return 0;
    default:
      return bid.record.count() - std::min(bid.record.count(), bid.delivered_machines);
  }
}

bool is_overdue(const Bid& bid, Seconds now) {
  return missing_machines(bid) > 0 && bid.first_sent_at >= 0 && now > bid.abandon_at;
}

bool is_delivery_late(const Bid& bid, Seconds now) {
  bool given_up = bid.withdraw_requested || bid.state == State::withdrawing;
  return missing_machines(bid) > 0 && (given_up || (bid.first_sent_at >= 0 && now > bid.late_after));
}

MoneyAmount worst_case_cost(MoneyAmount limit, double max_paid_s, std::uint32_t machines) {
  double per_machine = std::ceil(static_cast<double>(limit) * max_paid_s / seconds_per_hour);
  return static_cast<MoneyAmount>(per_machine) * static_cast<MoneyAmount>(machines);
}

MoneyAmount worst_case_cost(const BidRecord& record) {
  return worst_case_cost(record.price_limit, record.max_paid_s, record.count());
}

}  // namespace oxbowmill::market
