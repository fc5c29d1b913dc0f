// What workers' reports prove, and what they are answered.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill {

namespace {
constexpr std::uint32_t lost_answers_threshold =
    3;                                     // reports in a row that show that an answer has not been taken
constexpr double lost_answer_window = 16;  // of reports that tell whether an answer was taken
constexpr double own_fault_fraction = 0.5;
}  // namespace

ReportAnswer Scheduler::on_report(const WorkerReport& report, Clock clock) {
  ReportAnswer answer;
  Authority authority = controller_lease_.authority(clock.now);
  if (!state_.catalog_known()) return answer;
  detect_failovers(clock.now);
  MachineIndex machine_index = state_.find_recorded(report.machine);
  bool recorded = machine_index.valid();
  PartitionIndex partition = recorded ? state_.machine(machine_index).record.partition : idle_pool;
  if (!owns(partition)) {
    const Ownership& ownership = state_.ownership(partition);
    if (ownership.revision == 0 || ownership.record.controller == state_.settings.controller_name)
      return answer;
    answer.kind = ReportAnswer::Kind::redirect;
    answer.owner = ownership.record.controller;
    if (recorded) {
      const Machine& m = state_.machine(machine_index);
      Seconds settled = 2 * arrival_s();
      answer.owner_unreachable = report.fencing_token >= state_.lowest_fencing_token(m) &&
                                 clock.now - m.in_partition_since > settled &&
                                 clock.now - ownership.since > settled;
    }
    return answer;
  }
  if (authority == Authority::none) return answer;
  if (!recorded) {
    answer.fencing_token = state_.ownership(idle_pool).revision;
    if (report.fencing_token > answer.fencing_token) return answer;
    if (on_unregistered) on_unregistered(report);
    answer.kind = ReportAnswer::Kind::ok;
    return answer;
  }
  Machine& current_machine = state_.edit_machine(machine_index);
  answer.fencing_token = state_.fencing_token(current_machine);
  // A worker that has seen a higher token would drop the answer; a stale report must not count as news.
  if (report.fencing_token > answer.fencing_token) return ReportAnswer{};
  if (std::tie(report.agent_epoch, report.report_sequence) <=
      std::tie(current_machine.agent_epoch, current_machine.report_sequence))
    return ReportAnswer{};
  answer.kind = ReportAnswer::Kind::ok;
  // In the grace time too: whatever is answered there, nothing older is news afterwards.
  current_machine.agent_epoch = report.agent_epoch;
  current_machine.report_sequence = report.report_sequence;
  bool fencing_token_shown = report.fencing_token >= state_.lowest_fencing_token(current_machine);
  // A worker has one report under way, and drops what answers an earlier one: where a newer one shows a token
  // below all that we answered it with, it has taken none of our answers.
  bool none_taken = report.fencing_token < current_machine.first_fencing_token;
  if (current_machine.first_fencing_token == 0) current_machine.first_fencing_token = answer.fencing_token;
  current_machine.last_answered_report_at = clock.now;
  if (authority == Authority::read_only) {
    collect_kill_commands(machine_index, report, false, answer.commands, clock.now);
    return answer;
  }
  current_machine.address = report.address;
  if (current_machine.first_report_at < 0) current_machine.first_report_at = clock.now;
  current_machine.has_booted = true;
  // What a market delivered is judged by the machine's own word: on another type or in another zone than was
  // bid for, a job might be where it must not.
  bool as_recorded =
      !current_machine.record.market.valid() ||
      MachineKind{state_.names.types.find(report.type), state_.names.zones.find(report.zone), report.spot} ==
          MachineKind{current_machine.record.type, current_machine.record.zone, current_machine.record.spot};
  if (!as_recorded && current_machine.faulty_until < clock.now) {
    SPDLOG_INFO("machine {}: is {} in {}, not what was bid for; it goes back", report.machine, report.type,
                report.zone);
    constexpr double for_good_s = 1e9;
    current_machine.faulty_until = clock.now + for_good_s;
  }
  if (as_recorded && (current_machine.state == MachineState::expected ||
                      current_machine.state == MachineState::lease_expired ||
                      (current_machine.state == MachineState::unreconciled && fencing_token_shown))) {
    state_.set_state(machine_index, MachineState::ready, clock.now);
  }
  if (report.preemption_notice_s >= 0 && !current_machine.preemption_notice) {
    current_machine.preemption_notice = true;
    SPDLOG_INFO("machine {}: will be taken back in {:.1f} s", report.machine, report.preemption_notice_s);
  }
  if (none_taken && current_machine.inherited &&
      clock.now > exclusively_owned_since(current_machine) + state_.settings.lease_expiry_s())
    mark_empty(machine_index, clock.now);
  StartUpdate starts = read_tasks(machine_index, report, fencing_token_shown, none_taken, clock.now);
  bool lost = none_taken || starts.lost;
  if (lost || starts.arrived)
    lost_answer_fraction_ += ((lost ? 1 : 0) - lost_answer_fraction_) / lost_answer_window;
  current_machine.lost_responses = lost ? current_machine.lost_responses + 1 : 0;
  // Where most answers are lost it is not this machine that does not hear: this node is late or cut off, and
  // to send all that waits from one machine to the next would make it later.
  if (current_machine.lost_responses >= lost_answers_threshold && lost_answer_fraction_ < own_fault_fraction)
    avoid(machine_index, clock.now);
  collect_response_commands(machine_index, report, answer.commands, clock.now);
  return answer;
}

