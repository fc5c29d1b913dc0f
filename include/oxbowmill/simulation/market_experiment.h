// Many seeds of a scenario, each policy on the same ones, and what came of it.
#pragma once

#include "oxbowmill/simulation/market_simulation.h"

namespace oxbowmill::simulation {

struct MarketRow {
  Policy policy = Policy::planner;
  std::uint64_t seed = 0;
  MarketResult result;
};

/// Plays seeds 1 to `seeds` under each policy, on several threads; rows in order of policy and seed.
std::vector<MarketRow> play(const MarketScenario& scenario, unsigned seeds, unsigned threads);

struct MarketSummary {
  Policy policy = Policy::planner;
  double deadlines_met = 0,
         deadlines_met_error = 0;  // share held over all jobs, and its standard error over seeds
  double guaranteed_met = 0;
  double cost = 0;                                  // median
  double cost_per_job = 0;                          // median of cost over jobs in time
  double bought_machines = 0, unused_machines = 0;  // means
  int breaches = 0, suspended = 0;
};
std::vector<MarketSummary> summarise(const std::vector<MarketRow>& rows);
std::string table(const std::string& scenario, const std::vector<MarketSummary>& s);
std::string csv(const std::string& scenario, const std::vector<MarketRow>& rows);
wire::Json json(const std::string& scenario, const std::vector<MarketSummary>& s);

}  // namespace oxbowmill::simulation
