#include "oxbowmill/market/desk.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace oxbowmill::market {

namespace {
constexpr double plan_interval_s = 0.5;
constexpr double first_quotes_s = 1.0;  // so long a need waits for quotes before the cloud gets it
constexpr double status_every_s = 1, running_every_s = 10, charges_every_s = 10;
constexpr double repeat_first_s = 0.5, repeat_most_s = 8;  // of a call that got no answer
constexpr double needed_for_s = 15;                        // quotes are refreshed so long after the last need
constexpr double doubted_chance = 0.8;  // a delivery is doubted once this share of them would have come ...
constexpr double late_chance = 0.95;    // ... and overdue once this one would
constexpr double after_term_s = 120;    // a market has to say what it charged by then
constexpr std::size_t most_returns = 100;
constexpr std::size_t most_settled = 5000;
constexpr Money rounding = 100;         // in sums of charges
constexpr double least_charged_s = 60;  // a machine may cost this much at least

double backed_off(int silent) {
  return std::min(repeat_most_s, repeat_first_s * std::exp2(std::min(silent, 8)));
}
}  // namespace

Desk::Desk(Model& model, Scheduler& scheduler, const Settings& settings)
    : model_(model), scheduler_(scheduler), settings_(settings), ledger_(settings) {
  for (const MarketSettings& m : settings.markets) {
    if (venues_.size() <= m.index.v) venues_.resize(m.index.v + 1);
    venues_[m.index.v] = std::make_unique<MarketVenue>(m, settings);
  }
}

MarketVenue* Desk::known_venue(MarketIndex m) const {
  return m.valid() && m.v < venues_.size() ? venues_[m.v].get() : nullptr;
}

// --- Leadership.

bool Desk::take_lead(Clock clock) {
  if (!scheduler_.leads()) {
    if (term_ != 0) let_go();
    return false;
  }
  Stamp stamp = model_.claim(pool_part).stamp;
  if (term_ != stamp) {
    // Another leader may have been in between: what this node knew of bids is void, the tables hold them all.
    let_go();
    term_ = stamp;
    for (const auto& [m, entry] : model_.money.markets) {
      if (MarketVenue* v = known_venue(m)) v->read_durable(entry.rec);
    }
    SPDLOG_INFO("markets: leading since revision {}, {} open bids", stamp, model_.money.bids.size());
  }
  ledger_.load(model_.money.ledger.rec, clock.wall);
  return true;
}

void Desk::let_go() {
  std::vector<MachineIndex> unsaid;
  for (auto& [host, r] : returns_) {
    if (r.machine.valid()) unsaid.push_back(r.machine);
  }
  if (!unsaid.empty() && on_returned) on_returned(unsaid, false);
  returns_.clear();
  bids_.clear();
  host_bid_.clear();
  settled_.clear();
  bid_calls_.clear();
  market_calls_.clear();
  out_.clear();
  ledger_.clear();
  for (auto& v : venues_) {
    if (v) {
      v->overdue.clear();
      v->charges_read = 0;
    }
  }
  settling_ = false;
  term_ = 0;
}

void Desk::adopt_records(Clock clock) {
  for (const auto& [name, entry] : model_.money.bids) {
    auto it = bids_.find(name);
    if (it != bids_.end()) {
      it->second.stamp = entry.stamp;
      continue;
    }
    // An earlier leader's, or one whose transaction was given up and applied late: it may have been sent.
    Bid b;
    b.name = name;
    b.rec = entry.rec;
    b.stamp = entry.stamp;
    b.state = BidState::in_doubt;
    b.adopted = true;
    b.bid_at = clock.now;
    b.due_at = clock.now + std::max(0.0, b.rec.sent_by + b.rec.deliver_s - clock.wall);
    b.rate = b.rec.limit;
    set_patience(b);
    ledger_.hold(name, b.rec);
    bids_.emplace(name, std::move(b));
  }
}

// --- The fleet's side.

std::uint32_t Desk::missing(const Bid& b) const {
  switch (b.state) {
    case BidState::running:
    case BidState::settling:
    case BidState::closed:
      return 0;
    default:
      return b.rec.count() - std::min(b.rec.count(), b.came);
  }
}

bool Desk::overdue(const Bid& b, Seconds now) const {
  return missing(b) > 0 && b.bid_at >= 0 && now > b.overdue_at;
}

bool Desk::doubted(const Bid& b, Seconds now) const {
  bool given_up = b.want_withdraw || b.state == BidState::withdrawing;
  return missing(b) > 0 && (given_up || (b.bid_at >= 0 && now > b.doubted_at));
}