Scheduler::StartUpdate Scheduler::read_tasks(MachineIndex machine_index, const WorkerReport& report,
                                             bool fencing_token_shown, bool none_taken, Seconds now) {
  Machine& current_machine = state_.edit_machine(machine_index);
  StartUpdate update;
  auto task_ids = current_machine.placed_tasks;
  for (TaskId id : task_ids) {
    Placement& placement = *state_.edit_placement(id);
    if (placement.state == PlacementState::finished || placement.state == PlacementState::terminated)
      continue;
    const std::string& ref = state_.job(id.job).spec.ref;
    auto task_report_it = std::find_if(report.tasks.begin(), report.tasks.end(), [&](const TaskReport& x) {
      return x.task == placement.task && x.attempt == placement.attempt && x.job == ref;
    });
    if (task_report_it != report.tasks.end() && task_report_it->phase == TaskPhase::ended &&
        placement.state == PlacementState::placed && !placement.inherited &&
        placement.sent_report_sequence == 0) {
      placement.earlier_start_listed =
          true;  // of a gang member that gave up waiting and is started again here
      continue;
    }
    // Of an earlier owner's task only a report under our token tells how it stands now: a copy of an older
    // one, come late, may show an end after which the same attempt was started again, or a session before the
    // one in which it runs. (A gang's member, started again where it had ended `incomplete`, ran there and
    // elsewhere.) What is done stays done.
    bool unconfirmed_failover = placement.inherited && !fencing_token_shown;
    if (task_report_it != report.tasks.end() && task_report_it->phase == TaskPhase::ended &&
        unconfirmed_failover && task_report_it->cause != EndCause::done)
      continue;
    if (task_report_it != report.tasks.end()) {
      update.arrived = update.arrived || placement.state == PlacementState::sent;
      if (placement.started_at <= 0) placement.started_at = now;
      if (!unconfirmed_failover) {
        placement.inherited = false;
        if (placement.sent_agent_epoch == 0) {
          placement.sent_agent_epoch = report.agent_epoch;
          placement.sent_report_sequence = report.report_sequence;
        }
      }
      placement.phase = task_report_it->phase;
      if (task_report_it->phase == TaskPhase::ended) {
        on_task_ended(placement, *task_report_it, current_machine, now);
      } else {
        if (task_report_it->phase == TaskPhase::running) {
          // What was told to stop makes no more progress, and a machine that hung made none.
          bool close = placement.last_running_at >= 0 &&
                       now - placement.last_running_at < 2 * state_.settings.report_interval_s + 1;
          if (close && placement.state != PlacementState::stopping)
            placement.observed_run_s += now - placement.last_running_at;
          placement.last_running_at = now;
        }
        if (task_report_it->phase == TaskPhase::running && placement.running_at < 0) {
          placement.running_at = now;
          SPDLOG_DEBUG("task {}/{} runs on {}, {:.1f} s after its start order", ref, placement.task,
                       report.machine, now - placement.started_at);
        }
        if (placement.state != PlacementState::stopping)
          state_.set_state(placement, PlacementState::reported, now);
      }
      continue;
    }
    // Or the worker has taken none of our answers, so not the one that carried the start.
    bool untaken = none_taken && placement.state == PlacementState::sent;
    if (!fencing_token_shown && !untaken &&
        (placement.sent_agent_epoch == 0 || report.agent_epoch <= placement.sent_agent_epoch))
      continue;
    // Absence counts only in a report newer than the one whose response carried the start, with our token or
    // from a later session: then that response was dropped or its effect is over.
    bool newer = std::tie(report.agent_epoch, report.report_sequence) >
                 std::tie(placement.sent_agent_epoch, placement.sent_report_sequence);
    if (!newer) continue;
    if (placement.state == PlacementState::sent) {
      state_.set_state(placement, PlacementState::placed, now);  // the start was lost: it is sent again
      update.lost = true;
    } else if (placement.state == PlacementState::reported || placement.state == PlacementState::stopping) {
      placement.cause = EndCause::none;
      state_.set_state(placement, PlacementState::terminated, now);
    } else {
      placement.inherited = false;  // placed by an earlier owner, never started: it may be started now
      placement.started_at = 0;
    }
  }
  bool all_off = !current_machine.placed_tasks.empty();
  for (TaskId id : task_ids) {
    Job& j = state_.job(id.job);
    if (j.spec.shape == JobShape::gang) check_gang(j, now);
  }
  for (TaskId id : current_machine.placed_tasks)
    all_off = all_off && is_off_machine(state_.find_placement(id)->state);
  // Only an empty machine can be handed over or given back.
  if (all_off) request_done_marks(machine_index);
  return update;
}

