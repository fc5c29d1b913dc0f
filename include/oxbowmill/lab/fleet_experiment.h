// Many seeds of a cluster's scenario, each way on the same ones, and what came of it.
#pragma once

#include "oxbowmill/lab/fleet_world.h"

namespace oxbowmill::lab {

struct FleetRow {
  Way way = Way::twin;
  std::uint64_t seed = 0;
  FleetResult result;
};

/// Seeds 1 to `seeds`, every way on each, on several threads; rows by seed, then by way.
std::vector<FleetRow> play(const FleetScenario& s, unsigned seeds, unsigned threads);

/// Seconds from the fault until the running work is within a twentieth of the undisturbed twin's for ten
/// seconds on end; the rest of the run where it never is.
double time_to_level(const FleetResult& r, const FleetResult& twin, double fault_s);

/// Medians over seeds, but for the least share served and the broken rules.
struct FleetSummary {
  Way way = Way::twin;
  double level_s = 0, squared_s = 0;
  double undone = 0, rentals = 0;             // machines; from the first fault on
  double peak_returns = 0, peak_changes = 0;  // a second, from the first fault on
  double lost_s = 0;                          // GPU seconds of work that has to be repeated
  double suspected = 0, returned = 0, deleted_alive = 0;
  double least_served = 1;  // of any class or team, to the twin, over all seeds
  int broken = 0;
  std::string first_broken;
};
std::vector<FleetSummary> summarise(const FleetScenario& s, const std::vector<FleetRow>& rows);
std::string table(const std::string& scenario, const std::vector<FleetSummary>& s);
std::string csv(const std::string& scenario, const std::vector<FleetRow>& rows);
wire::Json json(const std::string& scenario, const std::vector<FleetSummary>& s);

}  // namespace oxbowmill::lab