void Desk::set_patience(Bid& b) const {
  Seconds promised = b.due_at - b.bid_at;
  Seconds doubted = promised, overdue = promised;
  if (const MarketVenue* v = known_venue(b.rec.market)) {
    Trust t = v->trust(b.rec.kind());
    Seconds longest = promised + settings_.patience_s;
    doubted = std::max(promised, std::min(t.delay_at(promised, doubted_chance), longest));
    overdue = std::max(promised, std::min(t.delay_at(promised, late_chance), longest));
  }
  b.doubted_at = b.bid_at + doubted + settings_.answer_s / 2;
  b.overdue_at = b.bid_at + overdue + settings_.answer_s;
}

std::vector<MachineSource::Expected> Desk::expected(PartIndex part, Seconds now) const {
  std::vector<Expected> out;
  for (const auto& [name, b] : bids_) {
    std::uint32_t n = missing(b);
    // What is being given up, or should have come, is bought anew: a need must not wait for ever.
    if (n == 0 || doubted(b, now)) continue;
    auto it = b.rec.machines.find(part);
    if (it == b.rec.machines.end()) continue;
    // Deliveries go to the parts in order; this part's share of what is missing.
    std::uint32_t before = 0;
    for (auto p = b.rec.machines.begin(); p != it; ++p) before += p->second;
    std::uint32_t got = b.usable > before ? std::min(b.usable - before, it->second) : 0;
    std::uint32_t share = std::min(n, it->second - got);
    if (share > 0)
      out.push_back(
          {b.rec.type, b.rec.zone, b.rec.spot, share, std::max(b.due_at - now, model_.settings.report_s)});
  }
  return out;
}

void Desk::give_back(const std::vector<MachineIndex>& machines, Seconds now) {
  for (MachineIndex m : machines) {
    const std::string& name = model_.names.machines.name(m);
    returns_.try_emplace(name, Return{name, m, now, false});
  }
}

double Desk::reference_price() const {
  double price = 0;
  for (const MachineType& t : model_.catalog) {
    if (t.price > 0 && (price == 0 || t.price < price)) price = t.price;
  }
  return price;
}

void Desk::hold_back_spare(std::vector<Demand>& demands, Seconds now) const {
  // Machines that are overdue may still come: what is bought again on top of them has a bound.
  std::map<PartIndex, std::uint32_t> late, wanted;
  for (const auto& [name, b] : bids_) {
    if (!doubted(b, now)) continue;
    std::uint32_t left = missing(b);
    for (auto it = b.rec.machines.rbegin(); it != b.rec.machines.rend() && left > 0; ++it) {
      std::uint32_t n = std::min(left, it->second);
      late[it->first] += n;
      left -= n;
    }
  }
  for (const Demand& d : demands) wanted[d.part] += d.machines;
  std::map<PartIndex, std::uint32_t> spare;
  for (const auto& [part, n] : wanted) {
    std::uint32_t& may = spare[part];
    may = static_cast<std::uint32_t>(std::ceil(settings_.spare_share * n));
    std::uint32_t& out = late[part];
    std::uint32_t counted = std::min(out, may);
    may -= counted;
    out -= counted;
  }
  for (Demand& d : demands) {
    std::uint32_t& left = spare[d.part];
    d.spare = std::min(d.spare, left);
    left -= d.spare;
  }
  // Beyond the spare the least urgent wait for the definite answer.
  for (auto d = demands.rbegin(); d != demands.rend(); ++d) {
    std::uint32_t& n = late[d->part];
    std::uint32_t off = std::min(n, d->machines);
    d->machines -= off;
    n -= off;
  }
}

