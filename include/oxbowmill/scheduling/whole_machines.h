// Keeps whole machines free for gangs. Stateless functions.
#pragma once

#include <vector>

#include "oxbowmill/scheduling/capacity_forecast.h"

namespace oxbowmill {

/// Whether some gang of the partition needs whole machines.
bool needs_whole_machines(const ClusterState& state, PartitionIndex partition);

/// Free and expected capacity of a partition during a cycle.
struct CycleCapacity {
  FreeCapacity* free = nullptr;           ///< free capacity
  std::vector<ForecastMachine> expected;  ///< machines that boot or are being handed over
};

/// Keeps tasks of array jobs that accept spot machines away from whole on-demand machines, because gangs wait
/// for these and each short task on one delays a gang. Sets in the query whether whole machines are avoided:
/// they are, unless the job has waited for `scale_out_delay_s` and has more tasks than fit elsewhere, on free
/// or expected machines. Returns the tasks that need not wait for spot machines; expected capacity is
/// reserved for the others.
std::vector<TaskNumber> keep_whole_machines_free(const ClusterState& state, const Job& job, Seconds now,
                                                 CycleCapacity& capacity, SelectionQuery& query,
                                                 std::vector<TaskNumber> tasks);

}  // namespace oxbowmill
