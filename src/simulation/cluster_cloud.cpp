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
  machine.agent = std::make_unique<Agent>(name, zone_names[zone], run_log, spot);
  machine.agent->lease_s = scenario.lease_s;
  machine.agent->first_phase = TaskPhase::fetching;
  machine.next_report_at = machine.up_at + uniform(0, scenario.report_interval_s);
  machine.controller = pick(scenario.controllers);
  ++cloud_machine_count;
  if (spot) ++cloud_spot_machine_count;
  machine.exists_in_cloud = true;
  if (!at_start) return;
  Json value = {{"part", state::idle_pool_name},
                {"type", "std"},
                {"zone", zone_names[zone]},
                {"spot", spot},
                {"del", false},
                {"up", true}};
  store.txn({{"guards", Json::array()}, {"apply", {{{"put", "o/m/" + name}, {"value", value}}}}});
}

void ClusterSimulation::Impl::serve_cloud_calls() {
  while (!cloud_calls.empty() && now - cloud_calls.front().sent_at >= 2 * step_s &&
         cloud_budget.take(1, now)) {
    CloudCall call = std::move(cloud_calls.front());
    cloud_calls.pop_front();
    ControllerProcess& process = controllers[call.controller];
    if (!process.controller) {
      // The controller ended after it had sent the request; during `FaultKind::fast_boots` the cloud still
      // creates the machines.
      if (now < fast_boots_until && !call.is_list && call.deletions.empty() && now >= cloud_outage_until)
        create_machines(call.scale_out);
      continue;
    }
    Autoscaler& autoscaler = process.controller->autoscaler;
    bool cloud_is_up = now >= cloud_outage_until;
    if (call.is_list) {
      cloud_is_up ? autoscaler.on_listed(list_machines(), now) : autoscaler.on_list_failed();
    } else if (!call.deletions.empty()) {
      for (MachineIndex m : call.deletions) {
        if (cloud_is_up) delete_machine(process.controller->cluster_state.names.machines.name(m));
      }
      autoscaler.on_deleted(call.deletions, cloud_is_up);
    } else if (!cloud_is_up) {
      autoscaler.on_scale_out_result(call.scale_out.request_id, false, {}, now);
    } else {
      scale_out(call.scale_out, autoscaler);
    }
  }
}

void ClusterSimulation::Impl::scale_out(const ScaleOutRequest& request, Autoscaler& autoscaler) {
  autoscaler.on_scale_out_result(request.request_id, true, create_machines(request), now);
}

std::vector<std::string> ClusterSimulation::Impl::create_machines(const ScaleOutRequest& request) {
  auto zone_machine_count =
      static_cast<std::uint32_t>(std::count_if(machines.begin(), machines.end(), [&](const auto& h) {
        return h.second.exists_in_cloud && h.second.zone == request.zone.value;
      }));
  std::uint32_t available = scenario.machine_capacity / scenario.zones > zone_machine_count
                                ? scenario.machine_capacity / scenario.zones - zone_machine_count
                                : 0;
  if (request.spot)
    available = std::min(available, scenario.spot_machines > cloud_spot_machine_count
                                        ? scenario.spot_machines - cloud_spot_machine_count
                                        : 0);
  std::vector<std::string> created_names;
  while (created_names.size() < std::min(request.count, available)) {
    std::size_t before = machines.size();
    add_machine(request.zone.value, request.spot, false);
    created_names.push_back("host-" + std::to_string(100000 + before));
    ++current_sample().rentals;
    // This rental replaces a machine that was returned.
    if (!return_times.empty() && now > scenario.warm_up_s / 2) {
      if (now - return_times.back() < wasted_return_window_s) ++result.wasted_scale_outs;
      return_times.pop_back();
    }
  }
  return created_names;
}

void ClusterSimulation::Impl::delete_machine(const std::string& name) {
  auto it = machines.find(name);
  if (it == machines.end() || !it->second.exists_in_cloud) return;
  SimulatedMachine& machine = it->second;
  if (machine.alive && now > scenario.warm_up_s / 2) {
    ++current_sample().returns;
    bool has_running_task = std::any_of(machine.agent->tasks().begin(), machine.agent->tasks().end(),
                                        [](const auto& t) { return t.second.phase != TaskPhase::ended; });
    if (has_running_task) ++result.marked_for_deletion_alive;
    if (!machine.has_received_task)
      ++result.wasted_scale_outs;  // rented and returned without having run a task
    else if (!has_running_task)
      return_times.push_back(now);
  }
  lose_all_tasks(name, machine);
  machine.agent->power_off();
  machine.alive = machine.exists_in_cloud = false;
  machine.died_at = now;
  --cloud_machine_count;
  if (machine.spot) --cloud_spot_machine_count;
}

std::vector<ListedMachine> ClusterSimulation::Impl::list_machines() {
  std::vector<ListedMachine> out;
  for (auto& [name, machine] : machines) {
    if (!machine.exists_in_cloud || now - machine.created_at < cloud_list_lag_s) continue;
    ListedMachine listed_machine;
    listed_machine.name = name;
    listed_machine.address = "127.0.0.1:1";
    listed_machine.type = "std";
    listed_machine.zone = zone_names[machine.zone];
    listed_machine.spot = machine.spot;
    bool is_listed_as_failed =
        !machine.alive && now - machine.died_at > dead_machine_listing_delay_s + cloud_list_lag_s;
    listed_machine.phase = is_listed_as_failed   ? ListedMachine::Phase::failed
                           : now < machine.up_at ? ListedMachine::Phase::starting
                                                 : ListedMachine::Phase::running;
    out.push_back(std::move(listed_machine));
  }
  return out;
}

}  // namespace oxbowmill::simulation
