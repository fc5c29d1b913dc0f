#include "oxbowmill/market/bidding_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace oxbowmill::market {

namespace {
constexpr double plan_interval_s = 0.5;
constexpr double first_quotes_timeout_s = 1.0;  // so long a need waits for quotes before the cloud gets it
constexpr double status_interval_s = 1, running_status_interval_s = 10, charges_interval_s = 10;
constexpr double min_retry_s = 0.5, max_retry_s = 8;  // of a call that got no answer
constexpr double quote_refresh_window_s = 15;         // quotes are refreshed so long after the last need
constexpr double late_probability = 0.8;  // a delivery is doubted once this share of them would have come ...
constexpr double overdue_probability = 0.95;    // ... and overdue once this one would
constexpr double final_charge_timeout_s = 120;  // a market has to say what it charged by then
constexpr std::size_t max_returns_per_call = 100;
constexpr std::size_t max_settled_bids = 5000;
constexpr MoneyAmount rounding_tolerance = 100;  // in sums of charges
constexpr double min_charged_s = 60;             // a machine may cost this much at least

double retry_delay(int silent) {
  return std::min(max_retry_s, min_retry_s * std::exp2(std::min(silent, 8)));
}
}  // namespace

BiddingService::BiddingService(ClusterState& model, Scheduler& scheduler, const Settings& settings)
    : state_(model), scheduler_(scheduler), settings_(settings), ledger_(settings) {
  for (const MarketSettings& m : settings.markets) {
    if (market_clients_.size() <= m.index.value) market_clients_.resize(m.index.value + 1);
    market_clients_[m.index.value] = std::make_unique<MarketClient>(m, settings);
  }
}

MarketClient* BiddingService::find_market_client(MarketIndex market) const {
  return market.valid() && market.value < market_clients_.size() ? market_clients_[market.value].get()
                                                                 : nullptr;
}

// --- Leadership.

bool BiddingService::acquire_leadership(Clock clock) {
  if (!scheduler_.is_leader()) {
    if (leadership_revision_ != 0) release_leadership();
    return false;
  }
  Revision revision = state_.ownership(idle_pool).revision;
  if (leadership_revision_ != revision) {
    // Another leader may have been in between: what this node knew of bids is void, the tables hold them all.
    release_leadership();
    leadership_revision_ = revision;
    for (const auto& [m, entry] : state_.accounting.markets) {
      if (MarketClient* v = find_market_client(m)) v->load_record(entry.record);
    }
    SPDLOG_INFO("markets: leading since revision {}, {} open bids", revision, state_.accounting.bids.size());
  }
  ledger_.load(state_.accounting.ledger.record, clock.wall);
  return true;
}

void BiddingService::release_leadership() {
  std::vector<MachineIndex> unsaid;
  for (auto& [host, r] : returns_) {
    if (r.machine.valid()) unsaid.push_back(r.machine);
  }
  if (!unsaid.empty() && on_returned) on_returned(unsaid, false);
  returns_.clear();
  bids_.clear();
  bid_by_host_.clear();
  settled_costs_.clear();
  bids_with_call_.clear();
  markets_with_call_.clear();
  unanswered_calls_.clear();
  ledger_.clear();
  for (auto& v : market_clients_) {
    if (v) {
      v->overdue_machines.clear();
      v->last_charge_read = 0;
    }
  }
  settling_ = false;
  leadership_revision_ = 0;
}

void BiddingService::adopt_records(Clock clock) {
  for (const auto& [name, entry] : state_.accounting.bids) {
    auto it = bids_.find(name);
    if (it != bids_.end()) {
      it->second.revision = entry.revision;
      continue;
    }
    // An earlier leader's, or one whose transaction was given up and applied late: it may have been sent.
    Bid bid;
    bid.name = name;
    bid.record = entry.record;
    bid.revision = entry.revision;
    bid.state = BidState::unconfirmed;
    bid.adopted = true;
    bid.first_sent_at = clock.now;
    bid.due_at = clock.now + std::max(0.0, bid.record.send_before + bid.record.delivery_s - clock.wall);
    bid.agreed_rate = bid.record.price_limit;
    set_delivery_deadlines(bid);
    ledger_.reserve(name, bid.record);
    bids_.emplace(name, std::move(bid));
  }
}

// --- The fleet's side.

std::uint32_t BiddingService::missing_machines(const Bid& bid) const {
  switch (bid.state) {
    case BidState::running:
    case BidState::settling:
    case BidState::closed:
      return 0;
    default:
      return bid.record.count() - std::min(bid.record.count(), bid.delivered);
  }
}

bool BiddingService::is_overdue(const Bid& bid, Seconds now) const {
  return missing_machines(bid) > 0 && bid.first_sent_at >= 0 && now > bid.abandon_at;
}

bool BiddingService::is_delivery_late(const Bid& bid, Seconds now) const {
  bool given_up = bid.withdraw_requested || bid.state == BidState::withdrawing;
  return missing_machines(bid) > 0 && (given_up || (bid.first_sent_at >= 0 && now > bid.late_after));
}

