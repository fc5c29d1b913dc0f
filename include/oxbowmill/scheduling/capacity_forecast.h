// Capacity that is not free yet: machines that boot or are handed over, tasks that are leaving or may be
// stopped. Owns nothing but references; pure. Seconds.
#pragma once

#include <vector>

#include "oxbowmill/scheduling/capacity_tracker.h"
#include "oxbowmill/scheduling/preemptor.h"
#include "oxbowmill/scheduling/zone_reachability.h"

namespace oxbowmill {

/// A machine that is not here yet: it boots, or another partition hands it over.
struct ForecastMachine {
  CandidateMachine candidate;   ///< with its wait, without free capacity
  Resources expected_capacity;  ///< what the cycle has not promised to a job yet
};

/// Whether a forecast counts on stopping tasks of lower priority.
enum class Preemption : std::uint8_t {
  none,            ///< only on what leaves or comes by itself
  lower_priority,  ///< on tasks that may be stopped for the job as well
};

/// Forecasts where a job's tasks could run before long.
class CapacityForecast {
 public:
  /// All must outlive this object.
  CapacityForecast(const ClusterState& state, const CapacityTracker& capacity, const ZoneReachability& zones,
                   const Preemptor& preemptor)
      : state_(state), capacity_(capacity), zones_(zones), preemptor_(preemptor) {}

  /// Machines that are coming to the partition.
  std::vector<ForecastMachine> coming_machines(PartitionIndex partition, Seconds now) const;
  /// Candidates for tasks of this job next to the free machines, evaluated for it.
  std::vector<CandidateMachine> candidates_for(const Job& job, const std::vector<ForecastMachine>& coming,
                                               Preemption preemption, Clock clock) const;

 private:
  bool lacks_capacity(const Job& job, const MachineCapacity& machine, Seconds now) const;
  void add_releasing(const Job& job, Seconds now, std::vector<CandidateMachine>& candidates) const;
  void add_preemptible(const Job& job, Clock clock, std::vector<CandidateMachine>& candidates) const;

  const ClusterState& state_;
  const CapacityTracker& capacity_;
  const ZoneReachability& zones_;
  const Preemptor& preemptor_;
};

}  // namespace oxbowmill
