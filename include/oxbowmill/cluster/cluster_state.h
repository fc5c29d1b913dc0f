// The tables: jobs, machines and who is possibly on what. Fed by durable changes and by workers' reports.
#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include "oxbowmill/cluster/placement_constraints.h"
#include "oxbowmill/cluster/settings.h"

namespace oxbowmill {

/// A start that is stopped by command sooner than this does not count (PROTOCOL, "How aims are counted").
constexpr Seconds counts_as_started_after_s = 30;

/// A task that is possibly on a machine: from the durable placement until its durable removal.
enum class PlacementState : std::uint8_t {
  placed,      // durable, no start sent by us
  sent,        // a response carried the start
  reported,    // the worker reports it
  stopping,    // we want it off; kills are sent until it is off
  finished,    // reported done; the mark is not durable yet
  terminated,  // proved to be off its machine; the removal is not durable yet
};
const char* name_of(PlacementState new_state);
/// The task is proved to be off its machine; only the record of that may be missing.
inline bool is_off_machine(PlacementState new_state) {
  return new_state == PlacementState::finished || new_state == PlacementState::terminated;
}

struct Placement {
  TaskNumber task = 0;
  JobIndex job;
  MachineIndex machine;
  Attempt attempt = 0;
  PlacementState state = PlacementState::placed;
  bool restarting = false;  // durable mark of a slow task's restart
  bool restart_requested = false;
  bool earlier_start_listed = false;  // the worker still lists an ended earlier start of the same attempt
  bool inherited = false;  // came from an earlier owner: it may be on its machine though we sent nothing
  TaskPhase phase = TaskPhase::fetching;
  EndCause cause = EndCause::none;
  double termination_timeout_s = 0;
  Seconds stopping_since = 0;
  std::uint64_t sent_agent_epoch = 0, sent_report_sequence = 0;
  Seconds started_at = 0;  // first start order by this owner, or takeover
  Seconds running_at = -1;
  Seconds known_at = 0;          // record first seen by this node
  Seconds last_running_at = -1;  // last report that showed it running
  double observed_run_s =
      0;  // between reports that did, close enough together for nothing to hang between them
  double placed_after_s = -1;     // since its job came, by whoever placed it; below 0: not known
  bool checkpoint_saved = false;  // its worker said so as it stopped
  /// Runs for so long that its start counts, whatever becomes of it.
  bool has_started(Seconds now) const {
    return running_at >= 0 && now - running_at >= counts_as_started_after_s;
  }
};

/// What keeps a job from beginning.
enum class PendingReason : std::uint8_t {
  none,
  queue_order,          // others come first, or nobody has looked yet
  quota,                // its team is at its limit
  no_capacity,          // no machine that fits has room
  awaiting_spot,        // cheap machines come, and whole ordinary ones are left to gangs
  capacity_coming,      // room that tasks are leaving, or machines that come
  awaiting_leader,      // the leader is given a moment to ask for machines with the image
  write_budget,         // few changes are to be had: it is placed in larger parts
  transaction_pending,  // one of its own is under way, or in doubt
  error_backoff,        // after errors
  previous_attempt,     // a gang's earlier attempt has not ended
  agent_silent,         // an earlier owner's placement, whose machine has not spoken
  start_unconfirmed,    // a start order that no report has shown yet
  image_fetch,
  gang_members,  // its other members
  stopping,      // it was told to stop
};

enum class GangState : std::uint8_t { idle, unknown, gathering, running, stopping };

struct Chunk {
  Revision revision = 0;
  std::uint64_t done = 0, restarted = 0;
  std::vector<checkpoint::FinishedTask> finishes;
};

struct Job {
  JobSpec spec;
  JobPhase phase = JobPhase::open;
  Revision revision = 0;  // 0: no record
  std::unordered_map<std::uint32_t, Chunk> chunks;
  std::map<TaskNumber, Placement> placements;
  std::vector<std::uint64_t> done_or_placed;  // bit per task: done or placed
  /// Bit per task: has begun at some time, as far as this owner saw. A task that had and waits again is a
  /// repetition, not a job that never began.
  std::vector<std::uint64_t> ever_started;
  double machine_fraction = 1;  // of a machine that one task takes up
  std::uint32_t done_count = 0;
  std::uint32_t scan_from = 0;  // no free bit in words before this one
  // Owner's working state.
  bool writing = false;
  Seconds write_backoff_until = 0;      // back-off after a refused or unanswered transaction
  Seconds done_marks_due = -1;          // done marks that may wait are written by then; below 0: none waits
  bool done_marks_urgent = false;       // somebody needs them: they wait no longer
  Seconds placement_backoff_until = 0;  // back-off after errors
  Seconds last_placement_at = -1e9;     // last placement of a part of it
  std::uint32_t error_count = 0;
  Attempt broken_attempt = 0;        // attempt of the gang of which a member has said that it lost its peers
  Seconds unschedulable_since = -1;  // a gang in part placed, whose missing members have nowhere to go
  Seconds first_seen = 0;
  PendingReason pending_reason = PendingReason::queue_order;  // its tasks without a place
  Seconds pending_reason_logged_at = -1e9;
  std::vector<double> finished_run_times;  // the detector's: in order of finishing
  double slow_baseline_s = -1;
  std::map<TaskNumber, checkpoint::SavedProgress>
      checkpoints;                 // what tasks go on from; of a gang under task 0
  Attempt checkpoint_attempt = 0;  // of a gang: whose progress is counted already
  std::map<TaskNumber, checkpoint::FinishedTask> unrecorded_finishes;  // not in a record yet
  checkpoint::SavedProgress checkpoint_of(TaskNumber task) const {
    auto it = checkpoints.find(spec.shape == JobShape::gang ? 0 : task);
    return it == checkpoints.end() ? checkpoint::SavedProgress() : it->second;
  }
  /// Run time that its tasks without a machine still need, one with another, by the owner's estimate.
  Seconds remaining_s() const;
  bool is_final() const { return phase != JobPhase::open; }
  bool has_started(TaskNumber task) const {
    return task / 64 < ever_started.size() && (ever_started[task / 64] >> (task % 64) & 1) != 0;
  }
  std::uint32_t pending_count() const {
    return phase == JobPhase::open ? spec.tasks - done_count - static_cast<std::uint32_t>(placements.size())
                                   : 0;
  }
};

enum class MachineState : std::uint8_t {
  unknown,       // named somewhere, but no record
  expected,      // recorded, has not reported to us
  unreconciled,  // taken over with tasks possibly on it; has not shown our token
  ready,
  lease_expired,  // no report for longer than its lease
  deleting,       // a delete may have been sent: never used again
};
const char* name_of(MachineState new_state);

struct Machine {
  MachineRecord record;
  Revision revision = 0;  // 0: no record
  MachineState state = MachineState::unknown;
  Seconds known_since = 0;               // record first seen
  Seconds in_partition_since = 0;        // in its present part since, as far as this node saw
  Seconds last_answered_report_at = -1;  // last report that we answered with 200
  Seconds woken_at = -1e9;               // when it was last asked to report at once
  Revision last_placement_revision =
      0;  // latest placement here that our claim and the machine's record guarded
  Seconds first_report_at = -1;
  Seconds idle_since = 0;
  Seconds blocked_until = 0;
  Seconds faulty_until = 0;
  std::uint64_t agent_epoch = 0, report_sequence = 0;
  Revision first_fencing_token = 0;  // of our first answer since it came to us: all later ones are no lower
  std::uint32_t lost_responses = 0;  // reports in a row that showed that an answer of ours was not taken
  bool inherited = false;            // in its part since a takeover of the part, not since a move
  bool preemption_notice = false;    // spot notice
  bool reported_failed = false;
  bool has_booted =
      false;  // has run something or been moved: known to have booted, also where it reports elsewhere
  bool writing = false;
  std::uint32_t error_count = 0;
  std::string address;
  Resources used;
  std::uint32_t long_running_tasks = 0;  // services' tasks among those that take up room
  std::vector<TaskId> placed_tasks;
  Resources reserved;
  std::uint32_t reservations = 0;
  std::vector<ImageIndex> cached_images;  // most recently used last
  std::uint32_t change_count = 0;         // how often it was opened for a change
  bool change_noted = false;
};

/// Bids, what has been paid and what markets did: written by the leader, known to all.
struct AccountingTables {
  template <class R>
  struct Entry {
    R record;
    Revision revision = 0;  // 0: no record
  };
  std::map<std::string, Entry<BidRecord>> bids;
  Entry<LedgerRecord> ledger;
  std::map<MarketIndex, Entry<MarketRecord>> markets;
};

struct Decision {
  DecisionRecord record;
  Revision revision = 0;
};

struct Ownership {
  OwnershipRecord record;
  Revision revision = 0;
  Seconds since = 0;
};

/// A live controller and since when this node has known of its present hold.
struct LiveController {
  OwnershipRecord record;
  Seconds since = 0;
};

class ClusterState {
 public:
  ClusterState(Settings settings, Names names);

