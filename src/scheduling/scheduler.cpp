#include "oxbowmill/scheduling/scheduler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <tuple>

#include "oxbowmill/scheduling/pending_reason.h"
#include "oxbowmill/scheduling/slow_task_detector.h"

namespace oxbowmill {

namespace {
const std::vector<PlacedTask> no_planned_tasks;
constexpr double change_rate_window_s = 5;
constexpr double idle_retention_factor = 3;  // times as long is an empty machine kept while something waits
constexpr double done_mark_batching_write_fraction =
    0.15;  // of the changes a second, from which on an owner collects done marks
constexpr double wait_log_delay_s = 60, wait_log_interval_s = 30;
constexpr double min_wake_up_saving_s = 1;  // a worker is asked to report at once when that saves so much

}  // namespace

bool Scheduler::owns(PartitionIndex partition) const {
  const Ownership& c = state_.ownership(partition);
  return c.revision != 0 && controller_lease_.lease_id() != 0 &&
         c.record.lease_id == controller_lease_.lease_id() &&
         c.record.controller == state_.settings.controller_name && applied_revision_ >= c.revision;
}

bool Scheduler::owns_any() const {
  for (std::uint32_t p = 0; p < state_.partition_count(); ++p) {
    if (owns(PartitionIndex{p})) return true;
  }
  return false;
}

std::uint64_t Scheduler::visits() const {
  std::uint64_t sum = 0;
  for (std::uint32_t p = 0; p < state_.partition_count(); ++p)
    sum += capacity_.free_capacity(PartitionIndex{p}).visits();
  return sum;
}

Guard Scheduler::ownership_guard(PartitionIndex partition) const {
  return {OwnershipKey{partition}, state_.ownership(partition).revision};
}

void Scheduler::queue_transaction(Effects& out, Urgency urgency, Transaction txn,
                                  const std::vector<MachineIndex>& machines, std::vector<WakeUp> wake_ups,
                                  std::function<void()> settled) {
  for (MachineIndex m : machines) state_.edit_machine(m).writing = true;
  std::uint64_t id = ++next_write_id_;
  recent_changes_ += static_cast<double>(txn.changes.size());
  pending_[id] = {txn, urgency, JobIndex{}, machines,          {}, {}, std::move(wake_ups), {},
                  0,   0,       false,      std::move(settled)};
  out.writes.push_back({id, urgency, std::move(txn)});
}

void Scheduler::queue_job(Effects& out, Urgency urgency, Transaction txn, JobIndex job,
                          std::vector<PlacedTask> planned, std::vector<ReleasedTask> released) {
  Job& current_job = state_.job(job);
  current_job.writing = true;
  for (const PlacedTask& t : planned) state_.reserve(t.machine, current_job.spec, 1);
  std::uint64_t id = ++next_write_id_;
  recent_changes_ += static_cast<double>(txn.changes.size());
  pending_[id] = {txn, urgency, job,   {},     std::move(planned), std::move(released), {}, current_job.spec,
                  0,   0,       false, nullptr};
  out.writes.push_back({id, urgency, std::move(txn)});
}

bool Scheduler::on_outcome(std::uint64_t write_id, TransactionOutcome outcome, Revision revision,
                           Seconds now) {
  auto it = pending_.find(write_id);
  if (it == pending_.end()) return false;
  PendingWrite& pending = it->second;
  switch (outcome) {
    case TransactionOutcome::applied:
      send_direct_clears(pending, deferred_effects_);
      wake(pending, revision, now, deferred_effects_);
      settle(it, now, 0);
      break;
    case TransactionOutcome::not_executed:
      // Of this copy only: one that got no answer may still be applied, and its room, quota or money with it.
      if (pending.unconfirmed) {
        pending.resend_at = now + 0.3;
        return true;
      }
      settle(it, now, 0.3);
      break;
    case TransactionOutcome::refused:
      // One of the keys has changed, maybe by this very transaction sent earlier. Room and job stay taken
      // until the watch has shown what happened.
      pending.refused_at_revision = revision;
      if (applied_revision_ >= revision) settle(it, now, 0.1);
      break;
    case TransactionOutcome::unknown:
      // It may still be applied. The same transaction is sent again until the answer is definite: once one of
      // the two is applied the other's guards fail.
      pending.unconfirmed = true;
      pending.resend_at = now + 0.3;
      return true;
  }
  return false;
}

void Scheduler::settle(std::map<std::uint64_t, PendingWrite>::iterator it, Seconds now, double back_off) {
  PendingWrite pending = std::move(it->second);
  pending_.erase(it);
  for (MachineIndex m : pending.machines) state_.edit_machine(m).writing = false;
  Job* j = pending.job.valid() ? state_.live_job(pending.job) : nullptr;
  if (j != nullptr) {
    j->writing = false;
    if (back_off > 0) j->write_backoff_until = now + back_off;
    state_.dirty_jobs.insert(pending.job);
  }
  for (const PlacedTask& t : pending.planned) state_.reserve(t.machine, pending.spec, -1);
  if (pending.on_settled) pending.on_settled();
}

void Scheduler::settle_pending(Seconds now, Effects& out) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    auto here = it++;
    PendingWrite& pending = here->second;
    if (pending.refused_at_revision != 0 && applied_revision_ >= pending.refused_at_revision) {
      settle(here, now, 0.1);
    } else if (pending.resend_at > 0 && now >= pending.resend_at) {
      pending.resend_at = 0;
      out.writes.push_back({here->first, pending.urgency, pending.txn});
    }
  }
}