void Scheduler::mark_empty(MachineIndex machine_index, Seconds now) {
  for (TaskId id : state_.machine(machine_index).placed_tasks) {
    Placement& p = *state_.edit_placement(id);
    if (is_off_machine(p.state)) continue;
    p.cause = EndCause::none;
    state_.set_state(p, PlacementState::terminated, now);
  }
  for (TaskId id : std::vector<TaskId>(state_.machine(machine_index).placed_tasks)) {
    if (state_.job(id.job).spec.shape == JobShape::gang) check_gang(state_.job(id.job), now);
  }
}

void Scheduler::avoid(MachineIndex machine_index, Seconds now) {
  Machine& current_machine = state_.edit_machine(machine_index);
  if (current_machine.blocked_until < now)
    SPDLOG_INFO("machine {}: does not hear its answers", state_.names.machines.name(machine_index));
  current_machine.blocked_until =
      std::max(current_machine.blocked_until, now + state_.settings.operator_settings.slow_block_s);
  // What was to start here has not: the last answer that carried it was not taken either.
  for (TaskId id : current_machine.placed_tasks) {
    Placement& p = *state_.edit_placement(id);
    if (p.state != PlacementState::placed || p.inherited) continue;
    p.cause = EndCause::none;
    state_.set_state(p, PlacementState::terminated, now);
  }
}

void Scheduler::on_task_ended(Placement& placement, const TaskReport& task_report, Machine& current_machine,
                              Seconds now) {
  Job& current_job = state_.job(placement.job);
  placement.cause = task_report.cause;
  placement.checkpoint_saved = task_report.checkpoint_saved;
  SPDLOG_DEBUG("task {}/{} ended on {}: {}", current_job.spec.ref, placement.task,
               state_.names.machines.name(placement.machine), name_of(task_report.cause));
  if (task_report.cause == EndCause::done) {
    current_job.error_count = 0;
    if (current_job.spec.shape == JobShape::array) {
      double took =
          checkpoint::execution_time(now - placement.started_at, current_job.checkpoint_of(placement.task));
      current_job.finished_run_times.push_back(took);
      if (state_.settings.progress.enabled && state_.wall_clock_offset_s != 0)
        current_job.unrecorded_finishes[placement.task] = {
            placement.task, took, now + state_.wall_clock_offset_s - current_job.spec.submitted_at};
    }
    state_.set_state(placement, PlacementState::finished, now);
    return;
  }
  if (task_report.cause == EndCause::peers_lost) current_job.broken_attempt = placement.attempt;
  if (task_report.cause == EndCause::error || task_report.cause == EndCause::no_such) {
    ++current_job.error_count;
    if (task_report.cause == EndCause::error) ++current_machine.error_count;
    current_job.placement_backoff_until =
        now + std::min(30.0, 0.5 * static_cast<double>(1U << std::min(current_job.error_count, 6U)));
    SPDLOG_INFO("task {}/{} failed on {}: {}", current_job.spec.ref, placement.task,
                state_.names.machines.name(placement.machine), name_of(task_report.cause));
    // A mistake in one job must not cost machines: only errors on several occasions make a machine suspect.
    if (current_machine.error_count >= 3 && current_job.error_count <= 3)
      current_machine.faulty_until = now + 600;
  } else if (task_report.cause == EndCause::no_capacity) {
    current_machine.blocked_until =
        std::max(current_machine.blocked_until, now + 2 * state_.settings.report_interval_s);
  }
  state_.set_state(placement, PlacementState::terminated, now);
}

