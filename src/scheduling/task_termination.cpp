#include "oxbowmill/scheduling/task_termination.h"

#include "oxbowmill/scheduling/partition_ownership.h"

namespace oxbowmill {

void stop_task(ClusterState& state, Placement& placement, double termination_timeout_s, Seconds now) {
  if (is_off_machine(placement.state) || placement.state == PlacementState::stopping) return;
  placement.termination_timeout_s = termination_timeout_s;
  bool never_sent = placement.state == PlacementState::placed && !placement.inherited &&
                    placement.sent_report_sequence == 0;
  state.set_state(placement, never_sent ? PlacementState::terminated : PlacementState::stopping, now);
}

AgentCommand kill_command(const ClusterState& state, const Placement& placement, Seconds now) {
  const JobSpec& spec = state.job(placement.job).spec;
  double termination_timeout_s = placement.termination_timeout_s;
  if (now - placement.stopping_since >
      spec.flush_s + 2 * state.settings.report_interval_s + state.settings.gang_peer_timeout_s)
    termination_timeout_s = 0;
  return {CommandKind::kill, spec.ref, placement.task, placement.attempt, termination_timeout_s};
}

void send_direct_kills(ClusterState& state, const PartitionOwnership& ownership, Effects& out) {
  auto machines = std::move(state.machines_to_wake);
  state.machines_to_wake.clear();
  for (MachineIndex machine_index : machines) {
    const Machine& machine = state.machine(machine_index);
    if (machine.revision == 0 || !ownership.owns(machine.record.partition) || machine.address.empty() ||
        machine.agent_epoch == 0)
      continue;
    DirectCommands direct_commands{machine_index, machine.agent_epoch, state.fencing_token(machine), {}};
    for (TaskId id : machine.placed_tasks) {
      const Placement& placement = *state.find_placement(id);
      if (placement.state == PlacementState::stopping)
        direct_commands.commands.push_back(kill_command(state, placement, placement.stopping_since));
    }
    if (!direct_commands.commands.empty()) out.direct_commands.push_back(std::move(direct_commands));
  }
}

}  // namespace oxbowmill