void Scheduler::detect_failovers(Seconds now) {
  for (std::uint32_t p = 0; p < state_.partition_count(); ++p) {
    PartitionIndex partition{p};
    if (!owns(partition)) continue;
    Revision& prepared = prepared_revisions_[p];
    if (prepared == state_.ownership(partition).revision) continue;
    prepared = state_.ownership(partition).revision;
    state_.failover(partition, now);
    SPDLOG_INFO("took over part {} at revision {}: {} machines, {} jobs",
                state_.names.partitions.name(partition), prepared, state_.machines_of(partition).size(),
                state_.live_jobs(partition).size());
  }
}

bool Scheduler::may_start(const Job& job, const Placement& placement) const {
  // An owner starts nothing of a job whose last transaction is in doubt: it may have given the task up.
  return job.phase == JobPhase::open && job.revision != 0 && placement.state == PlacementState::placed &&
         !placement.inherited && !placement.restarting && !placement.restart_requested;
}

AgentCommand Scheduler::kill_command(const Placement& placement, Seconds now) const {
  const JobSpec& spec = state_.job(placement.job).spec;
  double wind_down = placement.termination_timeout_s;
  // A task that saves for much longer than it should is ended.
  if (now - placement.stopping_since >
      spec.flush_s + 2 * state_.settings.report_interval_s + state_.settings.gang_peer_timeout_s)
    wind_down = 0;
  return {CommandKind::kill, spec.ref, placement.task, placement.attempt, wind_down};
}

void Scheduler::stop(Placement& placement, double wind_down_s, Seconds now) {
  if (placement.state == PlacementState::finished || placement.state == PlacementState::terminated ||
      placement.state == PlacementState::stopping) {
    return;
  }
  placement.termination_timeout_s = wind_down_s;
  bool never_sent = placement.state == PlacementState::placed && !placement.inherited &&
                    placement.sent_report_sequence == 0;
  state_.set_state(placement, never_sent ? PlacementState::terminated : PlacementState::stopping, now);
}

void Scheduler::check_gang(Job& current_job, Seconds now) {
  GangAction action = gang_action(current_job);
  if (action == GangAction::none) return;
  for (auto& [t, placement] : current_job.placements) {
    if (action == GangAction::finish_all) {
      state_.set_state(placement, PlacementState::finished, now);
    } else {
      stop(placement, current_job.phase == JobPhase::open ? current_job.spec.flush_s : 0, now);
    }
  }
}

