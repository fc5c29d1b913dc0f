// Placement constraints of several sources (releases, models) as one. Owns the list of sources, not the
// sources: they must outlive it. Used on the controller's loop only.
#pragma once

#include <vector>

#include "oxbowmill/cluster/placement_constraints.h"

namespace oxbowmill::decisions {

/// Asks every source in the order of `add`; each can only narrow the limits, so the strictest one decides.
class CombinedConstraints : public PlacementConstraints {
 public:
  /// Adds a source, which must not be null and is not owned.
  void add(const PlacementConstraints* source) { sources_.push_back(source); }
  /// Whether there is no source, so that nothing is constrained.
  [[nodiscard]] bool empty() const { return sources_.empty(); }
  /// Narrows `limits` by every source.
  void constrain(JobIndex job, PlacementLimits& limits) const override;
  /// The tasks that any source wants to have preempted, source by source.
  [[nodiscard]] std::vector<TaskId> tasks_to_preempt(PartitionIndex partition) const override;

 private:
  std::vector<const PlacementConstraints*> sources_;
};

}  // namespace oxbowmill::decisions
