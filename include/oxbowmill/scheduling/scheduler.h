// The scheduler of one controller: answers agents' reports and decides on placements, stops, done marks and
// moves of machines for the partitions that the controller owns. Composes the classes of this directory, each
// of which owns its part of the state; its own state is the due times of the periodic checks. No I/O: events
// and the time are arguments, effects are results. Not thread-safe; `on_unregistered` and the callbacks of
// transactions may read but must not run a cycle.
#pragma once

#include "oxbowmill/scheduling/heartbeat_handler.h"
#include "oxbowmill/scheduling/job_writer.h"
#include "oxbowmill/scheduling/machine_monitor.h"
#include "oxbowmill/scheduling/placement_cycle.h"
#include "oxbowmill/scheduling/slow_task_detector.h"

namespace oxbowmill {

/// Facade of the scheduling classes.
class Scheduler {
 public:
  /// Both arguments must outlive this object.
  Scheduler(ClusterState& state, ControllerLease& lease);
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Applies an agent's report and returns the answer.
  ReportAnswer on_report(const AgentReport& report, Clock clock) {
    return heartbeats_.on_report(report, clock, on_unregistered);
  }
  /// Runs a scheduling cycle of all owned partitions and adds its effects to `out`.
  void run_cycle(Clock clock, Effects& out);
  /// Applies the outcome of a write. Returns whether the transaction will be sent again.
  bool on_outcome(std::uint64_t write_id, TransactionOutcome outcome, Revision revision, Seconds now) {
    return transactions_.on_outcome(write_id, outcome, revision, now);
  }
  /// Queues a transaction. No other transaction changes `machines` until its outcome is known. Once it is
  /// durable, the agents in `wake_ups` are made to report at once, so that they learn of their new owner
  /// early. `settled` is called once the outcome is known and has been applied.
  void queue_transaction(Effects& out, Urgency urgency, Transaction txn,
                         const std::vector<MachineIndex>& machines, std::vector<WakeUp> wake_ups = {},
                         std::function<void()> settled = nullptr) {
    transactions_.queue(out, urgency, std::move(txn), machines, std::move(wake_ups), std::move(settled));
  }

  /// Notes that every change up to this revision has been applied.
  void applied_revision(Revision revision) { ownership_.applied_revision(revision); }
  /// The revision up to which every change has been applied.
  Revision applied_revision() const { return ownership_.applied_revision(); }
  /// Whether this controller owns the partition under its current lease.
  bool owns(PartitionIndex partition) const { return ownership_.owns(partition); }
  /// Whether this controller owns at least one partition.
  bool owns_any() const { return ownership_.owns_any(); }
  /// Whether this controller is the leader, which owns the idle pool.
  bool is_leader() const { return owns(idle_pool); }
  /// A guard that fails once another controller has acquired the partition.
  Guard ownership_guard(PartitionIndex partition) const { return ownership_.guard(partition); }
  /// Runs the failover of newly acquired partitions. Every report and every cycle does so as well.
  void detect_failovers(Seconds now) { ownership_.detect_failovers(now); }
  /// Time from which on no earlier owner can answer this machine's agent. Steady clock.
  Seconds exclusively_owned_since(const Machine& machine) const {
    return ownership_.exclusively_owned_since(machine);
  }
  /// Time after which continued silence of this owned machine proves that nothing runs there. Steady clock.
  Seconds proven_empty_at(const Machine& machine) const { return ownership_.proven_empty_at(machine); }
  /// Whether some gang of the partition needs whole machines.
  bool needs_whole_machines(PartitionIndex partition) const {
    return oxbowmill::needs_whole_machines(state_, partition);
  }

  /// Whether this controller finds the zone unreachable or another one has recently reported it as such.
  bool is_unreachable(ZoneIndex zone, Seconds now) const { return zones_.is_unreachable(zone, now); }
  /// Zones that this controller itself finds unreachable, to be reported to its peers.
  std::vector<ZoneIndex> unreachable_zones(Seconds now) const { return zones_.unreachable_zones(now); }
  /// Notes that another controller has reported the zone as unreachable.
  void on_peer_zone_report(ZoneIndex zone, Seconds now) { zones_.on_peer_report(zone, now); }

  /// Sets the source that names suspected machines to be deleted; null: none is deleted.
  void set_recovery_admission(const RecoveryAdmission* recovery_admission) {
    machine_monitor_.set_recovery_admission(recovery_admission);
  }
  /// Called by the leader with the report of a machine that has no record, so that the machine is adopted.
  std::function<void(const AgentReport&)> on_unregistered;
  /// Makes every cycle compare the index of free capacity with a full scan. For tests.
  void enable_capacity_check() { placement_.enable_capacity_check(); }
  /// Number of machines that placement has visited since the start.
  std::uint64_t visits() const;

 private:
  /// Which periodic checks a cycle includes.
  struct DueChecks {
    bool machines = false;
    bool slow_tasks = false;
  };
  DueChecks take_due_checks(Seconds now);
  void check_machines(Clock clock, Effects& out);
  void preempt_by_constraints(PartitionIndex partition, Seconds now);

  ClusterState& state_;
  const ControllerLease& controller_lease_;
  CapacityTracker capacity_;
  PartitionOwnership ownership_;
  ZoneReachability zones_;
  GangController gangs_;
  MachineEvictor evictor_;
  TransactionQueue transactions_;
  HeartbeatHandler heartbeats_;
  MachineMonitor machine_monitor_;
  SlowTaskDetector slow_tasks_;
  PlacementCycle placement_;
  JobWriter job_writer_;
  Seconds next_machine_check_at_ = 0, next_slow_check_at_ = 0;
};

}  // namespace oxbowmill
