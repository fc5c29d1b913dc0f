// The detector of slow tasks (FLIP-168, "Detect slow tasks"): pure arithmetic on finished run times, and the
// class that blocks machines and restarts tasks by it. Owns nothing but references. Seconds.
#pragma once

#include <map>
#include <vector>

#include "oxbowmill/scheduling/capacity_tracker.h"
#include "oxbowmill/scheduling/zone_reachability.h"

namespace oxbowmill {

/// Finishes that must have been seen before a baseline exists: ceil(N x R), at least one.
std::size_t finishes_needed(std::uint32_t tasks, double ratio);

/// max(median of the earliest ceil(N x R) run times x M, B); below 0 while there are too few.
/// `finished` is in order of finishing.
double slow_baseline(const std::vector<double>& finished, std::uint32_t tasks,
                     const OperatorSettings& operator_settings);

/// At or past the baseline; nothing is slow while there is none.
inline bool is_slow(double elapsed, double baseline) {
  return baseline >= 0 && elapsed >= baseline;
}

/// Blocks machines on which tasks of two or more jobs are slow at once, and requests the restart of these
/// tasks where capacity is free elsewhere.
class SlowTaskDetector {
 public:
  /// All must outlive this object.
  SlowTaskDetector(ClusterState& state, CapacityTracker& capacity, const ZoneReachability& zones)
      : state_(state), capacity_(capacity), zones_(zones) {}

  /// Checks the tasks of an owned partition.
  void check_partition(PartitionIndex partition, Seconds now);

 private:
  using TasksByMachine = std::map<MachineIndex, std::vector<TaskId>>;

  void find_slow_tasks(JobIndex job_index, Seconds now, TasksByMachine& slow);
  void block(MachineIndex machine_index, std::size_t job_count, Seconds now);
  void request_restarts(PartitionIndex partition, const std::vector<TaskId>& tasks, Seconds now);

  ClusterState& state_;
  CapacityTracker& capacity_;
  const ZoneReachability& zones_;
};

}  // namespace oxbowmill
