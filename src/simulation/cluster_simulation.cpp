// Steps of the simulated cluster, from its creation to the result.
#include <spdlog/spdlog.h>

#include <utility>

#include "cluster_simulation_impl.h"

namespace oxbowmill::simulation {

ClusterSimulation::Impl::Impl(ClusterScenario simulated_scenario, SimulationVariant simulated_variant,
                              std::uint64_t seed)
    : scenario(std::move(simulated_scenario)),
      variant(simulated_variant),
      random(seed),
      fault_random(seed * 7919 + 1),
      write_budget(scenario.write_rps, scenario.write_rps),
      cloud_budget(scenario.cloud_rps, 2 * scenario.cloud_rps),
      invariants(scenario.cancel_timeout_s, {scenario.max_gpus, scenario.max_gpus}) {
  run_log.on_change = [this](const std::string& id, const std::string& machine, bool on) {
    auto [ref, task] = split_task_id(id);
    const SimulatedMachine& machine_state = machines.at(machine);
    on ? invariants.on_task_start(ref, task, machine, {zone_names[machine_state.zone], machine_state.spot},
                                  now)
       : invariants.on_task_stop(ref, task, machine, now);
  };
  store.txn_ops = scenario.txn_ops;
  store.value_bytes = 8192;
  for (std::uint32_t z = 0; z < scenario.zones; ++z) zone_names.emplace_back(1, static_cast<char>('a' + z));
  controllers.resize(scenario.controllers);
  for (std::uint32_t i = 0; i < scenario.initial_machines; ++i) add_machine(0, false, true);
  for (std::uint32_t i = 0; i < scenario.initial_gangs; ++i) submit(0);
  for (std::uint32_t i = 0; i < scenario.initial_arrays; ++i) submit(1);
  for (std::size_t i = 0; i < controllers.size(); ++i) start_controller(i);
  // Cancellations by users also happen in the run without faults, because they are not faults of the system.
  for (const Fault& f : scenario.faults) {
    if (variant != SimulationVariant::without_faults || f.kind == FaultKind::jobs_cancelled)
      faults.push_back(f);
  }
  std::sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.at_s < b.at_s; });
  if (!scenario.faults.empty()) first_fault_at = scenario.faults.front().at_s;
  // An isolated owner learns of no cancellation until its controller lease ends, and its last response may
  // arrive up to 4 s later.
  invariants.set_start_tolerance(scenario.faults.empty()
                                     ? 1
                                     : settings(0).operator_settings.controller_lease_s * 1.01 +
                                           Settings::report_timeout_s);
  invariants.set_fault_free_from(variant == SimulationVariant::without_faults ? scenario.warm_up_s
                                                                              : faults_end());
  for (const Fault& f : scenario.faults) first_fault_at = std::min(first_fault_at, f.at_s);
}

std::uint32_t ClusterSimulation::Impl::pick(std::uint32_t n) {
  return std::uniform_int_distribution<std::uint32_t>(0, n - 1)(random);
}

Settings ClusterSimulation::Impl::settings(std::size_t i) const {
  Settings settings;
  settings.controller_name = controller_name(i);
  settings.controller_count = scenario.controllers;
  if (variant != SimulationVariant::without_reconciliation) {
    for (std::size_t k = 0; k < scenario.controllers; ++k)
      settings.all_controllers.push_back(controller_name(k));
  }
  Team team{{0, scenario.guaranteed_gpus, 0}, {0, scenario.max_gpus, 0}};
  settings.teams = {{}, team, team};
  settings.report_interval_s = scenario.report_interval_s;
  settings.lease_s = scenario.lease_s;
  settings.cancel_deadline_s = scenario.cancel_timeout_s;
  settings.gang_wait_timeout_s = scenario.gang_wait_s;
  if (scenario.controller_lease_s > 0)
    settings.operator_settings.controller_lease_s = scenario.controller_lease_s;
  settings.operator_settings.controller_lease_s =
      std::min(settings.operator_settings.controller_lease_s,
               settings.cancel_deadline_s - settings.lease_expiry_s() - 2 * Settings::safety_margin_s);
  settings.state_rps = 4 * scenario.write_rps;
  settings.state_write_rps = scenario.write_rps;
  settings.max_transaction_ops = scenario.txn_ops;
  settings.max_value_kb = 8;
  settings.cloud_rps = scenario.cloud_rps;
  settings.cloud_list_lag_s = cloud_list_lag_s;
  return settings;
}

Names ClusterSimulation::Impl::names() const {
  Names n = test_names();
  for (const std::string& z : zone_names) n.zones.intern(z);
  for (std::size_t i = 0; i < std::size(image_gb); ++i) n.images.intern("img-" + std::to_string(i));
  return n;
}

std::vector<MachineType> ClusterSimulation::Impl::catalog() const {
  MachineType type = test_catalog().front();
  type.cache_gb = 100;
  type.fetch_gb_per_s = scenario.fetch_gb_per_s;
  type.boot_s = scenario.boot_s;
  type.zones.clear();
  for (std::uint32_t z = 0; z < scenario.zones; ++z) type.zones.push_back(ZoneIndex{z});
  return {type};
}