bool Scheduler::holds_tasks(const Machine& machine) const {
  return std::any_of(machine.placed_tasks.begin(), machine.placed_tasks.end(),
                     [this](TaskId id) { return !is_off_machine(state_.find_placement(id)->state); });
}

void Scheduler::monitor_machines(PartitionIndex partition, Clock clock, Effects& out) {
  const Settings& settings = state_.settings;
  Seconds now = clock.now;
  // Whether an empty machine may still be of use: what waits for cheap machines does not keep ordinary ones.
  bool waiting_cheap = false, waiting_other = false;
  for (JobIndex ji : state_.live_jobs(partition)) {
    const Job& j = state_.job(ji);
    if (state_.placeable_tasks(ji) == 0) continue;
    waiting_cheap = waiting_cheap || j.spec.spot;
    waiting_other = waiting_other || !j.spec.spot || j.spec.shape != JobShape::array;
  }
  auto machines = state_.machines_of(partition);
  for (MachineIndex machine_index : machines) {
    const Machine& machine = state_.machine(machine_index);
    // While a machine has not shown our token, the earlier owner may have kept it alive through its grace.
    bool counted = machine.last_answered_report_at >= 0 || machine.state == MachineState::unreconciled ||
                   (machine.state == MachineState::deleting && machine.inherited);
    bool silent = counted && now > proven_empty_at(machine);
    if (machine.last_answered_report_at >= 0 && machine.state != MachineState::deleting) {
      ZoneReachability& z = zone_reachability_[machine.record.zone.value];
      ++z.expected;
      z.reported += now - machine.last_answered_report_at < 1.6 * settings.report_interval_s + 0.5 ? 1 : 0;
    }
    bool known_silent =
        machine.state == MachineState::lease_expired || machine.state == MachineState::deleting;
    if (silent && (!known_silent || holds_tasks(machine))) {
      SPDLOG_INFO("machine {}: silent, its lease is over", state_.names.machines.name(machine_index));
      mark_empty(machine_index, now);
      if (machine.state != MachineState::deleting)
        state_.set_state(machine_index, MachineState::lease_expired, now);
    }
    if (machine.state == MachineState::deleting) continue;
    if (recovery_admission_ != nullptr && !machine.writing &&
        recovery_admission_->marked_for_deletion(machine_index)) {
      // Its tasks stay on it in the tables until the deletion is confirmed and the record goes.
      SPDLOG_INFO("machine {}: deleted on suspicion", state_.names.machines.name(machine_index));
      MachineRecord record = machine.record;
      record.mark = MachineMark::deleting;
      record.requested_by = PartitionIndex{};
      Transaction txn;
      txn.guards = {ownership_guard(partition), {MachineKey{machine_index}, machine.revision}};
      txn.changes = {{MachineKey{machine_index}, record}};
      queue_transaction(out, Urgency::placement, std::move(txn), {machine_index});
      continue;
    }
    if (machine.preemption_notice || machine.faulty_until > now || machine.record.requested_by.valid()) {
      for (TaskId id : std::vector<TaskId>(machine.placed_tasks)) {
        Placement& p = *state_.edit_placement(id);
        Job& j = state_.job(id.job);
        stop(p, j.spec.flush_s, now);
        if (j.spec.shape == JobShape::gang) check_gang(j, now);
      }
    }
    if (machine.state == MachineState::expected && now - machine.in_partition_since > 2 * arrival_s()) {
      // Handed over, but it does not come: what was placed there in advance was never sent.
      for (TaskId id : std::vector<TaskId>(machine.placed_tasks)) stop(*state_.edit_placement(id), 0, now);
    }
    // A placement that is being written may become durable before the move: its task would be on a machine
    // of a part whose owner does not know the job.
    if (partition == idle_pool || !machine.placed_tasks.empty() || machine.writing ||
        machine.reservations != 0)
      continue;
    const MachineType& type = state_.catalog[machine.record.type.value];
    bool stuck = !machine.has_booted &&
                 now - machine.known_since >
                     settings.operator_settings.boot_timeout_factor * type.boot_s + settings.lease_s;
    bool waiting = machine.record.spot ? waiting_cheap : waiting_other;
    double keep = waiting ? idle_retention_factor * settings.operator_settings.release_to_pool_s
                          : settings.operator_settings.release_to_pool_s;
    bool idle = machine.state == MachineState::ready && now - machine.idle_since > keep;
    bool useless = machine.preemption_notice || machine.faulty_until > now ||
                   machine.state == MachineState::lease_expired || stuck;
    bool unneeded = machine.state == MachineState::expected && !waiting &&
                    now - machine.known_since > type.boot_s &&
                    now - machine.in_partition_since > 2 * arrival_s();
    bool wanted = machine.record.requested_by.valid();
    if (!idle && !useless && !unneeded && !wanted) continue;
    // Given back to the pool only with nothing possibly on it.
    Transaction txn;
    txn.guards = {ownership_guard(partition), {MachineKey{machine_index}, machine.revision}};
    MachineRecord record = machine.record;
    record.partition = wanted && !useless ? machine.record.requested_by : idle_pool;
    record.requested_by = PartitionIndex{};
    // The next owner cannot know what made this machine useless, so the record says that it is to go.
    if (useless) record.mark = MachineMark::deleting;
    txn.changes = {{MachineKey{machine_index}, record}};
    queue_transaction(out, wanted ? Urgency::placement : Urgency::other, std::move(txn), {machine_index});
  }
}

