// Which partitions this controller owns, and what that proves about their machines. Owns the revision up to
// which changes have been applied and, for each partition, the ownership that failover was last run for.
// Pure.
#pragma once

#include <map>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/lease/controller_lease.h"

namespace oxbowmill {

/// This controller's ownership of partitions, as far as the applied state shows it.
class PartitionOwnership {
 public:
  /// Both must outlive this object.
  PartitionOwnership(ClusterState& state, const ControllerLease& controller_lease)
      : state_(state), controller_lease_(controller_lease) {}

  /// Every change up to this revision has been applied.
  void applied_revision(Revision revision) { applied_revision_ = std::max(applied_revision_, revision); }
  /// The revision up to which every change has been applied.
  Revision applied_revision() const { return applied_revision_; }
  /// The partition is owned under the present controller lease.
  bool owns(PartitionIndex partition) const;
  /// At least one partition is owned.
  bool owns_any() const;
  /// Guard that fails once another controller has acquired the partition.
  Guard guard(PartitionIndex partition) const;
  /// Runs the failover of every partition that was acquired since the last call.
  void detect_failovers(Seconds now);
  /// From when on no earlier owner can answer this machine's agent. Steady clock.
  Seconds exclusively_owned_since(const Machine& machine) const;
  /// When silence of this machine proves that nothing runs there any more. Steady clock.
  Seconds proven_empty_at(const Machine& machine) const;

 private:
  ClusterState& state_;
  const ControllerLease& controller_lease_;
  Revision applied_revision_ = 0;
  std::map<std::uint32_t, Revision> prepared_revisions_;  // by partition: ownership that failover was run for
};

}  // namespace oxbowmill