std::vector<std::uint32_t> Desk::plan(const std::vector<Need>& needs, const std::vector<CloudOffer>& cloud,
                                      Clock clock, Effects& out) {
  Purchases buys;
  buys.cloud_tasks.assign(needs.size(), 0);
  if (needs.empty()) {
    unmet_guarantee_ = 0;
    short_of_money_ = false;
    return buys.cloud_tasks;
  }
  if (!take_lead(clock)) {
    for (std::size_t i = 0; i < needs.size(); ++i) buys.cloud_tasks[i] = needs[i].tasks;
    return buys.cloud_tasks;
  }
  adopt_records(clock);
  if (clock.now - wanted_at_ > needed_for_s) wanted_since_ = clock.now;
  wanted_at_ = clock.now;
  for (const Need& n : needs) {
    for (std::uint32_t t = 0; t < n.per_machine.size(); ++t) {
      if (n.per_machine[t] == 0 || t >= model_.catalog.size()) continue;
      for (ZoneIndex z : model_.catalog[t].zones) {
        if (n.zone.valid() && n.zone != z) continue;
        for (bool spot : {false, true}) {
          Kind k{TypeIndex{t}, z, spot};
          if ((n.spot || !spot) && std::find(wanted_.begin(), wanted_.end(), k) == wanted_.end())
            wanted_.push_back(k);
        }
      }
    }
  }
  if (clock.now < next_plan_) return buys.cloud_tasks;
  bool quoted = false, might = false;
  for (const auto& v : venues_) {
    if (!v) continue;
    quoted = quoted || (v->open_for_business() && v->has_quotes(clock.now));
    might = might || v->state() == VenueState::fresh || v->state() == VenueState::trading;
  }
  if (!quoted && might && clock.now - wanted_since_ < first_quotes_s) return buys.cloud_tasks;
  next_plan_ = clock.now + plan_interval_s;

  cloud_.post(cloud);
  std::vector<Offer> offers;
  cloud_.offers(clock.now, offers);
  for (auto& v : venues_) {
    if (v) v->overdue.clear();
  }
  for (const auto& [name, b] : bids_) {
    MarketVenue* v = known_venue(b.rec.market);
    if (v != nullptr && !b.judged && overdue(b, clock.now)) v->overdue[b.rec.kind()] += missing(b);
  }
  for (const auto& v : venues_) {
    if (v) v->offers(clock.now, offers);
  }
  std::vector<Demand> demands = group(needs, settings_);
  hold_back_spare(demands, clock.now);
  double reference = reference_price();
  Plan plan = planner(demands, offers, ledger_, reference, settings_);
  for (const Award& a : plan.awards) {
    const Offer& o = offers[a.offer];
    const Venue& v = o.market.valid() ? static_cast<const Venue&>(*venues_[o.market.v]) : cloud_;
    v.buy(a, o, demands[a.demand], needs, reference, buys);
  }
  note_unmet(demands, plan, clock.now);
  for (const Purchases::Draft& d : buys.drafts) commit(d, clock, out);
  return buys.cloud_tasks;
}

void Desk::note_unmet(const std::vector<Demand>& demands, const Plan& plan, Seconds now) {
  constexpr double say_every_s = 30;
  unmet_guarantee_ = 0;
  short_of_money_ = false;
  std::uint32_t all = 0;
  Money price = to_money(reference_price());
  for (std::size_t d = 0; d < demands.size(); ++d) {
    all += plan.unmet[d];
    if (demands[d].claim != Claim::guaranteed) continue;
    unmet_guarantee_ += plan.unmet[d];
    if (plan.unmet[d] > ledger_.room(demands[d].part, price, settings_.term_s)) short_of_money_ = true;
  }
  if (all == 0 || now - unmet_logged_ < say_every_s) return;
  unmet_logged_ = now;
  Ledger::Use u = ledger_.use();
  std::string why = "no offer is worth its price, or none is left";
  if (settings_.all.per_hour > 0 && u.per_hour * 20 >= settings_.all.per_hour * 19)
    why = "the ceiling per hour is reached";
  if (settings_.all.per_window > 0 && u.in_window * 20 >= settings_.all.per_window * 19)
    why = "the ceiling of the window is reached";
  SPDLOG_INFO(
      "markets: {} machines not bid for, {} of them within a guarantee: {}; committed {:.2f} an hour, "
      "{:.2f} in this window",
      all, unmet_guarantee_, why, to_amount(u.per_hour), to_amount(u.in_window));
}

// --- Money: committed before a bid is sent, freed when its end is durable.

