// Decisions of one controller for the parts it owns: answers to reports, placements, stops, done marks and
// moves. Pure: events and the time go in, effects come out.
#pragma once

#include <deque>

#include "oxbowmill/lease/controller_lease.h"
#include "oxbowmill/scheduling/capacity_tracker.h"
#include "oxbowmill/scheduling/gangs.h"
#include "oxbowmill/scheduling/machine_selection.h"
#include "oxbowmill/scheduling/queue_order.h"
#include "oxbowmill/scheduling/recovery_admission.h"

namespace oxbowmill {

enum class Urgency : std::uint8_t { ownership, user, cancel, placement, done_mark, other };

struct Write {
  std::uint64_t id = 0;
  Urgency urgency = Urgency::other;
  Transaction txn;
};

struct DirectCommands {
  MachineIndex machine;
  std::uint64_t agent_epoch = 0;
  Revision fencing_token = 0;
  std::vector<AgentCommand> commands;
};

struct ScaleOutRequest {
  std::string request_id;
  TypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  std::uint32_t count = 0;
  std::vector<PartitionIndex> partitions;  // which part each machine is for
};

struct Effects {
  std::vector<Write> writes;
  std::vector<DirectCommands> direct_commands;
  std::vector<ScaleOutRequest> scale_outs;
  std::vector<MachineIndex> deletions;
  bool list_machines = false;
};

struct ReportAnswer {
  enum class Kind : std::uint8_t { ok, redirect, refuse } kind = Kind::refuse;
  std::string owner;  // redirect: node to report to; may be empty
  Revision fencing_token = 0;
  std::vector<AgentCommand> commands;
  bool owner_unreachable =
      false;  // redirect: the worker has served this owner for long and cannot reach it now
};

/// Placement records that one transaction changes, with the job's record and its final phase beside them.
inline std::size_t max_chunks(const Settings& settings) {
  return std::min<std::size_t>(settings.max_transaction_ops - 2, 8);
}
/// Decisions that a placement may have to find unchanged.
constexpr std::size_t max_constraint_guards = 3;
/// Machines that one transaction can guard beside the claim, the job, those records and decisions.
inline std::size_t max_guarded_machines(const Settings& settings) {
  return 4 * settings.max_transaction_ops - 2 - max_constraint_guards - max_chunks(settings);
}

/// A worker that is to report at once, by a command without orders whose token it has not seen.
struct WakeUp {
  MachineIndex machine;
  std::uint64_t agent_epoch = 0;
};

/// What found no room in this scheduling cycle. Room only shrinks within a cycle, so a job that asks for as
/// much or more of the same need not look again.
class FailedSelections {
 public:
  void add(const Job& job, std::size_t tasks, bool avoid_whole_machines, bool preempting);
  bool covers(const Job& job, std::size_t tasks, bool avoid_whole_machines, bool preempting) const;

 private:
  struct Failure {
    const JobSpec* spec = nullptr;
    std::size_t task_count = 0;
    bool avoid_whole_machines = false, preempting = false;
  };
  std::vector<Failure> failures_;
};

class Scheduler {
 public:
  Scheduler(ClusterState& model, ControllerLease& lease)
      : state_(model), controller_lease_(lease), capacity_(model), last_cycles_(model.partition_count()) {}

  ReportAnswer on_report(const WorkerReport& report, Clock clock);
  void run_cycle(Clock clock, Effects& out);
  /// True: the transaction is going to be repeated.
  bool on_outcome(std::uint64_t write_id, TransactionOutcome outcome, Revision revision, Seconds now);

  /// Everything up to this revision has been applied.
  void applied_revision(Revision revision) { applied_revision_ = std::max(applied_revision_, revision); }
  Revision applied_revision() const { return applied_revision_; }
  bool owns(PartitionIndex partition) const;
  bool owns_any() const;
  /// Some gang of the part takes machines whole.
  bool needs_whole_machines(PartitionIndex partition) const;
  bool is_leader() const { return owns(idle_pool); }
  Guard ownership_guard(PartitionIndex partition) const;
  /// Most machines of the zone that should report here have not for a while, or another owner says so: what
  /// is rented, booted or free there is of no use for now.
  bool is_unreachable(ZoneIndex zone, Seconds now) const;
  /// What this node sees itself, for the others.
  std::vector<ZoneIndex> unreachable_zones(Seconds now) const;
  void on_peer_zone_report(ZoneIndex zone, Seconds now);
  /// Begins the terms of parts that have become ours. Every report and pass does so itself.
  void detect_failovers(Seconds now);
  /// What is held back while it is not known who is still there. None: nothing is.
  void set_recovery_admission(const RecoveryAdmission* recovery_admission) {
    recovery_admission_ = recovery_admission;
  }
  /// From when on no earlier owner can answer this machine's worker: it speaks to us or to nobody.
  Seconds exclusively_owned_since(const Machine& machine) const;
  /// Silence of this machine of ours that is over then proves it empty.
  Seconds proven_empty_at(const Machine& machine) const;
  /// A machine without a record showed itself; the leader takes it in.
  std::function<void(const WorkerReport&)> on_unregistered;
  /// Has every cycle compare the index of free capacity with a full scan. For tests.
  void enable_capacity_check() { capacity_check_enabled_ = true; }
  /// Machines that placement has looked at since the start.
  std::uint64_t visits() const;
  /// Sends a transaction off; the machines (or the job, below) are left alone until its outcome is known.
  /// Once it is durable, the workers to wake hear of their new owner without waiting for their next report.
  /// `settled` is called once its outcome is known and stands in the tables.
  void queue_transaction(Effects& out, Urgency urgency, Transaction txn,
                         const std::vector<MachineIndex>& machines, std::vector<WakeUp> wake_ups = {},
                         std::function<void()> settled = nullptr);

