#include "oxbowmill/lab/market_world.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "oxbowmill/state/keys.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::lab {

namespace {
constexpr double step_s = 0.5, idle_keep_s = 10, claim_after_s = 1, answer_after_s = 0.1;
const char* const part_names[] = {"red", "blue"};

Settings controller_settings(std::uint64_t term, double hold_life_s) {
  Settings s;
  s.node = "node-" + std::to_string(term % 3);
  s.nodes = 3;
  s.teams.resize(3);
  s.op.hold_life_s = hold_life_s;
  return s;
}

Names world_names() {
  Names n;
  n.parts.intern(state::pool_name);
  for (const char* p : part_names) n.parts.intern(p);
  for (const char* z : {"a", "b"}) n.zones.intern(z);
  n.types.intern("std");
  return n;
}
}  // namespace

const char* name_of(Policy p) {
  static constexpr const char* names[] = {"planner", "cheapest", "one", "even", "bound"};
  return names[static_cast<int>(p)];
}

// --- Scenario files.

Scenario load_scenario(const std::string& file) {
  Scenario s;
  yaml::Map r(file, "", yaml::load(file));
  double hour = 0, window = 0;
  r.get("name", s.name).get("length_s", s.length_s).get("drop_at_s", s.drop_at_s).get("jobs", s.jobs);
  r.get("most_machines", s.most_machines).get("run_s", s.run_s).get("slack_s", s.slack_s);
  r.get("guaranteed_share", s.guaranteed_share).get("best_effort_share", s.best_effort_share);
  r.get("cloud_capacity", s.cloud_capacity).get("cloud_price", s.cloud_price);
  r.get("cloud_ready_s", s.cloud_ready_s).get("per_hour", hour).get("per_window", window);
  r.get("term_s", s.settings.term_s).get("spare_share", s.settings.spare_share);
  s.settings.all = {market::to_money(hour), market::to_money(window)};
  YAML::Node markets = r.take("markets").value_or(YAML::Node(YAML::NodeType::Undefined));
  r.done();
  for (std::size_t i = 0; markets && i < markets.size(); ++i) {
    Character c;
    yaml::Map m = r.sub("markets[" + std::to_string(i) + "]", markets[i]);
    m.get("name", c.name).get("price", c.price).get("capacity", c.capacity).get("delivery_s", c.delivery_s);
    m.get("delivery_spread", c.delivery_spread).get("valid_s", c.valid_s).get("auction_s", c.auction_s);
    m.get("bad_from_s", c.bad_from_s).get("bad_to_s", c.bad_to_s).get("raise_chance", c.raise_chance);
    m.get("raise_by", c.raise_by).get("never", c.never).get("late", c.late).get("late_by", c.late_by);
    m.get("short_share", c.short_share).get("wrong", c.wrong).get("twice", c.twice);
    m.get("throttle", c.throttle).get("garble", c.garble).get("absurd", c.absurd).get("stall", c.stall);
    m.get("deaf", c.deaf).get("keeps_running", c.keeps_running).get("overcharge", c.overcharge);
    m.done();
    s.markets.push_back(std::move(c));
  }
  if (s.markets.empty()) throw std::runtime_error(file + ": markets: missing");
  return s;
}

// --- The allocations held against the planner.