void Desk::commit(const Purchases::Draft& d, Clock clock, Effects& out) {
  Bid b;
  b.rec.market = d.offer.market;
  b.rec.type = d.offer.type;
  b.rec.zone = d.offer.zone;
  b.rec.spot = d.offer.spot;
  b.rec.limit = to_money(d.limit);
  b.rec.term_s = settings_.term_s;
  b.rec.deliver_s = d.offer.promised_s;
  b.rec.sent_by = clock.wall + (d.offer.quote_ends - clock.now);
  b.rec.machines = d.machines;
  if (auto why = ledger_.refusal(b.rec)) {
    SPDLOG_INFO("markets: no bid for {} machines on {}: {}", b.rec.count(),
                model_.names.markets.name(b.rec.market), *why);
    return;
  }
  // The name holds the claim's stamp: no other leader can ever use it.
  b.name = model_.settings.node + "-" + std::to_string(term_) + "-b" + std::to_string(++names_);
  b.claim = d.claim;
  b.quoted = d.offer.quoted;
  b.quote = d.offer.quote;
  b.quote_ends = d.offer.quote_ends;
  b.due_at = clock.now + d.offer.promised_s;
  SPDLOG_INFO("bid {}: {} machines in {}{} on {} at {:.3f}, limit {:.3f}, for {} work; at worst {:.2f}",
              b.name, b.rec.count(), model_.names.zones.name(b.rec.zone), b.rec.spot ? ", spot," : "",
              model_.names.markets.name(b.rec.market), b.quoted, d.limit, name_of(d.claim),
              to_amount(worst_case(b.rec)));
  ledger_.hold(b.name, b.rec, d.claim == Claim::starved);
  Transaction txn;
  txn.guards = {scheduler_.claim_guard(pool_part), {BidKey{b.name}, 0}};
  txn.changes = {{BidKey{b.name}, b.rec}};
  std::string name = b.name;
  bids_.emplace(name, std::move(b));
  scheduler_.queue(out, Urgency::placement, std::move(txn), {}, {}, [this, name, term = term_] {
    auto it = bids_.find(name);
    if (term != term_ || it == bids_.end() || it->second.state != BidState::committing) return;
    auto entry = model_.money.bids.find(name);
    if (entry != model_.money.bids.end()) {
      it->second.stamp = entry->second.stamp;
      set_state(it->second, BidState::committed, "its worst case is durable");
    } else {
      // Never durable, so never sent.
      set_state(it->second, BidState::closed, "its commitment was refused");
      ledger_.release(name);
      bids_.erase(it);
    }
  });
}

void Desk::finish(Bid& b, Money charged, const std::string& why) {
  if (b.state == BidState::settling || b.state == BidState::closed) return;
  b.charged = std::max(b.charged, charged);
  set_state(b, BidState::settling, why);
}

void Desk::settle(Clock clock, Effects& out) {
  if (settling_) return;
  Transaction txn;
  txn.guards = {scheduler_.claim_guard(pool_part)};
  LedgerRecord ledger = model_.money.ledger.rec;
  std::vector<std::string> names;
  std::vector<MarketIndex> markets;
  // One change is the ledger's, the others are bids and markets.
  std::size_t room = model_.settings.txn_ops - 1;
  Ledger sum(settings_);
  sum.load(ledger, clock.wall);
  for (auto& [name, b] : bids_) {
    if (b.state != BidState::settling || names.size() + 1 >= room) continue;
    ledger = sum.after(b.rec, b.charged, clock.wall);
    sum.load(ledger, clock.wall);
    txn.guards.push_back({BidKey{name}, b.stamp});
    txn.changes.push_back({BidKey{name}, {}});
    names.push_back(name);
  }
  for (auto& v : venues_) {
    if (!v || !v->changed || names.size() + markets.size() >= room) continue;
    // Trust alone is written with the next bid's end; a market that is shut out, at once.
    if (names.empty() && v->state() != VenueState::shut) continue;
    MarketIndex m = v->market().index;
    auto entry = model_.money.markets.find(m);
    txn.guards.push_back({MarketKey{m}, entry == model_.money.markets.end() ? 0 : entry->second.stamp});
    txn.changes.push_back({MarketKey{m}, v->durable()});
    markets.push_back(m);
    v->changed = false;
  }
  if (txn.changes.empty()) return;
  if (!names.empty()) {
    txn.guards.push_back({LedgerKey{}, model_.money.ledger.stamp});
    txn.changes.push_back({LedgerKey{}, ledger});
  }
  settling_ = true;
  scheduler_.queue(out, Urgency::done_mark, std::move(txn), {}, {}, [this, names, markets, term = term_] {
    if (term != term_) return;
    settling_ = false;
    bool applied = names.empty() || model_.money.bids.count(names.front()) == 0;
    for (MarketIndex m : markets) {
      // Written again if it was refused; the same twice does no harm.
      auto entry = model_.money.markets.find(m);
      bool there =
          entry != model_.money.markets.end() && entry->second.rec.shut == venues_[m.v]->durable().shut;
      if (!applied || !there) venues_[m.v]->changed = true;
    }
    if (!applied) return;
    for (const std::string& name : names) {
      auto it = bids_.find(name);
      if (it == bids_.end()) continue;
      set_state(it->second, BidState::closed, "paid " + std::to_string(to_amount(it->second.charged)));
      ledger_.release(name);
      if (settled_.size() < most_settled) settled_[name] = it->second.charged;
      bids_.erase(it);
    }
  });
}

// --- Following a bid.

