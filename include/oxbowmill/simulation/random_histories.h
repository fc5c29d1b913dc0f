// Random fault histories of a small cluster: several faults at once, reproducible by seed. No state.
#pragma once

#include "oxbowmill/simulation/cluster_simulation.h"

namespace oxbowmill::simulation {

/// Three controllers and up to 24 machines without faults: small jobs beside gangs, and users who withdraw.
ClusterScenario fault_combination_scenario();
/// That cluster with its size, times and load drawn from the seed, three to seven faults, and enough time
/// after the last of them for violations to show.
ClusterScenario random_history(std::uint64_t seed);
/// Sets the scenario's duration so that the consequences of its last fault can be judged.
void extend_for_settling(ClusterScenario& scenario);
/// The scenario without the faults that its violation does not need; unchanged where it violates no
/// invariant. Plays the scenario once for each fault.
ClusterScenario shrunk(ClusterScenario scenario, std::uint64_t seed);
/// The faults as in a scenario file, one line each.
std::string to_script(const ClusterScenario& scenario);

}  // namespace oxbowmill::simulation
