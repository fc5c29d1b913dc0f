#include "oxbowmill/reconciliation/liveness_table.h"

#include <spdlog/spdlog.h>

namespace oxbowmill::reconciliation {

bool is_silence_expected(const Machine& machine) {
  return (!machine.has_booted && machine.placed_tasks.empty()) ||
         machine.record.mark == MachineMark::deleting || machine.reported_failed;
}

void LivenessTable::forget(MachineIndex machine_index) {
  if (machine_index.value < liveness_.size()) liveness_[machine_index.value] = AgentLiveness::none;
}

void LivenessTable::set(MachineIndex machine_index, AgentLiveness liveness, ReconciliationCounts& counts) {
  const AgentLiveness previous = of(machine_index);
  if (previous == liveness) return;
  SPDLOG_DEBUG("agent liveness changed machine={} from={} to={}", state_.names.machines.name(machine_index),
               name_of(previous), name_of(liveness));
  const Machine& machine = state_.machine(machine_index);
  const bool was_suspect = is_suspect(previous);
  if (liveness == AgentLiveness::suspected && !was_suspect) {
    ++counts.suspected;
    SPDLOG_INFO("agent suspected machine={} zone={}", state_.names.machines.name(machine_index),
                state_.names.zones.name(machine.record.zone));
  }
  if (liveness == AgentLiveness::marked_for_deletion) ++counts.marked_for_deletion;
  if (liveness == AgentLiveness::lost) ++counts.lost;
  if (was_suspect && has_reported(liveness)) {
    statistics_.record_return();
    ++counts.returned;
    SPDLOG_INFO("agent reachable again machine={}", state_.names.machines.name(machine_index));
  }
  // A machine that was marked for deletion is not counted: its deletion does not show whether it was lost.
  if (previous == AgentLiveness::suspected && liveness == AgentLiveness::lost) statistics_.record_loss();
  if (machine_index.value >= liveness_.size()) liveness_.resize(machine_index.value + 1);
  liveness_[machine_index.value] = liveness;
}

}  // namespace oxbowmill::reconciliation
