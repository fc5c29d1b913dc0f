// Keeps the members of a gang together: they finish together, stop together and release their machines where
// the rest cannot be placed. Owns nothing but a reference to the cluster state; pure.
#pragma once

#include "oxbowmill/scheduling/gangs.h"

namespace oxbowmill {

/// Carries out what the state of a gang asks of its members.
class GangController {
 public:
  /// `state` must outlive this object.
  explicit GangController(ClusterState& state) : state_(state) {}

  /// To be called after the placements of the gang have changed: finishes or stops its other members.
  void check(Job& job, Seconds now);
  /// To be called while missing members of a gang find no machine: after `gang_wait_timeout_s` the placed
  /// ones release theirs, for two gangs that each hold half of what both need would hold it for ever.
  void release_unschedulable(Job& job, Seconds now);

 private:
  ClusterState& state_;
};

}  // namespace oxbowmill