  /// The one way in which a durable fact enters: own transactions and the watch both come through here.
  void apply(const Change& change, Revision revision, Seconds now);

  JobIndex intern_job(const std::string& ref);
  JobIndex find_job(const std::string& ref) const;
  Job& job(JobIndex job_index) { return jobs_.at(job_index.value); }
  const Job& job(JobIndex job_index) const { return jobs_.at(job_index.value); }
  /// Null once the job's record and placements are gone.
  Job* live_job(JobIndex job_index) {
    auto it = jobs_.find(job_index.value);
    return it == jobs_.end() || it->second.revision == 0 ? nullptr : &it->second;
  }
  const Job* live_job(JobIndex job_index) const {
    return const_cast<ClusterState*>(this)->live_job(job_index);
  }
  /// Null where neither record nor placement of it is known.
  const Job* known_job(JobIndex job_index) const {
    auto it = jobs_.find(job_index.value);
    return it == jobs_.end() ? nullptr : &it->second;
  }
  const Machine& machine(MachineIndex machine_index) const { return machines_[machine_index.value]; }
  /// For changing it: whoever keeps something worked out from the machine hears that it may have changed.
  Machine& edit_machine(MachineIndex machine_index) {
    mark_changed(machine_index);
    return machines_[machine_index.value];
  }
  /// Machines that were, or whose placements were, opened for a change since this was last asked, each once.
  std::vector<MachineIndex> take_changed_machines();
  MachineIndex intern_machine(const std::string& name);
  /// None where the state service holds no record of it.
  MachineIndex find_recorded(const std::string& name) const;
  TypeIndex intern_type(const std::string& name);
  std::uint32_t machine_count() const { return static_cast<std::uint32_t>(machines_.size()); }
  const std::set<JobIndex>& live_jobs(PartitionIndex partition) const { return live_jobs_[partition.value]; }
  const std::set<MachineIndex>& machines_of(PartitionIndex partition) const {
    return partition_machines_[partition.value];
  }
  /// Machines of other partitions that are to be handed over to this one.
  const std::set<MachineIndex>& machines_requested_by(PartitionIndex partition) const {
    return requested_machines_[partition.value];
  }
  const Ownership& ownership(PartitionIndex partition) const { return ownerships_[partition.value]; }
  std::uint32_t partition_count() const { return names.partitions.size(); }
  const std::map<std::string, LiveController>& controllers() const { return controllers_; }
  /// Since when every controller there is has been known to act under its present hold only: what any of them
  /// answered under an earlier one was answered before. Below 0: one is missing.
  Seconds all_reacquired_since() const;
  Resources free_capacity(const Machine& machine) const;
  const Resources& team_usage(PartitionIndex partition) const { return team_usage_[partition.value]; }
  const Placement* find_placement(TaskId id) const;
  /// For changing it, as with `edit_machine`. Null where there is none.
  Placement* edit_placement(TaskId id);
  /// Takes (or gives back, with -1) room and quota for a task whose placement is being written.
  void reserve(MachineIndex i, const JobSpec& spec, int sign);
  /// What durable decisions say of the job.
  PlacementLimits placement_limits(JobIndex job_index) const;
  /// Of its pending tasks, how many may be placed now.
  std::uint32_t placeable_tasks(JobIndex job_index) const;
  /// The lowest tasks that are neither done nor placed, up to `most`.
  std::vector<TaskNumber> pending_tasks(Job& current_job, std::size_t most) const;
  /// Machines' worth of room that ended tasks have left since this controller started.
  double freed_machines() const { return freed_machines_; }
  bool catalog_known() const { return !catalog.empty(); }
  /// Lowest token that only the present owner can have given a machine.
  Revision lowest_fencing_token(const Machine& machine) const;
  Revision fencing_token(const Machine& machine) const;