void Scheduler::find_slow_tasks(PartitionIndex partition, Seconds now) {
  const OperatorSettings& operator_settings = state_.settings.operator_settings;
  // Flags per machine, then the source's rule as this project narrows it: two or more jobs at once.
  std::map<MachineIndex, std::vector<TaskId>> flagged;
  for (JobIndex job_index : state_.live_jobs(partition)) {
    Job& current_job = state_.job(job_index);
    if (current_job.spec.shape != JobShape::array || current_job.phase != JobPhase::open ||
        current_job.placements.empty())
      continue;
    if (current_job.slow_baseline_s < 0) {
      current_job.slow_baseline_s =
          slow_baseline(current_job.finished_run_times, current_job.spec.tasks, operator_settings);
      if (current_job.slow_baseline_s < 0) continue;
    }
    for (auto& [task, placement] : current_job.placements) {
      auto chunk = current_job.chunks.find(task / tasks_per_chunk);
      bool used_up =
          chunk != current_job.chunks.end() && (chunk->second.restarted >> (task % tasks_per_chunk) & 1) != 0;
      if (placement.state != PlacementState::reported || used_up || placement.restarting ||
          placement.restart_requested)
        continue;
      if (is_slow(now - placement.started_at, current_job.slow_baseline_s))
        flagged[placement.machine].push_back({job_index, task});
    }
  }
  for (auto& [machine_index, tasks] : flagged) {
    std::set<JobIndex> jobs;
    for (TaskId id : tasks) jobs.insert(id.job);
    if (jobs.size() < 2) continue;
    Machine& current_machine = state_.edit_machine(machine_index);
    if (current_machine.blocked_until < now) {
      SPDLOG_INFO("machine {}: blocked, slow tasks of {} jobs", state_.names.machines.name(machine_index),
                  jobs.size());
    }
    current_machine.blocked_until =
        std::max(current_machine.blocked_until, now + operator_settings.slow_block_s);
    if (!operator_settings.restart_slow) continue;
    capacity_.refresh(now);
    for (TaskId id : tasks) {
      Job& current_job = state_.job(id.job);
      // Without free room elsewhere the task is left running.
      Selection elsewhere = capacity_.free_capacity(partition).select(query_for(current_job, now), {id.task},
                                                                      tasks_by_zone(state_, current_job));
      if (elsewhere.assignments.empty()) continue;
      capacity_.free_capacity(partition).take(elsewhere.machines.front().machine,
                                              current_job.spec.task_resources);
      state_.edit_placement(id)->restart_requested = true;  // made durable first, then stopped
      state_.dirty_jobs.insert(id.job);
    }
  }
}

