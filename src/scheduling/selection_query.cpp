#include "oxbowmill/scheduling/selection_query.h"

namespace oxbowmill {

SelectionQuery selection_query_for(const ClusterState& state, const CapacityTracker& capacity,
                                   const ZoneReachability& zones, const Job& job, Seconds now) {
  SelectionQuery query;
  query.spec = &job.spec;
  for (std::uint32_t z = 0; z < state.names.zones.size(); ++z)
    query.unreachable.push_back(zones.is_unreachable(ZoneIndex{z}, now));
  query.fetch_backlog_s = [&capacity, now](MachineIndex machine_index) {
    return capacity.fetch_backlog_s(machine_index, now);
  };
  return query;
}

}  // namespace oxbowmill
