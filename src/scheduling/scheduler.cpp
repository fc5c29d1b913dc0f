#include "oxbowmill/scheduling/scheduler.h"

#include "oxbowmill/scheduling/command_batch.h"
#include "oxbowmill/scheduling/pending_reason.h"
#include "oxbowmill/scheduling/task_termination.h"

namespace oxbowmill {

namespace {
constexpr double machine_check_interval_s = 0.2;
}  // namespace

Scheduler::Scheduler(ClusterState& state, ControllerLease& lease)
    : state_(state),
      controller_lease_(lease),
      capacity_(state),
      ownership_(state, lease),
      zones_(state),
      gangs_(state),
      evictor_(state, gangs_),
      transactions_(state, ownership_),
      heartbeats_(state, lease, ownership_, gangs_, evictor_),
      machine_monitor_(state, ownership_, zones_, transactions_, evictor_),
      slow_tasks_(state, capacity_, zones_),
      placement_(state, capacity_, zones_, transactions_.write_rate(), gangs_),
      job_writer_(state, ownership_, transactions_, gangs_) {}

std::uint64_t Scheduler::visits() const {
  std::uint64_t sum = 0;
  for (std::uint32_t p = 0; p < state_.partition_count(); ++p)
    sum += capacity_.free_capacity(PartitionIndex{p}).visits();
  return sum;
}

Scheduler::DueChecks Scheduler::take_due_checks(Seconds now) {
  DueChecks due{now >= next_machine_check_at_, now >= next_slow_check_at_};
  if (due.machines) next_machine_check_at_ = now + machine_check_interval_s;
  if (due.slow_tasks) next_slow_check_at_ = now + state_.settings.operator_settings.slow_check_interval_s;
  return due;
}

void Scheduler::check_machines(Clock clock, Effects& out) {
  zones_.begin_check();
  for (std::uint32_t p = 0; p < state_.partition_count(); ++p) {
    if (owns(PartitionIndex{p})) machine_monitor_.check_partition(PartitionIndex{p}, clock, out);
  }
  zones_.end_check(clock.now);
}

void Scheduler::preempt_by_constraints(PartitionIndex partition, Seconds now) {
  if (state_.constraints == nullptr) return;
  for (TaskId id : state_.constraints->tasks_to_preempt(partition)) {
    if (Placement* preempted = state_.edit_placement(id))
      stop_task(state_, *preempted, state_.job(id.job).spec.flush_s, now);
  }
}

void Scheduler::run_cycle(Clock clock, Effects& out) {
  const Seconds now = clock.now;
  if (controller_lease_.authority(now) != Authority::full || !state_.catalog_known()) return;
  detect_failovers(now);
  transactions_.settle_refused_and_resend(now, out);
  transactions_.advance_write_rate(now);
  DueChecks due = take_due_checks(now);
  if (due.machines) check_machines(clock, out);
  PlannedTasks planned;
  for (std::uint32_t p = 0; p < state_.partition_count(); ++p) {
    PartitionIndex partition{p};
    if (!owns(partition) || partition == idle_pool) continue;
    if (due.slow_tasks) {
      slow_tasks_.check_partition(partition, now);
      log_wait_reasons(state_, partition, clock);
    }
    preempt_by_constraints(partition, now);
    placement_.run(partition, clock, due.machines ? CycleDepth::thorough : CycleDepth::quick, planned);
  }
  job_writer_.write_changed(std::move(planned), now, out);
  send_direct_kills(state_, ownership_, out);
  transactions_.take_direct_commands(out);
  split_large_messages(out.direct_commands);
}

}  // namespace oxbowmill