void BiddingService::set_delivery_deadlines(Bid& bid) const {
  Seconds promised = bid.due_at - bid.first_sent_at;
  Seconds doubted = promised, overdue = promised;
  if (const MarketClient* v = find_market_client(bid.record.market)) {
    Reputation t = v->reputation(bid.record.kind());
    Seconds longest = promised + settings_.delivery_tolerance_s;
    doubted = std::max(promised, std::min(t.delay_quantile(promised, late_probability), longest));
    overdue = std::max(promised, std::min(t.delay_quantile(promised, overdue_probability), longest));
  }
  bid.late_after = bid.first_sent_at + doubted + settings_.answer_timeout_s / 2;
  bid.abandon_at = bid.first_sent_at + overdue + settings_.answer_timeout_s;
}

std::vector<MachineSource::ExpectedMachines> BiddingService::expected(PartitionIndex partition,
                                                                      Seconds now) const {
  std::vector<ExpectedMachines> out;
  for (const auto& [name, bid] : bids_) {
    std::uint32_t n = missing_machines(bid);
    // What is being given up, or should have come, is bought anew: a need must not wait for ever.
    if (n == 0 || is_delivery_late(bid, now)) continue;
    auto it = bid.record.machines.find(partition);
    if (it == bid.record.machines.end()) continue;
    // Deliveries go to the parts in order; this part's share of what is missing.
    std::uint32_t before = 0;
    for (auto p = bid.record.machines.begin(); p != it; ++p) before += p->second;
    std::uint32_t got = bid.usable > before ? std::min(bid.usable - before, it->second) : 0;
    std::uint32_t share = std::min(n, it->second - got);
    if (share > 0)
      out.push_back({bid.record.type, bid.record.zone, bid.record.spot, share,
                     std::max(bid.due_at - now, state_.settings.report_interval_s)});
  }
  return out;
}

void BiddingService::release(const std::vector<MachineIndex>& machines, Seconds now) {
  for (MachineIndex m : machines) {
    const std::string& name = state_.names.machines.name(m);
    returns_.try_emplace(name, PendingReturn{name, m, now, false});
  }
}

double BiddingService::reference_price() const {
  double price = 0;
  for (const MachineType& t : state_.catalog) {
    if (t.price > 0 && (price == 0 || t.price < price)) price = t.price;
  }
  return price;
}

void BiddingService::limit_extra_machines(std::vector<Demand>& demands, Seconds now) const {
  // Machines that are overdue may still come: what is bought again on top of them has a bound.
  std::map<PartitionIndex, std::uint32_t> late, wanted;
  for (const auto& [name, b] : bids_) {
    if (!is_delivery_late(b, now)) continue;
    std::uint32_t left = missing_machines(b);
    for (auto it = b.record.machines.rbegin(); it != b.record.machines.rend() && left > 0; ++it) {
      std::uint32_t n = std::min(left, it->second);
      late[it->first] += n;
      left -= n;
    }
  }
  for (const Demand& d : demands) wanted[d.partition] += d.machines;
  std::map<PartitionIndex, std::uint32_t> extra_by_partition;
  for (const auto& [partition, n] : wanted) {
    std::uint32_t& allowance = extra_by_partition[partition];
    allowance = static_cast<std::uint32_t>(std::ceil(settings_.extra_fraction * n));
    std::uint32_t& out = late[partition];
    std::uint32_t counted = std::min(out, allowance);
    allowance -= counted;
    out -= counted;
  }
  for (Demand& d : demands) {
    std::uint32_t& left = extra_by_partition[d.partition];
    d.extra_machines = std::min(d.extra_machines, left);
    left -= d.extra_machines;
  }
  // Beyond the spare the least urgent wait for the definite answer.
  for (auto d = demands.rbegin(); d != demands.rend(); ++d) {
    std::uint32_t& n = late[d->partition];
    std::uint32_t off = std::min(n, d->machines);
    d->machines -= off;
    n -= off;
  }
}

