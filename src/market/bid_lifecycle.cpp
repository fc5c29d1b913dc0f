#include "oxbowmill/market/bid_lifecycle.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "oxbowmill/market/delivery_deadlines.h"

namespace oxbowmill::market {

namespace {
constexpr Seconds status_interval_s = 1, running_status_interval_s = 10;
constexpr Seconds min_retry_s = 0.5, max_retry_s = 8;  // exponential backoff after calls without an answer
constexpr int max_retry_doublings = 8;
// Time after the last paid second for the market to report its charge.
constexpr Seconds final_charge_timeout_s = 120;

Seconds retry_delay(int unanswered_calls) {
  return std::min(max_retry_s, min_retry_s * std::exp2(std::min(unanswered_calls, max_retry_doublings)));
}

/// Whether the bid has been sent or is about to be, is not won, and no raise of it is being confirmed.
bool is_undecided(BidState state) {
  return state == BidState::committed || state == BidState::submitted || state == BidState::open ||
         state == BidState::raised;
}

/// Whether a requested withdrawal can be sent in this state. The status of an unconfirmed bid is requested
/// first; `advance` withdraws a raised bid itself.
bool may_withdraw(BidState state) {
  return state == BidState::submitted || state == BidState::open || state == BidState::won ||
         state == BidState::confirming;
}

std::optional<CallKind> next_call(BidState state) {
  switch (state) {
    case BidState::submitted:
      return CallKind::bid;
    case BidState::confirming:
      return CallKind::confirm;
    case BidState::withdrawing:
      return CallKind::withdraw;
    case BidState::unconfirmed:
    case BidState::open:
    case BidState::won:
    case BidState::running:
      return CallKind::status;
    default:
      return std::nullopt;
  }
}
}  // namespace

void BidLifecycle::advance(GuaranteeBudget budget, Clock clock, std::vector<Call>& calls) {
  for (auto& [name, bid] : bids_.bids()) advance(bid, budget, clock, calls);
}

void BidLifecycle::advance(Bid& bid, GuaranteeBudget budget, Clock clock, std::vector<Call>& calls) {
  MarketClient* client = markets_.find(bid.record.market);
  // The market was removed from the settings. The money stays reserved until the market is configured again.
  if (client == nullptr) return;
  bool overdue = check_overdue(bid, clock.now);
  // Undecided bids are withdrawn if guaranteed work lacks money or the market is suspended.
  bool yields = budget == GuaranteeBudget::exhausted && bid.priority != BidPriority::guaranteed;
  if ((yields || client->state() == MarketState::suspended) && is_undecided(bid.state))
    bid.withdraw_requested = true;
  if (bid.first_sent_at >= 0 && clock.now > final_deadline(bid) && bid.state != BidState::settling)
    return book_worst_case(bid);
  if (bid.state == BidState::committed) return submit(bid, *client, clock, calls);
  if (bid.state == BidState::raised) {
    if (bid.withdraw_requested) withdraw(bid, "withdrawn instead of confirming the raise");
    return;
  }
  if (bid.withdraw_requested && may_withdraw(bid.state)) withdraw(bid, overdue ? "overdue" : "given up");
  if (clock.now < bid.next_action_at) return;
  if (std::optional<CallKind> kind = next_call(bid.state)) send(bid, *kind, clock, calls);
}

bool BidLifecycle::check_overdue(Bid& bid, Seconds now) const {
  bool overdue = is_overdue(bid, now);
  if (overdue && !bid.withdraw_requested) {
    SPDLOG_INFO("bid overdue bid={} missing={} machines={}", bid.name, missing_machines(bid),
                bid.record.count());
    bid.withdraw_requested = bid.was_overdue = true;
  }
  return overdue;
}

Seconds BidLifecycle::final_deadline(const Bid& bid) const {
  return bid.first_sent_at + bid.record.delivery_s + settings_.delivery_tolerance_s + bid.record.max_paid_s +
         final_charge_timeout_s;
}

void BidLifecycle::book_worst_case(Bid& bid) {
  if (bid.state == BidState::committed || bid.state == BidState::committing) return;
  deliveries_.evaluate(bid);
  finish(bid, worst_case_cost(bid.record),
         "no definite answer before the final deadline, booked at its worst-case cost");
}

void BidLifecycle::submit(Bid& bid, const MarketClient& client, Clock clock, std::vector<Call>& calls) {
  bool must_not_send = bid.withdraw_requested || clock.now >= bid.quote_expires_at ||
                       clock.wall > bid.record.send_before || client.state() == MarketState::suspended ||
                       client.state() == MarketState::unresponsive;
  if (must_not_send)
    return finish(
        bid, 0, "never sent because the quote expired, the market is not available, or the bid was given up");
  if (!send(bid, CallKind::bid, clock, calls)) return;
  bid.first_sent_at = clock.now;
  bid.due_at = clock.now + bid.record.delivery_s;
  set_delivery_deadlines(bid, &client, settings_);
  set_state(bid, BidState::submitted, "sent");
}

bool BidLifecycle::send(const Bid& bid, CallKind kind, Clock clock, std::vector<Call>& calls) {
  MarketClient* client = markets_.find(bid.record.market);
  if (client == nullptr || call_tracker_.has_bid_call(bid.name) || !client->try_acquire_request(clock.now))
    return false;
  Call call;
  call.market = bid.record.market;
  call.kind = kind;
  call.bid_name = bid.name;
  call.quote_id = bid.quote_id;
  call.kinds = {bid.record.kind()};
  call.count = bid.record.count();
  call.limit = bid.record.price_limit;
  call.max_paid_s = bid.record.max_paid_s;
  call.deliver_within_s = bid.record.delivery_s;
  call.round = bid.raise_round;
  call.rate = bid.requested_rate;
  call_tracker_.send(std::move(call), clock.now, calls);
  return true;
}

void BidLifecycle::withdraw(Bid& bid, const std::string& reason) const {
  set_state(bid, BidState::withdrawing, reason);
  bid.next_action_at = 0;
}

void BidLifecycle::on_answer(const Call& call, const Answer& answer, Clock clock) {
  Bid* found = bids_.find(call.bid_name);
  if (found == nullptr || found->state == BidState::settling) return;
  Bid& bid = *found;
  switch (answer.kind) {
    case AnswerKind::no_answer:
    case AnswerKind::malformed:
      bid.next_action_at = clock.now + retry_delay(bid.unanswered_calls++);
      return;
    case AnswerKind::throttled:
      bid.next_action_at = clock.now + std::max(answer.retry_after_s, min_retry_s);
      return;
    case AnswerKind::not_found:
      return on_not_found(bid, clock.now);
    case AnswerKind::rejected:
      return on_rejected(bid, call.kind, clock.now);
    case AnswerKind::ok:
      break;
  }
  bid.unanswered_calls = 0;
  if (!answer.bid) {
    bid.next_action_at = clock.now + min_retry_s;
    return;
  }
  bid.next_action_at =
      clock.now + (bid.state == BidState::running ? running_status_interval_s : status_interval_s);
  apply_update(bid, *answer.bid, clock);
}

void BidLifecycle::on_not_found(Bid& bid, Seconds now) const {
  bid.unanswered_calls = 0;
  // The market has not received the bid, or will receive it later. In both cases the withdrawal marks the
  // name as used, so that a late bid under it is rejected.
  if (bid.state == BidState::withdrawing) {
    bid.next_action_at = now + min_retry_s;
    return;
  }
  bid.withdraw_requested = true;
  withdraw(bid, "unknown to the market, withdrawn to mark its name as used");
}

void BidLifecycle::on_rejected(Bid& bid, CallKind kind, Seconds now) const {
  bid.unanswered_calls = 0;
  if (kind == CallKind::bid && bid.state == BidState::submitted) {
    // The rejection is definite for this request only: an earlier, unanswered copy may still arrive.
    bid.withdraw_requested = true;
    set_state(bid, BidState::withdrawing, "rejected by the market");
  }
  bid.next_action_at = kind == CallKind::confirm ? now : now + min_retry_s;
  if (kind == CallKind::confirm && bid.state == BidState::confirming)
    set_state(bid, BidState::open, "the raise is no longer valid");
}

void BidLifecycle::apply_update(Bid& bid, const BidUpdate& update, Clock clock) {
  deliveries_.adopt_hosts(bid, update, clock.now);
  charges_.check_charge(bid, update.charged_amount, clock.now);
  bid.charged_amount = std::max(bid.charged_amount, update.charged_amount);
  bid.last_status_at = clock.now;
  if (update.rate > bid.record.price_limit && !bid.is_disputed)
    charges_.dispute(bid, "its price stands above the limit");
  bool withdrawing = bid.state == BidState::withdrawing;
  switch (update.phase) {
    case AuctionPhase::open:
      if (!withdrawing) set_state(bid, BidState::open, "auction in progress");
      return;
    case AuctionPhase::raised:
      if (!withdrawing) decide_raise(bid, update);
      return;
    case AuctionPhase::won:
      return on_won(bid, update);
    case AuctionPhase::lost:
    case AuctionPhase::withdrawn:
      deliveries_.evaluate(bid);
      return finish(bid, update.charged_amount,
                    update.phase == AuctionPhase::lost ? "auction lost" : "withdrawn");
    case AuctionPhase::closed:
      deliveries_.evaluate(bid);
      return finish(bid, update.charged_amount, "closed by the market, all machines returned");
  }
}

void BidLifecycle::on_won(Bid& bid, const BidUpdate& update) {
  if (bid.agreed_rate != update.rate && update.rate > 0) {
    bid.agreed_rate = update.rate;
    if (bid.quoted_rate > 0)
      markets_.find(bid.record.market)
          ->record_price(bid.record.kind(), bid.quoted_rate, to_currency(update.rate));
  }
  if (update.expected_machines == 0 || bid.delivered_machines >= bid.record.count()) {
    deliveries_.evaluate(bid);
    set_state(bid, BidState::running, "deliveries complete");
  } else if (bid.state != BidState::withdrawing) {
    set_state(bid, BidState::won, "accepted");
  }
}

void BidLifecycle::decide_raise(Bid& bid, const BidUpdate& update) const {
  if (bid.state != BidState::confirming && !may_follow(bid.state, BidState::raised)) {
    SPDLOG_DEBUG("raise ignored bid={} state={}", bid.name, name_of(bid.state));
    return;
  }
  bid.raise_round = update.round;
  bid.requested_rate = update.raised_rate;
  // While confirming, a raise within the limit is either a newer one, or the confirmation has not arrived
  // yet. It is confirmed again with its current number.
  if (bid.state == BidState::confirming && update.raised_rate <= bid.record.price_limit) return;
  if (!set_state(bid, BidState::raised, "raised to " + std::to_string(to_currency(update.raised_rate))))
    return;
  if (bid.withdraw_requested || update.raised_rate > bid.record.price_limit || update.raised_rate <= 0) {
    bid.withdraw_requested = true;
    if (bid.quoted_rate > 0 && update.raised_rate > 0)
      markets_.find(bid.record.market)
          ->record_price(bid.record.kind(), bid.quoted_rate, to_currency(update.raised_rate));
    SPDLOG_INFO("raise rejected bid={} limit={:.3f} requested={:.3f}", bid.name,
                to_currency(bid.record.price_limit), to_currency(update.raised_rate));
    return;
  }
  // The worst-case cost at the price limit is already reserved.
  set_state(bid, BidState::confirming, "within the limit");
  bid.next_action_at = 0;
}

void BidLifecycle::finish(Bid& bid, MoneyAmount charged, const std::string& reason) const {
  if (bid.state == BidState::settling || bid.state == BidState::closed) return;
  bid.charged_amount = std::max(bid.charged_amount, charged);
  set_state(bid, BidState::settling, reason);
}

}  // namespace oxbowmill::market