void Scheduler::log_wait_reasons(PartitionIndex partition, Clock clock) {
  for (JobIndex ji : state_.live_jobs(partition)) {
    Job& current_job = state_.job(ji);
    Seconds waited = clock.wall - current_job.spec.submitted_at;
    if (waited < wait_log_delay_s || clock.now - current_job.pending_reason_logged_at < wait_log_interval_s)
      continue;
    PendingStatus wait = pending_status_of(state_, current_job, clock.now);
    if (wait.tasks == 0) continue;
    current_job.pending_reason_logged_at = clock.now;
    SPDLOG_INFO("job {}: {} of {} tasks have not begun after {:.0f} s: wait for {}; promise {}",
                current_job.spec.ref, wait.tasks, current_job.spec.tasks, waited, name_of(wait.reason),
                name_of(start_deadline_of(state_, current_job.spec, clock.wall)));
  }
}

bool Scheduler::exceeds_write_fraction(double share) const {
  return recent_changes_ > share * state_.settings.state_write_rps * change_rate_window_s;
}

bool Scheduler::done_marks_may_wait(JobIndex job_index, Seconds now) {
  // A done task's result is kept, so that a mark which is lost costs no work: it is done again as soon as it
  // has its image. A mark for each end took most of the state service's changes. What a waiting task, a
  // machine that could be given back or the job's end depends on is written at once.
  Job& current_job = state_.job(job_index);
  std::size_t ended_count = 0, done = 0;
  for (const auto& [t, p] : current_job.placements) {
    if (p.restart_requested && !p.restarting) return false;
    ended_count += is_off_machine(p.state) ? 1 : 0;
    done += p.state == PlacementState::finished ? 1 : 0;
  }
  // Nothing of a gang that is being stopped can start before all of it is off.
  bool whole = current_job.spec.shape == JobShape::gang && gang_state(current_job) == GangState::stopping &&
               ended_count < current_job.placements.size();
  bool may = current_job.is_final()
                 ? ended_count < current_job.placements.size()
                 : ended_count == done && current_job.done_count + done < current_job.spec.tasks &&
                       current_job.spec.shape == JobShape::array;
  if (ended_count == 0 || !(may || whole) || (current_job.done_marks_urgent && !whole)) return false;
  if (current_job.done_marks_due < 0) {
    if (!exceeds_write_fraction(done_mark_batching_write_fraction)) return false;
    current_job.done_marks_due = now + state_.settings.operator_settings.done_mark_delay_s;
    done_marks_due_.emplace(current_job.done_marks_due, job_index);
  }
  return now < current_job.done_marks_due;
}

void Scheduler::request_done_marks(MachineIndex machine_index) {
  for (TaskId id : state_.machine(machine_index).placed_tasks) {
    if (!is_off_machine(state_.find_placement(id)->state)) continue;
    state_.job(id.job).done_marks_urgent = true;
    state_.dirty_jobs.insert(id.job);
  }
}

