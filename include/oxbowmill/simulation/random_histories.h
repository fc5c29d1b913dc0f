// Random histories of faults in a small cluster, with several faults at once; the same seed gives the same
// history. No state.
#pragma once

#include "oxbowmill/simulation/cluster_simulation.h"

namespace oxbowmill::simulation {

/// A scenario without faults: three controllers, up to 24 machines, small jobs beside gangs, and users who
/// withdraw jobs.
ClusterScenario fault_combination_scenario();
/// The cluster of `fault_combination_scenario` with its size, timeouts and load drawn from the seed, three to
/// seven faults, and enough time after the last fault for violations to show.
ClusterScenario random_history(std::uint64_t seed);
/// Sets the scenario's duration so that every invariant can still be checked after the last fault.
void extend_for_settling(ClusterScenario& scenario);
/// Returns the scenario without the faults that are not needed to violate an invariant; unchanged if it
/// violates none. Runs the scenario once, and once more for each fault if it violates an invariant.
ClusterScenario minimize_faults(ClusterScenario scenario, std::uint64_t seed);
/// Formats the faults as in a scenario file, one line for each.
std::string faults_to_yaml(const ClusterScenario& scenario);

}  // namespace oxbowmill::simulation
