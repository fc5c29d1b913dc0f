// Detector of slow tasks, after Apache Flink's FLIP-168: computes a baseline from finished run times, blocks
// machines with slow tasks and restarts these tasks. Holds references only; no I/O. Times in seconds.
#pragma once

#include <map>
#include <vector>

#include "oxbowmill/scheduling/capacity_tracker.h"
#include "oxbowmill/scheduling/zone_reachability.h"

namespace oxbowmill {

/// Number of finished tasks that a baseline needs: ceil(tasks x ratio), at least 1.
std::size_t finishes_needed(std::uint32_t tasks, double ratio);

/// Run time from which on a task is slow: the median of the first `finishes_needed` run times times
/// `slow_multiplier`, at least `baseline_floor_s`. Below 0 while too few tasks have finished. `finished`
/// holds run times in order of finishing.
double slow_baseline(const std::vector<double>& finished, std::uint32_t tasks,
                     const OperatorSettings& operator_settings);

/// Whether the elapsed time has reached the baseline; nothing is slow without a baseline (below 0).
inline bool is_slow(double elapsed, double baseline) {
  return baseline >= 0 && elapsed >= baseline;
}

/// Blocks machines on which tasks of two or more jobs are slow at once, and requests a restart of each such
/// task if capacity is free elsewhere.
class SlowTaskDetector {
 public:
  /// All arguments must outlive this object.
  SlowTaskDetector(ClusterState& state, CapacityTracker& capacity, const ZoneReachability& zones)
      : state_(state), capacity_(capacity), zones_(zones) {}

  /// Checks the tasks of an owned partition.
  void check_partition(PartitionIndex partition, Seconds now);

 private:
  using TasksByMachine = std::map<MachineIndex, std::vector<TaskId>>;

  void find_slow_tasks(JobIndex job_index, Seconds now, TasksByMachine& slow_tasks);
  void block(MachineIndex machine_index, std::size_t job_count, Seconds now);
  void request_restarts(PartitionIndex partition, const std::vector<TaskId>& tasks, Seconds now);

  ClusterState& state_;
  CapacityTracker& capacity_;
  const ZoneReachability& zones_;
};

}  // namespace oxbowmill
