#include "oxbowmill/simulation/market_simulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "oxbowmill/state/keys.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::simulation {

namespace {
constexpr double step_s = 0.5, idle_keep_s = 10, acquire_after_s = 1, answer_after_s = 0.1;
const char* const partition_names[] = {"red", "blue"};

Settings controller_settings(std::uint64_t term, double controller_lease_s) {
  Settings settings;
  settings.controller_name = "node-" + std::to_string(term % 3);
  settings.controller_count = 3;
  settings.teams.resize(3);
  settings.operator_settings.controller_lease_s = controller_lease_s;
  return settings;
}

Names world_names() {
  Names names;
  names.partitions.intern(state::idle_pool_name);
  for (const char* p : partition_names) names.partitions.intern(p);
  for (const char* z : {"a", "b"}) names.zones.intern(z);
  names.types.intern("std");
  return names;
}
}  // namespace

const char* name_of(Policy policy) {
  static constexpr const char* names[] = {"planner", "cheapest", "one", "even", "bound"};
  return names[static_cast<int>(policy)];
}

// --- Scenario files.

MarketScenario load_scenario(const std::string& file) {
  MarketScenario scenario;
  yaml::Map root(file, "", yaml::load(file));
  double hour = 0, window = 0;
  root.get("name", scenario.name)
      .get("length_s", scenario.duration_s)
      .get("drop_at_s", scenario.drop_at_s)
      .get("jobs", scenario.jobs);
  root.get("most_machines", scenario.max_machines)
      .get("run_s", scenario.run_s)
      .get("slack_s", scenario.slack_s);
  root.get("guaranteed_share", scenario.guaranteed_fraction)
      .get("best_effort_share", scenario.best_effort_fraction);
  root.get("cloud_capacity", scenario.cloud_capacity).get("cloud_price", scenario.cloud_price);
  root.get("cloud_ready_s", scenario.cloud_ready_s).get("per_hour", hour).get("per_window", window);
  root.get("term_s", scenario.settings.max_paid_s).get("spare_share", scenario.settings.extra_fraction);
  scenario.settings.total_limit = {market::to_money_amount(hour), market::to_money_amount(window)};
  YAML::Node markets = root.take("markets").value_or(YAML::Node(YAML::NodeType::Undefined));
  root.reject_unknown_keys();
  for (std::size_t i = 0; markets && i < markets.size(); ++i) {
    MarketBehavior profile;
    yaml::Map map = root.child("markets[" + std::to_string(i) + "]", markets[i]);
    map.get("name", profile.name)
        .get("price", profile.price)
        .get("capacity", profile.capacity)
        .get("delivery_s", profile.delivery_s);
    map.get("delivery_spread", profile.delivery_spread)
        .get("valid_s", profile.valid_s)
        .get("auction_s", profile.auction_s);
    map.get("bad_from_s", profile.faults_from_s)
        .get("bad_to_s", profile.faults_to_s)
        .get("raise_chance", profile.raise_chance);
    map.get("raise_by", profile.raise_factor)
        .get("never", profile.never_delivers_chance)
        .get("late", profile.late_chance)
        .get("late_by", profile.late_factor);
    map.get("short_share", profile.delivered_fraction)
        .get("wrong", profile.wrong_delivery_chance)
        .get("twice", profile.double_delivery_chance);
    map.get("throttle", profile.throttle_chance)
        .get("garble", profile.garbled_response_chance)
        .get("absurd", profile.absurd_response_chance)
        .get("stall", profile.stall_chance);
    map.get("deaf", profile.lost_request_chance)
        .get("keeps_running", profile.runs_after_return)
        .get("overcharge", profile.overcharge_factor);
    map.reject_unknown_keys();
    scenario.markets.push_back(std::move(profile));
  }
  if (scenario.markets.empty()) throw std::runtime_error(file + ": markets: missing");
  return scenario;
}

// --- The allocations held against the planner.