void Scheduler::write_job(JobIndex job_index, const std::vector<PlacedTask>& planned, Seconds now,
                          Effects& out) {
  Job& current_job = state_.job(job_index);
  if (current_job.writing || now < current_job.write_backoff_until || current_job.revision == 0) return;
  PartitionIndex partition = current_job.spec.partition;
  std::map<std::uint32_t, ChunkRecord> records;
  std::set<MachineIndex> machines;
  bool has_update = false;
  // Which chunks change, up to what one transaction holds; the rest follows in the next.
  auto touch = [&](TaskNumber task) {
    if (records.count(task / tasks_per_chunk) != 0) return true;
    if (records.size() >= max_chunks(state_.settings)) return false;
    records[task / tasks_per_chunk];
    return true;
  };
  bool finishing = false, lost = false;
  std::vector<PlacedTask> written;
  std::vector<ReleasedTask> released;
  bool plans = !planned.empty() && current_job.phase == JobPhase::open;
  if (!plans && done_marks_may_wait(job_index, now)) return;
  current_job.done_marks_due = -1;
  current_job.done_marks_urgent = false;
  std::size_t ended_count = 0;
  for (auto& [t, placement] : current_job.placements) {
    if (placement.state != PlacementState::reported) placement.restart_requested = false;
    bool changed = is_off_machine(placement.state) || (placement.restart_requested && !placement.restarting);
    if (changed && touch(t)) has_update = true;
    finishing = finishing || placement.state == PlacementState::finished;
    lost = lost || placement.state == PlacementState::terminated;
    ended_count += is_off_machine(placement.state) ? 1 : 0;
  }
  for (const PlacedTask& t : planned) {
    if (current_job.phase == JobPhase::open && touch(t.task)) has_update = true;
  }
  bool cleanup = current_job.is_final() && ended_count == current_job.placements.size();
  if (!has_update && !cleanup) return;
  Transaction txn;
  txn.guards = {ownership_guard(partition), {JobKey{job_index}, current_job.revision}};
  std::uint32_t done = current_job.done_count;
  for (auto& [chunk_number, record] : records) {
    auto chunk = current_job.chunks.find(chunk_number);
    Revision revision = 0;
    if (chunk != current_job.chunks.end()) {
      record.done = chunk->second.done;
      record.restarted = chunk->second.restarted;
      record.finishes = chunk->second.finishes;
      revision = chunk->second.revision;
    }
    auto task_bit = [](TaskNumber task) { return 1ULL << (task % tasks_per_chunk); };
    for (auto it = current_job.placements.lower_bound(chunk_number * tasks_per_chunk);
         it != current_job.placements.end() && it->first < (chunk_number + 1) * tasks_per_chunk; ++it) {
      const Placement& placement = it->second;
      bool restarting = placement.restarting || placement.restart_requested;
      if (placement.state == PlacementState::finished) {
        if ((record.done & task_bit(placement.task)) == 0) ++done;
        auto as = current_job.unrecorded_finishes.find(placement.task);
        if (as != current_job.unrecorded_finishes.end()) record.finishes.push_back(as->second);
        record.done |= task_bit(placement.task);
        released.push_back({placement.machine, placement.task, placement.attempt});
      } else if (placement.state == PlacementState::terminated) {
        if (placement.cause != EndCause::none)
          released.push_back({placement.machine, placement.task, placement.attempt});
      } else {
        record.placements.push_back(
            {placement.task, placement.machine, placement.attempt, restarting, placement.placed_after_s});
      }
      if (restarting) record.restarted |= task_bit(placement.task);
    }
    for (const PlacedTask& placed_task : planned) {
      if (placed_task.task / tasks_per_chunk != chunk_number || current_job.phase != JobPhase::open) continue;
      record.placements.push_back(placed_task);
      if (state_.settings.progress.enabled && state_.wall_clock_offset_s != 0)
        record.placements.back().placed_after_s =
            std::max(0.0, now + state_.wall_clock_offset_s - current_job.spec.submitted_at);
      machines.insert(placed_task.machine);
      written.push_back(placed_task);
    }
    for (auto it = current_job.checkpoints.lower_bound(chunk_number * tasks_per_chunk);
         it != current_job.checkpoints.end() && it->first < (chunk_number + 1) * tasks_per_chunk; ++it) {
      if ((record.done & task_bit(it->first)) == 0 && it->second.any()) record.checkpoints.insert(*it);
    }
    txn.guards.push_back({ChunkKey{job_index, chunk_number}, revision});
    txn.changes.push_back({ChunkKey{job_index, chunk_number}, record});
  }
  for (MachineIndex m : machines) txn.guards.push_back({MachineKey{m}, state_.machine(m).revision});
  // Nothing is placed on a decision that has changed since.
  if (!written.empty()) {
    for (Guard& g : state_.placement_limits(job_index).guards) txn.guards.push_back(std::move(g));
  }
  bool all_done = current_job.phase == JobPhase::open && done == current_job.spec.tasks;
  JobPhase phase = all_done ? JobPhase::done : current_job.phase;
  if (all_done || cleanup) {
    bool empty = std::all_of(records.begin(), records.end(),
                             [](const auto& r) { return r.second.placements.empty(); });
    empty =
        empty && std::all_of(current_job.placements.begin(), current_job.placements.end(),
                             [&](const auto& p) { return records.count(p.first / tasks_per_chunk) != 0; });
    std::size_t keys = current_job.chunks.size();
    for (const auto& [c, rec] : records) keys += current_job.chunks.count(c) == 0 ? 1 : 0;
    if (empty && keys + 2 <= state_.settings.max_transaction_ops) {
      // The whole job goes: what remains is its final phase under a key of its own.
      txn.changes.clear();
      for (const auto& [c, chunk] : current_job.chunks) txn.changes.push_back({ChunkKey{job_index, c}, {}});
      txn.changes.push_back({JobKey{job_index}, {}});
      txn.changes.push_back({FinalPhaseKey{job_index}, phase});
    } else if (all_done) {
      txn.changes.push_back({JobKey{job_index}, JobRecord{current_job.spec, phase}});
    } else if (current_job.placements.empty()) {
      for (const auto& [c, chunk] : current_job.chunks) {
        if (txn.changes.size() + 1 >= state_.settings.max_transaction_ops) break;
        txn.changes.push_back({ChunkKey{job_index, c}, {}});
      }
    }
  }
  // What was lost waits to be placed again: until its removal is durable, it cannot be.
  bool replaces = !written.empty() || (lost && current_job.phase == JobPhase::open);
  Urgency urgency = replaces ? Urgency::placement : finishing ? Urgency::done_mark : Urgency::other;
  queue_job(out, urgency, std::move(txn), job_index, std::move(written), std::move(released));
}

