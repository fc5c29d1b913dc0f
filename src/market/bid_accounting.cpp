#include "oxbowmill/market/bid_accounting.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "oxbowmill/market/delivery_deadlines.h"

namespace oxbowmill::market {

void BidAccounting::end_leadership() {
  ledger_.clear();
  settlement_pending_ = false;
  leadership_revision_ = 0;
}

void BidAccounting::adopt_records(Clock clock) {
  for (const auto& [name, entry] : state_.accounting.bids) {
    if (Bid* known = bids_.find(name)) {
      known->revision = entry.revision;
      continue;
    }
    Bid bid;
    bid.name = name;
    bid.record = entry.record;
    bid.revision = entry.revision;
    bid.state = BidState::unconfirmed;
    bid.loaded_from_records = true;
    bid.first_sent_at = clock.now;
    bid.due_at = clock.now + std::max(0.0, bid.record.send_before + bid.record.delivery_s - clock.wall);
    bid.agreed_rate = bid.record.price_limit;
    set_delivery_deadlines(bid, markets_.find(bid.record.market), settings_);
    ledger_.reserve(name, bid.record);
    bids_.add(std::move(bid));
  }
}

BidRecord BidAccounting::make_record(const Purchases::BidDraft& draft, Clock clock) const {
  BidRecord record;
  record.market = draft.offer.market;
  record.type = draft.offer.type;
  record.zone = draft.offer.zone;
  record.spot = draft.offer.spot;
  record.price_limit = to_money_amount(draft.limit);
  record.max_paid_s = settings_.max_paid_s;
  record.delivery_s = draft.offer.promised_delivery_s;
  record.send_before = clock.wall + (draft.offer.quote_expires_at - clock.now);
  record.machines = draft.machines;
  return record;
}

void BidAccounting::commit(const Purchases::BidDraft& draft, Clock clock, Effects& out) {
  Bid bid;
  bid.record = make_record(draft, clock);
  if (auto reason = ledger_.rejection_reason(bid.record)) {
    SPDLOG_INFO("bid rejected by spending limits market={} machines={} reason=\"{}\"",
                state_.names.markets.name(bid.record.market), bid.record.count(), *reason);
    return;
  }
  bid.name = bid_name_prefix(state_.settings.controller_name, leadership_revision_) +
             std::to_string(++last_bid_number_);
  bid.priority = draft.priority;
  bid.quoted_rate = draft.offer.quoted_price;
  bid.quote_id = draft.offer.quote_id;
  bid.quote_expires_at = draft.offer.quote_expires_at;
  bid.due_at = clock.now + draft.offer.promised_delivery_s;
  log_created(bid, draft.limit);
  ledger_.reserve(bid.name, bid.record, draft.priority == BidPriority::starved);
  std::string name = bid.name;
  bids_.add(std::move(bid));
  queue_commit(*bids_.find(name), out);
}

void BidAccounting::log_created(const Bid& bid, double limit) const {
  SPDLOG_INFO(
      "bid created bid={} market={} machines={} zone={} spot={} quoted={:.3f} limit={:.3f} priority={} "
      "worst_case={:.2f}",
      bid.name, state_.names.markets.name(bid.record.market), bid.record.count(),
      state_.names.zones.name(bid.record.zone), bid.record.spot, bid.quoted_rate, limit,
      name_of(bid.priority), to_currency(worst_case_cost(bid.record)));
}

void BidAccounting::queue_commit(const Bid& bid, Effects& out) {
  Transaction transaction;
  transaction.guards = {scheduler_.ownership_guard(idle_pool), {BidKey{bid.name}, 0}};
  transaction.changes = {{BidKey{bid.name}, bid.record}};
  scheduler_.queue_transaction(out, Urgency::placement, std::move(transaction), {}, {},
                               [this, name = bid.name, leadership_revision = leadership_revision_] {
                                 if (leadership_revision == leadership_revision_) on_commit_outcome(name);
                               });
}

void BidAccounting::on_commit_outcome(const std::string& bid_name) {
  Bid* bid = bids_.find(bid_name);
  if (bid == nullptr || bid->state != BidState::committing) return;
  auto entry = state_.accounting.bids.find(bid_name);
  if (entry != state_.accounting.bids.end()) {
    bid->revision = entry->second.revision;
    set_state(*bid, BidState::committed, "record is durable");
    return;
  }
  // The record never became durable, so the bid was never sent.
  set_state(*bid, BidState::closed, "writing its record was refused");
  ledger_.release(bid_name);
  bids_.remove(bid_name);
}

void BidAccounting::settle(Clock clock, Effects& out) {
  if (settlement_pending_) return;
  Settlement settlement;
  settlement.transaction.guards = {scheduler_.ownership_guard(idle_pool)};
  add_finished_bids(settlement, clock.wall);
  add_changed_markets(settlement);
  Transaction& transaction = settlement.transaction;
  if (transaction.changes.empty()) return;
  if (!settlement.bid_names.empty()) {
    transaction.guards.push_back({LedgerKey{}, state_.accounting.ledger.revision});
    transaction.changes.push_back({LedgerKey{}, settlement.ledger});
  }
  settlement_pending_ = true;
  scheduler_.queue_transaction(out, Urgency::done_mark, std::move(transaction), {}, {},
                               [this, bid_names = settlement.bid_names, markets = settlement.markets,
                                leadership_revision = leadership_revision_] {
                                 if (leadership_revision == leadership_revision_)
                                   on_settlement_outcome(bid_names, markets);
                               });
}

void BidAccounting::add_finished_bids(Settlement& settlement, double wall) {
  // One change of the transaction is left for the ledger record.
  const std::size_t capacity = state_.settings.max_transaction_ops - 1;
  settlement.ledger = state_.accounting.ledger.record;
  Ledger running_total(settings_);
  running_total.load(settlement.ledger, wall);
  for (const auto& [name, bid] : bids_.bids()) {
    if (bid.state != BidState::settling || settlement.bid_names.size() + 1 >= capacity) continue;
    settlement.ledger = running_total.after_settlement(bid.record, bid.charged_amount, wall);
    running_total.load(settlement.ledger, wall);
    settlement.transaction.guards.push_back({BidKey{name}, bid.revision});
    settlement.transaction.changes.push_back({BidKey{name}, {}});
    settlement.bid_names.push_back(name);
  }
}

void BidAccounting::add_changed_markets(Settlement& settlement) const {
  const std::size_t capacity = state_.settings.max_transaction_ops - 1;
  for (MarketClient* client : markets_.clients()) {
    if (!client->has_unsaved_changes() || settlement.bid_names.size() + settlement.markets.size() >= capacity)
      continue;
    // A suspension is written at once; a changed reputation is written together with the next ended bid.
    if (settlement.bid_names.empty() && client->state() != MarketState::suspended) continue;
    MarketIndex market = client->market_settings().index;
    auto entry = state_.accounting.markets.find(market);
    settlement.transaction.guards.push_back(
        {MarketKey{market}, entry == state_.accounting.markets.end() ? 0 : entry->second.revision});
    settlement.transaction.changes.push_back({MarketKey{market}, client->to_record()});
    settlement.markets.push_back(market);
    client->set_unsaved_changes(false);
  }
}

void BidAccounting::on_settlement_outcome(const std::vector<std::string>& bid_names,
                                          const std::vector<MarketIndex>& markets) {
  settlement_pending_ = false;
  bool applied = bid_names.empty() || state_.accounting.bids.count(bid_names.front()) == 0;
  for (MarketIndex market : markets) {
    // The record is written again if the transaction was refused; writing it twice is harmless.
    MarketClient& client = markets_.at(market);
    auto entry = state_.accounting.markets.find(market);
    bool stored = entry != state_.accounting.markets.end() &&
                  entry->second.record.suspended == client.to_record().suspended;
    if (!applied || !stored) client.set_unsaved_changes(true);
  }
  if (!applied) return;
  for (const std::string& name : bid_names) {
    Bid* bid = bids_.find(name);
    if (bid == nullptr) continue;
    set_state(*bid, BidState::closed, "paid " + std::to_string(to_currency(bid->charged_amount)));
    ledger_.release(name);
    charges_.on_settled(*bid);
    bids_.remove(name);
  }
}

}  // namespace oxbowmill::market
