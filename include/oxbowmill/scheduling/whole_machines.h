// Keeps whole machines free for gangs. Stateless.
#pragma once

#include <vector>

#include "oxbowmill/scheduling/capacity_forecast.h"

namespace oxbowmill {

/// Some gang of the partition needs whole machines.
bool needs_whole_machines(const ClusterState& state, PartitionIndex partition);

/// Free and coming capacity of a partition while a cycle fills it.
struct CycleCapacity {
  FreeCapacity* free = nullptr;         ///< what is there
  std::vector<ForecastMachine> coming;  ///< what is not there yet
};

/// Gangs wait for whole on-demand machines, and each short task on one keeps them from it. Work that may run
/// on spot machines avoids them while spot machines are requested or coming. Returns those of the tasks that
/// need not wait for spot machines; what the others will get is taken from the coming capacity. Sets in the
/// query whether whole machines are avoided.
std::vector<TaskNumber> keep_whole_machines_free(const ClusterState& state, const Job& job, Seconds now,
                                                 CycleCapacity& capacity, SelectionQuery& query,
                                                 std::vector<TaskNumber> tasks);

}  // namespace oxbowmill
