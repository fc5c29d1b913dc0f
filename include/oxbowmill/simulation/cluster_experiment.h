// Plays a cluster scenario with many seeds, each variant with the same ones, and summarises the results. No
// state.
#pragma once

#include "oxbowmill/simulation/cluster_simulation.h"

namespace oxbowmill::simulation {

/// One run.
struct ClusterRow {
  SimulationVariant variant = SimulationVariant::without_faults;  ///< how it was played
  std::uint64_t seed = 0;                                         ///< of all its random draws
  ClusterResult result;                                           ///< what it came to
};

/// Plays every variant with seeds 1 to `seeds`, on several threads; rows by seed, then by variant.
std::vector<ClusterRow> play(const ClusterScenario& scenario, unsigned seeds, unsigned threads);

/// Seconds from the fault until the GPUs in use are at least 95 % of those of the run without faults
/// (`twin`), as means over five seconds, for ten seconds in a row; the rest of the run where that never
/// happens.
double time_to_level(const ClusterResult& result, const ClusterResult& twin, double fault_s);

/// One variant: medians over the seeds, except the lowest fraction served and the violations.
struct ClusterSummary {
  SimulationVariant variant = SimulationVariant::without_faults;  ///< the variant that is summarised
  double recovery_s = 0,                                          ///< `time_to_level`
      reconciled_s = 0;               ///< seconds from the first fault until all partitions are reconciled
  double wasted_scale_outs = 0,       ///< machines, see ClusterResult
      rentals = 0;                    ///< machines rented from the first fault on
  double peak_returns = 0,            ///< most machines returned in a second, from the first fault on
      peak_changes = 0;               ///< most changes in a second, from the first fault on
  double lost_run_time_s = 0;         ///< GPU seconds of work that has to be repeated
  double suspected = 0,               ///< machines suspected
      returned = 0,                   ///< suspected machines that came back
      deleted_alive = 0;              ///< machines deleted while tasks ran on them
  double lowest_served_fraction = 1;  ///< completed tasks relative to the run without faults: the lowest of
                                      ///< any class or team over all seeds
  int violations = 0;                 ///< violated invariants, over all seeds
  std::string first_violation;        ///< with its seed; empty: none
};
/// One summary for each variant, in the order of `simulation_variants`; `rows` as `play` returns them.
std::vector<ClusterSummary> summarise(const ClusterScenario& scenario, const std::vector<ClusterRow>& rows);
/// For reading.
std::string table(const std::string& scenario, const std::vector<ClusterSummary>& s);
/// One line for each run.
std::string csv(const std::string& scenario, const std::vector<ClusterRow>& rows);
/// The same columns as the table.
wire::Json json(const std::string& scenario, const std::vector<ClusterSummary>& s);

}  // namespace oxbowmill::simulation
