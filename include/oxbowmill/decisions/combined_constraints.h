// Combines the placement constraints of several sources (releases, models). Owns the list of sources but
// not the sources, which must outlive it. Used only on the controller's event loop.
#pragma once

#include <vector>

#include "oxbowmill/cluster/placement_constraints.h"

namespace oxbowmill::decisions {

/// Applies every source in the order of `add`. Each can only narrow the limits, so the strictest one decides.
class CombinedConstraints : public PlacementConstraints {
 public:
  /// Adds a source. It must not be null and is not owned.
  void add(const PlacementConstraints* source) { sources_.push_back(source); }
  /// Whether there are no sources, so that nothing is constrained.
  [[nodiscard]] bool empty() const { return sources_.empty(); }
  /// Narrows `limits` by every source.
  void constrain(JobIndex job, PlacementLimits& limits) const override;
  /// The tasks that any source wants to have preempted, source by source.
  [[nodiscard]] std::vector<TaskId> tasks_to_preempt(PartitionIndex partition) const override;

 private:
  std::vector<const PlacementConstraints*> sources_;
};

}  // namespace oxbowmill::decisions
