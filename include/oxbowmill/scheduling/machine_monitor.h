// Monitors the machines of owned partitions: detects expired leases and empties, returns to the idle pool,
// hands over or deletes machines. Holds references only, among them the recovery admission in force. No I/O.
#pragma once

#include "oxbowmill/scheduling/machine_evictor.h"
#include "oxbowmill/scheduling/recovery_admission.h"
#include "oxbowmill/scheduling/transaction_queue.h"
#include "oxbowmill/scheduling/zone_reachability.h"

namespace oxbowmill {

/// Checks the machines of owned partitions; the scheduler calls it periodically.
class MachineMonitor {
 public:
  /// All arguments must outlive this object.
  MachineMonitor(ClusterState& state, const PartitionOwnership& ownership, ZoneReachability& zones,
                 TransactionQueue& transactions, MachineEvictor& evictor)
      : state_(state), ownership_(ownership), zones_(zones), transactions_(transactions), evictor_(evictor) {}

  /// Sets the source that names suspected machines to be deleted; null: none is deleted.
  void set_recovery_admission(const RecoveryAdmission* recovery_admission) {
    recovery_admission_ = recovery_admission;
  }
  /// Checks the machines of an owned partition; to be called between `begin_check` and `end_check` of the
  /// zone reachability.
  void check_partition(PartitionIndex partition, Clock clock, Effects& out);

 private:
  /// Which kinds of empty machines the partition's waiting jobs may still use.
  struct WaitingWork {
    bool spot = false;       // spot machines
    bool on_demand = false;  // on-demand machines
    bool can_use(const Machine& machine) const { return machine.record.spot ? spot : on_demand; }
  };
  /// What is to be done with an empty machine.
  struct EmptyMachineDisposition {
    bool must_be_deleted = false;   // it is to be marked for deletion
    bool leaves_partition = false;  // it moves to the idle pool or to another partition
    bool is_requested = false;      // another partition has requested it
  };

  WaitingWork waiting_work(PartitionIndex partition) const;
  void count_for_zone(const Machine& machine, Seconds now);
  void check_lease(MachineIndex machine_index, Seconds now);
  /// Marks a suspected machine for deletion. Returns whether it did.
  bool delete_if_suspected(MachineIndex machine_index, Effects& out);
  void evict_if_leaving(MachineIndex machine_index, Seconds now);
  EmptyMachineDisposition disposition_of_empty(const Machine& machine, const WaitingWork& waiting,
                                               Seconds now) const;
  void return_if_unneeded(MachineIndex machine_index, const WaitingWork& waiting, Seconds now, Effects& out);
  void write_record(MachineIndex machine_index, Urgency urgency, const MachineRecord& record, Effects& out);
  /// Whether a machine that was handed over should have reported here by now.
  bool is_overdue(const Machine& machine, Seconds now) const;

  ClusterState& state_;
  const PartitionOwnership& ownership_;
  ZoneReachability& zones_;
  TransactionQueue& transactions_;
  MachineEvictor& evictor_;
  const RecoveryAdmission* recovery_admission_ = nullptr;
};

}  // namespace oxbowmill
