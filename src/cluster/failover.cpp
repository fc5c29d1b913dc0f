// What a controller does with its tables when it becomes a partition's owner.
#include <algorithm>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/cluster/start_deadline.h"

namespace oxbowmill {

namespace {

/// 0 would mean that no start was sent.
constexpr Seconds earliest_start = 1e-3;

/// Brings machines, placements and jobs of one partition into the state of a new owner, who knows the durable
/// facts but nothing of what its predecessor sent or heard.
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
    // An owner in between may have moved the machine: the revision of our ownership is higher than this one.
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
    continue_predecessors_clock(placement);
    placement.sent_report_sequence = placement.sent_agent_epoch = 0;
    placement.restart_requested = false;
    // What this node knew from an earlier ownership is void: an owner in between may have started the task
    // again.
    bool cancelled = job.phase == JobPhase::cancelled;
    placement.termination_timeout_s = cancelled ? 0 : job.spec.flush_s;
    bool stop = placement.restarting || cancelled;
    state_.set_state(placement, stop ? PlacementState::stopping : PlacementState::placed, now_);
  }

  /// Where the record says when the task was placed, its run time goes on from then: a little late, since the
  /// start order followed later and clocks differ. (Counted anew, a successor would flag slow tasks later
  /// than an uninterrupted owner, and what then finishes would count as short and flag others too early.)
  void continue_predecessors_clock(Placement& placement) {
    Job& job = state_.job(placement.job);
    double submitted_at = job.spec.submitted_at;
    bool placement_time_known = state_.settings.progress.enabled && placement.placed_after_s >= 0 &&
                                state_.wall_clock_offset_s != 0 && submitted_at > 0;
    if (!placement_time_known) return;
    double late = state_.settings.report_interval_s + Settings::clock_skew_tolerance_s;
    double elapsed = now_ + state_.wall_clock_offset_s - submitted_at - placement.placed_after_s - late;
    placement.started_at = std::max(earliest_start, now_ - std::max(0.0, elapsed));
    // The earlier owner saw it start: after a crash of all controllers every old job looked as if it never
    // had, and one that really had not waited behind hundreds (374 s, with 250 machines lost).
    if (elapsed > longest_image_fetch_s(state_, job.spec) + counts_as_started_after_s)
      job.mark_started(placement.task);
  }

  void inherit_job(JobIndex job_index) {
    state_.dirty_jobs.insert(job_index);
    Job& job = state_.job(job_index);
    if (state_.settings.progress.enabled) job.restore_progress();
    terminate_orphans(job);
  }

  /// A placement is written only beside its machine's record, and the record goes only once the machine is
  /// certainly gone. The earlier owner knew that but may have ended before it wrote so: without this the task
  /// would wait for ever for a machine that nobody can reach or delete.
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
