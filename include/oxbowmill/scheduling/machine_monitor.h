// Looks after the machines of owned partitions: leases that have expired, machines to be emptied, returned to
// the idle pool, handed over or deleted. Owns nothing but references and the recovery admission in force.
// Pure.
#pragma once

#include "oxbowmill/scheduling/machine_evictor.h"
#include "oxbowmill/scheduling/recovery_admission.h"
#include "oxbowmill/scheduling/transaction_queue.h"
#include "oxbowmill/scheduling/zone_reachability.h"

namespace oxbowmill {

/// Checks every machine of a partition from time to time.
class MachineMonitor {
 public:
  /// All must outlive this object.
  MachineMonitor(ClusterState& state, const PartitionOwnership& ownership, ZoneReachability& zones,
                 TransactionQueue& transactions, MachineEvictor& evictor)
      : state_(state), ownership_(ownership), zones_(zones), transactions_(transactions), evictor_(evictor) {}

  /// Says which machines are to be deleted on suspicion; null: none.
  void set_recovery_admission(const RecoveryAdmission* recovery_admission) {
    recovery_admission_ = recovery_admission;
  }
  /// Checks the machines of an owned partition, within a check of the zones' reachability.
  void check_partition(PartitionIndex partition, Clock clock, Effects& out);

 private:
  /// Whether jobs of the partition wait that an empty machine may still be of use for.
  struct WaitingWork {
    bool spot = false;       // for spot machines
    bool on_demand = false;  // for the others
    bool on(const Machine& machine) const { return machine.record.spot ? spot : on_demand; }
  };
  /// What is to become of an empty machine.
  struct EmptyMachineUse {
    bool useless = false;    // it is to be deleted
    bool leaves = false;     // it goes to the idle pool or to another partition
    bool requested = false;  // another partition has requested it
  };

  WaitingWork waiting_work(PartitionIndex partition) const;
  void count_for_zone(const Machine& machine, Seconds now);
  void check_lease(MachineIndex machine_index, Seconds now);
  /// True: the machine is being marked for deletion.
  bool delete_if_suspected(MachineIndex machine_index, Effects& out);
  void evict_if_leaving(MachineIndex machine_index, Seconds now);
  EmptyMachineUse use_of_empty(const Machine& machine, const WaitingWork& waiting, Seconds now) const;
  void return_if_unneeded(MachineIndex machine_index, const WaitingWork& waiting, Seconds now, Effects& out);
  void write_record(MachineIndex machine_index, Urgency urgency, const MachineRecord& record, Effects& out);
  /// A machine that was handed over has had time enough to report here.
  bool is_overdue(const Machine& machine, Seconds now) const;

  ClusterState& state_;
  const PartitionOwnership& ownership_;
  ZoneReachability& zones_;
  TransactionQueue& transactions_;
  MachineEvictor& evictor_;
  const RecoveryAdmission* recovery_admission_ = nullptr;
};

}  // namespace oxbowmill
