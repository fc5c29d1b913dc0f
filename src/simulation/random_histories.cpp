#include "oxbowmill/simulation/random_histories.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace oxbowmill::simulation {

namespace {
constexpr double longest_allowed_wait_s =
    90;  // the longest time that any invariant allows: for a job that could start and does not
}  // namespace

ClusterScenario fault_combination_scenario() {
  ClusterScenario scenario;
  scenario.name = "meeting";
  scenario.cluster = "tiny";
  scenario.warm_up_s = 20;
  scenario.controllers = 3;
  scenario.zones = 2;
  scenario.initial_machines = 16;
  scenario.machine_capacity = 24;
  scenario.spot_machines = 8;
  scenario.report_interval_s = 2;
  scenario.lease_s = 12;
  scenario.cancel_timeout_s = 36;
  scenario.boot_s = 8;
  scenario.write_rps = 60;
  scenario.txn_ops = 12;
  scenario.initial_gangs = 4;
  scenario.initial_arrays = 6;
  scenario.gangs_per_s = 0.05;
  scenario.arrays_per_s = 0.2;
  scenario.gang_run_s = 25;
  scenario.array_run_s = 25;
  scenario.guaranteed_gpus = 20;
  scenario.max_gpus = 48;
  scenario.small_array_fraction = 0.7;
  scenario.zone_bound_fraction = 0.3;
  scenario.withdrawn_fraction = 0.3;
  scenario.gang_wait_s = 3;  // shorter than the differences between image downloads, so that members time out
                             // and are placed again
  scenario.duration_s = scenario.warm_up_s;
  return scenario;
}

void extend_for_settling(ClusterScenario& scenario) {
  double end = scenario.warm_up_s;
  for (const Fault& f : scenario.faults)
    end = std::max(end, f.at_s + f.duration_s + f.stagger_s * static_cast<double>(scenario.controllers));
  scenario.duration_s = end + std::max(longest_allowed_wait_s, scenario.cancel_timeout_s) + 10;
}

namespace {

/// A kind of fault with its longest duration in seconds and its largest fraction.
struct FaultTemplate {
  FaultKind kind;
  double duration_s, fraction;
};
constexpr FaultTemplate fault_templates[] = {{FaultKind::all_controllers_down, 4, 0},
                                             {FaultKind::owner_down, 6, 0},
                                             {FaultKind::owner_down, 1, 0},
                                             {FaultKind::owner_without_state, 30, 0},
                                             {FaultKind::owner_refused_by_state, 25, 0},
                                             {FaultKind::owner_isolated, 30, 0},
                                             {FaultKind::state_outage, 60, 0},
                                             {FaultKind::state_delay, 20, 0},
                                             {FaultKind::owner_frozen, 12, 0},
                                             {FaultKind::machines_hang, 14, 0.3},
                                             {FaultKind::machines_receive_nothing, 40, 0.4},
                                             {FaultKind::machines_die, 0, 0.2},
                                             {FaultKind::duplicate_reports, 60, 0.5},
                                             {FaultKind::delayed_writes, 60, 0.4},
                                             {FaultKind::delayed_responses, 40, 0.4},
                                             {FaultKind::jobs_cancelled, 0, 0.6},
                                             {FaultKind::lost_write_responses, 40, 0.4},
                                             {FaultKind::replayed_reports, 50, 0.6},
                                             {FaultKind::machines_send_nothing, 30, 0.4},
                                             {FaultKind::zone_isolated, 30, 0},
                                             {FaultKind::jobs_cancelled_and_machines_hang, 11, 0.6},
                                             {FaultKind::jobs_cancelled_at_end, 60, 0.5},
                                             {FaultKind::repeated_queries, 60, 0},
                                             {FaultKind::invalid_requests, 60, 0},
                                             {FaultKind::fast_boots, 60, 0}};

/// Leases and timeouts of a cluster, in seconds.
struct Timeouts {
  double lease_s, cancel_timeout_s, controller_lease_s;
};
constexpr Timeouts timeout_choices[] = {{12, 36, 4}, {12, 24, 4}, {12, 16.1, 4}, {12, 19.1, 4}, {6, 60, 20}};

class RandomHistory {
 public:
  explicit RandomHistory(std::uint64_t seed) : random_(seed) {}

