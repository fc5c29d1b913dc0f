// What is held back while it is not known who is still there: after a start or a takeover, and where single
// machines fall silent among others that speak. The scheduler and the fleet ask, `recovery` answers; without
// a gate nothing is held back.
#pragma once

#include <vector>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

/// A machine to be had ready for the work of one that may be gone.
struct Replacement {
  MachineIndex suspected_machine;
  PartitionIndex partition;
  MachineKind kind;
};

class RecoveryAdmission {
 public:
  virtual ~RecoveryAdmission() = default;
  /// Others of its zone speak and it does not: its room is not counted on.
  virtual bool suspected(MachineIndex machine_index) const = 0;
  /// To be deleted now, though something may be on it: the answer to the deletion is the proof that its tasks
  /// wait for, and sooner to be had than the end of its lease.
  virtual bool marked_for_deletion(MachineIndex machine_index) const = 0;
  /// Machines may be rented for this job of the part; without a job, to stand by.
  virtual bool may_scale_out(PartitionIndex partition, JobIndex job, bool guaranteed, Seconds now) = 0;
  /// This idle machine may go back now; taken from what a start may send out.
  virtual bool may_return(MachineIndex machine_index, Seconds now) = 0;
  /// In order of need; each stays in it until it was said to be under way, or its suspect spoke.
  virtual std::vector<Replacement> replacements(Seconds now) const = 0;
  virtual void replacement_started(MachineIndex suspect) = 0;
};

}  // namespace oxbowmill
