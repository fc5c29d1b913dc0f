// One bid: what is known of it, its states, and the one function that changes them. Plain data without locks;
// used on the controller's thread only.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "oxbowmill/cluster/records.h"
#include "oxbowmill/market/settings.h"

namespace oxbowmill::market {

/// State of a bid; `set_state` is the one place that changes it.
enum class BidState : std::uint8_t {
  committing,   ///< its worst case is being written; nothing has been sent
  committed,    ///< durable, to be sent
  submitted,    ///< sent without a definite answer: the market may execute it, even later
  unconfirmed,  ///< found in the records by a new leader, which cannot know whether it was sent
  open,         ///< the market holds its auction
  raised,       ///< the market asks for a higher price
  confirming,   ///< a higher price within the limit has been confirmed, without an answer yet
  won,          ///< accepted; machines are still to come
  running,      ///< no more machines will come; those that came are paid for
  withdrawing,  ///< given up; the withdrawal is repeated until there is a definite answer
  settling,     ///< over for certain; its end is being written
  closed,       ///< its end is durable
};
/// The state's name in logs.
const char* name_of(BidState state);
/// Whether `to` is an allowed successor of `from`.
[[nodiscard]] bool may_follow(BidState from, BidState to);

/// How a bid ranks among those that compete for money and machines; lower values first.
enum class BidPriority : std::uint8_t {
  guaranteed,   ///< within a team's guarantee
  starved,      ///< best-effort work that has waited longer than `Settings::starvation_threshold_s`
  high,         ///< high job priority or above
  standard,     ///< ordinary work
  best_effort,  ///< low job priority
};
/// The priority's name in logs.
const char* name_of(BidPriority priority);

/// A bid in the leader's memory. Times are seconds of the steady clock unless said otherwise.
struct Bid {
  std::string name;                              ///< unique for ever; see `bid_name_prefix`
  BidRecord record;                              ///< what is stored of it
  BidState state = BidState::committing;         ///< changed by `set_state` only
  BidPriority priority = BidPriority::standard;  ///< of the work that it is for
  double quoted_rate = 0;                        ///< the currency per machine and hour; 0: not known
  std::string quote_id;                          ///< the market's name of the quote
  Seconds quote_expires_at = 0;                  ///< after this it is not sent for the first time
  Seconds first_sent_at = -1;                    ///< below 0: not sent
  Seconds last_status_at = -1;                   ///< when the market last reported on it; below 0: never
  Seconds charged_since = -1;       ///< none of its machines can have been charged earlier; below 0: unknown
  Seconds due_at = 0;               ///< promised delivery
  Seconds late_after = 0;           ///< what has not come by then is bought again, as an extra
  Seconds abandon_at = 0;           ///< what has not come by then is given up
  Seconds next_action_at = 0;       ///< when the next call is due
  std::uint64_t raise_round = 0;    ///< number of the latest raise
  MoneyAmount requested_rate = 0;   ///< millionths per machine and hour that the raise asks for
  MoneyAmount agreed_rate = 0;      ///< millionths per machine and hour
  MoneyAmount charged = 0;          ///< millionths so far, as the market states
  std::uint32_t delivered = 0;      ///< machines delivered, as the market states
  std::uint32_t usable = 0;         ///< of these, those of the kind that was bid for
  std::set<std::string> hosts;      ///< names of all machines delivered under this bid
  bool withdraw_requested = false;  ///< to be withdrawn as soon as its state allows it
  bool disputed = false;            ///< the market broke the agreement
  bool late = false;                ///< its machines did not come in time
  bool evaluated = false;           ///< its outcome has been counted in the market's reputation
  bool adopted = false;             ///< an earlier leader made it
  Revision revision = 0;            ///< of its record
  int unanswered_calls = 0;         ///< calls in a row without an answer
};

/// The only place where a bid's state changes; false, and nothing changed, if the transition is not allowed.
bool set_state(Bid& bid, BidState to, const std::string& why);

/// What the names of all bids of one leadership begin with. The revision makes them unique: no other leader
/// has it.
std::string bid_name_prefix(const std::string& controller_name, Revision leadership_revision);

/// Machines that may still come under the bid.
std::uint32_t missing_machines(const Bid& bid);
/// Whether machines are missing and it is time to give the bid up.
bool is_overdue(const Bid& bid, Seconds now);
/// Whether machines are missing that should not be counted on any more.
bool is_delivery_late(const Bid& bid, Seconds now);

/// Most that a bid can cost, in millionths: every machine at its limit for as long as it is paid for.
MoneyAmount worst_case(const BidRecord& record);
/// The same for `machines` at `limit` (millionths per machine and hour) for `max_paid_s` seconds each.
MoneyAmount worst_case(MoneyAmount limit, double max_paid_s, std::uint32_t machines);

}  // namespace oxbowmill::market