ClusterResult ClusterSimulation::Impl::run() {
  auto steps = static_cast<std::size_t>(scenario.duration_s / step_s);
  for (std::size_t i = 0; i < steps; ++i) {
    if (i % 10 == 0) {
      result.samples.push_back({});
      SPDLOG_DEBUG("simulated time: {} s", i / 10);
      invariants.set_usable_machines(usable_machines(), now);
      invariants.check(now);
      for (const User& u : users) {
        const auto& keys = store.keys();
        invariants.on_stored(
            u.ref, keys.count(state::job_key(u.ref)) + keys.count(state::final_key(u.ref)) != 0, now);
      }
    }
    now = static_cast<double>(i + 1) * step_s;
    tick_faults();
    store.expire_leases(now);
    for (std::uint32_t cls : {0U, 1U}) {
      if (uniform(0, 1) < (cls == 0 ? scenario.gangs_per_s : scenario.arrays_per_s) * step_s) submit(cls);
    }
    for (std::size_t k = 0; k < controllers.size(); ++k) run_controller(k);
    serve_cloud_calls();
    tick_agents();
    tick_tasks();
    tick_users();
    if (result.reconciled_s < 0 && now > first_fault_at + 1) record_reconciled();
  }
  for (const auto& [ref, j] : jobs) result.submitted_tasks_by_class[j.class_index] += j.tasks;
  for (ControllerProcess& n : controllers) collect_suspicion_counts(n);
  count_served();
  invariants.close();
  result.violations = invariants.violations();
  result.answers = invariants.answers;
  result.late_starts = invariants.late_starts;
  result.refusals = invariants.refusals;
  return result;
}

void ClusterSimulation::Impl::count_served() {
  std::array<std::vector<double>, 2> sizes;
  for (const auto& [ref, j] : jobs) sizes[j.class_index].push_back(j.tasks * j.gpus);
  std::array<double, 2> large_job_gpus{};
  for (std::size_t c = 0; c < sizes.size(); ++c) {
    std::sort(sizes[c].begin(), sizes[c].end());
    if (!sizes[c].empty()) large_job_gpus[c] = sizes[c][sizes[c].size() * 9 / 10];
  }
  for (const User& user : users) {
    const SimulatedJob& job = jobs.at(user.ref);
    if (!user.accepted || user.withdrawn ||
        now - job.submitted_at < scenario.boot_s + 2 * counts_as_started_after_s)
      continue;
    bool has_started = job.started_at.size() == job.tasks;
    double started_at = has_started ? 0 : now;
    for (const auto& [t, at] : job.started_at) started_at = std::max(started_at, at);
    for (ServedJobs* x : {&result.class_served[job.class_index], &result.team_served[job.team]})
      x->count(started_at - job.submitted_at, has_started);
    if (job.tasks * job.gpus >= large_job_gpus[job.class_index])
      result.largest_served[job.class_index].count(started_at - job.submitted_at, has_started);
  }
}

std::map<std::string, InvariantChecker::UsableMachine> ClusterSimulation::Impl::usable_machines() const {
  std::map<std::string, InvariantChecker::UsableMachine> out;
  if (now < faults_end()) return out;  // the invariants that need them are not checked during faults
  const double gpus = catalog().front().capacity.gpus;
  for (const auto& [name, machine] : machines) {
    bool is_usable = machine.exists_in_cloud && reachable(machine) && now >= machine.receives_nothing_until &&
                     now >= machine.sends_nothing_until;
    if (is_usable) out[name] = {{zone_names[machine.zone], machine.spot, "std"}, gpus};
  }
  return out;
}

void ClusterSimulation::Impl::record_reconciled() {
  double at_s = -1;
  std::uint32_t owned = 0;
  for (const ControllerProcess& process : controllers) {
    if (!process.controller || !process.controller->reconciler) continue;
    for (std::uint32_t i = 0; i < process.controller->cluster_state.partition_count(); ++i) {
      PartitionIndex partition{i};
      if (!process.controller->scheduler.owns(partition)) continue;
      ++owned;
      if (process.controller->reconciler->phase(partition) <= reconciliation::PartitionPhase::reconciling)
        return;
      at_s = std::max(at_s, process.controller->reconciler->reconciled_at(partition));
    }
  }
  if (owned == 3 && at_s > first_fault_at) result.reconciled_s = at_s - first_fault_at;
}

ClusterSimulation::ClusterSimulation(const ClusterScenario& scenario, SimulationVariant variant,
                                     std::uint64_t seed)
    : impl_(std::make_unique<Impl>(scenario, variant, seed)) {}
ClusterSimulation::~ClusterSimulation() = default;
ClusterResult ClusterSimulation::run() {
  return impl_->run();
}

}  // namespace oxbowmill::simulation
