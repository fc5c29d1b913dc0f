// Which partitions this controller owns, and from when on silence of their machines proves that nothing runs
// there. Owns the revision up to which changes have been applied and, for each partition, the ownership for
// which the failover was last run. No I/O.
#pragma once

#include <map>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/lease/controller_lease.h"

namespace oxbowmill {

/// This controller's ownership of partitions, judged by the applied state.
class PartitionOwnership {
 public:
  /// Both arguments must outlive this object.
  PartitionOwnership(ClusterState& state, const ControllerLease& controller_lease)
      : state_(state), controller_lease_(controller_lease) {}

  /// Notes that every change up to this revision has been applied.
  void applied_revision(Revision revision) { applied_revision_ = std::max(applied_revision_, revision); }
  /// The revision up to which every change has been applied.
  Revision applied_revision() const { return applied_revision_; }
  /// Whether this controller owns the partition under its current lease.
  bool owns(PartitionIndex partition) const;
  /// Whether this controller owns at least one partition.
  bool owns_any() const;
  /// A guard that fails once another controller has acquired the partition.
  Guard guard(PartitionIndex partition) const;
  /// Runs the failover of every partition that was acquired since the last call.
  void detect_failovers(Seconds now);
  /// Time from which on no earlier owner can answer this machine's agent. Steady clock.
  Seconds exclusively_owned_since(const Machine& machine) const;
  /// Time after which continued silence of this machine proves that nothing runs there. Steady clock.
  Seconds proven_empty_at(const Machine& machine) const;

 private:
  ClusterState& state_;
  const ControllerLease& controller_lease_;
  Revision applied_revision_ = 0;
  std::map<std::uint32_t, Revision> failover_revisions_;  // by partition: ownership of its last failover
};

}  // namespace oxbowmill
