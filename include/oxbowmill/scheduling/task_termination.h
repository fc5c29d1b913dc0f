// Stopping single tasks: the state changes and the kill commands. Stateless functions over the cluster state.
#pragma once

#include <vector>

#include "oxbowmill/scheduling/effects.h"

namespace oxbowmill {

class PartitionOwnership;

/// Stops the task, which has `termination_timeout_s` seconds to save its progress. A task whose start was
/// never sent is terminated at once; one that is off its machine or being stopped is left alone.
void stop_task(ClusterState& state, Placement& placement, double termination_timeout_s, Seconds now);

/// The command that stops the task. A task that has been saving for much longer than it should is killed.
AgentCommand kill_command(const ClusterState& state, const Placement& placement, Seconds now);

/// Adds kill commands for the tasks being stopped on all machines that are to be woken, and clears that list.
void send_direct_kills(ClusterState& state, const PartitionOwnership& ownership, Effects& out);

}  // namespace oxbowmill