market::Plan baseline(Policy policy, const std::vector<MarketBehavior>& truth, double now,
                      const std::vector<market::Demand>& demands, std::vector<market::Offer> offers,
                      const market::Ledger& ledger, double reference, const market::Settings& settings) {
  using market::Offer;
  if (policy == Policy::planner || policy == Policy::oracle) {
    if (policy == Policy::oracle) {
      for (Offer& offer : offers) {
        if (!offer.market.valid()) continue;
        // Knows what each market is going to do at this moment, on average.
        const MarketBehavior& behavior = truth[offer.market.value];
        bool faulty = now >= behavior.faults_from_s && now < behavior.faults_to_s;
        offer.delivered_fraction =
            faulty ? (1 - behavior.never_delivers_chance) * behavior.delivered_fraction *
                         (1 - behavior.wrong_delivery_chance) * (1 - behavior.double_delivery_chance) *
                         (1 - behavior.absurd_response_chance)
                   : 1;
        if (faulty && (behavior.overcharge_factor > 1 || behavior.lost_request_chance > 0.9 ||
                       behavior.stall_chance > 0.9))
          offer.delivered_fraction = 0;
        double raised = faulty ? 1 + behavior.raise_chance * (behavior.raise_factor - 1) : 1;
        offer.expected_price = behavior.price * raised;
        offer.price_limit =
            std::max(offer.price_limit,
                     offer.quoted_price * (faulty && behavior.raise_chance > 0
                                               ? behavior.raise_factor * behavior.raise_factor * 1.05
                                               : 1.03));
        market::Reputation reputation;
        for (int i = 0; i < 40; ++i) {
          double f = faulty && i < 40 * behavior.late_chance ? behavior.late_factor : 1;
          reputation.record_delivery(
              offer.promised_delivery_s,
              offer.promised_delivery_s * f * std::exp(behavior.delivery_spread * (i % 2 == 0 ? 1 : -1)));
        }
        offer.delivery_distribution = reputation.delivery_distribution(offer.promised_delivery_s);
        offer.proven = true;
      }
      for (Offer& o : offers) {
        if (o.delivered_fraction <= 0) o.max_machines = 0;
      }
    }
    return market::make_plan(demands, offers, ledger, reference, settings);
  }
  market::Plan plan;
  std::vector<std::uint32_t> left;
  for (const Offer& o : offers) left.push_back(o.max_machines);
  std::vector<std::size_t> order(offers.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return offers[a].quoted_price < offers[b].quoted_price;
  });
  std::vector<std::size_t> urgent(demands.size());
  std::iota(urgent.begin(), urgent.end(), 0);
  std::stable_sort(urgent.begin(), urgent.end(),
                   [&](std::size_t a, std::size_t b) { return demands[a].priority < demands[b].priority; });
  plan.unmet.resize(demands.size());
  std::uint32_t committed = 0;
  for (std::size_t demand_index : urgent) {
    std::uint32_t want = demands[demand_index].machines;
    auto take = [&](std::size_t offer_index, std::uint32_t most) {
      std::uint32_t n = std::min({want, left[offer_index], most});
      if (offers[offer_index].market.valid()) {
        std::uint32_t room = ledger.affordable_machines(
            demands[demand_index].partition, market::to_money_amount(offers[offer_index].price_limit),
            settings.max_paid_s);
        n = std::min(n, room > committed ? room - committed : 0);
        committed += n;
      }
      if (n == 0 || market::Pricing::machines_per_unit(demands[demand_index], offers[offer_index]) != 1)
        return;
      plan.awards.push_back({demand_index, offer_index, n});
      left[offer_index] -= n;
      want -= n;
    };
    if (policy == Policy::even_split && !offers.empty()) {
      auto each = static_cast<std::uint32_t>((want + offers.size() - 1) / offers.size());
      for (std::size_t o : order) take(o, each);
    }
    for (std::size_t o : order) {
      // The one market is the first of the list, whatever it does; the cloud takes what it has not.
      if (policy == Policy::single_market && offers[o].market.valid() && offers[o].market.value != 0)
        continue;
      take(o, want);
    }
    plan.unmet[demand_index] = want;
  }
  return plan;
}

// --- The world.

MarketSimulation::Leader::Leader(MarketSimulation& simulation, std::uint64_t term)
    : cluster_state(controller_settings(term, 1e9), simulation.known_state_.names),
      lease(cluster_state.settings),
      scheduler(cluster_state, lease),
      bidding_service(cluster_state, scheduler, simulation.settings) {
  cluster_state.catalog = simulation.catalog_;
  for (std::uint32_t m = 0; m < simulation.known_state_.names.machines.size(); ++m)
    cluster_state.intern_machine(simulation.known_state_.names.machines.name(MachineIndex{m}));
  for (const auto& [key, e] : simulation.store_) cluster_state.apply(e.change, e.revision, simulation.now);
  lease.on_granted(term, simulation.now);
  lease.on_watch_answered(simulation.now + 1e9);
  lease.on_renewed(simulation.now + 1e9);
}

