// Forecast of capacity that is not free yet: machines that boot or are handed over, and tasks that are being
// stopped or may be preempted. Holds references only; no I/O. Times in seconds.
#pragma once

#include <vector>

#include "oxbowmill/scheduling/capacity_tracker.h"
#include "oxbowmill/scheduling/preemptor.h"
#include "oxbowmill/scheduling/zone_reachability.h"

namespace oxbowmill {

/// A machine that the partition cannot use yet: it boots, or another partition hands it over.
struct ForecastMachine {
  CandidateMachine candidate;   ///< `available_in_s` is set, `free_capacity` is empty
  Resources expected_capacity;  ///< capacity that this cycle has not reserved for a job yet
};

/// Whether a forecast includes capacity of tasks that would have to be preempted.
enum class Preemption : std::uint8_t {
  none,            ///< only capacity that becomes free or arrives without preemption
  lower_priority,  ///< also tasks of lower priority that may be preempted for the job
};

/// Forecasts on which machines a job's tasks could run soon.
class CapacityForecast {
 public:
  /// All arguments must outlive this object.
  CapacityForecast(const ClusterState& state, const CapacityTracker& capacity, const ZoneReachability& zones,
                   const Preemptor& preemptor)
      : state_(state), capacity_(capacity), zones_(zones), preemptor_(preemptor) {}

  /// Machines that boot for the partition or are being handed over to it.
  std::vector<ForecastMachine> expected_machines(PartitionIndex partition, Seconds now) const;
  /// Candidates for the job's tasks in addition to the free machines, with `start_s` and
  /// `opportunity_cost_s` evaluated for the job.
  std::vector<CandidateMachine> candidates_for(const Job& job, const std::vector<ForecastMachine>& expected,
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