void Scheduler::send_direct_kills(Effects& out) {
  auto kick = std::move(state_.machines_to_wake);
  state_.machines_to_wake.clear();
  for (MachineIndex mi : kick) {
    const Machine& m = state_.machine(mi);
    if (m.revision == 0 || !owns(m.record.partition) || m.address.empty() || m.agent_epoch == 0) continue;
    DirectCommands direct_commands{mi, m.agent_epoch, state_.fencing_token(m), {}};
    for (TaskId id : m.placed_tasks) {
      const Placement& p = *state_.find_placement(id);
      if (p.state == PlacementState::stopping)
        direct_commands.commands.push_back(kill_command(p, p.stopping_since));
    }
    if (!direct_commands.commands.empty()) out.direct_commands.push_back(std::move(direct_commands));
  }
}

void Scheduler::send_direct_clears(const PendingWrite& pending_transaction, Effects& out) {
  // A cleared task changes the worker's list, so that it reports at once and fetches its next orders.
  std::map<MachineIndex, std::vector<AgentCommand>> by_machine;
  for (const ReleasedTask& r : pending_transaction.released) {
    by_machine[r.machine].push_back({CommandKind::clear, pending_transaction.spec.ref, r.task, r.attempt, 0});
  }
  for (auto& [mi, orders] : by_machine) {
    const Machine& m = state_.machine(mi);
    if (m.state != MachineState::ready || m.address.empty() || !owns(m.record.partition)) continue;
    out.direct_commands.push_back({mi, m.agent_epoch, state_.fencing_token(m), std::move(orders)});
  }
}

void Scheduler::wake(const PendingWrite& pending_transaction, Revision revision, Seconds now, Effects& out) {
  for (const WakeUp& r : pending_transaction.wake_ups) {
    if (!state_.machine(r.machine).address.empty())
      out.direct_commands.push_back({r.machine, r.agent_epoch, revision, {}});
  }
  const Settings& settings = state_.settings;
  std::set<MachineIndex> machines;
  for (const PlacedTask& t : pending_transaction.planned) machines.insert(t.machine);
  for (MachineIndex machine_index : machines) {
    Machine& current_machine = state_.edit_machine(machine_index);
    if (current_machine.state != MachineState::ready || !owns(current_machine.record.partition) ||
        current_machine.address.empty())
      continue;
    // A worker counts a higher token as news once in half a lease; where it reports soon anyway, it need not.
    Seconds next_report = current_machine.last_answered_report_at + settings.report_interval_s - now;
    if (next_report < min_wake_up_saving_s) continue;
    if (now - current_machine.woken_at < settings.lease_s / 2) {
      // The clearing of an ended task makes it report as well.
      request_done_marks(machine_index);
      continue;
    }
    // The transaction was guarded by our claim and the machine's record, so every later authority over the
    // machine has a higher token than this revision.
    current_machine.last_placement_revision = std::max(current_machine.last_placement_revision, revision);
    current_machine.woken_at = now;
    out.direct_commands.push_back(
        {machine_index, current_machine.agent_epoch, state_.fencing_token(current_machine), {}});
  }
}

