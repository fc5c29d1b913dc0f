// Random troubles for a small cluster: several at once, by seed.
#pragma once

#include "oxbowmill/simulation/cluster_simulation.h"

namespace oxbowmill::simulation {

/// Three controllers and two dozen machines, without troubles: jobs of few tasks beside gangs, users who
/// withdraw.
ClusterScenario fault_combination_scenario();
/// That cluster, of a size, with times and load drawn from this seed, with three to seven troubles, and time
/// enough after the last of them for the rules to show.
ClusterScenario random_history(std::uint64_t seed);
/// Appends time to the scenario until what its last fault brings about can be judged.
void extend_for_settling(ClusterScenario& scenario);
/// One that breaks a rule, with each fault taken out that the breach does not need; as it was where none is
/// broken.
ClusterScenario shrunk(ClusterScenario scenario, std::uint64_t seed);
/// The faults as a scenario file tells them, a line each.
std::string to_script(const ClusterScenario& scenario);

}  // namespace oxbowmill::simulation