MarketSimulation::MarketSimulation(const MarketScenario& scenario, Policy policy, std::uint64_t seed)
    : settings(scenario.settings),
      scenario_(scenario),
      policy_(policy),
      random_(seed),
      known_state_(controller_settings(0, 1), world_names()) {
  MachineType type;
  type.capacity = {8, 1, 64};
  type.price = scenario.cloud_price;
  type.spot_price = scenario.cloud_price;
  type.boot_s = scenario.cloud_ready_s;
  type.zones = {ZoneIndex{0}};
  catalog_ = {type};
  settings.markets.clear();
  for (const MarketBehavior& c : scenario.markets) {
    settings.markets.push_back({c.name, known_state_.names.markets.intern(c.name), "127.0.0.1:1", 20});
    markets.emplace_back(c, random_(), std::vector<std::string>{"std"}, std::vector<std::string>{"a", "b"});
  }
  std::uniform_real_distribution<> uniform(0, 1);
  for (std::uint32_t i = 0; i < scenario.jobs; ++i) {
    JobArrival arrival;
    // Half of it stands there when the zone drops, the rest comes over the following minutes.
    arrival.arrives_at = scenario.drop_at_s + (i % 2 == 0 ? 0 : uniform(random_) * scenario.duration_s / 3);
    arrival.run_s = scenario.run_s * (0.6 + 0.8 * uniform(random_));
    arrival.due_s = arrival.run_s + scenario.slack_s * (0.6 + 0.8 * uniform(random_));
    arrival.machines = 1 + static_cast<std::uint32_t>(uniform(random_) * scenario.max_machines);
    double kind = uniform(random_);
    arrival.guaranteed = kind < scenario.guaranteed_fraction;
    arrival.priority = kind > 1 - scenario.best_effort_fraction ? Priority::low
                       : kind < 0.6                             ? Priority::high
                                                                : Priority::normal;
    arrivals.push_back(arrival);
  }
  end_leader();
  next_leader_at_ = now;
}

void MarketSimulation::end_leader() {
  leader_.reset();
  in_flight_.clear();
  store_.erase("claim");
  next_leader_at_ = now + acquire_after_s;
}

void MarketSimulation::publish(const Change& change, Revision revision) {
  if (!leader_) return;
  leader_->cluster_state.apply(change, revision, now);
  leader_->scheduler.applied_revision(revision);
}

bool MarketSimulation::apply(const Transaction& transaction, Revision& revision) {
  auto key_of = [&](const Key& k) {
    if (std::holds_alternative<OwnershipKey>(k)) return std::string("claim");
    return state::encode_key(k, known_state_);
  };
  for (const Guard& g : transaction.guards) {
    auto it = store_.find(key_of(g.key));
    if ((it == store_.end() ? 0 : it->second.revision) != g.revision) {
      revision = revision_;
      return false;
    }
  }
  revision = ++revision_;
  for (const Change& change : transaction.changes) {
    std::string key = key_of(change.key);
    if (const auto* b = std::get_if<BidKey>(&change.key);
        b != nullptr && !change.is_removal() && !bid_names.insert(b->name).second)
      ++reused_names;
    if (change.is_removal()) {
      store_.erase(key);
    } else {
      store_[key] = {change, revision};
    }
    publish(change, revision);
  }
  return true;
}

void MarketSimulation::write(const Write& write) {
  Revision revision = 0;
  TransactionOutcome outcome = TransactionOutcome::not_executed;
  if (delaying_writes_) {
    delayed_writes_.push_back(write.txn);
    outcome = TransactionOutcome::unknown;
  } else if (!state_down_) {
    outcome = apply(write.txn, revision) ? TransactionOutcome::applied : TransactionOutcome::refused;
    if (write_responses_to_lose_ > 0) {
      --write_responses_to_lose_;
      outcome = TransactionOutcome::unknown;
    }
  }
  leader_->scheduler.on_outcome(write.id, outcome, revision, now);
}

void MarketSimulation::release_writes() {
  delaying_writes_ = false;
  Revision revision = 0;
  for (const Transaction& t : delayed_writes_) apply(t, revision);
  delayed_writes_.clear();
}

market::Answer MarketSimulation::ask_market(const market::Call& call) {
  return markets[call.market.value].call(call, known_state_.names, now - 1000);
}

