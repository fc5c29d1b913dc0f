// The scheduling of one controller: answers to agents' reports, placements, stops, done marks and moves of
// machines for the partitions that it owns. Composes the classes of this package, each of which owns its part
// of the state; owns itself only when the periodic checks are due. Pure: events and the time go in, effects
// come out. Not thread-safe; `on_unregistered` and the callbacks of transactions may read but must not run a
// cycle.
#pragma once

#include "oxbowmill/scheduling/heartbeat_handler.h"
#include "oxbowmill/scheduling/job_writer.h"
#include "oxbowmill/scheduling/machine_monitor.h"
#include "oxbowmill/scheduling/placement_cycle.h"
#include "oxbowmill/scheduling/slow_task_detector.h"

namespace oxbowmill {

/// Façade of the scheduling package.
class Scheduler {
 public:
  /// Both must outlive this object.
  Scheduler(ClusterState& model, ControllerLease& lease);
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Takes an agent's report and answers it.
  ReportAnswer on_report(const WorkerReport& report, Clock clock) {
    return heartbeats_.on_report(report, clock, on_unregistered);
  }
  /// Runs a scheduling cycle of all owned partitions and adds what it wants done to `out`.
  void run_cycle(Clock clock, Effects& out);
  /// Takes the outcome of a write. True: the transaction is going to be repeated.
  bool on_outcome(std::uint64_t write_id, TransactionOutcome outcome, Revision revision, Seconds now) {
    return transactions_.on_outcome(write_id, outcome, revision, now);
  }
  /// Sends a transaction off; no other one touches the machines until its outcome is known. Once it is
  /// durable, the agents to wake learn of their new owner without waiting for their next report. `settled` is
  /// called once the outcome is known and has been applied.
  void queue_transaction(Effects& out, Urgency urgency, Transaction txn,
                         const std::vector<MachineIndex>& machines, std::vector<WakeUp> wake_ups = {},
                         std::function<void()> settled = nullptr) {
    transactions_.queue(out, urgency, std::move(txn), machines, std::move(wake_ups), std::move(settled));
  }

  /// Every change up to this revision has been applied.
  void applied_revision(Revision revision) { ownership_.applied_revision(revision); }
  /// The revision up to which every change has been applied.
  Revision applied_revision() const { return ownership_.applied_revision(); }
  /// The partition is owned under the present controller lease.
  bool owns(PartitionIndex partition) const { return ownership_.owns(partition); }
  /// At least one partition is owned.
  bool owns_any() const { return ownership_.owns_any(); }
  /// This controller owns the idle pool.
  bool is_leader() const { return owns(idle_pool); }
  /// Guard that fails once another controller has acquired the partition.
  Guard ownership_guard(PartitionIndex partition) const { return ownership_.guard(partition); }
  /// Runs the failover of partitions that have been acquired. Every report and cycle does so itself.
  void detect_failovers(Seconds now) { ownership_.detect_failovers(now); }
  /// From when on no earlier owner can answer this machine's agent. Steady clock.
  Seconds exclusively_owned_since(const Machine& machine) const {
    return ownership_.exclusively_owned_since(machine);
  }
  /// When silence of this owned machine proves that nothing runs there any more. Steady clock.
  Seconds proven_empty_at(const Machine& machine) const { return ownership_.proven_empty_at(machine); }
  /// Some gang of the partition needs whole machines.
  bool needs_whole_machines(PartitionIndex partition) const {
    return oxbowmill::needs_whole_machines(state_, partition);
  }

  /// The zone's machines are of no use for now: see `ZoneReachability`.
  bool is_unreachable(ZoneIndex zone, Seconds now) const { return zones_.is_unreachable(zone, now); }
  /// By what this controller sees itself: to be reported to the others.
  std::vector<ZoneIndex> unreachable_zones(Seconds now) const { return zones_.unreachable_zones(now); }
  /// Another controller has reported the zone as unreachable.
  void on_peer_zone_report(ZoneIndex zone, Seconds now) { zones_.on_peer_report(zone, now); }

  /// What is held back while it is not known which machines are still there; null: nothing is.
  void set_recovery_admission(const RecoveryAdmission* recovery_admission) {
    machine_monitor_.set_recovery_admission(recovery_admission);
  }
  /// A machine without a record has reported; the leader adopts it.
  std::function<void(const WorkerReport&)> on_unregistered;
  /// Has every cycle compare the index of free capacity with a full scan. For tests.
  void enable_capacity_check() { placement_.enable_capacity_check(); }
  /// Machines that placement has looked at since the start.
  std::uint64_t visits() const;

 private:
  /// Which periodic checks a cycle includes.
  struct DueChecks {
    bool machines = false;
    bool slow_tasks = false;
  };
  DueChecks take_due_checks(Seconds now);
  void check_machines(Clock clock, Effects& out);
  void preempt_as_decided(PartitionIndex partition, Seconds now);

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
