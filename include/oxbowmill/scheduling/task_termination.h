// Stopping of single tasks: changes of state and kill commands. Stateless functions over the cluster state.
#pragma once

#include <vector>

#include "oxbowmill/scheduling/effects.h"

namespace oxbowmill {

class PartitionOwnership;

/// Stops the task and gives it `termination_timeout_s` to save its progress. A task whose start was never
/// sent is terminated at once; a task that is off its machine or already being stopped does not change.
void stop_task(ClusterState& state, Placement& placement, double termination_timeout_s, Seconds now);

/// The command that stops the task. A task that has been stopping for much longer than it needs to save gets
/// no further time.
AgentCommand kill_command(const ClusterState& state, const Placement& placement, Seconds now);

/// Adds kill commands for the tasks being stopped on all machines in `state.machines_to_wake`, and clears
/// that set.
void send_direct_kills(ClusterState& state, const PartitionOwnership& ownership, Effects& out);

}  // namespace oxbowmill