void MarketSimulation::send(const market::Call& call) {
  InFlight in_flight{call, now + settings.answer_timeout_s, {}, last_term_};
  if (delaying_calls_) {
    delayed_calls_.push_back(call);
  } else {
    in_flight.answer = ask_market(call);
    if (in_flight.answer.kind != market::AnswerKind::no_answer) in_flight.answer_at = now + answer_after_s;
  }
  in_flight_.push_back(std::move(in_flight));
}

void MarketSimulation::release_calls() {
  delaying_calls_ = false;
  for (const market::Call& c : delayed_calls_) ask_market(c);
  delayed_calls_.clear();
}

std::vector<CloudOffer> MarketSimulation::cloud_offers() const {
  std::uint32_t used = 0;
  for (const auto& [name, m] : machines_) used += m.from_market ? 0 : 1;
  if (used >= scenario_.cloud_capacity) return {};
  return {{TypeIndex{0}, ZoneIndex{0}, false, scenario_.cloud_price, scenario_.cloud_ready_s,
           scenario_.cloud_capacity - used}};
}

std::vector<std::size_t> MarketSimulation::by_urgency() const {
  std::vector<std::size_t> order(jobs_.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
    const JobArrival &x = jobs_[a].arrival, &y = jobs_[b].arrival;
    return std::make_tuple(!x.guaranteed, -static_cast<int>(x.priority), x.arrives_at + x.due_s) <
           std::make_tuple(!y.guaranteed, -static_cast<int>(y.priority), y.arrives_at + y.due_s);
  });
  return order;
}

std::vector<UnmetDemand> MarketSimulation::unmet_demand() const {
  std::vector<UnmetDemand> needs;
  std::map<PartitionIndex, std::uint32_t> supply;
  for (const auto& [name, m] : machines_) {
    if (m.busy_until < 0) ++supply[m.partition];
  }
  if (leader_) {
    for (std::uint32_t p = 1; p < 3; ++p) {
      for (const auto& e : leader_->bidding_service.expected(PartitionIndex{p}, now))
        supply[PartitionIndex{p}] += e.machines;
    }
  }
  for (std::size_t i : by_urgency()) {
    const Job& job = jobs_[i];
    PartitionIndex partition{static_cast<std::uint32_t>(1 + i % 2)};
    std::uint32_t n = job.pending - std::min(job.pending, supply[partition]);
    supply[partition] -= job.pending - n;
    if (n == 0) continue;
    UnmetDemand need;
    need.partition = partition;
    need.priority = job.arrival.priority;
    need.guaranteed = job.arrival.guaranteed;
    need.tasks = n;
    need.tasks_per_machine = {1};
    need.estimated_run_s = job.arrival.run_s;
    need.slack_s = 1000 + job.arrival.arrives_at + job.arrival.due_s - job.arrival.run_s - now;
    need.waited_s = now - 1000 - job.arrival.arrives_at;
    needs.push_back(need);
  }
  return needs;
}

void MarketSimulation::scale_out(const std::vector<UnmetDemand>& needs,
                                 const std::vector<std::uint32_t>& tasks) {
  std::uint32_t used = 0;
  for (const auto& [name, m] : machines_) used += m.from_market ? 0 : 1;
  std::uniform_real_distribution<> boot(0.8, 1.3);
  for (std::size_t i = 0; i < needs.size(); ++i) {
    for (std::uint32_t k = 0; k < tasks[i] && used < scenario_.cloud_capacity; ++k, ++used) {
      Machine machine;
      machine.partition = needs[i].partition;
      machine.since = now;
      machine.ready_at = machine.idle_since = now + scenario_.cloud_ready_s * boot(random_);
      machine.price = scenario_.cloud_price;
      machines_["host-" + std::to_string(++last_cloud_machine_number_)] = machine;
    }
  }
}