  /// The only place where a placement's state changes.
  void set_state(Placement& placement, PlacementState new_state, Seconds now);
  /// The only place where a machine's state changes.
  void set_state(MachineIndex i, MachineState new_state, Seconds now);
  void mark_image_used(Machine& current_machine, const JobSpec& spec);
  static bool has_image(const Machine& machine, ImageIndex image);
  void failover(PartitionIndex partition, Seconds now);

  Settings settings;
  Names names;
  double wall_clock_offset_s = 0;  // time of day minus steady clock; 0: not known
  AccountingTables accounting;
  std::map<std::string, Decision> decisions;          // by kind/name
  const PlacementConstraints* constraints = nullptr;  // none: no decision holds anything
  std::vector<MachineType> catalog;                   // by type
  std::vector<double> image_gb;                       // by image
  std::set<JobIndex> dirty_jobs;                      // jobs whose placements, phase or pending tasks changed
  std::set<MachineIndex> machines_to_wake;            // machines with kills to be sent at once

 private:
  void mark_changed(MachineIndex machine_index) {
    Machine& machine = machines_[machine_index.value];
    ++machine.change_count;
    if (machine.change_noted) return;
    machine.change_noted = true;
    changed_machines_.push_back(machine_index);
  }
  /// Keeps the sets of machines by partition as the record says.
  void add_to_partition_sets(MachineIndex machine_index, const MachineRecord& record);
  void remove_from_partition_sets(MachineIndex machine_index, const MachineRecord& record);
  void apply_job(JobIndex index, const JobRecord* record, Revision revision, Seconds now);
  void apply_chunk(const ChunkKey& key, const ChunkRecord* new_record, Revision revision, Seconds now);
  void apply_accounting(const Change& change, Revision revision);
  void apply_machine(MachineIndex index, const MachineRecord* record, Revision revision, Seconds now);
  static void record_task_start(Job& current_job, TaskNumber task);
  /// A task has left its machine: what it can go on from.
  void record_checkpoint(const Placement& placement, Seconds now);
  void add_placement(Job& current_job, const PlacedTask& placed_task, JobIndex index, Seconds now);
  /// Room and quota that a task takes up, from its placement until it is proved to be off.
  void adjust_usage(const Job& job, const Placement& placement, int sign);
  void remove_placement(Job& current_job, std::map<TaskNumber, Placement>::iterator it, Seconds now);
  void drop_if_empty(JobIndex index);
  /// How much of a machine one task takes up, on the allowed type that holds most of them.
  double machine_fraction(const JobSpec& spec) const;

  std::unordered_map<std::string, JobIndex> job_names_;
  std::unordered_map<std::uint32_t, Job>
      jobs_;  // live jobs only: entries go once the job's record and chunks are gone
  std::uint32_t next_job_ = 0;
  std::vector<Machine> machines_;
  std::vector<std::set<JobIndex>> live_jobs_;
  std::vector<std::set<MachineIndex>> partition_machines_;
  std::vector<std::set<MachineIndex>> requested_machines_;  // by the partition that is to get them
  std::vector<MachineIndex> changed_machines_;
  std::vector<Ownership> ownerships_;
  std::vector<Resources> team_usage_;
  std::map<std::string, LiveController> controllers_;
  double freed_machines_ = 0;
};

}  // namespace oxbowmill