market::Plan baseline(Policy policy, const std::vector<Character>& truth, double now,
                      const std::vector<market::Demand>& demands, std::vector<market::Offer> offers,
                      const market::Ledger& ledger, double reference, const market::Settings& s) {
  using market::Offer;
  if (policy == Policy::planner || policy == Policy::bound) {
    if (policy == Policy::bound) {
      for (Offer& o : offers) {
        if (!o.market.valid()) continue;
        // Knows what each market is going to do at this moment, on average.
        const Character& c = truth[o.market.v];
        bool bad = now >= c.bad_from_s && now < c.bad_to_s;
        o.share = bad ? (1 - c.never) * c.short_share * (1 - c.wrong) * (1 - c.twice) * (1 - c.absurd) : 1;
        if (bad && (c.overcharge > 1 || c.deaf > 0.9 || c.stall > 0.9)) o.share = 0;
        double raised = bad ? 1 + c.raise_chance * (c.raise_by - 1) : 1;
        o.price = c.price * raised;
        o.limit =
            std::max(o.limit, o.quoted * (bad && c.raise_chance > 0 ? c.raise_by * c.raise_by * 1.05 : 1.03));
        market::Trust t;
        for (int i = 0; i < 40; ++i) {
          double f = bad && i < 40 * c.late ? c.late_by : 1;
          t.delivery(o.promised_s, o.promised_s * f * std::exp(c.delivery_spread * (i % 2 == 0 ? 1 : -1)));
        }
        o.punctuality = t.punctuality(o.promised_s);
        o.proven = true;
      }
      for (Offer& o : offers) {
        if (o.share <= 0) o.most = 0;
      }
    }
    return market::make_plan(demands, offers, ledger, reference, s);
  }
  market::Plan plan;
  std::vector<std::uint32_t> left;
  for (const Offer& o : offers) left.push_back(o.most);
  std::vector<std::size_t> order(offers.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return offers[a].quoted < offers[b].quoted; });
  std::vector<std::size_t> urgent(demands.size());
  std::iota(urgent.begin(), urgent.end(), 0);
  std::stable_sort(urgent.begin(), urgent.end(),
                   [&](std::size_t a, std::size_t b) { return demands[a].claim < demands[b].claim; });
  plan.unmet.resize(demands.size());
  std::uint32_t committed = 0;
  for (std::size_t d : urgent) {
    std::uint32_t want = demands[d].machines;
    auto take = [&](std::size_t o, std::uint32_t most) {
      std::uint32_t n = std::min({want, left[o], most});
      if (offers[o].market.valid()) {
        std::uint32_t room = ledger.room(demands[d].part, market::to_money(offers[o].limit), s.term_s);
        n = std::min(n, room > committed ? room - committed : 0);
        committed += n;
      }
      if (n == 0 || market::Prices::machines_per_unit(demands[d], offers[o]) != 1) return;
      plan.awards.push_back({d, o, n});
      left[o] -= n;
      want -= n;
    };
    if (policy == Policy::even && !offers.empty()) {
      auto each = static_cast<std::uint32_t>((want + offers.size() - 1) / offers.size());
      for (std::size_t o : order) take(o, each);
    }
    for (std::size_t o : order) {
      // The one market is the first of the list, whatever it does; the cloud takes what it has not.
      if (policy == Policy::one && offers[o].market.valid() && offers[o].market.v != 0) continue;
      take(o, want);
    }
    plan.unmet[d] = want;
  }
  return plan;
}

// --- The world.

MarketWorld::Leader::Leader(MarketWorld& w, std::uint64_t term)
    : model(controller_settings(term, 1e9), w.known_.names),
      hold(model.settings),
      scheduler(model, hold),
      desk(model, scheduler, w.settings) {
  model.catalog = w.catalog_;
  for (std::uint32_t m = 0; m < w.known_.names.machines.size(); ++m)
    model.intern_machine(w.known_.names.machines.name(MachineIndex{m}));
  for (const auto& [key, e] : w.store_) model.apply(e.change, e.stamp, w.now);
  hold.opened(term, w.now);
  hold.watch_answered(w.now + 1e9);
  hold.renewed(w.now + 1e9);
}