bool Desk::ask(const Bid& b, CallKind kind, Clock clock, std::vector<Call>& calls) {
  MarketVenue* v = known_venue(b.rec.market);
  if (v == nullptr || bid_calls_.count(b.name) != 0 || !v->turn(clock.now)) return false;
  Call c;
  c.market = b.rec.market;
  c.kind = kind;
  c.bid = b.name;
  c.quote = b.quote;
  c.kinds = {b.rec.kind()};
  c.count = b.rec.count();
  c.limit = b.rec.limit;
  c.term_s = b.rec.term_s;
  c.deliver_s = b.rec.deliver_s;
  c.round = b.round;
  c.rate = b.asked_rate;
  send(std::move(c), clock, calls);
  return true;
}

void Desk::send(Call c, Clock clock, std::vector<Call>& calls) {
  c.id = ++calls_;
  out_[c.id] = clock.now;
  if (c.bid.empty()) {
    market_calls_.insert({c.market.v, c.kind});
  } else {
    bid_calls_.insert(c.bid);
  }
  calls.push_back(std::move(c));
}

void Desk::step(Bid& b, Clock clock, std::vector<Call>& calls) {
  MarketVenue* v = known_venue(b.rec.market);
  if (v == nullptr) return;  // taken out of the settings: its money stays committed until it is put back
  Seconds now = clock.now;
  bool late = overdue(b, now);
  if (late && !b.want_withdraw) {
    SPDLOG_INFO("bid {}: overdue, {} of {} machines have not come", b.name, missing(b), b.rec.count());
    b.want_withdraw = b.late = true;
  }
  // What is not won yet gives way to a guarantee that lacks the money, and to a market's being shut out.
  bool yields = short_of_money_ && b.claim != Claim::guaranteed;
  if (yields || v->state() == VenueState::shut) {
    switch (b.state) {
      case BidState::committed:
      case BidState::asked:
      case BidState::open:
      case BidState::raised:
        b.want_withdraw = true;
        break;
      default:
        break;
    }
  }
  Seconds last = b.bid_at + b.rec.deliver_s + settings_.patience_s + b.rec.term_s + after_term_s;
  if (b.bid_at >= 0 && now > last && b.state != BidState::settling) {
    if (b.state == BidState::committed || b.state == BidState::committing) return;
    judge(b);
    return finish(b, worst_case(b.rec), "its term is over and no definite answer came: booked at its worst");
  }
  switch (b.state) {
    case BidState::committed: {
      bool useless = b.want_withdraw || now >= b.quote_ends || clock.wall > b.rec.sent_by ||
                     v->state() == VenueState::shut || v->state() == VenueState::silent;
      if (useless) return finish(b, 0, "never sent: its quote or its market is of no use any more");
      if (ask(b, CallKind::bid, clock, calls)) {
        b.bid_at = now;
        b.due_at = now + b.rec.deliver_s;
        set_patience(b);
        set_state(b, BidState::asked, "sent");
      }
      return;
    }
    case BidState::raised:
      if (b.want_withdraw) {
        set_state(b, BidState::withdrawing, "given up instead of confirming the raise");
        b.next_at = 0;
      }
      return;
    case BidState::asked:
    case BidState::in_doubt:
    case BidState::open:
    case BidState::won:
    case BidState::confirming:
      if (b.want_withdraw && b.state != BidState::in_doubt) {
        set_state(b, BidState::withdrawing, late ? "overdue" : "given up");
        b.next_at = 0;
      }
      break;
    default:
      break;
  }
  if (now < b.next_at) return;
  switch (b.state) {
    case BidState::asked:
      ask(b, CallKind::bid, clock, calls);
      break;
    case BidState::confirming:
      ask(b, CallKind::confirm, clock, calls);
      break;
    case BidState::withdrawing:
      ask(b, CallKind::withdraw, clock, calls);
      break;
    case BidState::in_doubt:
    case BidState::open:
    case BidState::won:
    case BidState::running:
      ask(b, CallKind::status, clock, calls);
      break;
    default:
      break;
  }
}

