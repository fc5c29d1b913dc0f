// Tracks deletions of machines at the cloud and releases to markets. Owns the set of machines whose deletion
// is in flight and the set of those whose deletion was confirmed. Not thread-safe.
#pragma once

#include <set>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::autoscaling {

/// Remembers which deletions are in flight and which are confirmed.
class DeletionTracker {
 public:
  /// Whether a deletion was sent and has not been answered.
  bool is_in_flight(MachineIndex machine_index) const { return in_flight_.count(machine_index) != 0; }
  /// Whether the deletion was confirmed: the machine is gone, even if a late list or report still names it.
  bool is_confirmed(MachineIndex machine_index) const { return confirmed_.count(machine_index) != 0; }
  /// Records that a deletion is being sent.
  void start(MachineIndex machine_index) { in_flight_.insert(machine_index); }
  /// Records the end of the call; an unconfirmed deletion may be started again.
  void finish(MachineIndex machine_index, bool confirmed) {
    in_flight_.erase(machine_index);
    if (confirmed) confirmed_.insert(machine_index);
  }

 private:
  std::set<MachineIndex> in_flight_, confirmed_;
};

}  // namespace oxbowmill::autoscaling
