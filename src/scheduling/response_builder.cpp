#include "oxbowmill/scheduling/response_builder.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/scheduling/task_termination.h"

namespace oxbowmill {

void ResponseBuilder::add_commands(MachineIndex machine_index, const AgentReport& report, Seconds now,
                                   std::vector<AgentCommand>& commands) {
  Machine& machine = state_.edit_machine(machine_index);
  add_kills(machine_index, report, Scope::all, now, commands);
  if (machine.state != MachineState::ready || machine.preemption_notice) return;
  for (TaskId id : machine.placed_tasks) {
    Placement& placement = *state_.edit_placement(id);
    const Job& job = state_.job(id.job);
    if (!may_start(job, placement)) continue;
    if (placement.earlier_start_listed)
      commands.push_back({CommandKind::clear, job.spec.ref, placement.task, placement.attempt, 0});
    commands.push_back({CommandKind::start, job.spec.ref, placement.task, placement.attempt, 0});
    placement.sent_agent_epoch = report.agent_epoch;
    placement.sent_report_sequence = report.report_sequence;
    state_.set_state(placement, PlacementState::sent, now);
  }
}

void ResponseBuilder::add_read_only_commands(MachineIndex machine_index, const AgentReport& report,
                                             Seconds now, std::vector<AgentCommand>& commands) const {
  add_kills(machine_index, report, Scope::cancelled_only, now, commands);
}

void ResponseBuilder::add_kills(MachineIndex machine_index, const AgentReport& report, Scope scope,
                                Seconds now, std::vector<AgentCommand>& commands) const {
  for (const TaskReport& task_report : report.tasks) {
    // A task without a placement must not run here: its placement was removed when it was proved to have
    // ended, or never became durable.
    if (has_placement(machine_index, task_report)) continue;
    if (task_report.phase == TaskPhase::ended) {
      if (scope == Scope::all)
        commands.push_back({CommandKind::clear, task_report.job, task_report.task, task_report.attempt, 0});
    } else {
      SPDLOG_INFO("task without placement killed machine={} task={}/{} attempt={}", report.machine,
                  task_report.job, task_report.task, task_report.attempt);
      commands.push_back({CommandKind::kill, task_report.job, task_report.task, task_report.attempt, 0});
    }
  }
  for (TaskId id : state_.machine(machine_index).placed_tasks) {
    const Placement& placement = *state_.find_placement(id);
    bool in_scope = scope == Scope::all || state_.job(id.job).phase == JobPhase::cancelled;
    if (placement.state == PlacementState::stopping && in_scope)
      commands.push_back(kill_command(state_, placement, now));
  }
}

bool ResponseBuilder::has_placement(MachineIndex machine_index, const TaskReport& task_report) const {
  JobIndex job_index = state_.find_job(task_report.job);
  const Placement* placement =
      job_index.valid() ? state_.find_placement({job_index, task_report.task}) : nullptr;
  return placement != nullptr && placement->machine == machine_index &&
         placement->attempt == task_report.attempt;
}

bool ResponseBuilder::may_start(const Job& job, const Placement& placement) {
  // An owner starts no task of a job whose last transaction is unconfirmed: it may have removed the task.
  return job.phase == JobPhase::open && job.revision != 0 && placement.state == PlacementState::placed &&
         !placement.inherited && !placement.restarting && !placement.restart_requested;
}

}  // namespace oxbowmill
