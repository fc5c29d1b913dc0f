// What the controllers' durable decisions (docs/decisions.md) say of jobs: whether their tasks may be placed,
// and what their placement has to find unchanged. Core asks, `accord` answers; without a counsel nothing is
// held.
#pragma once

#include <limits>
#include <vector>

#include "oxbowmill/cluster/records.h"

namespace oxbowmill {

struct PlacementLimits {
  static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t max_tasks = unlimited;  // tasks that may be on machines at the same time
  std::vector<Guard> guards;            // a placement that finds one of these changed is not made
  double priority_boost_s = 0;          // goes in its rank as if it had come so much earlier
};

class PlacementConstraints {
 public:
  virtual ~PlacementConstraints() = default;
  /// Narrows what is already in the advice; never widens it. Must answer by the tables alone: a job that was
  /// read a moment ago is held as surely as one known for long.
  virtual void constrain(JobIndex job, PlacementLimits& limits) const = 0;
  /// Tasks of the part that are to leave their machines, with time to save.
  virtual std::vector<TaskId> tasks_to_preempt(PartitionIndex) const { return {}; }
};

}  // namespace oxbowmill
