// Plans placements of a partition's waiting tasks on its machines. Owns the capacity version at the last
// cycle of each partition and the counter of attempts. No I/O: the caller writes the plan.
#pragma once

#include <vector>

#include "oxbowmill/scheduling/capacity_forecast.h"
#include "oxbowmill/scheduling/failed_selections.h"
#include "oxbowmill/scheduling/gang_controller.h"
#include "oxbowmill/scheduling/job_writer.h"
#include "oxbowmill/scheduling/queue_order.h"
#include "oxbowmill/scheduling/whole_machines.h"

namespace oxbowmill {

/// How much a scheduling cycle considers.
enum class CycleDepth : std::uint8_t {
  quick,     ///< only partitions that have changed, without preemption
  thorough,  ///< every partition, with preemption
};

/// Plans, in queue order, which waiting tasks of a partition start on which machines.
class PlacementCycle {
 public:
  /// All arguments must outlive this object.
  PlacementCycle(ClusterState& state, CapacityTracker& capacity, const ZoneReachability& zones,
                 const WriteRate& write_rate, GangController& gangs)
      : state_(state),
        capacity_(capacity),
        zones_(zones),
        write_rate_(write_rate),
        gangs_(gangs),
        preemptor_(state, gangs),
        forecast_(state, capacity, zones, preemptor_),
        last_cycles_(state.partition_count()) {}

  /// Runs a cycle of an owned partition and adds the tasks that can start at once to `planned`.
  void run(PartitionIndex partition, Clock clock, CycleDepth depth, PlannedTasks& planned);
  /// Makes every cycle compare the index of free capacity with a full scan. For tests.
  void enable_capacity_check() { capacity_check_enabled_ = true; }

 private:
  /// Capacity version at the last cycle of a partition, and when the next cycle is due without any change.
  struct LastCycle {
    std::uint64_t version = 0;
    Seconds wake_at = 0;
    void wake_by(Seconds at) { wake_at = std::min(wake_at, at); }
  };
  /// State of one partition's cycle.
  struct Cycle {
    Clock clock;
    CycleDepth depth = CycleDepth::quick;
    bool avoid_whole_machines = false;
    CycleCapacity capacity;
    Resources quota_left;
    FailedSelections failed;
    LastCycle* last = nullptr;
    PlannedTasks* planned = nullptr;
  };
  /// Input of one selection of machines.
  struct SelectionRequest {
    const Job& job;
    const SelectionQuery& query;
    const std::vector<TaskNumber>& tasks;
    std::vector<std::uint32_t> tasks_per_zone;
    bool may_preempt = false;
  };

  bool is_unchanged(PartitionIndex partition, const LastCycle& last, Seconds now) const;
  Resources quota_left(PartitionIndex partition) const;
  void reset_pending_reasons(PartitionIndex partition, const std::vector<WaitingJob>& order);
  PendingReason place_job(Cycle& cycle, const WaitingJob& waiting);
  std::size_t max_placeable(const Cycle& cycle, JobIndex job_index) const;
  bool may_preempt_in(const Cycle& cycle, const Job& job) const;
  Selection select_machines(Cycle& cycle, const Job& job, const SelectionQuery& query,
                            const std::vector<TaskNumber>& tasks);
  Selection select_with_forecast(const Cycle& cycle, const SelectionRequest& request,
                                 Preemption preemption) const;
  void improve_gang_selection(const Cycle& cycle, const SelectionRequest& request,
                              Selection& selection) const;
  bool preempt_for_rest(const Cycle& cycle, const SelectionRequest& request);
  /// Why tasks of the job found no machine.
  static PendingReason shortage_of(const Cycle& cycle, const Job& job);
  PendingReason reserve_and_plan(Cycle& cycle, JobIndex job_index, std::size_t wanted,
                                 const Selection& selection);
  bool awaits_leader(const Job& job, const Selection& selection, Seconds now) const;
  bool should_batch_placements(const Job& job, std::size_t placeable, std::size_t wanted, Seconds now) const;
  static bool reserve(Cycle& cycle, const Job& job, const CandidateMachine& candidate, bool awaits_leader);
  void plan(JobIndex job_index, const std::vector<PlacedTask>& tasks, PlannedTasks& planned);
  Attempt next_attempt(PartitionIndex partition);

  ClusterState& state_;
  CapacityTracker& capacity_;
  const ZoneReachability& zones_;
  const WriteRate& write_rate_;
  GangController& gangs_;
  Preemptor preemptor_;
  CapacityForecast forecast_;
  std::vector<LastCycle> last_cycles_;  // by partition
  std::uint64_t attempt_count_ = 0;
  bool capacity_check_enabled_ = false;
};

}  // namespace oxbowmill
