// Scenario files of the simulated cluster, and the names of faults and variants.
#include <algorithm>

#include "oxbowmill/simulation/cluster_simulation.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::simulation {

namespace {

const std::map<std::string, FaultKind>& fault_names() {
  static const std::map<std::string, FaultKind> names = {
      {"all_down", FaultKind::all_controllers_down},
      {"owner_down", FaultKind::owner_down},
      {"owner_cut", FaultKind::owner_without_state},
      {"state_outage", FaultKind::state_outage},
      {"state_slow", FaultKind::state_slow},
      {"cloud_outage", FaultKind::cloud_outage},
      {"machines_die", FaultKind::machines_die},
      {"machines_hang", FaultKind::machines_hang},
      {"zone_cut", FaultKind::zone_agents_cut_off},
      {"freeze", FaultKind::owner_frozen},
      {"finish_all", FaultKind::all_tasks_finish},
      {"cancel", FaultKind::jobs_cancelled},
      {"gang_member", FaultKind::gang_member_dies},
      {"late_reports", FaultKind::delayed_reports},
      {"late_copies", FaultKind::duplicate_reports},
      {"late_writes", FaultKind::delayed_writes},
      {"held_up", FaultKind::delayed_responses},
      {"machines_deaf", FaultKind::machines_receive_nothing},
      {"owner_refused", FaultKind::owner_refused_by_state},
      {"owner_alone", FaultKind::owner_isolated},
      {"state_delay", FaultKind::state_delay},
      {"lost_answers", FaultKind::lost_write_responses},
      {"kept_copies", FaultKind::replayed_reports},
      {"machines_mute", FaultKind::machines_send_nothing},
      {"zone_apart", FaultKind::zone_isolated},
      {"cancel_hang", FaultKind::jobs_cancelled_and_machines_hang},
      {"cancel_at_end", FaultKind::jobs_cancelled_at_end},
      {"close_looks", FaultKind::repeated_queries},
      {"odd_requests", FaultKind::invalid_requests},
      {"quick_boots", FaultKind::fast_boots}};
  return names;
}

}  // namespace

const char* name_of(SimulationVariant variant) {
  static constexpr const char* names[] = {"twin", "before", "now", "bound"};
  return names[static_cast<int>(variant)];
}

const char* name_of(FaultKind kind) {
  auto it = std::find_if(fault_names().begin(), fault_names().end(),
                         [kind](const auto& fault) { return fault.second == kind; });
  return it->first.c_str();
}

void load_cluster(const std::string& file, ClusterScenario& scenario) {
  yaml::Map root(file, "", yaml::load(file));
  root.get("fleet", scenario.cluster)
      .get("warm_s", scenario.warm_up_s)
      .get("length_s", scenario.duration_s)
      .get("controllers", scenario.controllers)
      .get("zones", scenario.zones);
  root.get("up", scenario.initial_machines)
      .get("capacity", scenario.machine_capacity)
      .get("spot", scenario.spot_machines)
      .get("report_s", scenario.report_interval_s);
  root.get("lease_s", scenario.lease_s)
      .get("cancel_s", scenario.cancel_timeout_s)
      .get("boot_s", scenario.boot_s);
  root.get("fetch_gb_per_s", scenario.fetch_gb_per_s)
      .get("write_rps", scenario.write_rps)
      .get("cloud_rps", scenario.cloud_rps);
  root.get("txn_ops", scenario.txn_ops)
      .get("gangs", scenario.initial_gangs)
      .get("arrays", scenario.initial_arrays)
      .get("gangs_a_s", scenario.gangs_per_s);
  root.get("arrays_a_s", scenario.arrays_per_s)
      .get("gang_s", scenario.gang_run_s)
      .get("array_s", scenario.array_run_s);
  root.get("guaranteed_gpus", scenario.guaranteed_gpus).get("most_gpus", scenario.max_gpus);
  root.get("gang_wait_s", scenario.gang_wait_s);
  root.get("few", scenario.small_array_fraction)
      .get("few_tasks", scenario.small_array_max_tasks)
      .get("bound", scenario.zone_bound_fraction)
      .get("withdrawn", scenario.withdrawn_fraction)
      .get("hold_life_s", scenario.controller_lease_s);
  root.reject_unknown_keys();
}

ClusterScenario load_cluster_scenario(const std::string& file, const std::string& fleet) {
  ClusterScenario scenario;
  load_cluster(fleet, scenario);
  yaml::Map root(file, "", yaml::load(file));
  root.get("name", scenario.name);
  YAML::Node faults = root.take("faults").value_or(YAML::Node(YAML::NodeType::Undefined));
  root.reject_unknown_keys();
  for (std::size_t i = 0; faults && i < faults.size(); ++i) {
    Fault fault;
    yaml::Map map = root.child("faults[" + std::to_string(i) + "]", faults[i]);
    std::string kind_name = map.text("kind");
    auto kind = fault_names().find(kind_name);
    if (kind == fault_names().end()) map.fail("kind", "unknown fault \"" + kind_name + "\"");
    fault.kind = kind->second;
    map.get("at_s", fault.at_s)
        .get("for_s", fault.duration_s)
        .get("stagger_s", fault.stagger_s)
        .get("share", fault.fraction);
    map.get("count", fault.count).get("zone", fault.zone);
    map.reject_unknown_keys();
    fault.at_s += scenario.warm_up_s;
    scenario.faults.push_back(fault);
  }
  return scenario;
}

void ServedJobs::count(double wait_s, bool has_started) {
  ++jobs;
  started += has_started ? 1 : 0;
  longest_wait_s = std::max(longest_wait_s, wait_s);
}

}  // namespace oxbowmill::simulation