void MarketSimulation::advance_jobs() {
  // Runs end, machines are lost, runs begin in order, idle machines go back.
  std::map<std::string, const SimulatedMarket::Host*> hosts;
  for (const SimulatedMarket& m : markets) {
    for (const auto& [name, h] : m.hosts()) hosts[name] = &h;
  }
  for (auto it = machines_.begin(); it != machines_.end();) {
    Machine& machine = it->second;
    if (machine.busy_until >= 0 && now >= machine.busy_until) {
      Job& j = jobs_[machine.job];
      --j.running;
      if (++j.done == j.arrival.machines) j.done_at = now;
      machine.busy_until = -1;
      machine.idle_since = now;
    }
    bool lost = machine.from_market && hosts.count(it->first) != 0 && !hosts[it->first]->alive;
    if (lost && machine.busy_until >= 0) {
      --jobs_[machine.job].running;
      ++jobs_[machine.job].pending;
    }
    it = lost ? machines_.erase(it) : std::next(it);
  }
  std::vector<std::size_t> order = by_urgency();
  for (auto& [name, machine] : machines_) {
    if (machine.busy_until >= 0 || now < machine.ready_at) continue;
    for (std::size_t i : order) {
      Job& job = jobs_[i];
      if (job.pending == 0 || PartitionIndex{static_cast<std::uint32_t>(1 + i % 2)} != machine.partition)
        continue;
      --job.pending;
      ++job.running;
      machine.job = i;
      machine.busy_until = now + job.arrival.run_s;
      if (machine.from_market && !machine.used) ++machines_used_;
      machine.used = true;
      break;
    }
  }
  if (!leader_) return;
  for (auto it = machines_.begin(); it != machines_.end();) {
    auto here = it++;
    Machine& m = here->second;
    if (m.busy_until >= 0 || now < m.ready_at || now - m.idle_since < idle_keep_s) continue;
    if (!m.from_market) {
      cloud_cost_ += std::max(60.0, now - m.since) * m.price / 3600;
    } else {
      leader_->bidding_service.release({leader_->cluster_state.intern_machine(here->first)}, now);
    }
    machines_.erase(here);
  }
}

void MarketSimulation::check() {
  MoneyAmount hour = 0, window = 0;
  for (const auto& [key, entry] : store_) {
    if (const auto* b = std::get_if<BidRecord>(&entry.change.value)) {
      hour += b->price_limit * static_cast<MoneyAmount>(b->count());
      window += market::worst_case(*b);
    } else if (const auto* l = std::get_if<LedgerRecord>(&entry.change.value)) {
      for (const auto& [partition, paid] : l->spent) window += paid;
    }
  }
  auto over = [](MoneyAmount use, MoneyAmount ceiling) {
    return ceiling > 0 ? static_cast<double>(use) / static_cast<double>(ceiling) : 0;
  };
  highest_use = std::max(highest_use, over(window, settings.total_limit.per_window));
  max_hourly_spend = std::max(max_hourly_spend, over(hour, settings.total_limit.per_hour));
  double charged = 0;
  for (const SimulatedMarket& m : markets) charged += m.charged(now - 1000);
  if (over(window, settings.total_limit.per_window) > 1 || over(hour, settings.total_limit.per_hour) > 1 ||
      over(market::to_money_amount(charged), settings.total_limit.per_window) > 1)
    ++breaches;
}

