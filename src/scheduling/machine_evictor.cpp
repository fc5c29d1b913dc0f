#include "oxbowmill/scheduling/machine_evictor.h"

#include <algorithm>

#include "oxbowmill/scheduling/task_termination.h"

namespace oxbowmill {

void MachineEvictor::mark_empty(MachineIndex machine_index, Seconds now) {
  for (TaskId id : state_.machine(machine_index).placed_tasks) {
    Placement& placement = *state_.edit_placement(id);
    if (is_off_machine(placement.state)) continue;
    placement.cause = EndCause::none;
    state_.set_state(placement, PlacementState::terminated, now);
  }
  for (TaskId id : std::vector<TaskId>(state_.machine(machine_index).placed_tasks)) {
    Job& job = state_.job(id.job);
    if (job.spec.shape == JobShape::gang) gangs_.check(job, now);
  }
}

void MachineEvictor::stop_all(MachineIndex machine_index, Seconds now) {
  for (TaskId id : std::vector<TaskId>(state_.machine(machine_index).placed_tasks)) {
    Placement& placement = *state_.edit_placement(id);
    Job& job = state_.job(id.job);
    stop_task(state_, placement, job.spec.flush_s, now);
    if (job.spec.shape == JobShape::gang) gangs_.check(job, now);
  }
}

void MachineEvictor::stop_unsent(MachineIndex machine_index, Seconds now) {
  for (TaskId id : std::vector<TaskId>(state_.machine(machine_index).placed_tasks))
    stop_task(state_, *state_.edit_placement(id), 0, now);
}

void MachineEvictor::terminate_unsent(MachineIndex machine_index, Seconds now) {
  for (TaskId id : state_.machine(machine_index).placed_tasks) {
    Placement& placement = *state_.edit_placement(id);
    if (placement.state != PlacementState::placed || placement.inherited) continue;
    placement.cause = EndCause::none;
    state_.set_state(placement, PlacementState::terminated, now);
  }
}

bool MachineEvictor::may_run_tasks(const Machine& machine) const {
  return std::any_of(machine.placed_tasks.begin(), machine.placed_tasks.end(),
                     [this](TaskId id) { return !is_off_machine(state_.find_placement(id)->state); });
}

}  // namespace oxbowmill
