#include "oxbowmill/simulation/simulated_cluster.h"

#include <utility>

#include "oxbowmill/simulation/agent_wire.h"

namespace oxbowmill::simulation {

Settings test_settings(const std::string& controller_name) {
  Settings settings;
  settings.controller_name = controller_name;
  settings.controller_count = 2;
  settings.teams.resize(3);
  settings.teams[1].limit = {0, 8, 0};
  return settings;
}

Names test_names() {
  Names names;
  for (const char* p : {state::idle_pool_name, "red", "blue"}) names.partitions.intern(p);
  for (const char* z : {"a", "b"}) names.zones.intern(z);
  names.types.intern("std");
  names.images.intern("img");
  names.classes.intern("class");
  return names;
}

std::vector<MachineType> test_catalog() {
  MachineType type;
  type.capacity = machine_capacity(32, 4, 128);
  type.price = 10;
  type.spot_price = 3;
  type.boot_s = 20;
  type.zones = {ZoneIndex{0}, ZoneIndex{1}};
  return {type};
}

JobSpec test_job(const std::string& ref, std::uint32_t tasks, double gpus) {
  JobSpec job_spec;
  job_spec.ref = ref;
  job_spec.job_class = ClassIndex{0};
  job_spec.partition = PartitionIndex{1};
  job_spec.tasks = tasks;
  job_spec.task_resources = {2, gpus, 8};
  job_spec.image = ImageIndex{0};
  job_spec.flush_s = 2;
  job_spec.checkpoint_interval_s = 10;
  return job_spec;
}

SimulatedController::SimulatedController(std::string controller_name, StateStore& state, Settings settings,
                                         Names names, std::vector<MachineType> catalog)
    : name(std::move(controller_name)),
      cluster_state(std::move(settings), std::move(names)),
      lease(cluster_state.settings),
      scheduler(cluster_state, lease),
      autoscaler(cluster_state, scheduler),
      store_(state) {
  cluster_state.catalog = std::move(catalog);
  scheduler.enable_capacity_check();
}

void SimulatedController::enable_reconciliation(const reconciliation::Settings& settings) {
  reconciler = std::make_unique<reconciliation::Reconciler>(cluster_state, scheduler, settings);
  scheduler.set_recovery_admission(reconciler.get());
  autoscaler.set_recovery_admission(reconciler.get());
}

void SimulatedController::enable_decisions(release_calendar::ReleaseCalendar calendar,
                                           serving::Settings models) {
  decision_log = std::make_unique<decisions::DecisionLog>(cluster_state, scheduler, 0.05);
  release_coordinator =
      std::make_unique<release_calendar::ReleaseCoordinator>(cluster_state, *decision_log, scheduler, 1.0);
  release_coordinator->load(std::move(calendar));
  release_coordinator->query_final_phase = [this](const std::string& ref) {
    auto it = store_.keys().find(state::final_key(ref));
    if (store_.outage()) return release_coordinator->on_query_failed(ref);
    release_coordinator->on_final_phase(
        ref, it == store_.keys().end() ? std::nullopt : state::read_phase(it->second.value),
        watch_opened_at_);
  };
  combined_constraints_ = decisions::CombinedConstraints();
  combined_constraints_.add(release_coordinator.get());
  if (!models.empty()) {
    model_autoscaler = std::make_unique<serving::ModelAutoscaler>(cluster_state, *decision_log, scheduler,
                                                                  std::move(models));
    combined_constraints_.add(model_autoscaler.get());
  }
  cluster_state.constraints = &combined_constraints_;
}

ReportAnswer SimulatedController::handle_report(const AgentReport& report, double now) {
  if (reconciler && lease.authority(now) == Authority::full) {
    scheduler.detect_failovers(now);
    reconciler->on_report(report, now);
  }
  return scheduler.on_report(report, {now, now});
}

void SimulatedController::load_state(double now) {
  for (const auto& [key, e] : store_.keys()) {
    auto change = state::decode(key, &e.value, cluster_state);
    if (change) cluster_state.apply(*change, e.revision, now);
  }
  events_applied_ = store_.events().size();
  sync(now);
}

void SimulatedController::apply_events_up_to(std::size_t count, std::uint64_t revision, double opened_at,
                                             double now) {
  const auto& events = store_.events();
  for (; events_applied_ < count; ++events_applied_) {
    const StateStore::Event& e = events[events_applied_];
    auto change = state::decode(e.key, e.value ? &*e.value : nullptr, cluster_state);
    if (change) cluster_state.apply(*change, e.revision, now);
  }
  scheduler.applied_revision(revision);
  lease.on_watch_answered(opened_at);
}

bool SimulatedController::acquire_partition(PartitionIndex partition, double now) {
  if (lease.lease_id() == 0) {
    lease.on_granted(store_.grant_lease(cluster_state.settings.operator_settings.controller_lease_s, now),
                     now);
  }
  Change change{OwnershipKey{partition}, OwnershipRecord{name, lease.lease_id()}, lease.lease_id()};
  std::string key = state::encode_key(change.key, cluster_state);
  Json body = {
      {"guards", {{{"k", key}, {"stamp", 0}}}},
      {"apply",
       {{{"put", key}, {"value", state::encode_value(change, cluster_state)}, {"grant", lease.lease_id()}}}}};
  bool is_acquired = store_.txn(body).status == 200;
  sync(now);
  return is_acquired;
}

void SimulatedController::acquire_all_partitions(double now) {
  for (std::uint32_t p = 0; p < cluster_state.partition_count(); ++p)
    acquire_partition(PartitionIndex{p}, now);
}

void SimulatedController::renew(double now) {
  if (store_.renew_lease(lease.lease_id(), now)) lease.on_renewed(now);
}

Effects SimulatedController::decide(double now) {
  Effects out;
  watch_opened_at_ = now;
  bool full = lease.authority(now) == Authority::full;
  if (full && release_coordinator) release_coordinator->run_cycle({now, now}, out);
  if (full && model_autoscaler) model_autoscaler->run_cycle({now, now}, out);
  scheduler.run_cycle({now, now}, out);
  if (lease.authority(now) != Authority::full) return out;
  if (reconciler) reconciler->run_cycle(now);
  autoscaler.run_cycle({now, now}, out);
  return out;
}

std::optional<StateStore::Result> SimulatedController::send(const Write& write) {
  Json body = write_queue_.get_or_create(write, cluster_state).body;
  if (write_outcome == WriteOutcome::not_arrived) {
    lost_writes.push_back(body);
    return std::nullopt;
  }
  StateStore::Result result = store_.txn(body);
  if (result.status == 409) ++refused_writes;
  return result;
}

void SimulatedController::on_write_result(const Write& write, TransactionOutcome outcome, Revision revision,
                                          double now) {
  if (outcome != TransactionOutcome::unknown) sync(now);
  if (!scheduler.on_outcome(write.id, outcome, revision, now)) write_queue_.drop(write.id);
}

TransactionOutcome outcome_of(const std::optional<StateStore::Result>& result) {
  if (!result) return TransactionOutcome::unknown;
  return result->status == 200   ? TransactionOutcome::applied
         : result->status == 409 ? TransactionOutcome::refused
                                 : TransactionOutcome::not_executed;
}

void SimulatedController::run_cycle(double now) {
  Effects out = decide(now);
  if (bidding_service) {
    // With markets enabled the cloud creates no machines.
    for (const ScaleOutRequest& r : out.scale_outs)
      autoscaler.on_scale_out_result(r.request_id, true, {}, now);
    std::vector<market::Call> calls;
    bidding_service->run_cycle({now, now}, out, calls);
    for (const market::Call& call : calls)
      bidding_service->on_answer(call, markets_->at(call.market.value).call(call, cluster_state.names, now),
                                 {now, now});
  }
  for (const DirectCommands& d : out.direct_commands) direct_commands.push_back(d);
  scale_outs.insert(scale_outs.end(), out.scale_outs.begin(), out.scale_outs.end());
  machines_to_delete.insert(machines_to_delete.end(), out.deletions.begin(), out.deletions.end());
  for (const Write& w : out.writes) {
    auto r = send(w);
    Revision revision = r ? r->body.value("ledger_rev", std::uint64_t{0}) : 0;
    on_write_result(w,
                    write_outcome == WriteOutcome::answer_lost ? TransactionOutcome::unknown : outcome_of(r),
                    revision, now);
  }
}

void SimulatedController::enable_markets(const market::Settings& settings,
                                         std::vector<SimulatedMarket>& markets) {
  markets_ = &markets;
  for (const market::MarketSettings& m : settings.markets) cluster_state.names.markets.intern(m.name);
  bidding_service = std::make_unique<market::BiddingService>(cluster_state, scheduler, settings);
  market::connect(*bidding_service, autoscaler);
}

SimulatedCluster::SimulatedCluster(int controllers) {
  for (int i = 0; i < controllers; ++i) {
    std::string name = "node-" + std::to_string(i);
    controllers_.push_back(std::make_unique<SimulatedController>(name, store, test_settings(name)));
  }
  controllers_[0]->acquire_all_partitions(now);
  for (auto& n : controllers_) n->sync(now);
}

void SimulatedCluster::add_machine(const std::string& name, const std::string& zone,
                                   const std::string& partition, bool spot) {
  Json value = {{"part", partition}, {"type", "std"}, {"zone", zone}, {"spot", spot}, {"del", false}};
  store.txn({{"guards", Json::array()}, {"apply", {{{"put", "o/m/" + name}, {"value", value}}}}});
  agents_[name] = std::make_unique<Agent>(name, zone, run_log, spot);
}

void SimulatedCluster::add_unregistered_machine(const std::string& name, const std::string& zone) {
  agents_[name] = std::make_unique<Agent>(name, zone, run_log);
}

void SimulatedCluster::add_market(const simulation::MarketBehavior& behavior) {
  MarketIndex index{static_cast<std::uint32_t>(markets.size())};
  market_settings.markets.push_back({behavior.name, index, "127.0.0.1:1", 50});
  markets.emplace_back(behavior, 7, std::vector<std::string>{"std"}, std::vector<std::string>{"a", "b"});
  for (auto& n : controllers_) n->enable_markets(market_settings, markets);
}

void SimulatedCluster::submit(JobSpec spec) {
  spec.submitted_at = now;
  Json value = state::job_value(spec, JobPhase::open, controllers_[0]->cluster_state.names);
  store.txn({{"guards", Json::array()}, {"apply", {{{"put", state::job_key(spec.ref)}, {"value", value}}}}});
}

int SimulatedCluster::withdraw(const std::string& ref) {
  std::string key = state::job_key(ref);
  auto it = store.keys().find(key);
  if (it == store.keys().end()) return 404;
  Json value = state::with_phase(it->second.value, JobPhase::cancelled);
  return store
      .txn({{"guards", {{{"k", key}, {"stamp", it->second.revision}}}},
            {"apply", {{{"put", key}, {"value", value}}}}})
      .status;
}

ReportAnswer SimulatedCluster::exchange_report(const std::string& name, std::size_t n, bool response_lost) {
  Agent& agent = this->agent(name);
  AgentReport report = agent.report(now);
  if (exceeds_limit(write_report(report))) ++oversized_messages;
  ReportAnswer response = controllers_[n]->handle_report(report, now);
  bool is_valid = !exceeds_limit(wire::write_report_answer(response));
  if (!is_valid) ++oversized_messages;
  if (is_valid && !response_lost) agent.handle_response(response, now);
  return response;
}

void SimulatedCluster::run(double seconds, std::size_t n) {
  double end = now + seconds;
  SimulatedController& controller = *controllers_[n];
  while (now < end) {
    now += 0.5;
    store.expire_leases(now);
    if (!store.outage()) {
      controller.renew(now);
      controller.sync(now);
    }
    controller.run_cycle(now);
    for (SimulatedMarket& m : markets) {
      m.tick(now);
      for (const auto& [name, h] : m.hosts()) {
        if (h.alive && agents_.count(name) == 0) {
          agents_[name] = std::make_unique<Agent>(name, h.zone, run_log);
        } else if (!h.alive && agents_.count(name) != 0) {
          agents_[name]->power_off();
          silenced_agents.insert(name);
        }
      }
    }
    for (auto& [name, agent] : agents_) {
      if (silenced_agents.count(name) != 0) {
        agent->tick(now);
      } else {
        exchange_report(name, n);
      }
    }
    deliver_direct_commands(controller);
  }
}

void SimulatedCluster::deliver_direct_commands(SimulatedController& controller) {
  while (!controller.direct_commands.empty()) {
    DirectCommands direct_commands = std::move(controller.direct_commands.front());
    controller.direct_commands.pop_front();
    const std::string& to = controller.cluster_state.names.machines.name(direct_commands.machine);
    auto agent = agents_.find(to);
    bool is_valid = !exceeds_limit(wire::write_direct_commands(direct_commands));
    if (!is_valid) ++oversized_messages;
    if (is_valid && agent != agents_.end() && silenced_agents.count(to) == 0)
      agent->second->handle_commands(direct_commands);
  }
}

void SimulatedCluster::kill_controller(std::size_t n) {
  store.revoke_lease(controllers_[n]->lease.lease_id());
}

void SimulatedCluster::fail_over(std::size_t from, std::size_t to, double after_s) {
  kill_controller(from);
  controller(from).lease.on_lost();
  now += after_s;
  controller(to).sync(now);
  controller(to).lease.on_lost();
  controller(to).acquire_all_partitions(now);
}

std::uint64_t SimulatedCluster::register_controller(std::size_t n) {
  std::uint64_t lease_id = store.grant_lease(1e6, now);
  Change change{ControllerKey{controllers_[n]->name}, OwnershipRecord{controllers_[n]->name, lease_id},
                lease_id};
  ClusterState& replica = controllers_[n]->cluster_state;
  store.txn({{"guards", Json::array()},
             {"apply",
              {{{"put", state::encode_key(change.key, replica)},
                {"value", state::encode_value(change, replica)},
                {"grant", lease_id}}}}});
  return lease_id;
}

std::string SimulatedCluster::phase(const std::string& ref) const {
  for (const std::string& key : {state::job_key(ref), state::final_key(ref)}) {
    auto it = store.keys().find(key);
    if (it != store.keys().end()) return it->second.value.at("p").get<std::string>();
  }
  return "none";
}

std::vector<std::string> SimulatedCluster::machines_of_task(const std::string& ref, TaskNumber task) const {
  std::vector<std::string> out;
  auto it = store.keys().find("o/c/" + ref + "/" + std::to_string(task / tasks_per_chunk));
  if (it == store.keys().end()) return out;
  for (const Json& t : it->second.value.at("a")) {
    if (t[0].get<TaskNumber>() == task) out.push_back(t[1].get<std::string>());
  }
  return out;
}

}  // namespace oxbowmill::simulation
