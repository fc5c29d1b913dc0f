// Many seeds of a cluster's scenario, each way on the same ones, and what came of it.
#pragma once

#include "oxbowmill/simulation/cluster_simulation.h"

namespace oxbowmill::simulation {

struct ClusterRow {
  SimulationVariant variant = SimulationVariant::without_faults;
  std::uint64_t seed = 0;
  ClusterResult result;
};

/// Seeds 1 to `seeds`, every way on each, on several threads; rows by seed, then by way.
std::vector<ClusterRow> play(const ClusterScenario& scenario, unsigned seeds, unsigned threads);

/// Seconds from the fault until the running work is within a twentieth of the undisturbed twin's for ten
/// seconds on end; the rest of the run where it never is.
double time_to_level(const ClusterResult& result, const ClusterResult& twin, double fault_s);

/// Medians over seeds, but for the least share served and the broken rules.
struct ClusterSummary {
  SimulationVariant variant = SimulationVariant::without_faults;
  double recovery_s = 0, reconciled_s = 0;
  double wasted_scale_outs = 0, rentals = 0;  // machines; from the first fault on
  double peak_returns = 0, peak_changes = 0;  // a second, from the first fault on
  double lost_run_time_s = 0;                 // GPU seconds of work that has to be repeated
  double suspected = 0, returned = 0, deleted_alive = 0;
  double lowest_served_fraction = 1;  // of any class or team, to the twin, over all seeds
  int violations = 0;
  std::string first_violation;
};
std::vector<ClusterSummary> summarise(const ClusterScenario& scenario, const std::vector<ClusterRow>& rows);
std::string table(const std::string& scenario, const std::vector<ClusterSummary>& s);
std::string csv(const std::string& scenario, const std::vector<ClusterRow>& rows);
wire::Json json(const std::string& scenario, const std::vector<ClusterSummary>& s);

}  // namespace oxbowmill::simulation