void Scheduler::run_cycle(Clock clock, Effects& out) {
  if (controller_lease_.authority(clock.now) != Authority::full || !state_.catalog_known()) return;
  detect_failovers(clock.now);
  settle_pending(clock.now, out);
  recent_changes_ *= std::exp((last_cycle_at_ - clock.now) / change_rate_window_s);
  last_cycle_at_ = clock.now;
  bool check_machines = clock.now >= next_machine_check_at_;
  bool check_slow = clock.now >= next_slow_check_at_;
  if (check_machines) next_machine_check_at_ = clock.now + 0.2;
  if (check_slow) next_slow_check_at_ = clock.now + state_.settings.operator_settings.slow_check_interval_s;
  std::map<JobIndex, std::vector<PlacedTask>> planned;
  if (check_machines) {
    begin_zone_check();
    for (std::uint32_t p = 0; p < state_.partition_count(); ++p) {
      if (owns(PartitionIndex{p})) monitor_machines(PartitionIndex{p}, clock, out);
    }
    end_zone_check(clock.now);
  }
  for (std::uint32_t p = 0; p < state_.partition_count(); ++p) {
    PartitionIndex partition{p};
    if (!owns(partition)) continue;
    if (partition == idle_pool) continue;
    if (check_slow) find_slow_tasks(partition, clock.now);
    if (check_slow) log_wait_reasons(partition, clock);
    for (TaskId id : state_.constraints != nullptr ? state_.constraints->tasks_to_preempt(partition)
                                                   : std::vector<TaskId>{}) {
      if (Placement* preempted = state_.edit_placement(id))
        stop(*preempted, state_.job(id.job).spec.flush_s, clock.now);
    }
    place(partition, clock, check_machines, planned);
  }
  while (!done_marks_due_.empty() && done_marks_due_.begin()->first <= clock.now) {
    if (state_.live_job(done_marks_due_.begin()->second) != nullptr)
      state_.dirty_jobs.insert(done_marks_due_.begin()->second);
    done_marks_due_.erase(done_marks_due_.begin());
  }
  auto dirty = std::move(state_.dirty_jobs);
  state_.dirty_jobs.clear();
  for (JobIndex ji : dirty) {
    if (planned.count(ji) == 0) planned.emplace(ji, no_planned_tasks);
  }
  for (auto& [job_index, tasks] : planned) {
    Job* job = state_.live_job(job_index);
    if (job == nullptr || !owns(job->spec.partition)) continue;
    if (job->spec.shape == JobShape::gang) check_gang(*job, clock.now);
    for (auto& [t, pl] : job->placements) {
      // The mark is durable: the slow task may be stopped now.
      if (pl.restarting && pl.state == PlacementState::reported) stop(pl, job->spec.flush_s, clock.now);
    }
    if (job->writing || clock.now < job->write_backoff_until) {
      state_.dirty_jobs.insert(job_index);
      continue;
    }
    write_job(job_index, tasks, clock.now, out);
  }
  send_direct_kills(out);
  out.direct_commands.insert(out.direct_commands.end(),
                             std::make_move_iterator(deferred_effects_.direct_commands.begin()),
                             std::make_move_iterator(deferred_effects_.direct_commands.end()));
  deferred_effects_.direct_commands.clear();
}

}  // namespace oxbowmill
