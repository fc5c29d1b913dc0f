// What the parts of the autoscaler share: the cluster state, the scheduler and the optional collaborators
// that are connected after construction. Owns nothing; the `Autoscaler` holds the one instance, and every
// part keeps a reference to it. Not thread-safe: used from the controller's event loop only.
#pragma once

#include "oxbowmill/autoscaling/machine_source.h"
#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::autoscaling {

/// Shared references of the autoscaler's parts; everything in it outlives them.
struct Environment {
  ClusterState& state;                              ///< jobs, machines and settings
  Scheduler& scheduler;                             ///< transactions, ownership and zone reachability
  MachineSource* source = nullptr;                  ///< markets; null: the cloud is the only source
  RecoveryAdmission* recovery_admission = nullptr;  ///< reconciliation; null: nothing is held back

  /// The machine is silent while others of its zone report: its capacity is not counted on.
  bool is_suspected(MachineIndex machine_index) const {
    return recovery_admission != nullptr && recovery_admission->suspected(machine_index);
  }
  /// Reconciliation does not hold back a scale-out for this job of the partition; an invalid job asks for
  /// warm machines. Reconciliation counts what it holds back, so this is asked only when a request would
  /// follow.
  bool may_scale_out(PartitionIndex partition, JobIndex job, bool guaranteed, Seconds now) const {
    return recovery_admission == nullptr ||
           recovery_admission->may_scale_out(partition, job, guaranteed, now);
  }
};

}  // namespace oxbowmill::autoscaling
