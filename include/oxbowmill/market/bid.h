// A bid in the leader's memory, its states and the allowed transitions between them. Plain data without
// locks; used on the controller's thread only.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "oxbowmill/cluster/records.h"
#include "oxbowmill/market/settings.h"

namespace oxbowmill::market {

/// State of a bid. Only `set_state` changes it.
enum class BidState : std::uint8_t {
  committing,   ///< its record is being written; nothing has been sent
  committed,    ///< its record is durable; the bid may be sent
  submitted,    ///< sent without a definite answer; the market may still execute it
  unconfirmed,  ///< adopted from the records by a new leader, which cannot know whether it was sent
  open,         ///< the auction is in progress
  raised,       ///< the market asks for a higher price
  confirming,   ///< a higher price within the limit is being confirmed
  won,          ///< accepted; more machines will be delivered
  running,      ///< deliveries are complete; the delivered machines are paid for
  withdrawing,  ///< being withdrawn; repeated until the market gives a definite answer
  settling,     ///< ended; its cost is being written to the ledger
  closed,       ///< its cost is durable and its record is deleted
};
/// Name of the state in log lines.
const char* name_of(BidState state);
/// Whether `to` is an allowed successor of `from`.
[[nodiscard]] bool may_follow(BidState from, BidState to);

/// Priority of a bid among those that compete for money and machines; lower values are served first.
enum class BidPriority : std::uint8_t {
  guaranteed,   ///< work within a team's guarantee
  starved,      ///< best-effort work that has waited longer than `Settings::starvation_threshold_s`
  high,         ///< work with high job priority or above
  standard,     ///< work with normal job priority
  best_effort,  ///< work with low job priority
};
/// Name of the priority in log lines.
const char* name_of(BidPriority priority);

/// A bid in the leader's memory. Times are seconds of the steady clock unless stated otherwise.
struct Bid {
  std::string name;                              ///< never reused; see `bid_name_prefix`
  BidRecord record;                              ///< its durable record
  BidState state = BidState::committing;         ///< changed only by `set_state`
  BidPriority priority = BidPriority::standard;  ///< priority of the work that it serves
  double quoted_rate = 0;          ///< quoted price in the currency per machine and hour; 0: unknown
  std::string quote_id;            ///< the market's id of the quote
  Seconds quote_expires_at = 0;    ///< the bid is not sent for the first time after this
  Seconds first_sent_at = -1;      ///< below 0: not sent yet
  Seconds last_status_at = -1;     ///< time of the market's last status report; below 0: none
  Seconds charged_since = -1;      ///< earliest time from which its machines can be charged; below 0: unknown
  Seconds due_at = 0;              ///< promised time of delivery
  Seconds late_after = 0;          ///< machines missing after this may be bought again as extra machines
  Seconds abandon_at = 0;          ///< machines missing after this are given up and the bid is withdrawn
  Seconds next_action_at = 0;      ///< time at which the next call is due
  std::uint64_t raise_round = 0;   ///< number of the market's latest raise
  MoneyAmount requested_rate = 0;  ///< rate that the raise asks for, in millionths per machine and hour
  MoneyAmount agreed_rate = 0;     ///< agreed rate, in millionths per machine and hour
  MoneyAmount charged_amount = 0;  ///< amount charged so far, in millionths, as the market states
  std::uint32_t delivered_machines = 0;  ///< delivered machines, without any surplus
  std::uint32_t usable_machines = 0;     ///< number of delivered machines of the requested kind
  std::set<std::string> hosts;           ///< names of all machines that were delivered under this bid
  bool withdraw_requested = false;       ///< to be withdrawn as soon as its state allows
  bool is_disputed = false;              ///< the market broke the agreement on this bid
  bool was_overdue = false;              ///< machines were still missing at `abandon_at`
  bool outcome_counted = false;          ///< its deliveries have been counted in the market's reputation
  bool loaded_from_records = false;      ///< loaded from the records instead of created by this leadership
  Revision revision = 0;                 ///< revision of its record
  int unanswered_calls = 0;              ///< number of consecutive calls without an answer
};

/// Changes the state of a bid; the only place that does. Returns false and changes nothing if the transition
/// is not allowed.
bool set_state(Bid& bid, BidState to, const std::string& reason);

/// Common prefix of the names of all bids of one leadership. The revision makes it unique, because no other
/// leadership has the same one.
std::string bid_name_prefix(const std::string& controller_name, Revision leadership_revision);

/// Number of machines that may still be delivered under the bid.
std::uint32_t missing_machines(const Bid& bid);
/// Whether machines are still missing after `abandon_at`, so that the bid has to be given up.
bool is_overdue(const Bid& bid, Seconds now);
/// Whether machines are missing that should no longer be counted on: they are late or the bid is given up.
bool is_delivery_late(const Bid& bid, Seconds now);

/// Highest possible cost of a bid, in millionths: all machines at the price limit for the longest paid time.
MoneyAmount worst_case_cost(const BidRecord& record);
/// Highest possible cost of `machines` at `limit` (millionths per machine and hour) for `max_paid_s` seconds
/// each, in millionths.
MoneyAmount worst_case_cost(MoneyAmount limit, double max_paid_s, std::uint32_t machines);

}  // namespace oxbowmill::market
