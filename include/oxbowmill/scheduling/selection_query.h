// Builds the query that selects free machines for a job. Stateless function.
#pragma once

#include "oxbowmill/scheduling/capacity_tracker.h"
#include "oxbowmill/scheduling/zone_reachability.h"

namespace oxbowmill {

/// The query for tasks of the job at `now`, without its start deadline. Refers to `job` and `capacity`, which
/// must outlive it.
SelectionQuery selection_query_for(const ClusterState& state, const CapacityTracker& capacity,
                                   const ZoneReachability& zones, const Job& job, Seconds now);

}  // namespace oxbowmill