 private:
  struct ReleasedTask {
    MachineIndex machine;
    TaskNumber task = 0;
    Attempt attempt = 0;
  };
  struct PendingWrite {
    Transaction txn;
    Urgency urgency = Urgency::other;
    JobIndex job;
    std::vector<MachineIndex> machines;
    std::vector<PlacedTask> planned;     // room and quota are taken while the outcome is open
    std::vector<ReleasedTask> released;  // ended tasks that the worker may forget once this is durable
    std::vector<WakeUp> wake_ups;
    JobSpec spec;
    Revision refused_at_revision = 0;
    Seconds resend_at = 0;
    bool unconfirmed = false;  // sent without an answer before: a copy may still be applied
    std::function<void()> on_settled;
  };
  void queue_job(Effects& out, Urgency urgency, Transaction txn, JobIndex job,
                 std::vector<PlacedTask> planned, std::vector<ReleasedTask> released);
  void send_direct_clears(const PendingWrite& pending_transaction, Effects& out);
  void wake(const PendingWrite& pending_transaction, Revision revision, Seconds now, Effects& out);
  double arrival_s() const { return state_.settings.first_report_timeout_s(); }
  void settle(std::map<std::uint64_t, PendingWrite>::iterator it, Seconds now, double back_off);
  void settle_pending(Seconds now, Effects& out);
  /// Whether starts that were sent have arrived, or not.
  struct StartUpdate {
    bool lost = false, arrived = false;
  };
  /// `none_taken`: the worker has taken no answer of ours.
  StartUpdate read_tasks(MachineIndex machine_index, const WorkerReport& report, bool fencing_token_shown,
                         bool none_taken, Seconds now);
  /// Nothing is left on the machine, by whatever proof.
  void mark_empty(MachineIndex machine_index, Seconds now);
  /// What has not started on a machine that does not hear goes elsewhere, and nothing new goes there for a
  /// while.
  void avoid(MachineIndex machine_index, Seconds now);
  void on_task_ended(Placement& placement, const TaskReport& task_report, Machine& current_machine,
                     Seconds now);
  /// Kills for what is not ours to run and what is to stop; of the latter, unless `all`, only what its user
  /// has cancelled. Clears only if `all`.
  void collect_kill_commands(MachineIndex machine_index, const WorkerReport& report, bool all,
                             std::vector<AgentCommand>& orders, Seconds now);
  void collect_response_commands(MachineIndex machine_index, const WorkerReport& report,
                                 std::vector<AgentCommand>& orders, Seconds now);
  bool may_start(const Job& job, const Placement& placement) const;
  void stop(Placement& placement, double wind_down_s, Seconds now);
  void check_gang(Job& current_job, Seconds now);
  bool holds_tasks(const Machine& machine) const;
  void monitor_machines(PartitionIndex partition, Clock clock, Effects& out);
  /// Capacity that is not free yet: a booting machine, or one that another partition hands over.
  struct ForecastMachine {
    CandidateMachine candidate;
    Resources expected_capacity;
  };
  /// What the last scheduling cycle of a partition saw, and when time alone asks for the next.
  struct LastCycle {
    std::uint64_t version = 0;
    Seconds wake_at = 0;
    void wake_by(Seconds at) { wake_at = std::min(wake_at, at); }
  };
  /// A scheduling cycle of one partition, while it fills the free capacity.
  struct Cycle {
    PartitionIndex partition;
    Clock clock;
    bool thorough = false;
    bool avoid_whole_machines = false;
    FreeCapacity* capacity = nullptr;
    std::vector<ForecastMachine> forecast;
    Resources quota_left;
    FailedSelections failed;
    LastCycle* last = nullptr;
    std::map<JobIndex, std::vector<PlacedTask>>* planned = nullptr;
  };
  SelectionQuery query_for(const Job& job, Seconds now) const;
  std::vector<ForecastMachine> forecast_of(PartitionIndex partition, Seconds now);
  /// Nodes that would have room for this job: once tasks have left, once machines have come and, if asked,
  /// once tasks of lower rank were stopped.
  std::vector<CandidateMachine> forecast_for(const Job& job, const Cycle& cycle, bool preempting);
  /// Adds to the node's room what may be stopped there for this job.
  void add_preemptible_capacity(const Job& job, CandidateMachine& node, Clock clock) const;
  bool may_preempt(const Job& victim, const Placement& placement, const Job& job, Clock clock) const;
  void preempt_for(const Job& job, const Selection& selection, Clock clock);
  void find_slow_tasks(PartitionIndex partition, Seconds now);
  /// One line for each job that has waited for long to begin.
  void log_wait_reasons(PartitionIndex partition, Clock clock);
  void place(PartitionIndex partition, Clock clock, bool thorough,
             std::map<JobIndex, std::vector<PlacedTask>>& planned);
  /// Nothing has happened since that could let a waiting job be placed.
  bool is_unchanged(PartitionIndex partition, const LastCycle& last, Seconds now) const;
  Resources quota_left(PartitionIndex partition) const;
  PendingReason place_job(Cycle& cycle, const WaitingJob& waiting);
  Selection select_machines(Cycle& cycle, const Job& job, const SelectionQuery& query,
                            const std::vector<TaskNumber>& tasks);
  /// Takes the chosen room for the rest of the cycle and plans what can start at once.
  PendingReason reserve_and_plan(Cycle& cycle, JobIndex job_index, std::size_t wanted,
                                 const Selection& selection);
  /// Takes room for one task. True: it is there, and the task may be placed.
  static bool reserve(Cycle& cycle, const Job& job, const CandidateMachine& node, bool look_first);
  /// Those of the tasks that need not wait for cheap machines; whole ordinary ones are kept from them.
  std::vector<TaskNumber> keep_whole_machines_free(const Job& job, Cycle& cycle, SelectionQuery& query,
                                                   std::vector<TaskNumber> tasks);
  void release_unschedulable_gang(Job& current_job, Seconds now);
  void plan(JobIndex job_index, const std::vector<PlacedTask>& here,
            std::map<JobIndex, std::vector<PlacedTask>>& planned);
  void write_job(JobIndex job_index, const std::vector<PlacedTask>& planned, Seconds now, Effects& out);
  /// This owner writes more than that share of all changes that the state service takes.
  bool exceeds_write_fraction(double share) const;
  /// Nothing but done marks (or what is left of a job that is over) is to be written, and nobody needs them.
  bool done_marks_may_wait(JobIndex job_index, Seconds now);
  /// Marks of tasks that have ended on this machine wait no longer.
  void request_done_marks(MachineIndex machine_index);
  void send_direct_kills(Effects& out);
  Attempt next_attempt(PartitionIndex partition) {
    return (state_.ownership(partition).revision << 24) | ++attempt_count_;
  }
  AgentCommand kill_command(const Placement& placement, Seconds now) const;

