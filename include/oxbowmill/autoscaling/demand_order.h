// Determines the order in which the waiting jobs of all partitions are served. Stateless.
#pragma once

#include <set>
#include <vector>

#include "oxbowmill/scheduling/queue_order.h"

namespace oxbowmill::autoscaling {

/// Amount of a resource that stands for "no limit": more than any cluster has.
constexpr double unlimited_capacity = 1e12;

/// The waiting jobs of all partitions in the order in which they are served.
struct DemandOrder {
  std::vector<WaitingJob> jobs;   ///< in serving order
  std::set<JobIndex> guaranteed;  ///< open jobs within their teams' guarantees
};

/// Orders jobs within their teams' guarantees first, then those with a critical start deadline, then by
/// priority. Jobs that compare equal stay in the order of their partitions, and within a partition in the
/// order of its queue.
DemandOrder demand_order(const ClusterState& state, Clock clock);

}  // namespace oxbowmill::autoscaling
