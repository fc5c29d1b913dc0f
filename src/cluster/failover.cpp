// Preparation of a controller's tables when it becomes a partition's owner.
#include <algorithm>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/cluster/start_deadline.h"

namespace oxbowmill {

namespace {

/// Lower bound of Placement::started_at after a failover, because 0 means that no start command was sent.
constexpr Seconds min_started_at = 1e-3;

/// Resets the machines, placements and jobs of one partition to the view of a new owner, which knows the
/// durable facts but nothing of what its predecessor sent or received.
class PartitionFailover {
 public:
  PartitionFailover(ClusterState& state, Seconds now) : state_(state), now_(now) {}

  void run(PartitionIndex partition) {
    for (MachineIndex machine_index : state_.machines_of(partition)) inherit_machine(machine_index);
    for (JobIndex job_index : state_.live_jobs(partition)) inherit_job(job_index);
  }

 private:
  void inherit_machine(MachineIndex machine_index) {
    Machine& machine = state_.edit_machine(machine_index);
    machine.restart_session(now_);
    // The revision of the last placement no longer counts, because an owner in between may have moved the
    // machine. The fencing token does not decrease, because the revision of the present ownership is higher.
    machine.last_placement_revision = no_record;
    machine.inherited = true;
    if (machine.state != MachineState::deleting)
      state_.set_state(machine_index, machine.initial_state(), now_);
    for (TaskId id : machine.placed_tasks) {
      Placement* placement = state_.edit_placement(id);
      if (placement != nullptr) inherit_placement(*placement);
    }
  }

  void inherit_placement(Placement& placement) {
    const Job& job = state_.job(placement.job);
    placement.inherited = true;
    placement.started_at = now_;
    restore_start_time(placement);
    placement.sent_report_sequence = placement.sent_agent_epoch = 0;
    placement.restart_requested = false;
    // What this controller knew from an earlier ownership no longer holds, because an owner in between may
    // have started the task again.
    bool cancelled = job.phase == JobPhase::cancelled;
    placement.termination_timeout_s = cancelled ? 0 : job.spec.flush_s;
    bool stop = placement.restarting || cancelled;
    state_.set_state(placement, stop ? PlacementState::stopping : PlacementState::placed, now_);
  }

  /// Counts the task's run time from its placement, if the record contains that time. The start is assumed
  /// a little later, because the start command followed the placement and clocks differ. If the run time
  /// were counted from the failover, the new owner would flag slow tasks later than an uninterrupted one,
  /// and tasks that then finish would count as short and cause others to be flagged too early.
  void restore_start_time(Placement& placement) {
    Job& job = state_.job(placement.job);
    double submitted_at = job.spec.submitted_at;
    bool placement_time_known = state_.settings.progress.enabled && placement.placed_after_s >= 0 &&
                                state_.wall_clock_offset_s != 0 && submitted_at > 0;
    if (!placement_time_known) return;
    double start_lag_s = state_.settings.report_interval_s + Settings::clock_skew_tolerance_s;
    double elapsed_s =
        now_ + state_.wall_clock_offset_s - submitted_at - placement.placed_after_s - start_lag_s;
    placement.started_at = std::max(min_started_at, now_ - std::max(0.0, elapsed_s));
    // The earlier owner must have seen the task start. When such tasks were not marked, every old job looked
    // as if it had never started after a crash of all controllers. A job that really had never started then
    // waited 374 s behind hundreds of others, with 250 machines lost.
    if (elapsed_s > longest_image_fetch_s(state_, job.spec) + counts_as_started_after_s)
      job.mark_started(placement.task);
  }

  void inherit_job(JobIndex job_index) {
    state_.dirty_jobs.insert(job_index);
    Job& job = state_.job(job_index);
    if (state_.settings.progress.enabled) job.restore_progress();
    terminate_orphans(job);
  }

  /// Terminates the placements on machines that have no record. A placement is written only while its
  /// machine has a record, and that record is removed only once the machine is certainly gone. The earlier
  /// owner may have ended before it wrote the task's removal; the task would then wait forever for a
  /// machine that nobody can reach or delete.
  void terminate_orphans(Job& job) {
    for (auto& [task, placement] : job.placements) {
      if (state_.machine(placement.machine).is_recorded()) continue;
      placement.cause = EndCause::none;
      state_.set_state(placement, PlacementState::terminated, now_);
    }
  }

  ClusterState& state_;
  Seconds now_;
};

}  // namespace

void ClusterState::failover(PartitionIndex partition, Seconds now) {
  PartitionFailover(*this, now).run(partition);
}

}  // namespace oxbowmill
