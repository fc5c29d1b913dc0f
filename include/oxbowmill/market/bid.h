// One bid: its states, and the one function that changes them.
#pragma once

#include <set>
#include <string>

#include "oxbowmill/cluster/records.h"

namespace oxbowmill::market {

enum class BidState : std::uint8_t {
  committing,   // its worst case is being written; nothing has been sent
  committed,    // durable, to be sent
  submitted,    // sent, not answered for certain: it may be executed, even later
  unconfirmed,  // found in the tables by a new leader, which cannot know whether it was sent
  open,         // the market holds its auction
  raised,       // the market wants more
  confirming,   // a higher price within the limit has been confirmed, not answered
  won,          // accepted; machines are to come
  running,      // nothing more is to come; what came is paid for
  withdrawing,  // given up; the withdrawal is repeated until it is answered for certain
  settling,     // over for certain; its last change is being written
  closed,
};
const char* name_of(BidState state);
bool may_follow(BidState from, BidState to);

/// How a bid ranks among those that want the same money and machines; lower first.
enum class BidPriority : std::uint8_t { guaranteed, starved, high, standard, best_effort };
const char* name_of(BidPriority demand_class);

struct Bid {
  std::string name;
  BidRecord record;
  BidState state = BidState::committing;
  BidPriority priority = BidPriority::standard;
  double quoted_rate = 0;           // per hour
  std::string quote_id;             // the market's name of the quote
  Seconds quote_expires_at = 0;     // steady
  Seconds first_sent_at = -1;       // first sent
  Seconds last_status_at = -1;      // last time that the market spoke of it
  Seconds charged_since = -1;       // no machine of it can have been charged for earlier
  Seconds due_at = 0;               // promised delivery, on the steady clock
  Seconds late_after = 0;           // what has not come by then is bought again, within the spare
  Seconds abandon_at = 0;           // and by then it is given up
  Seconds next_action_at = 0;       // when to act next
  std::uint64_t raise_round = 0;    // of the raise that is asked for
  MoneyAmount requested_rate = 0;   // in that raise
  MoneyAmount agreed_rate = 0;      // agreed
  MoneyAmount charged = 0;          // as the market says
  std::uint32_t delivered = 0;      // machines delivered, as it says
  std::uint32_t usable = 0;         // of these, the ones that are what was bid for
  std::set<std::string> hosts;      // delivered under this bid
  bool withdraw_requested = false;  // as soon as the state allows it
  bool disputed = false;
  bool late = false;       // its machines did not come in time
  bool evaluated = false;  // its outcome has been counted in the market's trust
  bool adopted = false;    // an earlier leader's
  Revision revision = 0;
  int unanswered_calls = 0;  // calls in a row without an answer
};

/// The only place where a bid's state changes; false, and nothing changed, where the table does not allow it.
bool set_state(Bid& bid, BidState to, const std::string& why);

/// Most that a bid can cost: every machine at its limit for its whole term.
MoneyAmount worst_case(const BidRecord& record);
MoneyAmount worst_case(MoneyAmount limit, double max_paid_s, std::uint32_t machines);

}  // namespace oxbowmill::market
