// The cloud of the simulated cluster: scale-outs, deletions and lists of machines.
#include "cluster_simulation_impl.h"

namespace oxbowmill::simulation {

void ClusterSimulation::Impl::add_machine(std::uint32_t zone, bool spot, bool at_start) {
  std::string name = "host-" + std::to_string(100000 + machines.size());
  SimulatedMachine& machine = machines[name];
  if (at_start) zone = static_cast<std::uint32_t>(machines.size()) % scenario.zones;
  machine.zone = zone;
  machine.spot = spot;
  machine.created_at = now;
  machine.up_at = at_start ? now : now + scenario.boot_s * uniform(0.6, 1.5);
  if (!at_start && now < fast_boots_until) machine.up_at = now + draw(0.1, 2);
  machine.worker = std::make_unique<Worker>(name, zone_names[zone], run_log, spot);
  machine.worker->lease_s = scenario.lease_s;
  machine.worker->first_phase = TaskPhase::fetching;
  machine.next_report = machine.up_at + uniform(0, scenario.report_interval_s);
  machine.controller = pick(scenario.controllers);
  ++created;
  if (spot) ++created_spot;
  machine.known = true;
  if (!at_start) return;
  Json value = {{"part", state::idle_pool_name},
                {"type", "std"},
                {"zone", zone_names[zone]},
                {"spot", spot},
                {"del", false},
                {"up", true}};
  store.txn({{"guards", Json::array()}, {"apply", {{{"put", "o/m/" + name}, {"value", value}}}}});
}

void ClusterSimulation::Impl::serve_calls() {
  while (!calls.empty() && now - calls.front().at >= 2 * step_s && cloud_budget.take(1, now)) {
    CloudCall call = std::move(calls.front());
    calls.pop_front();
    ControllerProcess& process = controllers[call.controller];
    if (!process.controller) {
      // The controller ended after it had sent the request; during `FaultKind::fast_boots` the cloud still
      // creates the machines.
      if (now < fast_boots_until && !call.list && call.deletes.empty() && now >= cloud_down_until)
        create_machines(call.scale_out);
      continue;
    }
    Autoscaler& fleet = process.controller->autoscaler;
    bool booted = now >= cloud_down_until;
    if (call.list) {
      booted ? fleet.on_listed(list_machines(), now) : fleet.on_list_failed();
    } else if (!call.deletes.empty()) {
      for (MachineIndex m : call.deletes) {
        if (booted) delete_machine(process.controller->cluster_state.names.machines.name(m));
      }
      fleet.on_deleted(call.deletes, booted);
    } else if (!booted) {
      fleet.on_scale_out_result(call.scale_out.request_id, false, {}, now);
    } else {
      scale_out(call.scale_out, fleet);
    }
  }
}

void ClusterSimulation::Impl::scale_out(const ScaleOutRequest& request, Autoscaler& fleet) {
  fleet.on_scale_out_result(request.request_id, true, create_machines(request), now);
}

std::vector<std::string> ClusterSimulation::Impl::create_machines(const ScaleOutRequest& request) {
  auto of_zone =
      static_cast<std::uint32_t>(std::count_if(machines.begin(), machines.end(), [&](const auto& h) {
        return h.second.known && h.second.zone == request.zone.value;
      }));
  std::uint32_t room = scenario.machine_capacity / scenario.zones > of_zone
                           ? scenario.machine_capacity / scenario.zones - of_zone
                           : 0;
  if (request.spot)
    room = std::min(room, scenario.spot_machines > created_spot ? scenario.spot_machines - created_spot : 0);
  std::vector<std::string> created_names;
  while (created_names.size() < std::min(request.count, room)) {
    std::size_t before = machines.size();
    add_machine(request.zone.value, request.spot, false);
    created_names.push_back("host-" + std::to_string(100000 + before));
    ++current_sample().rentals;
    // This rental replaces a machine that was returned.
    if (!returned_at.empty() && now > scenario.warm_up_s / 2) {
      if (now - returned_at.back() < wasted_within_s) ++result.wasted_scale_outs;
      returned_at.pop_back();
    }
  }
  return created_names;
}

void ClusterSimulation::Impl::delete_machine(const std::string& name) {
  auto it = machines.find(name);
  if (it == machines.end() || !it->second.known) return;
  SimulatedMachine& machine = it->second;
  if (machine.alive && now > scenario.warm_up_s / 2) {
    ++current_sample().returns;
    bool working = std::any_of(machine.worker->tasks().begin(), machine.worker->tasks().end(),
                               [](const auto& t) { return t.second.phase != TaskPhase::ended; });
    if (working) ++result.marked_for_deletion_alive;
    if (!machine.used)
      ++result.wasted_scale_outs;  // rented and returned without having run a task
    else if (!working)
      returned_at.push_back(now);
  }
  lose_all_tasks(name, machine);
  machine.worker->power_off();
  machine.alive = machine.known = false;
  machine.died_at = now;
  --created;
  if (machine.spot) --created_spot;
}

std::vector<ListedMachine> ClusterSimulation::Impl::list_machines() {
  std::vector<ListedMachine> out;
  for (auto& [name, machine] : machines) {
    if (!machine.known || now - machine.created_at < list_lag_s) continue;
    ListedMachine listed_machine;
    listed_machine.name = name;
    listed_machine.address = "127.0.0.1:1";
    listed_machine.type = "std";
    listed_machine.zone = zone_names[machine.zone];
    listed_machine.spot = machine.spot;
    bool shown_dead = !machine.alive && now - machine.died_at > listed_dead_s + list_lag_s;
    listed_machine.phase = shown_dead            ? ListedMachine::Phase::failed
                           : now < machine.up_at ? ListedMachine::Phase::starting
                                                 : ListedMachine::Phase::running;
    out.push_back(std::move(listed_machine));
  }
  return out;
}

}  // namespace oxbowmill::simulation
