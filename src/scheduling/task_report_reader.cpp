#include "oxbowmill/scheduling/task_report_reader.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <tuple>

#include "oxbowmill/scheduling/done_mark_collector.h"
#include "oxbowmill/scheduling/reported_tasks.h"

namespace oxbowmill {

namespace {

constexpr double max_error_backoff_s = 30, error_backoff_base_s = 0.5;
constexpr std::uint32_t max_backoff_doublings = 6;
constexpr double faulty_duration_s = 600;
constexpr std::uint32_t min_errors_of_faulty_machine = 3;  // of tasks of any job
constexpr std::uint32_t max_errors_of_sound_job = 3;  // consecutive errors; with more the job is at fault
constexpr double blocked_report_intervals = 2;        // how long a machine that lacked capacity is blocked
// A task counts as running between two reports that are at most this many report intervals plus this slack
// apart; in a longer gap the machine may have hung.
constexpr double running_gap_report_intervals = 2;
constexpr double running_gap_slack_s = 1;

}  // namespace

StartUpdate TaskReportReader::read(MachineIndex machine_index, const AgentReport& report,
                                   const ReportProof& proof, Seconds now) {
  Machine& machine = state_.edit_machine(machine_index);
  ReportContext context{report, proof, machine, now, {}};
  ReportedTasks reported(report);
  auto task_ids = machine.placed_tasks;
  for (TaskId id : task_ids) {
    Placement& placement = *state_.edit_placement(id);
    if (is_off_machine(placement.state)) continue;
    const TaskReport* task_report =
        reported.find(state_.job(id.job).spec.ref, placement.task, placement.attempt);
    if (task_report != nullptr) {
      read_listed(context, placement, *task_report);
    } else {
      read_absent(context, placement);
    }
  }
  check_gangs_and_marks(machine_index, task_ids, now);
  return context.starts;
}

void TaskReportReader::check_gangs_and_marks(MachineIndex machine_index, const std::vector<TaskId>& task_ids,
                                             Seconds now) {
  std::set<JobIndex> checked_gangs;
  for (TaskId id : task_ids) {
    Job& job = state_.job(id.job);
    if (job.spec.shape == JobShape::gang && checked_gangs.insert(id.job).second) gangs_.check(job, now);
  }
  // A machine can be handed over or returned only when it is empty, so the ends of its last tasks are written
  // at once. The same holds if no task can come to the machine before ended ones leave its list.
  const Machine& machine = state_.machine(machine_index);
  const std::vector<TaskId>& placed = machine.placed_tasks;
  bool all_off = !placed.empty() && std::all_of(placed.begin(), placed.end(), [this](TaskId id) {
    return is_off_machine(state_.find_placement(id)->state);
  });
  if (all_off || machine.are_messages_full()) request_done_marks(state_, machine_index);
}

void TaskReportReader::read_listed(ReportContext& context, Placement& placement,
                                   const TaskReport& task_report) {
  bool ended = task_report.phase == TaskPhase::ended;
  if (ended && placement.state == PlacementState::placed && !placement.inherited &&
      placement.sent_report_sequence == 0) {
    // The listed end belongs to an earlier start of the same attempt: a gang member that gave up waiting is
    // started here again.
    placement.earlier_start_listed = true;
    return;
  }
  // After a failover, only a report with this owner's fencing token shows the current state of an inherited
  // task. A delayed copy of an older report may show an end after which the same attempt was started again,
  // or an agent epoch before the one in which the task runs. When such ends were accepted, a gang member that
  // had ended `incomplete` and been started again on the same machine ran there and elsewhere at once. An end
  // with cause `done` is always accepted, because a task that is done stays done.
  bool unconfirmed_failover = placement.inherited && !context.proof.fencing_token_shown;
  if (ended && unconfirmed_failover && task_report.cause != EndCause::done) return;
  context.starts.some_arrived = context.starts.some_arrived || placement.state == PlacementState::sent;
  if (placement.started_at <= 0) placement.started_at = context.now;
  if (!unconfirmed_failover) {
    placement.inherited = false;
    if (placement.sent_agent_epoch == 0) {
      placement.sent_agent_epoch = context.report.agent_epoch;
      placement.sent_report_sequence = context.report.report_sequence;
    }
  }
  placement.phase = task_report.phase;
  if (ended) {
    on_ended(context, placement, task_report);
  } else {
    on_alive(context, placement, task_report);
  }
}

void TaskReportReader::on_alive(ReportContext& context, Placement& placement, const TaskReport& task_report) {
  Seconds now = context.now;
  if (task_report.phase == TaskPhase::running) {
    // Counts run time only between reports close enough together to exclude that the machine hung in between,
    // and not for a task that is being stopped, which makes no more progress.
    double max_gap_s = running_gap_report_intervals * state_.settings.report_interval_s + running_gap_slack_s;
    bool ran_since = placement.last_running_at >= 0 && now - placement.last_running_at < max_gap_s;
    if (ran_since && placement.state != PlacementState::stopping)
      placement.observed_run_s += now - placement.last_running_at;
    placement.last_running_at = now;
  }
  if (task_report.phase == TaskPhase::running && placement.running_at < 0) {
    placement.running_at = now;
    SPDLOG_DEBUG("task running task={}/{} machine={} after_s={:.1f}", state_.job(placement.job).spec.ref,
                 placement.task, context.report.machine, now - placement.started_at);
  }
  if (placement.state != PlacementState::stopping) state_.set_state(placement, PlacementState::reported, now);
}

void TaskReportReader::read_absent(ReportContext& context, Placement& placement) {
  const AgentReport& report = context.report;
  // A task's absence proves something only if the report shows this owner's fencing token or a later agent
  // epoch, or if the agent has received none of this owner's responses, and so not the one that carried the
  // start.
  bool start_not_taken = context.proof.no_response_received && placement.state == PlacementState::sent;
  if (!context.proof.fencing_token_shown && !start_not_taken &&
      (placement.sent_agent_epoch == 0 || report.agent_epoch <= placement.sent_agent_epoch))
    return;
  // The report also has to be newer than the one whose response carried the start: only then was that
  // response lost, or has the task ended.
  bool newer = std::tie(report.agent_epoch, report.report_sequence) >
               std::tie(placement.sent_agent_epoch, placement.sent_report_sequence);
  if (!newer) return;
  if (placement.state == PlacementState::sent) {
    state_.set_state(placement, PlacementState::placed, context.now);  // the start was lost and is sent again
    context.starts.some_lost = true;
  } else if (placement.state == PlacementState::reported || placement.state == PlacementState::stopping) {
    placement.cause = EndCause::none;
    state_.set_state(placement, PlacementState::terminated, context.now);
  } else {
    placement.inherited = false;  // placed by an earlier owner and not running: it may be started now
    placement.started_at = 0;
  }
}

void TaskReportReader::on_ended(ReportContext& context, Placement& placement, const TaskReport& task_report) {
  Job& job = state_.job(placement.job);
  Machine& machine = context.machine;
  Seconds now = context.now;
  placement.cause = task_report.cause;
  placement.checkpoint_saved = task_report.checkpoint_saved;
  SPDLOG_DEBUG("task ended task={}/{} machine={} cause={}", job.spec.ref, placement.task,
               state_.names.machines.name(placement.machine), name_of(task_report.cause));
  if (task_report.cause == EndCause::done) {
    on_done(placement, now);
    return;
  }
  if (task_report.cause == EndCause::peers_lost) job.broken_attempt = placement.attempt;
  if (task_report.cause == EndCause::error || task_report.cause == EndCause::unknown_task) {
    on_error(context, placement, task_report);
  } else if (task_report.cause == EndCause::no_capacity) {
    machine.blocked_until =
        std::max(machine.blocked_until, now + blocked_report_intervals * state_.settings.report_interval_s);
  }
  state_.set_state(placement, PlacementState::terminated, now);
}

void TaskReportReader::on_done(Placement& placement, Seconds now) {
  Job& job = state_.job(placement.job);
  job.error_count = 0;
  if (job.spec.shape == JobShape::array) {
    double run_time_s =
        checkpoint::execution_time(now - placement.started_at, job.checkpoint_of(placement.task));
    job.finished_run_times.push_back(run_time_s);
    if (state_.settings.progress.enabled && state_.wall_clock_offset_s != 0)
      job.unrecorded_finishes[placement.task] = {placement.task, run_time_s,
                                                 now + state_.wall_clock_offset_s - job.spec.submitted_at};
  }
  state_.set_state(placement, PlacementState::finished, now);
}

void TaskReportReader::on_error(ReportContext& context, const Placement& placement,
                                const TaskReport& task_report) {
  Job& job = state_.job(placement.job);
  Machine& machine = context.machine;
  ++job.error_count;
  if (task_report.cause == EndCause::error) ++machine.error_count;
  double backoff_s = std::min(
      max_error_backoff_s,
      error_backoff_base_s * static_cast<double>(1U << std::min(job.error_count, max_backoff_doublings)));
  job.placement_backoff_until = context.now + backoff_s;
  SPDLOG_INFO("task failed task={}/{} machine={} cause={}", job.spec.ref, placement.task,
              state_.names.machines.name(placement.machine), name_of(task_report.cause));
  // A faulty job must not take machines out of use: a machine counts as faulty only after several errors, and
  // not because of a job that keeps failing.
  if (machine.error_count >= min_errors_of_faulty_machine && job.error_count <= max_errors_of_sound_job)
    machine.faulty_until = context.now + faulty_duration_s;
}

}  // namespace oxbowmill