MarketWorld::MarketWorld(const Scenario& s, Policy policy, std::uint64_t seed)
    : settings(s.settings),
      scenario_(s),
      policy_(policy),
      random_(seed),
      known_(controller_settings(0, 1), world_names()) {
  MachineType type;
  type.room = {8, 1, 64};
  type.price = s.cloud_price;
  type.spot_price = s.cloud_price;
  type.boot_s = s.cloud_ready_s;
  type.zones = {ZoneIndex{0}};
  catalog_ = {type};
  settings.markets.clear();
  for (const Character& c : s.markets) {
    settings.markets.push_back({c.name, known_.names.markets.intern(c.name), "127.0.0.1:1", 20});
    markets.emplace_back(c, random_(), std::vector<std::string>{"std"}, std::vector<std::string>{"a", "b"});
  }
  std::uniform_real_distribution<> part(0, 1);
  for (std::uint32_t i = 0; i < s.jobs; ++i) {
    Work w;
    // Half of it stands there when the zone drops, the rest comes over the following minutes.
    w.at = s.drop_at_s + (i % 2 == 0 ? 0 : part(random_) * s.length_s / 3);
    w.run_s = s.run_s * (0.6 + 0.8 * part(random_));
    w.due_s = w.run_s + s.slack_s * (0.6 + 0.8 * part(random_));
    w.machines = 1 + static_cast<std::uint32_t>(part(random_) * s.most_machines);
    double kind = part(random_);
    w.guaranteed = kind < s.guaranteed_share;
    w.rank = kind > 1 - s.best_effort_share ? Rank::low : kind < 0.6 ? Rank::high : Rank::normal;
    work.push_back(w);
  }
  end_leader();
  next_leader_at_ = now;
}

void MarketWorld::end_leader() {
  leader_.reset();
  in_flight_.clear();
  store_.erase("claim");
  next_leader_at_ = now + claim_after_s;
}

void MarketWorld::tell(const Change& c, Stamp revision) {
  if (!leader_) return;
  leader_->model.apply(c, revision, now);
  leader_->scheduler.seen_revision(revision);
}

bool MarketWorld::apply(const Transaction& t, Stamp& revision) {
  auto key_of = [&](const Key& k) {
    if (std::holds_alternative<ClaimKey>(k)) return std::string("claim");
    return state::encode_key(k, known_);
  };
  for (const Guard& g : t.guards) {
    auto it = store_.find(key_of(g.key));
    if ((it == store_.end() ? 0 : it->second.stamp) != g.stamp) {
      revision = revision_;
      return false;
    }
  }
  revision = ++revision_;
  for (const Change& c : t.changes) {
    std::string key = key_of(c.key);
    if (const auto* b = std::get_if<BidKey>(&c.key);
        b != nullptr && !c.removal() && !bid_names.insert(b->name).second)
      ++reused_names;
    if (c.removal()) {
      store_.erase(key);
    } else {
      store_[key] = {c, revision};
    }
    tell(c, revision);
  }
  return true;
}

void MarketWorld::write(const Write& w) {
  Stamp revision = 0;
  Outcome outcome = Outcome::not_executed;
  if (holding_writes_) {
    held_writes_.push_back(w.txn);
    outcome = Outcome::unknown;
  } else if (!state_down_) {
    outcome = apply(w.txn, revision) ? Outcome::applied : Outcome::refused;
    if (lose_answers_ > 0) {
      --lose_answers_;
      outcome = Outcome::unknown;
    }
  }
  leader_->scheduler.on_outcome(w.id, outcome, revision, now);
}

void MarketWorld::release_writes() {
  holding_writes_ = false;
  Stamp revision = 0;
  for (const Transaction& t : held_writes_) apply(t, revision);
  held_writes_.clear();
}

market::Answer MarketWorld::ask_market(const market::Call& c) {
  return markets[c.market.v].ask(c, known_.names, now - 1000);
}

void MarketWorld::send(const market::Call& c) {
  InFlight f{c, now + settings.answer_s, {}, terms_};
  if (holding_calls_) {
    held_calls_.push_back(c);
  } else {
    f.answer = ask_market(c);
    if (f.answer.kind != market::AnswerKind::none) f.answer_at = now + answer_after_s;
  }
  in_flight_.push_back(std::move(f));
}

void MarketWorld::release_calls() {
  holding_calls_ = false;
  for (const market::Call& c : held_calls_) ask_market(c);
  held_calls_.clear();
}