std::vector<std::uint32_t> BiddingService::plan(const std::vector<UnmetDemand>& needs,
                                                const std::vector<CloudOffer>& cloud, Clock clock,
                                                Effects& out) {
  Purchases buys;
  buys.cloud_tasks.assign(needs.size(), 0);
  if (needs.empty()) {
    unmet_guarantee_ = 0;
    budget_exhausted_ = false;
    return buys.cloud_tasks;
  }
  if (!acquire_leadership(clock)) {
    for (std::size_t i = 0; i < needs.size(); ++i) buys.cloud_tasks[i] = needs[i].tasks;
    return buys.cloud_tasks;
  }
  adopt_records(clock);
  if (clock.now - wanted_at_ > quote_refresh_window_s) wanted_since_ = clock.now;
  wanted_at_ = clock.now;
  for (const UnmetDemand& unmet_demand : needs) {
    for (std::uint32_t type_number = 0; type_number < unmet_demand.tasks_per_machine.size(); ++type_number) {
      if (unmet_demand.tasks_per_machine[type_number] == 0 || type_number >= state_.catalog.size()) continue;
      for (ZoneIndex z : state_.catalog[type_number].zones) {
        if (unmet_demand.zone.valid() && unmet_demand.zone != z) continue;
        for (bool spot : {false, true}) {
          MachineKind k{TypeIndex{type_number}, z, spot};
          if ((unmet_demand.spot || !spot) &&
              std::find(wanted_kinds_.begin(), wanted_kinds_.end(), k) == wanted_kinds_.end())
            wanted_kinds_.push_back(k);
        }
      }
    }
  }
  if (clock.now < next_plan_at_) return buys.cloud_tasks;
  bool quoted = false, might = false;
  for (const auto& v : market_clients_) {
    if (!v) continue;
    quoted = quoted || (v->accepts_bids() && v->has_quotes(clock.now));
    might = might || v->state() == MarketState::untried || v->state() == MarketState::trading;
  }
  if (!quoted && might && clock.now - wanted_since_ < first_quotes_timeout_s) return buys.cloud_tasks;
  next_plan_at_ = clock.now + plan_interval_s;

  cloud_.set_offers(cloud);
  std::vector<Offer> offers;
  cloud_.offers(clock.now, offers);
  for (auto& v : market_clients_) {
    if (v) v->overdue_machines.clear();
  }
  for (const auto& [name, b] : bids_) {
    MarketClient* v = find_market_client(b.record.market);
    if (v != nullptr && !b.evaluated && is_overdue(b, clock.now))
      v->overdue_machines[b.record.kind()] += missing_machines(b);
  }
  for (const auto& v : market_clients_) {
    if (v) v->offers(clock.now, offers);
  }
  std::vector<Demand> demands = group_demands(needs, settings_);
  limit_extra_machines(demands, clock.now);
  double reference = reference_price();
  Plan plan = planner(demands, offers, ledger_, reference, settings_);
  for (const Award& a : plan.awards) {
    const Offer& o = offers[a.offer];
    const OfferSource& v =
        o.market.valid() ? static_cast<const OfferSource&>(*market_clients_[o.market.value]) : cloud_;
    v.buy(a, o, demands[a.demand], needs, reference, buys);
  }
  log_unmet(demands, plan, clock.now);
  for (const Purchases::BidDraft& d : buys.drafts) commit_bid(d, clock, out);
  return buys.cloud_tasks;
}

void BiddingService::log_unmet(const std::vector<Demand>& demands, const Plan& plan, Seconds now) {
  constexpr double say_every_s = 30;
  unmet_guarantee_ = 0;
  budget_exhausted_ = false;
  std::uint32_t all = 0;
  MoneyAmount price = to_money_amount(reference_price());
  for (std::size_t demand_index = 0; demand_index < demands.size(); ++demand_index) {
    all += plan.unmet[demand_index];
    if (demands[demand_index].priority != BidPriority::guaranteed) continue;
    unmet_guarantee_ += plan.unmet[demand_index];
    if (plan.unmet[demand_index] >
        ledger_.affordable_machines(demands[demand_index].partition, price, settings_.max_paid_s))
      budget_exhausted_ = true;
  }
  if (all == 0 || now - unmet_logged_at_ < say_every_s) return;
  unmet_logged_at_ = now;
  Ledger::Usage current_usage = ledger_.usage();
  std::string why = "no offer is worth its price, or none is left";
  if (settings_.total_limit.per_hour > 0 &&
      current_usage.per_hour * 20 >= settings_.total_limit.per_hour * 19)
    why = "the ceiling per hour is reached";
  if (settings_.total_limit.per_window > 0 &&
      current_usage.in_window * 20 >= settings_.total_limit.per_window * 19)
    why = "the ceiling of the window is reached";
  SPDLOG_INFO(
      "markets: {} machines not bid for, {} of them within a guarantee: {}; committed {:.2f} an hour, "
      "{:.2f} in this window",
      all, unmet_guarantee_, why, to_currency(current_usage.per_hour), to_currency(current_usage.in_window));
}

// --- Money: committed before a bid is sent, freed when its end is durable.