  ClusterScenario make() {
    ClusterScenario scenario = fault_combination_scenario();
    vary_cluster(scenario);
    vary_load(scenario);
    auto fault_count = 3 + static_cast<int>(draw(0, 4.99));
    for (int i = 0; i < fault_count; ++i) scenario.faults.push_back(random_fault(scenario.warm_up_s));
    std::sort(scenario.faults.begin(), scenario.faults.end(),
              [](const Fault& a, const Fault& b) { return a.at_s < b.at_s; });
    extend_for_settling(scenario);
    return scenario;
  }

 private:
  double draw(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }
  bool chance(double probability) { return draw(0, 1) < probability; }

  void vary_cluster(ClusterScenario& scenario) {
    scenario.controllers = chance(0.6) ? 3 : chance(0.5) ? 2 : 5;
    if (!chance(0.4)) return;
    const Timeouts& timeouts =
        timeout_choices[static_cast<std::size_t>(draw(0, std::size(timeout_choices) - 0.001))];
    scenario.lease_s = timeouts.lease_s;
    scenario.cancel_timeout_s = timeouts.cancel_timeout_s;
    scenario.controller_lease_s = timeouts.controller_lease_s;
  }

  void vary_load(ClusterScenario& scenario) {
    if (chance(0.3)) scenario.max_gpus = draw(12, 24);
    if (chance(0.2)) scenario.initial_machines = 6;
    if (chance(0.2)) scenario.zone_bound_fraction = 1;
    if (chance(0.2)) scenario.arrays_per_s *= draw(2, 5);
    if (chance(0.2)) scenario.small_array_max_tasks = 1;
    if (chance(0.2)) scenario.write_rps = draw(20, 40);
  }

  Fault random_fault(double warm_up_s) {
    const FaultTemplate& fault_template =
        fault_templates[static_cast<std::size_t>(draw(0, std::size(fault_templates) - 0.001))];
    Fault fault;
    fault.kind = fault_template.kind;
    fault.at_s = warm_up_s + draw(0, 40);
    fault.duration_s = fault_template.duration_s * draw(0.1, 1);
    fault.fraction = fault_template.fraction * draw(0.2, 1);
    if (fault.kind == FaultKind::jobs_cancelled_and_machines_hang) fault.count = 8;
    if (fault.kind == FaultKind::all_controllers_down) fault.stagger_s = draw(0, 1);
    if (fault.kind == FaultKind::state_delay) fault.stagger_s = draw(0.1, 3);
    return fault;
  }

  std::mt19937_64 random_;
};

}  // namespace

ClusterScenario random_history(std::uint64_t seed) {
  return RandomHistory(seed).make();
}

ClusterScenario minimize_faults(ClusterScenario scenario, std::uint64_t seed) {
  auto violates_invariant = [seed](const ClusterScenario& x) {
    return !ClusterSimulation(x, SimulationVariant::with_reconciliation, seed).run().violations.empty();
  };
  if (!violates_invariant(scenario)) return scenario;
  for (std::size_t i = scenario.faults.size(); i-- > 0;) {
    ClusterScenario candidate = scenario;
    candidate.faults.erase(candidate.faults.begin() + static_cast<std::ptrdiff_t>(i));
    if (violates_invariant(candidate)) scenario = std::move(candidate);
  }
  return scenario;
}

std::string faults_to_yaml(const ClusterScenario& scenario) {
  std::string out;
  for (const Fault& f : scenario.faults)
    out += fmt::format(
        "  - {{at_s: {:.3f}, kind: {}, for_s: {:.3f}, stagger_s: {:.3f}, share: {:.3f}, count: {}}}\n",
        f.at_s - scenario.warm_up_s, name_of(f.kind), f.duration_s, f.stagger_s, f.fraction, f.count);
  return out;
}

}  // namespace oxbowmill::simulation