void MarketSimulation::step() {
  now += step_s;
  while (jobs_.size() < arrivals.size()) jobs_.push_back({arrivals[jobs_.size()], 0, 0, 0, -1});
  for (Job& j : jobs_) {
    if (j.done == 0 && j.running == 0 && j.pending == 0 && now - 1000 >= j.arrival.arrives_at)
      j.pending = j.arrival.machines;
  }
  for (SimulatedMarket& m : markets) m.tick(now - 1000);
  if (!leader_ && now >= next_leader_at_ && !state_down_) {
    ++last_term_;
    leader_ = std::make_unique<Leader>(*this, last_term_);
    Change ownership{OwnershipKey{idle_pool},
                     OwnershipRecord{leader_->cluster_state.settings.controller_name, last_term_},
                     last_term_};
    Revision revision = 0;
    apply({{}, {ownership}}, revision);
    market::BiddingService& bidding_service = leader_->bidding_service;
    // What the earlier leader had marked as to be returned, it may not have returned.
    for (std::uint32_t m = 0; m < leader_->cluster_state.machine_count(); ++m) {
      const auto& known = leader_->cluster_state.machine(MachineIndex{m});
      if (known.revision != 0 && machines_.count(known_state_.names.machines.name(MachineIndex{m})) == 0)
        bidding_service.release({MachineIndex{m}}, now);
    }
    bidding_service.planner = [this](const auto& demands, const auto& offers, const auto& ledger,
                                     double reference, const auto& settings) {
      std::map<PartitionIndex, std::uint32_t> late, wanted, awarded;
      for (const auto& [name, bid] : leader_->bidding_service.bids()) {
        bool over = bid.first_sent_at >= 0 && (now > bid.late_after || bid.withdraw_requested);
        if (!over || bid.state >= market::BidState::running) continue;
        for (const auto& [partition, n] : bid.record.machines)
          late[partition] += n * (bid.record.count() - bid.delivered) / bid.record.count();
      }
      market::Plan plan =
          baseline(policy_, scenario_.markets, now - 1000, demands, offers, ledger, reference, settings);
      for (const UnmetDemand& n : unmet_demand()) wanted[n.partition] += n.tasks;
      for (const market::Award& a : plan.awards) awarded[demands[a.demand].partition] += a.machines;
      for (const auto& [partition, n] : awarded) {
        double most = (1 + settings.extra_fraction) * wanted[partition] + 2;
        most_bought = std::max(most_bought, (n + late[partition]) / most);
      }
      return plan;
    };
    bidding_service.on_delivered = [this](const market::HostUpdate& delivery, const MachineRecord& record) {
      // One index for all leaders: what is stored names machines by it.
      MachineIndex machine_index = known_state_.names.machines.intern(delivery.name);
      while (leader_->cluster_state.names.machines.size() <= machine_index.value)
        leader_->cluster_state.intern_machine(
            known_state_.names.machines.name(MachineIndex{leader_->cluster_state.names.machines.size()}));
      Revision at = 0;
      apply({{}, {{MachineKey{machine_index}, record}}}, at);
      Machine machine;
      machine.partition = record.partition;
      machine.since = machine.idle_since = now;
      machine.from_market = true;
      machines_[delivery.name] = machine;
    };
    bidding_service.on_overpriced = [this](const std::vector<MachineIndex>& ms) {
      for (MachineIndex m : ms) {
        auto it = machines_.find(known_state_.names.machines.name(m));
        if (it == machines_.end()) continue;
        if (it->second.busy_until >= 0) {
          --jobs_[it->second.job].running;
          ++jobs_[it->second.job].pending;
          it->second.busy_until = -1;
        }
        it->second.ready_at = it->second.idle_since = -1e9;  // goes back in this very step
        it->second.partition = idle_pool;
      }
    };
    bidding_service.on_returned = [this](const std::vector<MachineIndex>& ms, bool said) {
      Revision at = 0;
      for (MachineIndex m : ms) {
        if (said) apply({{}, {{MachineKey{m}, {}}}}, at);
      }
    };
  }
  if (leader_) {
    std::vector<InFlight> due_calls;
    auto split = std::partition(in_flight_.begin(), in_flight_.end(),
                                [this](const InFlight& f) { return f.answer_at > now; });
    std::move(split, in_flight_.end(), std::back_inserter(due_calls));
    in_flight_.erase(split, in_flight_.end());
    for (const InFlight& f : due_calls) {
      if (f.term == last_term_) leader_->bidding_service.on_answer(f.call, f.answer, {now, now});
    }
    Effects out;
    std::vector<market::Call> calls;
    leader_->scheduler.run_cycle({now, now}, out);
    std::vector<UnmetDemand> needs = unmet_demand();
    scale_out(needs, leader_->bidding_service.plan(needs, cloud_offers(), {now, now}, out));
    leader_->bidding_service.run_cycle({now, now}, out, calls);
    for (const Write& w : out.writes) write(w);
    for (const market::Call& c : calls) send(c);
  }
  advance_jobs();
  check();
}

MarketResult MarketSimulation::result() const {
  MarketResult result;
  result.cost = cloud_cost_;
  for (const auto& [name, m] : machines_) {
    if (!m.from_market) result.cost += std::max(60.0, now - m.since) * m.price / 3600;
  }
  for (const SimulatedMarket& m : markets) {
    result.cost += m.charged(now - 1000);
    result.bought += static_cast<std::uint32_t>(m.hosts().size());
  }
  result.unused = result.bought - std::min(result.bought, machines_used_);
  for (const Job& job : jobs_) {
    bool in_time = job.done_at >= 0 && job.done_at <= 1000 + job.arrival.arrives_at + job.arrival.due_s;
    ++result.jobs;
    result.in_time += in_time ? 1 : 0;
    result.guaranteed += job.arrival.guaranteed ? 1 : 0;
    result.guaranteed_in_time += job.arrival.guaranteed && in_time ? 1 : 0;
  }
  result.breaches = breaches;
  if (leader_) {
    for (const market::MarketSettings& m : settings.markets)
      result.suspended +=
          leader_->bidding_service.market_client(m.index).state() == market::MarketState::suspended ? 1 : 0;
  }
  return result;
}

MarketResult MarketSimulation::run() {
  while (now - 1000 < scenario_.duration_s) step();
  return result();
}

}  // namespace oxbowmill::simulation