void BiddingService::commit_bid(const Purchases::BidDraft& draft, Clock clock, Effects& out) {
  Bid bid;
  bid.record.market = draft.offer.market;
  bid.record.type = draft.offer.type;
  bid.record.zone = draft.offer.zone;
  bid.record.spot = draft.offer.spot;
  bid.record.price_limit = to_money_amount(draft.limit);
  bid.record.max_paid_s = settings_.max_paid_s;
  bid.record.delivery_s = draft.offer.promised_delivery_s;
  bid.record.send_before = clock.wall + (draft.offer.quote_expires_at - clock.now);
  bid.record.machines = draft.machines;
  if (auto why = ledger_.rejection_reason(bid.record)) {
    SPDLOG_INFO("markets: no bid for {} machines on {}: {}", bid.record.count(),
                state_.names.markets.name(bid.record.market), *why);
    return;
  }
  // The name holds the claim's stamp: no other leader can ever use it.
  bid.name = state_.settings.controller_name + "-" + std::to_string(leadership_revision_) + "-b" +
             std::to_string(++bid_name_count_);
  bid.priority = draft.priority;
  bid.quoted_rate = draft.offer.quoted_price;
  bid.quote_id = draft.offer.quote_id;
  bid.quote_expires_at = draft.offer.quote_expires_at;
  bid.due_at = clock.now + draft.offer.promised_delivery_s;
  SPDLOG_INFO("bid {}: {} machines in {}{} on {} at {:.3f}, limit {:.3f}, for {} work; at worst {:.2f}",
              bid.name, bid.record.count(), state_.names.zones.name(bid.record.zone),
              bid.record.spot ? ", spot," : "", state_.names.markets.name(bid.record.market), bid.quoted_rate,
              draft.limit, name_of(draft.priority), to_currency(worst_case(bid.record)));
  ledger_.reserve(bid.name, bid.record, draft.priority == BidPriority::starved);
  Transaction txn;
  txn.guards = {scheduler_.ownership_guard(idle_pool), {BidKey{bid.name}, 0}};
  txn.changes = {{BidKey{bid.name}, bid.record}};
  std::string name = bid.name;
  bids_.emplace(name, std::move(bid));
  scheduler_.queue_transaction(out, Urgency::placement, std::move(txn), {}, {},
                               [this, name, leadership_revision = leadership_revision_] {
                                 auto it = bids_.find(name);
                                 if (leadership_revision != leadership_revision_ || it == bids_.end() ||
                                     it->second.state != BidState::committing)
                                   return;
                                 auto entry = state_.accounting.bids.find(name);
                                 if (entry != state_.accounting.bids.end()) {
                                   it->second.revision = entry->second.revision;
                                   set_state(it->second, BidState::committed, "its worst case is durable");
                                 } else {
                                   // Never durable, so never sent.
                                   set_state(it->second, BidState::closed, "its commitment was refused");
                                   ledger_.release(name);
                                   bids_.erase(it);
                                 }
                               });
}

void BiddingService::finish_bid(Bid& bid, MoneyAmount charged, const std::string& why) {
  if (bid.state == BidState::settling || bid.state == BidState::closed) return;
  bid.charged = std::max(bid.charged, charged);
  set_state(bid, BidState::settling, why);
}

void BiddingService::settle_bids(Clock clock, Effects& out) {
  if (settling_) return;
  Transaction txn;
  txn.guards = {scheduler_.ownership_guard(idle_pool)};
  LedgerRecord ledger = state_.accounting.ledger.record;
  std::vector<std::string> names;
  std::vector<MarketIndex> markets;
  // One change is the ledger's, the others are bids and markets.
  std::size_t room = state_.settings.max_transaction_ops - 1;
  Ledger sum(settings_);
  sum.load(ledger, clock.wall);
  for (auto& [name, bid] : bids_) {
    if (bid.state != BidState::settling || names.size() + 1 >= room) continue;
    ledger = sum.after_settlement(bid.record, bid.charged, clock.wall);
    sum.load(ledger, clock.wall);
    txn.guards.push_back({BidKey{name}, bid.revision});
    txn.changes.push_back({BidKey{name}, {}});
    names.push_back(name);
  }
  for (auto& client : market_clients_) {
    if (!client || !client->has_unsaved_changes || names.size() + markets.size() >= room) continue;
    // Trust alone is written with the next bid's end; a market that is shut out, at once.
    if (names.empty() && client->state() != MarketState::suspended) continue;
    MarketIndex market = client->market_settings().index;
    auto entry = state_.accounting.markets.find(market);
    txn.guards.push_back(
        {MarketKey{market}, entry == state_.accounting.markets.end() ? 0 : entry->second.revision});
    txn.changes.push_back({MarketKey{market}, client->to_record()});
    markets.push_back(market);
    client->has_unsaved_changes = false;
  }
  if (txn.changes.empty()) return;
  if (!names.empty()) {
    txn.guards.push_back({LedgerKey{}, state_.accounting.ledger.revision});
    txn.changes.push_back({LedgerKey{}, ledger});
  }
  settling_ = true;
  scheduler_.queue_transaction(
      out, Urgency::done_mark, std::move(txn), {}, {},
      [this, names, markets, leadership_revision = leadership_revision_] {
        if (leadership_revision != leadership_revision_) return;
        settling_ = false;
        bool applied = names.empty() || state_.accounting.bids.count(names.front()) == 0;
        for (MarketIndex market : markets) {
          // Written again if it was refused; the same twice does no harm.
          auto entry = state_.accounting.markets.find(market);
          bool there = entry != state_.accounting.markets.end() &&
                       entry->second.record.suspended == market_clients_[market.value]->to_record().suspended;
          if (!applied || !there) market_clients_[market.value]->has_unsaved_changes = true;
        }
        if (!applied) return;
        for (const std::string& name : names) {
          auto it = bids_.find(name);
          if (it == bids_.end()) continue;
          set_state(it->second, BidState::closed, "paid " + std::to_string(to_currency(it->second.charged)));
          ledger_.release(name);
          if (settled_costs_.size() < max_settled_bids) settled_costs_[name] = it->second.charged;
          bids_.erase(it);
        }
      });
}

// --- Following a bid.

