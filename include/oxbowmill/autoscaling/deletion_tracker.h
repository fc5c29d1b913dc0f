// Deletions of machines at the cloud and returns to markets. Owns the sets of machines whose deletion is
// under way and of those whose deletion was confirmed. Not thread-safe.
#pragma once

#include <set>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::autoscaling {

/// Remembers how far the deletion of each machine has come.
class DeletionTracker {
 public:
  /// A deletion was sent and not yet answered.
  bool is_under_way(MachineIndex machine_index) const { return under_way_.count(machine_index) != 0; }
  /// The machine is gone, whatever a late list or report says.
  bool is_confirmed(MachineIndex machine_index) const { return confirmed_.count(machine_index) != 0; }
  /// Notes that a deletion is being sent.
  void start(MachineIndex machine_index) { under_way_.insert(machine_index); }
  /// Notes an answer; without confirmation the deletion is sent again.
  void finish(MachineIndex machine_index, bool confirmed) {
    under_way_.erase(machine_index);
    if (confirmed) confirmed_.insert(machine_index);
  }

 private:
  std::set<MachineIndex> under_way_, confirmed_;
};

}  // namespace oxbowmill::autoscaling
