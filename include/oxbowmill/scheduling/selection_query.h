// How a job looks at the free machines at this moment. Stateless.
#pragma once

#include "oxbowmill/scheduling/capacity_tracker.h"
#include "oxbowmill/scheduling/zone_reachability.h"

namespace oxbowmill {

/// The query for a task of the job, without its start deadline. Refers to the job and to the tracker, which
/// must outlive it.
SelectionQuery selection_query_for(const ClusterState& state, const CapacityTracker& capacity,
                                   const ZoneReachability& zones, const Job& job, Seconds now);

}  // namespace oxbowmill