bool BiddingService::send_bid_call(const Bid& bid, CallKind kind, Clock clock, std::vector<Call>& calls) {
  MarketClient* v = find_market_client(bid.record.market);
  if (v == nullptr || bids_with_call_.count(bid.name) != 0 || !v->try_acquire_request(clock.now))
    return false;
  Call call;
  call.market = bid.record.market;
  call.kind = kind;
  call.bid = bid.name;
  call.quote_id = bid.quote_id;
  call.kinds = {bid.record.kind()};
  call.count = bid.record.count();
  call.limit = bid.record.price_limit;
  call.max_paid_s = bid.record.max_paid_s;
  call.deliver_within_s = bid.record.delivery_s;
  call.round = bid.raise_round;
  call.rate = bid.requested_rate;
  send_call(std::move(call), clock, calls);
  return true;
}

void BiddingService::send_call(Call call, Clock clock, std::vector<Call>& calls) {
  call.id = ++call_count_;
  unanswered_calls_[call.id] = clock.now;
  if (call.bid.empty()) {
    markets_with_call_.insert({call.market.value, call.kind});
  } else {
    bids_with_call_.insert(call.bid);
  }
  calls.push_back(std::move(call));
}

void BiddingService::advance_bid(Bid& bid, Clock clock, std::vector<Call>& calls) {
  MarketClient* client = find_market_client(bid.record.market);
  if (client == nullptr) return;  // taken out of the settings: its money stays committed until it is put back
  Seconds now = clock.now;
  bool late = is_overdue(bid, now);
  if (late && !bid.withdraw_requested) {
    SPDLOG_INFO("bid {}: overdue, {} of {} machines have not come", bid.name, missing_machines(bid),
                bid.record.count());
    bid.withdraw_requested = bid.late = true;
  }
  // What is not won yet gives way to a guarantee that lacks the money, and to a market's being shut out.
  bool yields = budget_exhausted_ && bid.priority != BidPriority::guaranteed;
  if (yields || client->state() == MarketState::suspended) {
    switch (bid.state) {
      case BidState::committed:
      case BidState::submitted:
      case BidState::open:
      case BidState::raised:
        bid.withdraw_requested = true;
        break;
      default:
        break;
    }
  }
  Seconds last = bid.first_sent_at + bid.record.delivery_s + settings_.delivery_tolerance_s +
                 bid.record.max_paid_s + final_charge_timeout_s;
  if (bid.first_sent_at >= 0 && now > last && bid.state != BidState::settling) {
    if (bid.state == BidState::committed || bid.state == BidState::committing) return;
    evaluate_delivery(bid);
    return finish_bid(bid, worst_case(bid.record),
                      "its term is over and no definite answer came: booked at its worst");
  }
  switch (bid.state) {
    case BidState::committed: {
      bool useless = bid.withdraw_requested || now >= bid.quote_expires_at ||
                     clock.wall > bid.record.send_before || client->state() == MarketState::suspended ||
                     client->state() == MarketState::unresponsive;
      if (useless) return finish_bid(bid, 0, "never sent: its quote or its market is of no use any more");
      if (send_bid_call(bid, CallKind::bid, clock, calls)) {
        bid.first_sent_at = now;
        bid.due_at = now + bid.record.delivery_s;
        set_delivery_deadlines(bid);
        set_state(bid, BidState::submitted, "sent");
      }
      return;
    }
    case BidState::raised:
      if (bid.withdraw_requested) {
        set_state(bid, BidState::withdrawing, "given up instead of confirming the raise");
        bid.next_action_at = 0;
      }
      return;
    case BidState::submitted:
    case BidState::unconfirmed:
    case BidState::open:
    case BidState::won:
    case BidState::confirming:
      if (bid.withdraw_requested && bid.state != BidState::unconfirmed) {
        set_state(bid, BidState::withdrawing, late ? "overdue" : "given up");
        bid.next_action_at = 0;
      }
      break;
    default:
      break;
  }
  if (now < bid.next_action_at) return;
  switch (bid.state) {
    case BidState::submitted:
      send_bid_call(bid, CallKind::bid, clock, calls);
      break;
    case BidState::confirming:
      send_bid_call(bid, CallKind::confirm, clock, calls);
      break;
    case BidState::withdrawing:
      send_bid_call(bid, CallKind::withdraw, clock, calls);
      break;
    case BidState::unconfirmed:
    case BidState::open:
    case BidState::won:
    case BidState::running:
      send_bid_call(bid, CallKind::status, clock, calls);
      break;
    default:
      break;
  }
}