void Scheduler::collect_kill_commands(MachineIndex machine_index, const WorkerReport& report, bool all,
                                      std::vector<AgentCommand>& orders, Seconds now) {
  for (const TaskReport& task_report : report.tasks) {
    JobIndex ji = state_.find_job(task_report.job);
    const Placement* p = ji.valid() ? state_.find_placement({ji, task_report.task}) : nullptr;
    if (p != nullptr && p->machine == machine_index && p->attempt == task_report.attempt) continue;
    // Not ours to run: its record went when it was proved to have ended, or was never made.
    if (task_report.phase == TaskPhase::ended) {
      if (all)
        orders.push_back({CommandKind::clear, task_report.job, task_report.task, task_report.attempt, 0});
    } else {
      SPDLOG_INFO("machine {} runs {}/{} try {} without a placement: killed", report.machine, task_report.job,
                  task_report.task, task_report.attempt);
      orders.push_back({CommandKind::kill, task_report.job, task_report.task, task_report.attempt, 0});
    }
  }
  for (TaskId id : state_.machine(machine_index).placed_tasks) {
    const Placement& p = *state_.find_placement(id);
    bool wanted = all || state_.job(id.job).phase == JobPhase::cancelled;
    if (p.state == PlacementState::stopping && wanted) orders.push_back(kill_command(p, now));
  }
}

void Scheduler::collect_response_commands(MachineIndex machine_index, const WorkerReport& report,
                                          std::vector<AgentCommand>& orders, Seconds now) {
  Machine& m = state_.edit_machine(machine_index);
  collect_kill_commands(machine_index, report, true, orders, now);
  if (m.state != MachineState::ready || m.preemption_notice) return;
  for (TaskId id : m.placed_tasks) {
    Placement& placement = *state_.edit_placement(id);
    Job& j = state_.job(id.job);
    if (!may_start(j, placement)) continue;
    if (placement.earlier_start_listed)
      orders.push_back({CommandKind::clear, j.spec.ref, placement.task, placement.attempt, 0});
    orders.push_back({CommandKind::start, j.spec.ref, placement.task, placement.attempt, 0});
    placement.sent_agent_epoch = report.agent_epoch;
    placement.sent_report_sequence = report.report_sequence;
    state_.set_state(placement, PlacementState::sent, now);
  }
}

Seconds Scheduler::exclusively_owned_since(const Machine& machine) const {
  Seconds after_grace =
      machine.in_partition_since + state_.settings.read_only_period_s() * (1 + 2 * Settings::clock_drift);
  // One that was moved may be answered by the owner it came from, who lives under the hold it had.
  if (!machine.inherited) return after_grace;
  // The earlier owner's grace need not be waited for once every controller has begun anew: what was answered
  // to this worker on behalf of the part was answered under a hold that has ended since, and its holder
  // answers nothing under it any more (docs/reconciliation.md, "Safety").
  Seconds reacquired_since = state_.all_reacquired_since();
  return reacquired_since < 0 ? after_grace
                              : std::min(after_grace, std::max(machine.in_partition_since, reacquired_since));
}

Seconds Scheduler::proven_empty_at(const Machine& machine) const {
  bool unproved = machine.state == MachineState::unreconciled ||
                  (machine.state == MachineState::deleting && machine.inherited);
  Seconds from = unproved ? exclusively_owned_since(machine) : machine.in_partition_since;
  return std::max(machine.last_answered_report_at, from) + state_.settings.lease_expiry_s();
}

}  // namespace oxbowmill
