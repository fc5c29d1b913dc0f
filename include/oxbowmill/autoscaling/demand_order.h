// The order in which waiting jobs of all partitions are served. Pure, without state.
#pragma once

#include <set>
#include <vector>

#include "oxbowmill/scheduling/queue_order.h"

namespace oxbowmill::autoscaling {

/// Capacity where a team has no guarantee to fill or no quota to keep: more than any cluster has.
constexpr double unlimited_capacity = 1e12;

/// The waiting jobs of all partitions.
struct DemandOrder {
  std::vector<WaitingJob> jobs;   ///< first to be served first
  std::set<JobIndex> guaranteed;  ///< open jobs within their teams' guarantees
};

/// Jobs within guarantees first, then those with a critical start deadline, then by priority; otherwise in
/// the order of their partitions and queues.
DemandOrder demand_order(const ClusterState& state, Clock clock);

}  // namespace oxbowmill::autoscaling