void BiddingService::on_answer(const Call& call, const Answer& answer, Clock clock) {
  // Answers to calls of an earlier term say nothing that the next question does not say.
  auto sent = unanswered_calls_.find(call.id);
  if (sent == unanswered_calls_.end()) return;
  Seconds sent_at = sent->second;
  unanswered_calls_.erase(sent);
  MarketClient* client = find_market_client(call.market);
  if (client == nullptr) return;
  client->on_answer(answer, clock.now);
  if (call.bid.empty()) {
    markets_with_call_.erase({call.market.value, call.kind});
  } else {
    bids_with_call_.erase(call.bid);
  }
  switch (call.kind) {
    case CallKind::quotes:
      if (answer.kind == AnswerKind::ok) client->on_quotes(answer, sent_at, state_.names);
      return;
    case CallKind::charges:
      if (answer.kind == AnswerKind::ok) read_charges(*client, answer, clock.now);
      return;
    case CallKind::release: {
      std::vector<MachineIndex> back;
      for (const std::string& host : call.hosts) {
        auto return_it = returns_.find(host);
        if (return_it == returns_.end()) continue;
        return_it->second.in_flight = false;
        return_it->second.next_at = clock.now + max_retry_s;
        if (answer.kind != AnswerKind::ok ||
            std::find(answer.returned_hosts.begin(), answer.returned_hosts.end(), host) ==
                answer.returned_hosts.end())
          continue;
        if (return_it->second.machine.valid()) back.push_back(return_it->second.machine);
        // With the last of them the bid may be over, and its money free.
        auto of = bid_by_host_.find(host);
        auto bid = of == bid_by_host_.end() ? bids_.end() : bids_.find(of->second);
        if (bid != bids_.end() && bid->second.state == BidState::running)
          bid->second.next_action_at = clock.now;
        returns_.erase(return_it);
      }
      if (!back.empty() && on_returned) on_returned(back, true);
      return;
    }
    default:
      break;
  }
  auto it = bids_.find(call.bid);
  if (it == bids_.end()) return;
  Bid& bid = it->second;
  if (bid.state == BidState::settling) return;
  switch (answer.kind) {
    case AnswerKind::no_answer:
    case AnswerKind::malformed:
      bid.next_action_at = clock.now + retry_delay(bid.unanswered_calls++);
      return;
    case AnswerKind::throttled:
      bid.next_action_at = clock.now + std::max(answer.retry_after_s, min_retry_s);
      return;
    case AnswerKind::not_found:
      bid.unanswered_calls = 0;
      // It never got the bid, or has not got it yet: the withdrawal uses the name up either way.
      if (bid.state == BidState::withdrawing) {
        bid.next_action_at = clock.now + min_retry_s;
      } else {
        bid.withdraw_requested = true;
        set_state(bid, BidState::withdrawing, "the market does not know it; its name is used up");
        bid.next_action_at = 0;
      }
      return;
    case AnswerKind::rejected:
      bid.unanswered_calls = 0;
      if (call.kind == CallKind::bid && bid.state == BidState::submitted) {
        // Definite for this request; an earlier copy that got no answer may still be on its way.
        bid.withdraw_requested = true;
        set_state(bid, BidState::withdrawing, "refused by the market");
      }
      bid.next_action_at = call.kind == CallKind::confirm ? clock.now : clock.now + min_retry_s;
      if (call.kind == CallKind::confirm && bid.state == BidState::confirming)
        set_state(bid, BidState::open, "the raise is no longer up");
      return;
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

void BiddingService::check_charge(Bid& bid, MoneyAmount charged, Seconds now) {
  if (bid.disputed) return;
  MoneyAmount most = worst_case(bid.record);
  if (bid.charged_since >= 0) {
    // Long before the worst case is passed, the time that its machines have been there says that it will be.
    double longest = now - bid.charged_since + min_charged_s;
    most = std::min(most, worst_case(bid.record.price_limit, longest, bid.record.count()));
  }
  if (charged > most + rounding_tolerance) {
    dispute(bid, "charges " + std::to_string(to_currency(charged)) + " where " +
                     std::to_string(to_currency(most)) + " is the most");
  }
}

void BiddingService::apply_update(Bid& bid, const BidUpdate& update, Clock clock) {
  MarketClient& client = *find_market_client(bid.record.market);
  adopt_hosts(bid, update, clock);
  check_charge(bid, update.charged, clock.now);
  bid.charged = std::max(bid.charged, update.charged);
  bid.last_status_at = clock.now;
  if (update.rate > bid.record.price_limit && !bid.disputed) dispute(bid, "its price stands above the limit");
  bool giving_up = bid.state == BidState::withdrawing;
  switch (update.phase) {
    case AuctionPhase::open:
      if (!giving_up) set_state(bid, BidState::open, "the auction goes on");
      return;
    case AuctionPhase::raised:
      if (!giving_up) decide_raise(bid, update);
      return;
    case AuctionPhase::won:
      if (bid.agreed_rate != update.rate && update.rate > 0) {
        bid.agreed_rate = update.rate;
        if (bid.quoted_rate > 0)
          client.record_price(bid.record.kind(), bid.quoted_rate, to_currency(update.rate));
      }
      if (update.expected_machines == 0 || bid.delivered >= bid.record.count()) {
        evaluate_delivery(bid);
        set_state(bid, BidState::running, "all that will come is there");
      } else if (!giving_up) {
        set_state(bid, BidState::won, "accepted");
      }
      return;
    case AuctionPhase::lost:
    case AuctionPhase::withdrawn:
      evaluate_delivery(bid);
      return finish_bid(bid, update.charged, update.phase == AuctionPhase::lost ? "lost" : "withdrawn");
    case AuctionPhase::closed:
      evaluate_delivery(bid);
      return finish_bid(bid, update.charged, "over, all machines are back");
  }
}

void BiddingService::decide_raise(Bid& bid, const BidUpdate& update) {
  if (bid.state != BidState::confirming && !may_follow(bid.state, BidState::raised)) {
    SPDLOG_DEBUG("bid {}: a raise when it is {} is not heard", bid.name, name_of(bid.state));
    return;
  }
  bid.raise_round = update.round;
  bid.requested_rate = update.raised_rate;
  std::string to = "raised to " + std::to_string(to_currency(update.raised_rate));
  if (bid.state == BidState::confirming) {
    // A higher raise, or the confirmation is still on its way: confirmed again with its present number.
    if (update.raised_rate <= bid.record.price_limit) return;
    set_state(bid, BidState::raised, to);
  } else if (!set_state(bid, BidState::raised, to)) {
    return;
  }
  if (bid.withdraw_requested || update.raised_rate > bid.record.price_limit || update.raised_rate <= 0) {
    bid.withdraw_requested = true;
    if (bid.quoted_rate > 0 && update.raised_rate > 0)
      find_market_client(bid.record.market)
          ->record_price(bid.record.kind(), bid.quoted_rate, to_currency(update.raised_rate));
    SPDLOG_INFO("bid {}: not confirmed: limit {:.3f}, asked {:.3f}", bid.name,
                to_currency(bid.record.price_limit), to_currency(update.raised_rate));
    return;
  }
  // Within the limit, whose worst case is committed already.
  set_state(bid, BidState::confirming, "within the limit");
  bid.next_action_at = 0;
}

void BiddingService::adopt_hosts(Bid& bid, const BidUpdate& update, Clock clock) {
  MarketClient& client = *find_market_client(bid.record.market);
  MachineKind kind = bid.record.kind();
  std::string prefix = client.market_settings().name + ".";
  for (const HostUpdate& host : update.hosts) {
    if (bid.hosts.count(host.name) != 0) continue;
    MachineIndex known = state_.find_recorded(host.name);
    bool recorded = known.valid();
    const std::string* other = nullptr;
    auto owner = bid_by_host_.find(host.name);
    if (owner != bid_by_host_.end() && owner->second != bid.name) other = &owner->second;
    if (recorded && !state_.machine(known).record.bid.empty() && state_.machine(known).record.bid != bid.name)
      other = &state_.machine(known).record.bid;
    bid.hosts.insert(host.name);
    if (host.name.compare(0, prefix.size(), prefix) != 0) {
      dispute(bid, "delivers " + host.name + ", which is not one of its names");
      continue;
    }
    if (other != nullptr) {
      dispute(bid, "delivers " + host.name + " twice, for " + *other + " too");
      continue;
    }
    bid_by_host_[host.name] = bid.name;
    bool extra = bid.delivered >= bid.record.count();
    bool right = host.kind == kind;
    if (!extra) ++bid.delivered;
    // Not before it was last said to have none.
    if (bid.charged_since < 0 && !bid.adopted)
      bid.charged_since = std::max(bid.last_status_at, bid.first_sent_at);
    if (!extra && !bid.adopted)
      client.record_delivery(kind, bid.record.delivery_s, clock.now - bid.first_sent_at);
    if (extra || !right) {
      SPDLOG_INFO("bid {}: {} goes back, {}", bid.name, host.name,
                  extra ? "more came than was bid for" : "it is not what was bid for");
      returns_.try_emplace(host.name, PendingReturn{host.name, known, clock.now, false});
      continue;
    }
    // The parts get theirs in order.
    std::uint32_t nth = bid.usable++;
    PartitionIndex partition = idle_pool;
    for (const auto& [p, machine_count] : bid.record.machines) {
      if (nth < machine_count) {
        partition = p;
        break;
      }
      nth -= machine_count;
    }
    if (recorded || !on_delivered) continue;
    MachineRecord rec{partition, kind.type, kind.zone,         kind.spot, MachineMark::none,
                      {},        false,     bid.record.market, bid.name};
    on_delivered(host, rec);
  }
}

void BiddingService::evaluate_delivery(Bid& bid) {
  if (bid.evaluated) return;
  bid.evaluated = true;
  MarketClient* client = find_market_client(bid.record.market);
  // An auction that was lost broke no promise; one that was won, or hung beyond its time, did.
  bool promised = bid.state == BidState::won || bid.delivered > 0 || bid.late;
  if (client == nullptr || !promised || bid.first_sent_at < 0) return;
  double broken = bid.record.count() - std::min(bid.record.count(), bid.usable);
  client->record_machines(bid.record.kind(), bid.usable, broken);
}

void BiddingService::dispute(Bid& bid, const std::string& why) {
  SPDLOG_ERROR("bid {}: disputed: {}", bid.name, why);
  bid.disputed = true;
  find_market_client(bid.record.market)->suspend("bid " + bid.name + ": " + why);
  std::vector<MachineIndex> machines;
  for (const std::string& h : bid.hosts) {
    MachineIndex machine_index = state_.find_recorded(h);
    if (!machine_index.valid()) continue;
    // One that reported before the market spoke of it has a record without a bid.
    const MachineRecord& rec = state_.machine(machine_index).record;
    if (rec.market == bid.record.market && (rec.bid.empty() || rec.bid == bid.name))
      machines.push_back(machine_index);
  }
  if (!machines.empty() && on_overpriced) on_overpriced(machines);
}

void BiddingService::read_charges(MarketClient& client, const Answer& answer, Seconds now) {
  for (const ChargeUpdate& charge : answer.charges) {
    client.last_charge_read = std::max(client.last_charge_read, charge.number);
    auto open = bids_.find(charge.bid);
    if (open != bids_.end()) {
      Bid& b = open->second;
      if (b.record.market != client.market_settings().index) continue;
      check_charge(b, charge.amount, now);
      if (b.state != BidState::settling) b.charged = std::max(b.charged, charge.amount);
      continue;
    }
    auto done = settled_costs_.find(charge.bid);
    bool ours =
        charge.bid.rfind(state_.settings.controller_name + "-" + std::to_string(leadership_revision_) + "-b",
                         0) == 0;
    if (done != settled_costs_.end() ? charge.amount > done->second + rounding_tolerance
                                     : ours && charge.amount > rounding_tolerance)
      client.suspend("charges " + std::to_string(to_currency(charge.amount)) + " for bid " + charge.bid +
                     (done != settled_costs_.end() ? ", which was over" : ", which it never got"));
  }
}

// --- Markets and returns.

void BiddingService::maintain_markets(Clock clock, std::vector<Call>& calls) {
  bool needed = clock.now - wanted_at_ < quote_refresh_window_s;
  if (!needed) wanted_kinds_.clear();
  for (auto& client : market_clients_) {
    if (!client) continue;
    MarketIndex market = client->market_settings().index;
    auto free = [&](CallKind k) { return markets_with_call_.count({market.value, k}) == 0; };
    if (!wanted_kinds_.empty() && free(CallKind::quotes) && client->quotes_wanted(clock.now, needed) &&
        client->try_acquire_request(clock.now)) {
      if (client->state() == MarketState::unresponsive || client->state() == MarketState::throttled)
        client->set_state(MarketState::probing, "asked whether it is back");
      client->on_quotes_requested(clock.now);
      Call call;
      call.market = market;
      call.kind = CallKind::quotes;
      call.kinds = wanted_kinds_;
      send_call(std::move(call), clock, calls);
    }
    bool dealing = std::any_of(bids_.begin(), bids_.end(),
                               [market](const auto& x) { return x.second.record.market == market; });
    if ((dealing || !settled_costs_.empty()) && clock.now >= client->next_charges_at &&
        free(CallKind::charges) && client->state() != MarketState::unresponsive &&
        client->try_acquire_request(clock.now)) {
      client->next_charges_at = clock.now + charges_interval_s;
      Call call;
      call.market = market;
      call.kind = CallKind::charges;
      call.from = client->last_charge_read;
      send_call(std::move(call), clock, calls);
    }
  }
}

void BiddingService::send_returns(Clock clock, std::vector<Call>& calls) {
  std::map<std::uint32_t, std::vector<std::string>> due;
  for (auto& [host, pending_return] : returns_) {
    if (pending_return.in_flight || clock.now < pending_return.next_at) continue;
    // By its record, or by its name: a machine that went back before it had one.
    MarketIndex m;
    if (pending_return.machine.valid()) m = state_.machine(pending_return.machine).record.market;
    if (!m.valid()) m = state_.names.markets.find(host.substr(0, host.find('.')));
    if (find_market_client(m) != nullptr && due[m.value].size() < max_returns_per_call)
      due[m.value].push_back(host);
  }
  for (auto& [m, hosts] : due) {
    MarketClient* v = market_clients_[m].get();
    if (hosts.empty() || markets_with_call_.count({m, CallKind::release}) != 0 ||
        !v->try_acquire_request(clock.now))
      continue;
    Call call;
    call.market = v->market_settings().index;
    call.kind = CallKind::release;
    for (const std::string& h : hosts) returns_.at(h).in_flight = true;
    call.hosts = std::move(hosts);
    send_call(std::move(call), clock, calls);
  }
}

void BiddingService::run_cycle(Clock clock, Effects& out, std::vector<Call>& calls) {
  if (!acquire_leadership(clock)) return;
  adopt_records(clock);
  for (auto& [name, b] : bids_) advance_bid(b, clock, calls);
  maintain_markets(clock, calls);
  send_returns(clock, calls);
  settle_bids(clock, out);
}

void connect(BiddingService& bidding_service, Autoscaler& fleet) {
  bidding_service.on_delivered = [&fleet](const HostUpdate& host, const MachineRecord& record) {
    fleet.adopt(host.name, host.address, record);
  };
  bidding_service.on_returned = [&fleet](const std::vector<MachineIndex>& m, bool said) {
    fleet.on_deleted(m, said);
  };
  bidding_service.on_overpriced = [&fleet](const std::vector<MachineIndex>& m) { fleet.drain(m); };
  fleet.set_source(&bidding_service);
}

}  // namespace oxbowmill::market