void Desk::on_answer(const Call& call, const Answer& answer, Clock clock) {
  // Answers to calls of an earlier term say nothing that the next question does not say.
  auto sent = out_.find(call.id);
  if (sent == out_.end()) return;
  Seconds sent_at = sent->second;
  out_.erase(sent);
  MarketVenue* v = known_venue(call.market);
  if (v == nullptr) return;
  v->heard(answer, clock.now);
  if (call.bid.empty()) {
    market_calls_.erase({call.market.v, call.kind});
  } else {
    bid_calls_.erase(call.bid);
  }
  switch (call.kind) {
    case CallKind::quotes:
      if (answer.kind == AnswerKind::ok) v->quoted(answer, sent_at, model_.names);
      return;
    case CallKind::charges:
      if (answer.kind == AnswerKind::ok) read_charges(*v, answer, clock.now);
      return;
    case CallKind::give_back: {
      std::vector<MachineIndex> back;
      for (const std::string& h : call.hosts) {
        auto r = returns_.find(h);
        if (r == returns_.end()) continue;
        r->second.out = false;
        r->second.next_at = clock.now + repeat_most_s;
        if (answer.kind != AnswerKind::ok ||
            std::find(answer.returned.begin(), answer.returned.end(), h) == answer.returned.end())
          continue;
        if (r->second.machine.valid()) back.push_back(r->second.machine);
        // With the last of them the bid may be over, and its money free.
        auto of = host_bid_.find(h);
        auto bid = of == host_bid_.end() ? bids_.end() : bids_.find(of->second);
        if (bid != bids_.end() && bid->second.state == BidState::running) bid->second.next_at = clock.now;
        returns_.erase(r);
      }
      if (!back.empty() && on_returned) on_returned(back, true);
      return;
    }
    default:
      break;
  }
  auto it = bids_.find(call.bid);
  if (it == bids_.end()) return;
  Bid& b = it->second;
  if (b.state == BidState::settling) return;
  switch (answer.kind) {
    case AnswerKind::none:
    case AnswerKind::garbage:
      b.next_at = clock.now + backed_off(b.silent++);
      return;
    case AnswerKind::pause:
      b.next_at = clock.now + std::max(answer.retry_after_s, repeat_first_s);
      return;
    case AnswerKind::unknown_name:
      b.silent = 0;
      // It never got the bid, or has not got it yet: the withdrawal uses the name up either way.
      if (b.state == BidState::withdrawing) {
        b.next_at = clock.now + repeat_first_s;
      } else {
        b.want_withdraw = true;
        set_state(b, BidState::withdrawing, "the market does not know it; its name is used up");
        b.next_at = 0;
      }
      return;
    case AnswerKind::refused:
      b.silent = 0;
      if (call.kind == CallKind::bid && b.state == BidState::asked) {
        // Definite for this request; an earlier copy that got no answer may still be on its way.
        b.want_withdraw = true;
        set_state(b, BidState::withdrawing, "refused by the market");
      }
      b.next_at = call.kind == CallKind::confirm ? clock.now : clock.now + repeat_first_s;
      if (call.kind == CallKind::confirm && b.state == BidState::confirming)
        set_state(b, BidState::open, "the raise is no longer up");
      return;
    case AnswerKind::ok:
      break;
  }
  b.silent = 0;
  if (!answer.bid) {
    b.next_at = clock.now + repeat_first_s;
    return;
  }
  b.next_at = clock.now + (b.state == BidState::running ? running_every_s : status_every_s);
  follow(b, *answer.bid, clock);
}

void Desk::check_charge(Bid& b, Money charged, Seconds now) {
  if (b.disputed) return;
  Money most = worst_case(b.rec);
  if (b.charged_from >= 0) {
    // Long before the worst case is passed, the time that its machines have been there says that it will be.
    double longest = now - b.charged_from + least_charged_s;
    most = std::min(most, worst_case(b.rec.limit, longest, b.rec.count()));
  }
  if (charged > most + rounding) {
    dispute(b, "charges " + std::to_string(to_amount(charged)) + " where " + std::to_string(to_amount(most)) +
                   " is the most");
  }
}

void Desk::follow(Bid& b, const BidNews& news, Clock clock) {
  MarketVenue& v = *known_venue(b.rec.market);
  take_hosts(b, news, clock);
  check_charge(b, news.charged, clock.now);
  b.charged = std::max(b.charged, news.charged);
  b.heard_at = clock.now;
  if (news.rate > b.rec.limit && !b.disputed) dispute(b, "its price stands above the limit");
  bool giving_up = b.state == BidState::withdrawing;
  switch (news.phase) {
    case MarketPhase::open:
      if (!giving_up) set_state(b, BidState::open, "the auction goes on");
      return;
    case MarketPhase::raised:
      if (!giving_up) decide_raise(b, news);
      return;
    case MarketPhase::won:
      if (b.rate != news.rate && news.rate > 0) {
        b.rate = news.rate;
        if (b.quoted > 0) v.judge_price(b.rec.kind(), b.quoted, to_amount(news.rate));
      }
      if (news.expects == 0 || b.came >= b.rec.count()) {
        judge(b);
        set_state(b, BidState::running, "all that will come is there");
      } else if (!giving_up) {
        set_state(b, BidState::won, "accepted");
      }
      return;
    case MarketPhase::lost:
    case MarketPhase::withdrawn:
      judge(b);
      return finish(b, news.charged, news.phase == MarketPhase::lost ? "lost" : "withdrawn");
    case MarketPhase::closed:
      judge(b);
      return finish(b, news.charged, "over, all machines are back");
  }
}

