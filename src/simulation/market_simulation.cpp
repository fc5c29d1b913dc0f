#include "oxbowmill/simulation/market_simulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "oxbowmill/state/keys.h"

namespace oxbowmill::simulation {

namespace {
constexpr double step_s = 0.5, idle_timeout_s = 10, takeover_delay_s = 1, call_latency_s = 0.1;
const char* const partition_names[] = {"red", "blue"};

Settings controller_settings(std::uint64_t term, double controller_lease_s) {
  Settings settings;
  settings.controller_name = "node-" + std::to_string(term % 3);
  settings.controller_count = 3;
  settings.teams.resize(3);
  settings.operator_settings.controller_lease_s = controller_lease_s;
  return settings;
}

Names initial_names() {
  Names names;
  names.partitions.intern(state::idle_pool_name);
  for (const char* partition : partition_names) names.partitions.intern(partition);
  for (const char* zone : {"a", "b"}) names.zones.intern(zone);
  names.types.intern("std");
  return names;
}
}  // namespace

const char* name_of(Policy policy) {
  static constexpr const char* names[] = {"planner", "cheapest", "one", "even", "bound"};
  return names[static_cast<int>(policy)];
}

MarketSimulation::Leader::Leader(MarketSimulation& simulation, std::uint64_t term)
    : cluster_state(controller_settings(term, 1e9), simulation.name_registry_.names),
      lease(cluster_state.settings),
      scheduler(cluster_state, lease),
      bidding_service(cluster_state, scheduler, simulation.settings) {
  cluster_state.catalog = simulation.catalog_;
  for (std::uint32_t m = 0; m < simulation.name_registry_.names.machines.size(); ++m)
    cluster_state.intern_machine(simulation.name_registry_.names.machines.name(MachineIndex{m}));
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
      name_registry_(controller_settings(0, 1), initial_names()) {
  MachineType type;
  type.capacity = machine_capacity(8, 1, 64);
  type.price = scenario.cloud_price;
  type.spot_price = scenario.cloud_price;
  type.boot_s = scenario.cloud_ready_s;
  type.zones = {ZoneIndex{0}};
  catalog_ = {type};
  settings.markets.clear();
  for (const MarketBehavior& behavior : scenario.markets) {
    settings.markets.push_back(
        {behavior.name, name_registry_.names.markets.intern(behavior.name), "127.0.0.1:1", 20});
    markets.emplace_back(behavior, random_(), std::vector<std::string>{"std"},
                         std::vector<std::string>{"a", "b"});
  }
  std::uniform_real_distribution<> uniform(0, 1);
  for (std::uint32_t i = 0; i < scenario.jobs; ++i) {
    JobArrival arrival;
    // Half of the jobs exist when the zone fails; the others arrive during the next third of the scenario.
    arrival.arrives_at =
        scenario.zone_loss_at_s + (i % 2 == 0 ? 0 : uniform(random_) * scenario.duration_s / 3);
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
  pending_calls_.clear();
  store_.erase("claim");
  next_leader_at_ = now + takeover_delay_s;
}

void MarketSimulation::publish(const Change& change, Revision revision) {
  if (!leader_) return;
  leader_->cluster_state.apply(change, revision, now);
  leader_->scheduler.applied_revision(revision);
}

bool MarketSimulation::apply(const Transaction& transaction, Revision& revision) {
  auto key_of = [&](const Key& k) {
    if (std::holds_alternative<OwnershipKey>(k)) return std::string("claim");
    return state::encode_key(k, name_registry_);
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

market::Answer MarketSimulation::call_market(const market::Call& call) {
  return markets[call.market.value].call(call, name_registry_.names, now - start_s);
}

void MarketSimulation::send(const market::Call& call) {
  PendingCall pending_call{call, now + settings.answer_timeout_s, {}, last_term_};
  if (delaying_calls_) {
    delayed_calls_.push_back(call);
  } else {
    pending_call.answer = call_market(call);
    if (pending_call.answer.kind != market::AnswerKind::no_answer)
      pending_call.answer_at = now + call_latency_s;
  }
  pending_calls_.push_back(std::move(pending_call));
}

void MarketSimulation::release_calls() {
  delaying_calls_ = false;
  for (const market::Call& call : delayed_calls_) call_market(call);
  delayed_calls_.clear();
}

std::vector<CloudOffer> MarketSimulation::cloud_offers() const {
  std::uint32_t rented = 0;
  for (const auto& [name, m] : machines_) rented += m.from_market ? 0 : 1;
  if (rented >= scenario_.cloud_capacity) return {};
  return {{TypeIndex{0}, ZoneIndex{0}, false, scenario_.cloud_price, scenario_.cloud_ready_s,
           scenario_.cloud_capacity - rented}};
}

std::vector<std::size_t> MarketSimulation::jobs_by_urgency() const {
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
    for (std::uint32_t partition = 1; partition < 3; ++partition) {
      for (const auto& e : leader_->bidding_service.expected(PartitionIndex{partition}, now))
        supply[PartitionIndex{partition}] += e.machines;
    }
  }
  for (std::size_t i : jobs_by_urgency()) {
    const Job& job = jobs_[i];
    PartitionIndex partition{static_cast<std::uint32_t>(1 + i % 2)};
    std::uint32_t unserved = job.pending - std::min(job.pending, supply[partition]);
    supply[partition] -= job.pending - unserved;
    if (unserved == 0) continue;
    UnmetDemand need;
    need.partition = partition;
    need.priority = job.arrival.priority;
    need.guaranteed = job.arrival.guaranteed;
    need.tasks = unserved;
    need.tasks_per_machine = {1};
    need.estimated_run_s = job.arrival.run_s;
    need.slack_s = start_s + job.arrival.arrives_at + job.arrival.due_s - job.arrival.run_s - now;
    need.waited_s = now - start_s - job.arrival.arrives_at;
    needs.push_back(need);
  }
  return needs;
}

void MarketSimulation::scale_out(const std::vector<UnmetDemand>& needs,
                                 const std::vector<std::uint32_t>& tasks) {
  std::uint32_t rented = 0;
  for (const auto& [name, m] : machines_) rented += m.from_market ? 0 : 1;
  std::uniform_real_distribution<> boot(0.8, 1.3);
  for (std::size_t i = 0; i < needs.size(); ++i) {
    for (std::uint32_t k = 0; k < tasks[i] && rented < scenario_.cloud_capacity; ++k, ++rented) {
      Machine machine;
      machine.partition = needs[i].partition;
      machine.rented_since = now;
      machine.ready_at = machine.idle_since = now + scenario_.cloud_ready_s * boot(random_);
      machine.price = scenario_.cloud_price;
      machines_["host-" + std::to_string(++last_cloud_machine_number_)] = machine;
    }
  }
}

void MarketSimulation::advance_jobs() {
  end_runs_and_lost_machines();
  start_runs();
  if (leader_) return_idle_machines();
}

void MarketSimulation::end_runs_and_lost_machines() {
  std::map<std::string, const SimulatedMarket::Host*> hosts;
  for (const SimulatedMarket& m : markets) {
    for (const auto& [name, host] : m.hosts()) hosts[name] = &host;
  }
  for (auto it = machines_.begin(); it != machines_.end();) {
    Machine& machine = it->second;
    if (machine.busy_until >= 0 && now >= machine.busy_until) {
      Job& job = jobs_[machine.job];
      --job.running;
      if (++job.done == job.arrival.machines) job.done_at = now;
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
}

void MarketSimulation::start_runs() {
  std::vector<std::size_t> order = jobs_by_urgency();
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
      if (machine.from_market && !machine.was_used) ++machines_used_;
      machine.was_used = true;
      break;
    }
  }
}

void MarketSimulation::return_idle_machines() {
  for (auto it = machines_.begin(); it != machines_.end();) {
    auto current = it++;
    Machine& machine = current->second;
    if (machine.busy_until >= 0 || now < machine.ready_at || now - machine.idle_since < idle_timeout_s)
      continue;
    if (!machine.from_market) {
      cloud_cost_ += std::max(60.0, now - machine.rented_since) * machine.price / 3600;
    } else {
      leader_->bidding_service.release({leader_->cluster_state.intern_machine(current->first)}, now);
    }
    machines_.erase(current);
  }
}

void MarketSimulation::check_spending() {
  MoneyAmount hourly_spend = 0, window_spend = 0;
  for (const auto& [key, entry] : store_) {
    if (const auto* b = std::get_if<BidRecord>(&entry.change.value)) {
      hourly_spend += b->price_limit * static_cast<MoneyAmount>(b->count());
      window_spend += market::worst_case_cost(*b);
    } else if (const auto* l = std::get_if<LedgerRecord>(&entry.change.value)) {
      for (const auto& [partition, paid] : l->spent) window_spend += paid;
    }
  }
  auto ratio = [](MoneyAmount spend, MoneyAmount limit) {
    return limit > 0 ? static_cast<double>(spend) / static_cast<double>(limit) : 0;
  };
  max_window_spend_ratio =
      std::max(max_window_spend_ratio, ratio(window_spend, settings.total_limit.per_window));
  max_hourly_spend_ratio =
      std::max(max_hourly_spend_ratio, ratio(hourly_spend, settings.total_limit.per_hour));
  double charged = 0;
  for (const SimulatedMarket& m : markets) charged += m.charged(now - start_s);
  if (ratio(window_spend, settings.total_limit.per_window) > 1 ||
      ratio(hourly_spend, settings.total_limit.per_hour) > 1 ||
      ratio(market::to_money_amount(charged), settings.total_limit.per_window) > 1)
    ++breaches;
}

void MarketSimulation::step() {
  now += step_s;
  admit_arrivals();
  for (SimulatedMarket& m : markets) m.tick(now - start_s);
  if (!leader_ && now >= next_leader_at_ && !state_down_) begin_leader();
  if (leader_) {
    deliver_due_answers();
    run_leader_cycle();
  }
  advance_jobs();
  check_spending();
}

void MarketSimulation::admit_arrivals() {
  while (jobs_.size() < arrivals.size()) jobs_.push_back({arrivals[jobs_.size()], 0, 0, 0, -1});
  for (Job& job : jobs_) {
    if (job.done == 0 && job.running == 0 && job.pending == 0 && now - start_s >= job.arrival.arrives_at)
      job.pending = job.arrival.machines;
  }
}

void MarketSimulation::begin_leader() {
  ++last_term_;
  leader_ = std::make_unique<Leader>(*this, last_term_);
  Change ownership{OwnershipKey{idle_pool},
                   OwnershipRecord{leader_->cluster_state.settings.controller_name, last_term_}, last_term_};
  Revision ownership_revision = 0;
  apply({{}, {ownership}}, ownership_revision);
  market::BiddingService& bidding_service = leader_->bidding_service;
  // The previous leader may have crashed between marking a machine for return and returning it.
  for (std::uint32_t m = 0; m < leader_->cluster_state.machine_count(); ++m) {
    const auto& known = leader_->cluster_state.machine(MachineIndex{m});
    if (known.revision != 0 && machines_.count(name_registry_.names.machines.name(MachineIndex{m})) == 0)
      bidding_service.release({MachineIndex{m}}, now);
  }
  bidding_service.planner = [this](const auto& demands, const auto& offers, const auto& ledger,
                                   double reference_price, const auto& planner_settings) {
    return plan_and_measure(demands, offers, ledger, reference_price, planner_settings);
  };
  bidding_service.on_delivered = [this](const market::HostUpdate& delivery, const MachineRecord& record) {
    adopt_delivered(delivery, record);
  };
  bidding_service.on_disputed = [this](const std::vector<MachineIndex>& overpriced) {
    for (MachineIndex machine_index : overpriced) drain_machine(machine_index);
  };
  bidding_service.on_returned = [this](const std::vector<MachineIndex>& returned, bool confirmed) {
    Revision revision = 0;
    for (MachineIndex machine_index : returned) {
      if (confirmed) apply({{}, {{MachineKey{machine_index}, {}}}}, revision);
    }
  };
}

market::Plan MarketSimulation::plan_and_measure(const std::vector<market::Demand>& demands,
                                                const std::vector<market::Offer>& offers,
                                                const market::Ledger& ledger, double reference_price,
                                                const market::Settings& planner_settings) {
  std::map<PartitionIndex, std::uint32_t> overdue_machines, wanted, awarded;
  for (const auto& [name, bid] : leader_->bidding_service.bids()) {
    bool is_overdue = bid.first_sent_at >= 0 && (now > bid.late_after || bid.withdraw_requested);
    if (!is_overdue || bid.state >= market::BidState::running) continue;
    for (const auto& [partition, count] : bid.record.machines)
      overdue_machines[partition] +=
          count * (bid.record.count() - bid.delivered_machines) / bid.record.count();
  }
  market::Plan plan = make_policy_plan(policy_, scenario_.markets, now - start_s, demands, offers, ledger,
                                       reference_price, planner_settings);
  for (const UnmetDemand& need : unmet_demand()) wanted[need.partition] += need.tasks;
  for (const market::Award& award : plan.awards)
    awarded[demands[award.demand_index].partition] += award.machines;
  for (const auto& [partition, count] : awarded) {
    double allowed = (1 + planner_settings.extra_fraction) * wanted[partition] + 2;
    max_purchase_ratio = std::max(max_purchase_ratio, (count + overdue_machines[partition]) / allowed);
  }
  return plan;
}

void MarketSimulation::adopt_delivered(const market::HostUpdate& delivery, const MachineRecord& record) {
  // Stored records refer to machines by index, so that all leaders must share one table of indices.
  MachineIndex machine_index = name_registry_.names.machines.intern(delivery.name);
  while (leader_->cluster_state.names.machines.size() <= machine_index.value)
    leader_->cluster_state.intern_machine(
        name_registry_.names.machines.name(MachineIndex{leader_->cluster_state.names.machines.size()}));
  Revision revision = 0;
  apply({{}, {{MachineKey{machine_index}, record}}}, revision);
  Machine machine;
  machine.partition = record.partition;
  machine.rented_since = machine.idle_since = now;
  machine.from_market = true;
  machines_[delivery.name] = machine;
}

void MarketSimulation::drain_machine(MachineIndex machine_index) {
  auto it = machines_.find(name_registry_.names.machines.name(machine_index));
  if (it == machines_.end()) return;
  Machine& machine = it->second;
  if (machine.busy_until >= 0) {
    --jobs_[machine.job].running;
    ++jobs_[machine.job].pending;
    machine.busy_until = -1;
  }
  machine.ready_at = machine.idle_since =
      -1e9;  // makes it count as idle long enough to be returned in this step
  machine.partition = idle_pool;
}

void MarketSimulation::deliver_due_answers() {
  std::vector<PendingCall> due_calls;
  auto split = std::partition(pending_calls_.begin(), pending_calls_.end(),
                              [this](const PendingCall& call) { return call.answer_at > now; });
  std::move(split, pending_calls_.end(), std::back_inserter(due_calls));
  pending_calls_.erase(split, pending_calls_.end());
  for (const PendingCall& call : due_calls) {
    if (call.term == last_term_) leader_->bidding_service.on_answer(call.call, call.answer, {now, now});
  }
}

void MarketSimulation::run_leader_cycle() {
  Effects out;
  std::vector<market::Call> calls;
  leader_->scheduler.run_cycle({now, now}, out);
  std::vector<UnmetDemand> needs = unmet_demand();
  scale_out(needs, leader_->bidding_service.plan(needs, cloud_offers(), {now, now}, out));
  leader_->bidding_service.run_cycle({now, now}, out, calls);
  for (const Write& w : out.writes) write(w);
  for (const market::Call& call : calls) send(call);
}

MarketResult MarketSimulation::result() const {
  MarketResult result;
  result.cost = cloud_cost_;
  for (const auto& [name, m] : machines_) {
    if (!m.from_market) result.cost += std::max(60.0, now - m.rented_since) * m.price / 3600;
  }
  for (const SimulatedMarket& m : markets) {
    result.cost += m.charged(now - start_s);
    result.bought_machines += static_cast<std::uint32_t>(m.hosts().size());
  }
  result.unused_machines = result.bought_machines - std::min(result.bought_machines, machines_used_);
  for (const Job& job : jobs_) {
    bool in_time = job.done_at >= 0 && job.done_at <= start_s + job.arrival.arrives_at + job.arrival.due_s;
    ++result.jobs;
    result.in_time += in_time ? 1 : 0;
    result.guaranteed += job.arrival.guaranteed ? 1 : 0;
    result.guaranteed_in_time += job.arrival.guaranteed && in_time ? 1 : 0;
  }
  result.breaches = breaches;
  if (leader_) {
    for (const market::MarketSettings& m : settings.markets)
      result.suspended_markets +=
          leader_->bidding_service.market_client(m.index).state() == market::MarketState::suspended ? 1 : 0;
  }
  return result;
}

MarketResult MarketSimulation::run() {
  while (now - start_s < scenario_.duration_s) step();
  return result();
}

}  // namespace oxbowmill::simulation
