#include "oxbowmill/scheduling/preemptor.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

#include "oxbowmill/cluster/start_deadline.h"
#include "oxbowmill/scheduling/task_termination.h"

namespace oxbowmill {

namespace {

constexpr int preemption_cost = 2;  // `CandidateMachine::acquisition_cost` where tasks are preempted

/// Whether the task is being stopped, so that its capacity becomes free soon.
bool is_stopping(const Placement& placement) {
  return placement.state == PlacementState::stopping;
}

}  // namespace

bool Preemptor::may_preempt_for(const Job& job) const {
  return state_.settings.operator_settings.preempt && job.spec.priority > Priority::low;
}

bool Preemptor::may_preempt(const Job& victim, const Placement& placement, const Job& job,
                            Clock clock) const {
  return state_.settings.operator_settings.preempt && victim.spec.priority < job.spec.priority &&
         victim.spec.checkpoint_interval_s > 0 && is_preemptible(state_, victim, placement, clock);
}

void Preemptor::add_preemptible_capacity(const Job& job, CandidateMachine& candidate, Clock clock) const {
  for (TaskId id : state_.machine(candidate.machine).placed_tasks) {
    const Job& victim = state_.job(id.job);
    const Placement& placement = *state_.find_placement(id);
    if (!may_preempt(victim, placement, job, clock) || is_stopping(placement) ||
        is_off_machine(placement.state))
      continue;
    candidate.free_capacity += victim.spec.task_resources;
    candidate.available_in_s = std::max(candidate.available_in_s, stop_duration_s + victim.spec.flush_s);
    candidate.acquisition_cost = preemption_cost;
  }
}

void Preemptor::preempt_for(const Job& job, const Selection& selection, Clock clock) {
  std::map<MachineIndex, Resources> needed;
  for (const TaskAssignment& assignment : selection.assignments)
    needed[selection.machines[assignment.candidate].machine] += job.spec.task_resources;
  for (auto& [machine_index, resources] : needed) {
    if (state_.machine(machine_index).record.partition == job.spec.partition)
      preempt_on(machine_index, job, resources, clock);
  }
}

void Preemptor::preempt_on(MachineIndex machine_index, const Job& job, const Resources& needed, Clock clock) {
  const Machine& machine = state_.machine(machine_index);
  Resources free = state_.free_capacity(machine);
  for (TaskId id : machine.placed_tasks) {
    if (is_stopping(*state_.find_placement(id))) free += state_.job(id.job).spec.task_resources;
  }
  for (TaskId id : std::vector<TaskId>(machine.placed_tasks)) {
    if (fits(needed, free)) break;
    if (!may_preempt(state_.job(id.job), *state_.find_placement(id), job, clock)) continue;
    Placement& placement = *state_.edit_placement(id);
    Job& victim = state_.job(id.job);
    if (is_stopping(placement) || is_off_machine(placement.state)) continue;
    free += victim.spec.task_resources;
    SPDLOG_DEBUG("preempted task={}/{} for_job={}", victim.spec.ref, id.task, job.spec.ref);
    stop_task(state_, placement, victim.spec.flush_s, clock.now);
    if (victim.spec.shape == JobShape::gang) gangs_.check(victim, clock.now);
  }
}

}  // namespace oxbowmill