std::vector<CloudOffer> MarketWorld::cloud_offers() const {
  std::uint32_t used = 0;
  for (const auto& [name, m] : machines_) used += m.of_market ? 0 : 1;
  if (used >= scenario_.cloud_capacity) return {};
  return {{TypeIndex{0}, ZoneIndex{0}, false, scenario_.cloud_price, scenario_.cloud_ready_s,
           scenario_.cloud_capacity - used}};
}

std::vector<std::size_t> MarketWorld::by_urgency() const {
  std::vector<std::size_t> order(jobs_.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
    const Work &x = jobs_[a].work, &y = jobs_[b].work;
    return std::make_tuple(!x.guaranteed, -static_cast<int>(x.rank), x.at + x.due_s) <
           std::make_tuple(!y.guaranteed, -static_cast<int>(y.rank), y.at + y.due_s);
  });
  return order;
}

std::vector<Need> MarketWorld::needs_now() const {
  std::vector<Need> needs;
  std::map<PartIndex, std::uint32_t> supply;
  for (const auto& [name, m] : machines_) {
    if (m.busy_until < 0) ++supply[m.part];
  }
  if (leader_) {
    for (std::uint32_t p = 1; p < 3; ++p) {
      for (const auto& e : leader_->desk.expected(PartIndex{p}, now)) supply[PartIndex{p}] += e.machines;
    }
  }
  for (std::size_t i : by_urgency()) {
    const Job& j = jobs_[i];
    PartIndex part{static_cast<std::uint32_t>(1 + i % 2)};
    std::uint32_t n = j.pending - std::min(j.pending, supply[part]);
    supply[part] -= j.pending - n;
    if (n == 0) continue;
    Need need;
    need.part = part;
    need.rank = j.work.rank;
    need.guaranteed = j.work.guaranteed;
    need.tasks = n;
    need.per_machine = {1};
    need.run_s = j.work.run_s;
    need.slack_s = 1000 + j.work.at + j.work.due_s - j.work.run_s - now;
    need.waited_s = now - 1000 - j.work.at;
    needs.push_back(need);
  }
  return needs;
}

void MarketWorld::rent(const std::vector<Need>& needs, const std::vector<std::uint32_t>& tasks) {
  std::uint32_t used = 0;
  for (const auto& [name, m] : machines_) used += m.of_market ? 0 : 1;
  std::uniform_real_distribution<> boot(0.8, 1.3);
  for (std::size_t i = 0; i < needs.size(); ++i) {
    for (std::uint32_t k = 0; k < tasks[i] && used < scenario_.cloud_capacity; ++k, ++used) {
      Machine m;
      m.part = needs[i].part;
      m.since = now;
      m.ready_at = m.idle_since = now + scenario_.cloud_ready_s * boot(random_);
      m.price = scenario_.cloud_price;
      machines_["host-" + std::to_string(++cloud_named_)] = m;
    }
  }
}

void MarketWorld::work_on() {
  // Runs end, machines are lost, runs begin in order, idle machines go back.
  std::map<std::string, const Market::Host*> hosts;
  for (const Market& m : markets) {
    for (const auto& [name, h] : m.hosts()) hosts[name] = &h;
  }
  for (auto it = machines_.begin(); it != machines_.end();) {
    Machine& m = it->second;
    if (m.busy_until >= 0 && now >= m.busy_until) {
      Job& j = jobs_[m.job];
      --j.running;
      if (++j.done == j.work.machines) j.done_at = now;
      m.busy_until = -1;
      m.idle_since = now;
    }
    bool lost = m.of_market && hosts.count(it->first) != 0 && !hosts[it->first]->alive;
    if (lost && m.busy_until >= 0) {
      --jobs_[m.job].running;
      ++jobs_[m.job].pending;
    }
    it = lost ? machines_.erase(it) : std::next(it);
  }
  std::vector<std::size_t> order = by_urgency();
  for (auto& [name, m] : machines_) {
    if (m.busy_until >= 0 || now < m.ready_at) continue;
    for (std::size_t i : order) {
      Job& j = jobs_[i];
      if (j.pending == 0 || PartIndex{static_cast<std::uint32_t>(1 + i % 2)} != m.part) continue;
      --j.pending;
      ++j.running;
      m.job = i;
      m.busy_until = now + j.work.run_s;
      if (m.of_market && !m.used) ++used_;
      m.used = true;
      break;
    }
  }
  if (!leader_) return;
  for (auto it = machines_.begin(); it != machines_.end();) {
    auto here = it++;
    Machine& m = here->second;
    if (m.busy_until >= 0 || now < m.ready_at || now - m.idle_since < idle_keep_s) continue;
    if (!m.of_market) {
      cloud_cost_ += std::max(60.0, now - m.since) * m.price / 3600;
    } else {
      leader_->desk.give_back({leader_->model.intern_machine(here->first)}, now);
    }
    machines_.erase(here);
  }
}

