// Keeps the members of a gang together: they finish together, stop together, and release their machines if
// the others cannot be placed. Holds only a reference to the cluster state; no I/O.
#pragma once

#include "oxbowmill/scheduling/gangs.h"

namespace oxbowmill {

/// Finishes, stops or releases the members of a gang as its state requires.
class GangController {
 public:
  /// `state` must outlive this object.
  explicit GangController(ClusterState& state) : state_(state) {}

  /// Finishes or stops the other members; to be called after a placement of the gang has changed.
  void check(Job& job, Seconds now);
  /// Stops the placed members once the missing ones have found no machine for `gang_wait_timeout_s`: two
  /// gangs that each hold half of the machines that both need would otherwise block each other for ever. To
  /// be called in each cycle that finds no machines for the missing members.
  void release_unschedulable(Job& job, Seconds now);

 private:
  ClusterState& state_;
};

}  // namespace oxbowmill
