// Runs each variant of a cluster scenario with the same seeds and summarises the results. No state.
#pragma once

#include "oxbowmill/simulation/cluster_simulation.h"

namespace oxbowmill::simulation {

/// The result of one run.
struct ClusterRow {
  SimulationVariant variant = SimulationVariant::without_faults;  ///< how the scenario was simulated
  std::uint64_t seed = 0;                                         ///< seed of all random draws of the run
  ClusterResult result;                                           ///< the result of the run
};

/// Runs every variant with seeds 1 to `seeds` on `threads` threads. The rows are ordered by seed, then by
/// variant.
std::vector<ClusterRow> run_variants(const ClusterScenario& scenario, unsigned seeds, unsigned threads);

/// Seconds from the fault until the GPUs in use, averaged over five seconds, are at least 95 % of those of
/// the run without faults (`twin`) for ten seconds in a row. If that never happens, the time from the fault
/// to the end of the run.
double recovery_time_s(const ClusterResult& result, const ClusterResult& twin, double fault_s);

/// Summary of one variant: medians over the seeds, except for the lowest served fraction and the violations.
struct ClusterSummary {
  SimulationVariant variant = SimulationVariant::without_faults;  ///< the variant that is summarised
  double recovery_s = 0,                                          ///< `recovery_time_s`
      reconciled_s = 0;               ///< seconds from the first fault until all partitions are reconciled
  double wasted_scale_outs = 0,       ///< number of machines, see ClusterResult::wasted_scale_outs
      rentals = 0;                    ///< machines rented from the first fault on
  double peak_returns = 0,            ///< most machines returned in a second, from the first fault on
      peak_changes = 0;               ///< most changes in a second, from the first fault on
  double lost_run_time_s = 0;         ///< run time that has to be repeated, in GPU seconds
  double suspected = 0,               ///< machines that were suspected
      returned = 0,                   ///< suspected machines that reported again
      deleted_alive = 0;              ///< machines deleted while tasks ran on them
  double lowest_served_fraction = 1;  ///< completed tasks relative to the run without faults; the lowest
                                      ///< fraction of any class or team over all seeds
  int violations = 0;                 ///< violated invariants, over all seeds
  std::string first_violation;        ///< the first violation, with its seed; empty: no violations
};
/// Returns one summary for each variant, in the order of `simulation_variants`. `rows` must be in the order
/// in which `play` returns them.
std::vector<ClusterSummary> summarise(const ClusterScenario& scenario, const std::vector<ClusterRow>& rows);
/// Formats the summaries as a text table, followed by the first violation of each variant.
std::string table(const std::string& scenario, const std::vector<ClusterSummary>& summaries);
/// Formats the samples of all runs as CSV, one line for each second of each run.
std::string csv(const std::string& scenario, const std::vector<ClusterRow>& rows);
/// Returns the summaries as JSON, with the same columns as the table.
wire::Json json(const std::string& scenario, const std::vector<ClusterSummary>& summaries);

}  // namespace oxbowmill::simulation
