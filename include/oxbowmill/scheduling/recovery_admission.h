// Recovery admission control: holds back scale-outs and returns of machines, and names suspected machines,
// while it is not known which machines still exist. That is so after a start or a failover, and when single
// machines fall silent while others of their zone report. The scheduler and the autoscaler use this
// interface; `reconciliation` implements it. Without an implementation nothing is held back.
#pragma once

#include <vector>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

/// A machine to be kept ready for the work of a suspected machine.
struct Replacement {
  MachineIndex suspected_machine;  ///< machine whose work may have to move
  PartitionIndex partition;        ///< partition that gets the replacement
  MachineKind kind;                ///< kind of the replacement
};

/// Interface of recovery admission control.
class RecoveryAdmission {
 public:
  virtual ~RecoveryAdmission() = default;
  /// Whether the machine is suspected to be gone, because it is silent while others of its zone report. Its
  /// capacity is not counted on.
  virtual bool is_suspected(MachineIndex machine_index) const = 0;
  /// Whether the machine is to be deleted now although tasks may run on it: the confirmed deletion proves
  /// that they have ended, and it comes sooner than the expiry of the machine's lease.
  virtual bool is_marked_for_deletion(MachineIndex machine_index) const = 0;
  /// Whether machines may be requested for this job of the partition, or, with an invalid job, to be kept
  /// ready.
  virtual bool may_scale_out(PartitionIndex partition, JobIndex job, bool guaranteed, Seconds now) = 0;
  /// Whether this idle machine may be returned now. While returns are limited after a start or a failover,
  /// a positive answer takes one return from the budget.
  virtual bool may_return(MachineIndex machine_index, Seconds now) = 0;
  /// Replacements to request now. Each is listed until `replacement_started` is called for it or its
  /// suspected machine has reported.
  virtual std::vector<Replacement> replacements(Seconds now) const = 0;
  /// Notes that the replacement of this machine has been requested.
  virtual void replacement_started(MachineIndex suspect) = 0;
};

}  // namespace oxbowmill