void Desk::decide_raise(Bid& b, const BidNews& news) {
  if (b.state != BidState::confirming && !may_follow(b.state, BidState::raised)) {
    SPDLOG_DEBUG("bid {}: a raise when it is {} is not heard", b.name, name_of(b.state));
    return;
  }
  b.round = news.round;
  b.asked_rate = news.raise;
  std::string to = "raised to " + std::to_string(to_amount(news.raise));
  if (b.state == BidState::confirming) {
    // A higher raise, or the confirmation is still on its way: confirmed again with its present number.
    if (news.raise <= b.rec.limit) return;
    set_state(b, BidState::raised, to);
  } else if (!set_state(b, BidState::raised, to)) {
    return;
  }
  if (b.want_withdraw || news.raise > b.rec.limit || news.raise <= 0) {
    b.want_withdraw = true;
    if (b.quoted > 0 && news.raise > 0)
      known_venue(b.rec.market)->judge_price(b.rec.kind(), b.quoted, to_amount(news.raise));
    SPDLOG_INFO("bid {}: not confirmed: limit {:.3f}, asked {:.3f}", b.name, to_amount(b.rec.limit),
                to_amount(news.raise));
    return;
  }
  // Within the limit, whose worst case is committed already.
  set_state(b, BidState::confirming, "within the limit");
  b.next_at = 0;
}

void Desk::take_hosts(Bid& b, const BidNews& news, Clock clock) {
  MarketVenue& v = *known_venue(b.rec.market);
  Kind kind = b.rec.kind();
  std::string prefix = v.market().name + ".";
  for (const HostNews& h : news.hosts) {
    if (b.hosts.count(h.name) != 0) continue;
    MachineIndex known = model_.find_recorded(h.name);
    bool recorded = known.valid();
    const std::string* other = nullptr;
    auto owner = host_bid_.find(h.name);
    if (owner != host_bid_.end() && owner->second != b.name) other = &owner->second;
    if (recorded && !model_.machine(known).rec.bid.empty() && model_.machine(known).rec.bid != b.name)
      other = &model_.machine(known).rec.bid;
    b.hosts.insert(h.name);
    if (h.name.compare(0, prefix.size(), prefix) != 0) {
      dispute(b, "delivers " + h.name + ", which is not one of its names");
      continue;
    }
    if (other != nullptr) {
      dispute(b, "delivers " + h.name + " twice, for " + *other + " too");
      continue;
    }
    host_bid_[h.name] = b.name;
    bool extra = b.came >= b.rec.count();
    bool right = h.kind == kind;
    if (!extra) ++b.came;
    // Not before it was last said to have none.
    if (b.charged_from < 0 && !b.adopted) b.charged_from = std::max(b.heard_at, b.bid_at);
    if (!extra && !b.adopted) v.judge_delivery(kind, b.rec.deliver_s, clock.now - b.bid_at);
    if (extra || !right) {
      SPDLOG_INFO("bid {}: {} goes back, {}", b.name, h.name,
                  extra ? "more came than was bid for" : "it is not what was bid for");
      returns_.try_emplace(h.name, Return{h.name, known, clock.now, false});
      continue;
    }
    // The parts get theirs in order.
    std::uint32_t nth = b.usable++;
    PartIndex part = pool_part;
    for (const auto& [p, n] : b.rec.machines) {
      if (nth < n) {
        part = p;
        break;
      }
      nth -= n;
    }
    if (recorded || !on_delivered) continue;
    MachineRecord rec{part, kind.type, kind.zone,    kind.spot, MachineMark::none,
                      {},   false,     b.rec.market, b.name};
    on_delivered(h, rec);
  }
}

void Desk::judge(Bid& b) {
  if (b.judged) return;
  b.judged = true;
  MarketVenue* v = known_venue(b.rec.market);
  // An auction that was lost broke no promise; one that was won, or hung beyond its time, did.
  bool promised = b.state == BidState::won || b.came > 0 || b.late;
  if (v == nullptr || !promised || b.bid_at < 0) return;
  double broken = b.rec.count() - std::min(b.rec.count(), b.usable);
  v->judge_machines(b.rec.kind(), b.usable, broken);
}

void Desk::dispute(Bid& b, const std::string& why) {
  SPDLOG_ERROR("bid {}: disputed: {}", b.name, why);
  b.disputed = true;
  known_venue(b.rec.market)->shut("bid " + b.name + ": " + why);
  std::vector<MachineIndex> machines;
  for (const std::string& h : b.hosts) {
    MachineIndex m = model_.find_recorded(h);
    if (!m.valid()) continue;
    // One that reported before the market spoke of it has a record without a bid.
    const MachineRecord& rec = model_.machine(m).rec;
    if (rec.market == b.rec.market && (rec.bid.empty() || rec.bid == b.name)) machines.push_back(m);
  }
  if (!machines.empty() && on_unwanted) on_unwanted(machines);
}

