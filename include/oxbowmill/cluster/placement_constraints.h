// Limits that the controllers' durable decisions (docs/decisions.md) set on jobs: whether their tasks may be
// placed, and which records must be unchanged when a placement is written. The scheduler uses this interface,
// and the package `decisions` implements it. Without an implementation nothing is limited.
#pragma once

#include <cstdint>
#include <limits>
#include <vector>

#include "oxbowmill/cluster/records.h"

namespace oxbowmill {

/// Limits on the placement of one job.
struct PlacementLimits {
  static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();  ///< no limit
  std::uint32_t max_tasks = unlimited;  ///< tasks that may be on machines at the same time
  std::vector<Guard> guards;            ///< guards that every placement transaction must include
  double priority_boost_s = 0;  ///< seconds by which the job counts as submitted earlier, within its priority
};

/// Source of placement limits.
class PlacementConstraints {
 public:
  virtual ~PlacementConstraints() = default;
  /// Narrows the given limits and never widens them. The result must depend on the tables alone, so that a
  /// job whose record was read a moment ago is limited exactly like one that has been known for long.
  virtual void constrain(JobIndex job, PlacementLimits& limits) const = 0;
  /// Tasks of the partition that are to be preempted, with time to save their progress.
  virtual std::vector<TaskId> tasks_to_preempt(PartitionIndex) const { return {}; }
};

}  // namespace oxbowmill
