#include "oxbowmill/decisions/combined_constraints.h"

namespace oxbowmill::decisions {

void CombinedConstraints::constrain(JobIndex job, PlacementLimits& limits) const {
  for (const PlacementConstraints* source : sources_) source->constrain(job, limits);
}

std::vector<TaskId> CombinedConstraints::tasks_to_preempt(PartitionIndex partition) const {
  std::vector<TaskId> tasks;
  for (const PlacementConstraints* source : sources_) {
    std::vector<TaskId> more = source->tasks_to_preempt(partition);
    tasks.insert(tasks.end(), more.begin(), more.end());
  }
  return tasks;
}

}  // namespace oxbowmill::decisions
