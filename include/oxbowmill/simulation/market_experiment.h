// Plays a market scenario with many seeds, each policy with the same ones, and summarises the results. No
// state.
#pragma once

#include "oxbowmill/simulation/market_simulation.h"

namespace oxbowmill::simulation {

/// One run.
struct MarketRow {
  Policy policy = Policy::planner;  ///< that allocated the demand
  std::uint64_t seed = 0;           ///< of all its random draws
  MarketResult result;              ///< what it came to
};

/// Plays seeds 1 to `seeds` under each policy, on several threads; rows by policy, then by seed.
std::vector<MarketRow> play(const MarketScenario& scenario, unsigned seeds, unsigned threads);

/// One policy over all seeds.
struct MarketSummary {
  Policy policy = Policy::planner;  ///< the policy that is summarised
  double deadlines_met = 0,         ///< fraction of all jobs
      deadlines_met_error = 0;      ///< its standard error over seeds
  double guaranteed_met = 0;        ///< fraction of the guaranteed jobs
  double cost = 0;                  ///< median over seeds
  double cost_per_job = 0;          ///< median of the cost over the number of jobs in time
  double bought_machines = 0,       ///< of markets, mean over seeds
      unused_machines = 0;          ///< of these never used, mean over seeds
  int breaches = 0,                 ///< see MarketResult, sum over seeds
      suspended = 0;                ///< markets suspended at the end, sum over seeds
};
/// One summary for each policy that has rows, in the order of `policies`.
std::vector<MarketSummary> summarise(const std::vector<MarketRow>& rows);
/// For reading.
std::string table(const std::string& scenario, const std::vector<MarketSummary>& s);
/// One line for each run.
std::string csv(const std::string& scenario, const std::vector<MarketRow>& rows);
/// The same columns as the table.
wire::Json json(const std::string& scenario, const std::vector<MarketSummary>& s);

}  // namespace oxbowmill::simulation
