// Controllers of the simulated cluster: start and end of their processes, watches, leases, ownership and
// transactions.
#include "cluster_simulation_impl.h"

namespace oxbowmill::simulation {

namespace {

/// Reconciliation with perfect knowledge: it suspects exactly the dead machines and marks them for deletion,
/// at once.
class Oracle : public reconciliation::Reconciler {
 public:
  Oracle(const ClusterState& state, const Scheduler& scheduler, const reconciliation::Settings& settings,
         std::function<bool(const std::string&)> is_dead)
      : Reconciler(state, scheduler, settings), state_(state), is_dead_(std::move(is_dead)) {}
  bool is_suspected(MachineIndex machine_index) const override {
    return is_dead_(state_.names.machines.name(machine_index));
  }
  bool is_marked_for_deletion(MachineIndex machine_index) const override {
    return is_suspected(machine_index) && state_.machine(machine_index).record.mark == MachineMark::none;
  }

 private:
  const ClusterState& state_;
  std::function<bool(const std::string&)> is_dead_;
};

}  // namespace

void ClusterSimulation::Impl::start_controller(std::size_t i) {
  ControllerProcess& process = controllers[i];
  process = ControllerProcess();
  process.up_since = now;
  process.controller =
      std::make_unique<SimulatedController>(controller_name(i), store, settings(i), names(), catalog());
  process.change_budget.set_rate(0.7 * scenario.write_rps,
                                 std::max(0.35 * scenario.write_rps, double(scenario.txn_ops)));
  if (variant != SimulationVariant::without_reconciliation)
    process.controller->cluster_state.wall_clock_offset_s = wall_clock_offset_s;
  if (variant == SimulationVariant::with_reconciliation || variant == SimulationVariant::without_faults) {
    reconciliation::Settings r;
    r.enabled = true;
    process.controller->enable_reconciliation(r);
  } else if (variant == SimulationVariant::oracle) {
    process.controller->reconciler =
        std::make_unique<Oracle>(process.controller->cluster_state, process.controller->scheduler,
                                 reconciliation::Settings(), [this](const std::string& m) {
                                   auto h = machines.find(m);
                                   return h != machines.end() && !h->second.alive;
                                 });
    process.controller->scheduler.set_recovery_admission(process.controller->reconciler.get());
    process.controller->autoscaler.set_recovery_admission(process.controller->reconciler.get());
  }
}

void ClusterSimulation::Impl::stop_controller(std::size_t i, double restart_at) {
  collect_suspicion_counts(controllers[i]);
  controllers[i] = ControllerProcess();
  controllers[i].restarts_at = restart_at;
}

void ClusterSimulation::Impl::collect_suspicion_counts(const ControllerProcess& process) {
  if (!process.controller || !process.controller->reconciler) return;
  for (std::uint32_t p = 0; p < process.controller->cluster_state.partition_count(); ++p) {
    const auto& c = process.controller->reconciler->counts(PartitionIndex{p});
    result.suspected += c.suspected;
    result.returned += c.returned;
  }
}

void ClusterSimulation::Impl::run_controller(std::size_t i) {
  ControllerProcess& process = controllers[i];
  if (!process.controller) {
    if (process.restarts_at < 0 || now < process.restarts_at) return;
    start_controller(i);
  }
  if (!is_running(process)) return;
  SimulatedController& controller = *process.controller;
  bool state_up = reaches_state(process);
  if (!process.state_loaded) {
    if (!state_up) return;
    controller.load_state(now);
    process.state_loaded = true;
    if (variant != SimulationVariant::without_reconciliation) revoke_previous_leases(process, controller);
  }
  deliver_watch_responses(process, controller, state_up);
  if (state_up && now >= process.next_renewal_at) renew_lease(process, controller);
  if (state_up) acquire_partitions(process, controller);
  deliver_write_responses(process, controller);
  send_effects(i, controller.decide(now));
  if (controller.reconciler && now >= process.next_peer_update_at) exchange_peer_status(i);
}

void ClusterSimulation::Impl::deliver_watch_responses(ControllerProcess& process,
                                                      SimulatedController& controller, bool state_up) {
  constexpr double owner_sync_s = 0.1, other_sync_s = 0.6;
  if (state_up && now >= process.next_watch_at) {
    process.next_watch_at = now + (controller.scheduler.owns_any() ? owner_sync_s : other_sync_s);
    process.pending_watches.push_back(
        {now + state_response_delay_s(), now, store.events().size(), store.revision()});
  }
  // A controller that cannot reach the state service gets no responses to its open watches.
  if (!state_up) process.pending_watches.clear();
  for (; !process.pending_watches.empty() && process.pending_watches.front().response_at <= now;
       process.pending_watches.pop_front()) {
    const ControllerProcess::PendingWatch& watch = process.pending_watches.front();
    controller.apply_events_up_to(watch.event_count, watch.revision, watch.opened_at, now);
  }
}

void ClusterSimulation::Impl::renew_lease(ControllerProcess& process, SimulatedController& controller) {
  double lease_s = controller.cluster_state.settings.operator_settings.controller_lease_s;
  process.next_renewal_at = now + lease_s / 4;
  if (controller.lease.lease_id() == 0) {
    controller.lease.on_granted(store.grant_lease(lease_s, now), now);
  } else if (store.renew_lease(controller.lease.lease_id(), now)) {
    controller.lease.on_renewed(now);
  } else {
    controller.lease.on_lost();
  }
}

void ClusterSimulation::Impl::deliver_write_responses(ControllerProcess& process,
                                                      SimulatedController& controller) const {
  while (!process.write_responses.empty() && process.write_responses.front().arrives_at <= now) {
    ControllerProcess::WriteResponse response = std::move(process.write_responses.front());
    process.write_responses.pop_front();
    Revision revision = response.result ? response.result->body.value("ledger_rev", std::uint64_t{0}) : 0;
    controller.on_write_result(response.write, outcome_of(response.result), revision, now);
  }
}

void ClusterSimulation::Impl::send_effects(std::size_t i, Effects out) {
  ControllerProcess& process = controllers[i];
  for (Write& write : out.writes) {
    process.controller->queue_write(write);
    process.write_queues[static_cast<std::size_t>(write.urgency)].push_back(std::move(write));
  }
  send_queued_writes(process, *process.controller);
  for (const DirectCommands& commands : out.direct_commands) deliver(i, commands);
  for (ScaleOutRequest& request : out.scale_outs)
    cloud_calls.push_back({i, now, std::move(request), {}, false});
  if (!out.deletions.empty()) cloud_calls.push_back({i, now, {}, out.deletions, false});
  if (out.list_machines) cloud_calls.push_back({i, now, {}, {}, true});
}

void ClusterSimulation::Impl::exchange_peer_status(std::size_t i) {
  ControllerProcess& process = controllers[i];
  process.next_peer_update_at = now + 1;
  for (std::size_t k = 0; k < controllers.size(); ++k) {
    bool cannot_reach = now < process.isolated_until || now < controllers[k].isolated_until ||
                        is_isolated(zone_of(i)) != is_isolated(zone_of(k));
    if (k != i && !cannot_reach && is_running(controllers[k]) && controllers[k].controller->reconciler)
      send_peer_status(*process.controller, *controllers[k].controller);
  }
}

void ClusterSimulation::Impl::send_peer_status(const SimulatedController& from,
                                               SimulatedController& to) const {
  for (const auto& status : from.reconciler->partition_statuses()) to.reconciler->on_peer_status(status, now);
  for (MachineIndex m : from.reconciler->suspects(200))
    to.reconciler->on_peer_suspect(to.cluster_state.find_recorded(from.cluster_state.names.machines.name(m)),
                                   now);
}

void ClusterSimulation::Impl::publish_key(SimulatedController& controller, const Key& key) {
  Change change{key, OwnershipRecord{controller.name, controller.lease.lease_id()},
                controller.lease.lease_id()};
  std::string encoded_key = state::encode_key(key, controller.cluster_state);
  Json guards = Json::array();
  if (!std::holds_alternative<ControllerKey>(key)) guards.push_back({{"k", encoded_key}, {"stamp", 0}});
  Json body = {{"guards", guards},
               {"apply",
                {{{"put", encoded_key},
                  {"value", state::encode_value(change, controller.cluster_state)},
                  {"grant", controller.lease.lease_id()}}}}};
  if (!delays_write(body)) store.txn(body);
  controller.sync(now);
}

bool ClusterSimulation::Impl::reaches_state(const ControllerProcess& process) const {
  auto i = static_cast<std::size_t>(&process - controllers.data());
  return !store.outage() && now >= process.without_state_until && now >= process.refused_until &&
         now >= process.isolated_until && !is_isolated(zone_of(i));
}

bool ClusterSimulation::Impl::delays_write(const Json& body) {
  if (!delays_next_write()) return false;
  delayed_writes.push_back({now + draw(2, 12), body});
  return true;
}

void ClusterSimulation::Impl::revoke_previous_leases(ControllerProcess& process,
                                                     SimulatedController& controller) {
  std::set<std::uint64_t> own_lease_ids;
  for (std::uint32_t partition_number = 0; partition_number < controller.cluster_state.partition_count();
       ++partition_number) {
    const Ownership& ownership = controller.cluster_state.ownership(PartitionIndex{partition_number});
    if (ownership.revision == 0 || ownership.record.controller != controller.name) continue;
    own_lease_ids.insert(ownership.record.lease_id);
    process.lost_partitions.insert(partition_number);
  }
  auto live = controller.cluster_state.controllers().find(controller.name);
  if (live != controller.cluster_state.controllers().end())
    own_lease_ids.insert(live->second.record.lease_id);
  for (std::uint64_t id : own_lease_ids) store.revoke_lease(id);
  controller.sync(now);
}

void ClusterSimulation::Impl::acquire_partitions(ControllerProcess& process,
                                                 SimulatedController& controller) {
  if (controller.lease.lease_id() == 0) return;
  if (now - process.registered_at >= 1 &&
      needs_registration(controller.cluster_state, controller.lease, controller.name)) {
    process.registered_at = now;
    publish_key(controller, ControllerKey{controller.name});
  }
  std::vector<std::string> live_controllers;
  for (const auto& [name, record] : controller.cluster_state.controllers()) live_controllers.push_back(name);
  if (std::find(live_controllers.begin(), live_controllers.end(), controller.name) == live_controllers.end())
    return;
  std::vector<std::string> all_controllers;
  for (std::size_t k = 0; k < controllers.size(); ++k) all_controllers.push_back(controller_name(k));
  for (std::uint32_t partition_number = 0; partition_number < controller.cluster_state.partition_count();
       ++partition_number) {
    if (controller.cluster_state.ownership(PartitionIndex{partition_number}).revision != 0) {
      process.acquire_at.erase(partition_number);
      continue;
    }
    bool recently_started = now - process.up_since < 5;
    std::size_t turn =
        process.lost_partitions.count(partition_number) != 0
            ? 0
            : acquisition_turn(controller.cluster_state, PartitionIndex{partition_number}, controller.name,
                               recently_started ? all_controllers : live_controllers);
    auto [it, inserted] = process.acquire_at.emplace(partition_number, now + 0.6 * static_cast<double>(turn));
    if (now < it->second) continue;
    it->second = now + 3;
    process.lost_partitions.erase(partition_number);
    publish_key(controller, OwnershipKey{PartitionIndex{partition_number}});
  }
}

void ClusterSimulation::Impl::send_queued_writes(ControllerProcess& process,
                                                 SimulatedController& controller) {
  for (auto& queue : process.write_queues) {
    while (!queue.empty()) {
      auto changes = static_cast<double>(queue.front().txn.changes.size());
      if (!process.change_budget.take(changes, now)) return;
      Write write = std::move(queue.front());
      queue.pop_front();
      std::optional<StateStore::Result> write_result = send_write(process, controller, write);
      if (write_result && write_result->status == 200) remember_final_phases(process, controller, write);
      process.write_responses.push_back({now + (write_result ? step_s + state_response_delay_s() : 2),
                                         std::move(write), std::move(write_result)});
      std::sort(process.write_responses.begin(), process.write_responses.end(),
                [](const auto& a, const auto& b) { return a.arrives_at < b.arrives_at; });
    }
  }
}

std::optional<StateStore::Result> ClusterSimulation::Impl::send_write(const ControllerProcess& process,
                                                                      SimulatedController& controller,
                                                                      const Write& write) {
  auto changes = static_cast<double>(write.txn.changes.size());
  auto here = static_cast<std::size_t>(&process - controllers.data());
  bool unreachable =
      now < process.without_state_until || now < process.isolated_until || is_isolated(zone_of(here));
  if (!unreachable && now < process.refused_until) return StateStore::Result{503, Json::object()};
  if (unreachable || (!store.outage() && loses_next(controller, write))) return std::nullopt;
  if (!store.outage() && !write_budget.take(changes, now)) return StateStore::Result{429, Json::object()};
  std::optional<StateStore::Result> write_result = controller.send(write);
  bool lost = loses_write_response();
  if (write_result && write_result->status == 200) {
    current_sample().changes += static_cast<std::uint32_t>(changes);
    if (write.urgency == Urgency::placement) ++current_sample().starts;
  }
  return lost ? std::nullopt : write_result;
}

void ClusterSimulation::Impl::remember_final_phases(ControllerProcess& process,
                                                    const SimulatedController& controller,
                                                    const Write& write) {
  for (const Change& change : write.txn.changes) {
    const auto* key = std::get_if<FinalPhaseKey>(&change.key);
    if (key != nullptr)
      process.known_final_phases.emplace(controller.cluster_state.job(key->job).spec.ref,
                                         std::get<JobPhase>(change.value));
  }
}

bool ClusterSimulation::Impl::loses_next(SimulatedController& controller, const Write& write) {
  if (!delays_next_write()) return false;
  controller.write_outcome = WriteOutcome::not_arrived;
  controller.send(write);
  controller.write_outcome = WriteOutcome::answered;
  delayed_writes.push_back({now + draw(2, 12), controller.lost_writes.back()});
  controller.lost_writes.clear();
  return true;
}

}  // namespace oxbowmill::simulation