void Desk::read_charges(MarketVenue& v, const Answer& a, Seconds now) {
  for (const ChargeNews& c : a.charges) {
    v.charges_read = std::max(v.charges_read, c.no);
    auto open = bids_.find(c.bid);
    if (open != bids_.end()) {
      Bid& b = open->second;
      if (b.rec.market != v.market().index) continue;
      check_charge(b, c.amount, now);
      if (b.state != BidState::settling) b.charged = std::max(b.charged, c.amount);
      continue;
    }
    auto done = settled_.find(c.bid);
    bool ours = c.bid.rfind(model_.settings.node + "-" + std::to_string(term_) + "-b", 0) == 0;
    if (done != settled_.end() ? c.amount > done->second + rounding : ours && c.amount > rounding)
      v.shut("charges " + std::to_string(to_amount(c.amount)) + " for bid " + c.bid +
             (done != settled_.end() ? ", which was over" : ", which it never got"));
  }
}

// --- Markets and returns.

void Desk::tend_venues(Clock clock, std::vector<Call>& calls) {
  bool needed = clock.now - wanted_at_ < needed_for_s;
  if (!needed) wanted_.clear();
  for (auto& v : venues_) {
    if (!v) continue;
    MarketIndex m = v->market().index;
    auto free = [&](CallKind k) { return market_calls_.count({m.v, k}) == 0; };
    if (!wanted_.empty() && free(CallKind::quotes) && v->quotes_wanted(clock.now, needed) &&
        v->turn(clock.now)) {
      if (v->state() == VenueState::silent || v->state() == VenueState::throttled)
        v->set_state(VenueState::probing, "asked whether it is back");
      v->asked_for_quotes(clock.now);
      Call c;
      c.market = m;
      c.kind = CallKind::quotes;
      c.kinds = wanted_;
      send(std::move(c), clock, calls);
    }
    bool dealing =
        std::any_of(bids_.begin(), bids_.end(), [m](const auto& x) { return x.second.rec.market == m; });
    if ((dealing || !settled_.empty()) && clock.now >= v->next_charges && free(CallKind::charges) &&
        v->state() != VenueState::silent && v->turn(clock.now)) {
      v->next_charges = clock.now + charges_every_s;
      Call c;
      c.market = m;
      c.kind = CallKind::charges;
      c.from = v->charges_read;
      send(std::move(c), clock, calls);
    }
  }
}

void Desk::send_returns(Clock clock, std::vector<Call>& calls) {
  std::map<std::uint32_t, std::vector<std::string>> due;
  for (auto& [host, r] : returns_) {
    if (r.out || clock.now < r.next_at) continue;
    // By its record, or by its name: a machine that went back before it had one.
    MarketIndex m;
    if (r.machine.valid()) m = model_.machine(r.machine).rec.market;
    if (!m.valid()) m = model_.names.markets.find(host.substr(0, host.find('.')));
    if (known_venue(m) != nullptr && due[m.v].size() < most_returns) due[m.v].push_back(host);
  }
  for (auto& [m, hosts] : due) {
    MarketVenue* v = venues_[m].get();
    if (hosts.empty() || market_calls_.count({m, CallKind::give_back}) != 0 || !v->turn(clock.now)) continue;
    Call c;
    c.market = v->market().index;
    c.kind = CallKind::give_back;
    for (const std::string& h : hosts) returns_.at(h).out = true;
    c.hosts = std::move(hosts);
    send(std::move(c), clock, calls);
  }
}

void Desk::pass(Clock clock, Effects& out, std::vector<Call>& calls) {
  if (!take_lead(clock)) return;
  adopt_records(clock);
  for (auto& [name, b] : bids_) step(b, clock, calls);
  tend_venues(clock, calls);
  send_returns(clock, calls);
  settle(clock, out);
}

void connect(Desk& desk, Fleet& fleet) {
  desk.on_delivered = [&fleet](const HostNews& h, const MachineRecord& rec) {
    fleet.take_in(h.name, h.address, rec);
  };
  desk.on_returned = [&fleet](const std::vector<MachineIndex>& m, bool said) { fleet.on_deleted(m, said); };
  desk.on_unwanted = [&fleet](const std::vector<MachineIndex>& m) { fleet.drain(m); };
  fleet.set_source(&desk);
}

}  // namespace oxbowmill::market
