// What is held back while it is not known which machines are still there: after a start or a failover, and
// where single machines fall silent among others that report. The scheduler and the autoscaler ask,
// `reconciliation` answers; without recovery admission nothing is held back.
#pragma once

#include <vector>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

/// A machine to be kept ready for the work of one that may be gone.
struct Replacement {
  MachineIndex suspected_machine;  ///< whose work may have to move
  PartitionIndex partition;        ///< that is to get the replacement
  MachineKind kind;                ///< of the replacement
};

/// Recovery admission control, as its users see it.
class RecoveryAdmission {
 public:
  virtual ~RecoveryAdmission() = default;
  /// Others of its zone report and it does not: its capacity is not counted on.
  virtual bool suspected(MachineIndex machine_index) const = 0;
  /// To be deleted now, though something may be on it: the answer to the deletion is the proof that its tasks
  /// wait for, and comes sooner than the end of its lease.
  virtual bool marked_for_deletion(MachineIndex machine_index) const = 0;
  /// Machines may be requested for this job of the partition; without a job, to be kept ready.
  virtual bool may_scale_out(PartitionIndex partition, JobIndex job, bool guaranteed, Seconds now) = 0;
  /// This idle machine may be returned now; after a start that takes one from the budget of returns.
  virtual bool may_return(MachineIndex machine_index, Seconds now) = 0;
  /// In order of need; each stays listed until it was reported as started or its suspected machine reported.
  virtual std::vector<Replacement> replacements(Seconds now) const = 0;
  /// The replacement of this machine has been requested.
  virtual void replacement_started(MachineIndex suspect) = 0;
};

}  // namespace oxbowmill
