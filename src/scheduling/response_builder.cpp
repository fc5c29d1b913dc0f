#include "oxbowmill/scheduling/response_builder.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "oxbowmill/scheduling/task_termination.h"

namespace oxbowmill {

void ResponseBuilder::add_commands(MachineIndex machine_index, const AgentReport& report, Seconds now,
                                   std::vector<AgentCommand>& commands) {
  CommandBatch batch(commands);
  add_kills(machine_index, report, Scope::all, now, batch);
  std::size_t listed_bytes = add_clears(machine_index, report, batch);
  const Machine& machine = state_.machine(machine_index);
  if (machine.state == MachineState::ready && !machine.preemption_notice)
    add_starts(machine_index, report, listed_bytes, now, batch);
  log_held_back(report, batch.held_back());
}

void ResponseBuilder::add_read_only_commands(MachineIndex machine_index, const AgentReport& report,
                                             Seconds now, std::vector<AgentCommand>& commands) {
  CommandBatch batch(commands);
  add_kills(machine_index, report, Scope::cancelled_only, now, batch);
  log_held_back(report, batch.held_back());
}

void ResponseBuilder::add_kills(MachineIndex machine_index, const AgentReport& report, Scope scope,
                                Seconds now, CommandBatch& batch) {
  for (const TaskReport& task_report : report.tasks) {
    // A task without a placement must not run here: its placement was removed when it was proved to have
    // ended, or never became durable.
    if (task_report.phase == TaskPhase::ended || has_placement(machine_index, task_report)) continue;
    if (batch.add({{CommandKind::kill, task_report.job, task_report.task, task_report.attempt, 0}}))
      SPDLOG_INFO("task without placement killed machine={} task={}/{} attempt={}", report.machine,
                  task_report.job, task_report.task, task_report.attempt);
  }
  for (Placement* placement : stopping_placements(machine_index, scope)) {
    if (batch.add({kill_command(state_, *placement, now)}))
      placement->kill_report_sequence = report.report_sequence;
  }
}

std::vector<Placement*> ResponseBuilder::stopping_placements(MachineIndex machine_index, Scope scope) {
  std::vector<Placement*> stopping;
  for (TaskId id : state_.machine(machine_index).placed_tasks) {
    bool in_scope = scope == Scope::all || state_.job(id.job).phase == JobPhase::cancelled;
    if (in_scope && state_.find_placement(id)->state == PlacementState::stopping)
      stopping.push_back(state_.edit_placement(id));
  }
  // If not all kills fit into one response, those that were never sent or longest ago come first.
  std::stable_sort(stopping.begin(), stopping.end(), [](const Placement* left, const Placement* right) {
    return left->kill_report_sequence < right->kill_report_sequence;
  });
  return stopping;
}

std::size_t ResponseBuilder::add_clears(MachineIndex machine_index, const AgentReport& report,
                                        CommandBatch& batch) const {
  std::size_t listed_bytes = 0;
  for (const TaskReport& task_report : report.tasks) {
    bool is_cleared =
        task_report.phase == TaskPhase::ended && !has_placement(machine_index, task_report) &&
        batch.add({{CommandKind::clear, task_report.job, task_report.task, task_report.attempt, 0}});
    if (!is_cleared)
      listed_bytes += report_entry_bytes(task_report.job, task_report.task, task_report.attempt);
  }
  return listed_bytes;
}

void ResponseBuilder::add_starts(MachineIndex machine_index, const AgentReport& report,
                                 std::size_t listed_bytes, Seconds now, CommandBatch& batch) {
  const std::vector<TaskId>& placed_tasks = state_.machine(machine_index).placed_tasks;
  listed_bytes += unconfirmed_start_bytes(machine_index);
  for (TaskId id : placed_tasks) {
    if (!may_start(state_.job(id.job), *state_.find_placement(id))) continue;
    Placement& placement = *state_.edit_placement(id);
    const std::string& job = state_.job(id.job).spec.ref;
    // An earlier start that is cleared makes room for the new one.
    std::size_t added_bytes =
        placement.earlier_start_listed ? 0 : report_entry_bytes(job, placement.task, placement.attempt);
    if (listed_bytes + added_bytes > agent_message_list_bytes) {
      batch.hold_back(1);
      continue;
    }
    if (!add_start(job, placement, batch)) continue;
    listed_bytes += added_bytes;
    placement.sent_agent_epoch = report.agent_epoch;
    placement.sent_report_sequence = report.report_sequence;
    state_.set_state(placement, PlacementState::sent, now);
  }
}

std::size_t ResponseBuilder::unconfirmed_start_bytes(MachineIndex machine_index) const {
  std::size_t bytes = 0;
  for (TaskId id : state_.machine(machine_index).placed_tasks) {
    const Placement& placement = *state_.find_placement(id);
    if (placement.state == PlacementState::sent)
      bytes += report_entry_bytes(state_.job(id.job).spec.ref, placement.task, placement.attempt);
  }
  return bytes;
}

bool ResponseBuilder::add_start(const std::string& job, const Placement& placement, CommandBatch& batch) {
  AgentCommand start{CommandKind::start, job, placement.task, placement.attempt, 0};
  if (!placement.earlier_start_listed) return batch.add({start});
  return batch.add({{CommandKind::clear, job, placement.task, placement.attempt, 0}, start});
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

void ResponseBuilder::log_held_back(const AgentReport& report, std::size_t commands) {
  if (commands > 0 && held_back_responses_.add())
    SPDLOG_INFO("commands held back for the next response machine={} commands={} count={}", report.machine,
                commands, held_back_responses_.count());
}

}  // namespace oxbowmill