void MarketWorld::check() {
  Money hour = 0, window = 0;
  for (const auto& [key, e] : store_) {
    if (const auto* b = std::get_if<BidRecord>(&e.change.value)) {
      hour += b->limit * static_cast<Money>(b->count());
      window += market::worst_case(*b);
    } else if (const auto* l = std::get_if<LedgerRecord>(&e.change.value)) {
      for (const auto& [part, paid] : l->spent) window += paid;
    }
  }
  auto over = [](Money use, Money ceiling) {
    return ceiling > 0 ? static_cast<double>(use) / static_cast<double>(ceiling) : 0;
  };
  highest_use = std::max(highest_use, over(window, settings.all.per_window));
  highest_hour = std::max(highest_hour, over(hour, settings.all.per_hour));
  double charged = 0;
  for (const Market& m : markets) charged += m.charged(now - 1000);
  if (over(window, settings.all.per_window) > 1 || over(hour, settings.all.per_hour) > 1 ||
      over(market::to_money(charged), settings.all.per_window) > 1)
    ++breaches;
}

void MarketWorld::step() {
  now += step_s;
  while (jobs_.size() < work.size()) jobs_.push_back({work[jobs_.size()], 0, 0, 0, -1});
  for (Job& j : jobs_) {
    if (j.done == 0 && j.running == 0 && j.pending == 0 && now - 1000 >= j.work.at)
      j.pending = j.work.machines;
  }
  for (Market& m : markets) m.tick(now - 1000);
  if (!leader_ && now >= next_leader_at_ && !state_down_) {
    ++terms_;
    leader_ = std::make_unique<Leader>(*this, terms_);
    Change claim{ClaimKey{pool_part}, ClaimRecord{leader_->model.settings.node, terms_}, terms_};
    Stamp revision = 0;
    apply({{}, {claim}}, revision);
    market::Desk& d = leader_->desk;
    // What the earlier leader had marked as to be returned, it may not have returned.
    for (std::uint32_t m = 0; m < leader_->model.machine_count(); ++m) {
      const auto& known = leader_->model.machine(MachineIndex{m});
      if (known.stamp != 0 && machines_.count(known_.names.machines.name(MachineIndex{m})) == 0)
        d.give_back({MachineIndex{m}}, now);
    }
    d.planner = [this](const auto& demands, const auto& offers, const auto& ledger, double reference,
                       const auto& s) {
      std::map<PartIndex, std::uint32_t> late, wanted, awarded;
      for (const auto& [name, b] : leader_->desk.bids()) {
        bool over = b.bid_at >= 0 && (now > b.doubted_at || b.want_withdraw);
        if (!over || b.state >= market::BidState::running) continue;
        for (const auto& [part, n] : b.rec.machines)
          late[part] += n * (b.rec.count() - b.came) / b.rec.count();
      }
      market::Plan p =
          baseline(policy_, scenario_.markets, now - 1000, demands, offers, ledger, reference, s);
      for (const Need& n : needs_now()) wanted[n.part] += n.tasks;
      for (const market::Award& a : p.awards) awarded[demands[a.demand].part] += a.machines;
      for (const auto& [part, n] : awarded) {
        double most = (1 + s.spare_share) * wanted[part] + 2;
        most_bought = std::max(most_bought, (n + late[part]) / most);
      }
      return p;
    };
    d.on_delivered = [this](const market::HostNews& h, const MachineRecord& rec) {
      // One index for all leaders: what is stored names machines by it.
      MachineIndex mi = known_.names.machines.intern(h.name);
      while (leader_->model.names.machines.size() <= mi.v)
        leader_->model.intern_machine(
            known_.names.machines.name(MachineIndex{leader_->model.names.machines.size()}));
      Stamp at = 0;
      apply({{}, {{MachineKey{mi}, rec}}}, at);
      Machine m;
      m.part = rec.part;
      m.since = m.idle_since = now;
      m.of_market = true;
      machines_[h.name] = m;
    };
    d.on_unwanted = [this](const std::vector<MachineIndex>& ms) {
      for (MachineIndex m : ms) {
        auto it = machines_.find(known_.names.machines.name(m));
        if (it == machines_.end()) continue;
        if (it->second.busy_until >= 0) {
          --jobs_[it->second.job].running;
          ++jobs_[it->second.job].pending;
          it->second.busy_until = -1;
        }
        it->second.ready_at = it->second.idle_since = -1e9;  // goes back in this very step
        it->second.part = pool_part;
      }
    };
    d.on_returned = [this](const std::vector<MachineIndex>& ms, bool said) {
      Stamp at = 0;
      for (MachineIndex m : ms) {
        if (said) apply({{}, {{MachineKey{m}, {}}}}, at);
      }
    };
  }
  if (leader_) {
    std::vector<InFlight> due;
    auto split = std::partition(in_flight_.begin(), in_flight_.end(),
                                [this](const InFlight& f) { return f.answer_at > now; });
    std::move(split, in_flight_.end(), std::back_inserter(due));
    in_flight_.erase(split, in_flight_.end());
    for (const InFlight& f : due) {
      if (f.term == terms_) leader_->desk.on_answer(f.call, f.answer, {now, now});
    }
    Effects out;
    std::vector<market::Call> calls;
    leader_->scheduler.pass({now, now}, out);
    std::vector<Need> needs = needs_now();
    rent(needs, leader_->desk.plan(needs, cloud_offers(), {now, now}, out));
    leader_->desk.pass({now, now}, out, calls);
    for (const Write& w : out.writes) write(w);
    for (const market::Call& c : calls) send(c);
  }
  work_on();
  check();
}

Result MarketWorld::result() const {
  Result r;
  r.cost = cloud_cost_;
  for (const auto& [name, m] : machines_) {
    if (!m.of_market) r.cost += std::max(60.0, now - m.since) * m.price / 3600;
  }
  for (const Market& m : markets) {
    r.cost += m.charged(now - 1000);
    r.bought += static_cast<std::uint32_t>(m.hosts().size());
  }
  r.unused = r.bought - std::min(r.bought, used_);
  for (const Job& j : jobs_) {
    bool in_time = j.done_at >= 0 && j.done_at <= 1000 + j.work.at + j.work.due_s;
    ++r.jobs;
    r.in_time += in_time ? 1 : 0;
    r.guaranteed += j.work.guaranteed ? 1 : 0;
    r.guaranteed_in_time += j.work.guaranteed && in_time ? 1 : 0;
  }
  r.breaches = breaches;
  if (leader_) {
    for (const market::MarketSettings& m : settings.markets)
      r.shut += leader_->desk.venue(m.index).state() == market::VenueState::shut ? 1 : 0;
  }
  return r;
}

Result MarketWorld::run() {
  while (now - 1000 < scenario_.length_s) step();
  return result();
}

}  // namespace oxbowmill::lab
