// The objects that the parts of the autoscaler share: the cluster state, the scheduler, and the optional
// collaborators that are connected after construction. Owns none of them. `Autoscaler` holds the only
// instance, and its parts keep references to it. Used from the controller's event loop only.
#pragma once

#include "oxbowmill/autoscaling/machine_source.h"
#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::autoscaling {

/// References shared by the autoscaler's parts. The objects must outlive the autoscaler.
struct Environment {
  ClusterState& state;                              ///< jobs, machines and settings
  Scheduler& scheduler;                             ///< transactions, ownership and zone reachability
  MachineSource* source = nullptr;                  ///< markets; null if the cloud is the only source
  RecoveryAdmission* recovery_admission = nullptr;  ///< reconciliation; null if it is off

  /// Whether the machine is silent while others of its zone report. Its capacity must not be relied on then.
  bool is_suspected(MachineIndex machine_index) const {
    return recovery_admission != nullptr && recovery_admission->is_suspected(machine_index);
  }
  /// Whether reconciliation admits a scale-out for this job of the partition; an invalid job index stands for
  /// warm machines. Call it only if a request would follow, because reconciliation counts what it holds back.
  bool may_scale_out(PartitionIndex partition, JobIndex job, bool guaranteed, Seconds now) const {
    return recovery_admission == nullptr ||
           recovery_admission->may_scale_out(partition, job, guaranteed, now);
  }
};

}  // namespace oxbowmill::autoscaling