  ClusterState& state_;
  ControllerLease& controller_lease_;
  CapacityTracker capacity_;
  std::vector<LastCycle> last_cycles_;  // by partition
  bool capacity_check_enabled_ = false;
  const RecoveryAdmission* recovery_admission_ = nullptr;
  Revision applied_revision_ = 0;
  std::uint64_t next_write_id_ = 0;
  std::uint64_t attempt_count_ = 0;
  Effects deferred_effects_;  // what outcomes bring about between passes
  std::map<std::uint64_t, PendingWrite> pending_;
  std::set<std::pair<Seconds, JobIndex>> done_marks_due_;
  double recent_changes_ = 0;  // written of late, decaying
  double lost_answer_fraction_ =
      0;  // of the answers of which reports told of late, those that were not taken
  Seconds last_cycle_at_ = 0;
  std::map<std::uint32_t, Revision> prepared_revisions_;  // by part: the claim we last prepared for
  struct ZoneReachability {
    Seconds unreachable_until = -1e9;           // by what this node sees
    Seconds reported_unreachable_until = -1e9;  // by what others said
    std::uint32_t reported = 0, expected = 0;   // machines in the check under way
  };
  void begin_zone_check();
  void end_zone_check(Seconds now);
  std::vector<ZoneReachability> zone_reachability_;
  Seconds next_machine_check_at_ = 0, next_slow_check_at_ = 0;
};

}  // namespace oxbowmill
