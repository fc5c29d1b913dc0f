// What the controllers' durable decisions (docs/decisions.md) say of jobs: whether their tasks may be placed,
// and which records a placement has to find unchanged. The scheduler asks, `decisions` implements; without an
// implementation nothing is limited.
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
  std::vector<Guard> guards;            ///< conditions of every placement
  double priority_boost_s = 0;  ///< seconds by which it counts as submitted earlier, within its priority
};

/// Source of limits.
class PlacementConstraints {
 public:
  virtual ~PlacementConstraints() = default;
  /// Narrows what is already in `limits`; never widens it. Must answer from the tables alone: a job that was
  /// read a moment ago is limited as surely as one known for long.
  virtual void constrain(JobIndex job, PlacementLimits& limits) const = 0;
  /// Tasks of the partition that are to leave their machines, with time to save.
  virtual std::vector<TaskId> tasks_to_preempt(PartitionIndex) const { return {}; }
};

}  // namespace oxbowmill
