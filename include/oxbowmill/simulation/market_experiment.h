// Simulates a market scenario under each policy with the same seeds and summarises the results. Stateless.
#pragma once

#include "oxbowmill/simulation/market_simulation.h"

namespace oxbowmill::simulation {

/// Result of one run.
struct MarketRow {
  Policy policy = Policy::planner;  ///< policy that allocated demand to offers
  std::uint64_t seed = 0;           ///< seed of all random draws
  MarketResult result;              ///< results of the run
};

/// Simulates seeds 1 to `seeds` under each policy on `threads` threads. Rows are ordered by policy, then by
/// seed.
std::vector<MarketRow> play(const MarketScenario& scenario, unsigned seeds, unsigned threads);

/// Results of one policy over all seeds.
struct MarketSummary {
  Policy policy = Policy::planner;  ///< policy of the summarised runs
  double deadlines_met = 0,         ///< fraction of all jobs that met their deadlines
      deadlines_met_error = 0;      ///< standard error of `deadlines_met` over seeds
  double guaranteed_met = 0;        ///< fraction of the guaranteed jobs that met their deadlines
  double cost = 0;                  ///< cost of a run, median over seeds
  double cost_per_job = 0;          ///< cost per job that met its deadline, median over seeds
  double bought_machines = 0,       ///< machines delivered by markets, mean over seeds
      unused_machines = 0;          ///< those of them that were never used, mean over seeds
  int breaches = 0,                 ///< sum of MarketResult::breaches over seeds
      suspended_markets = 0;        ///< markets suspended at the end of a run, sum over seeds
};
/// Summarises the rows by policy, in the order of `policies`; policies without rows are left out.
std::vector<MarketSummary> summarise(const std::vector<MarketRow>& rows);
/// Formats the summaries as a table for people.
std::string table(const std::string& scenario, const std::vector<MarketSummary>& s);
/// Formats the rows as CSV, one line per run.
std::string csv(const std::string& scenario, const std::vector<MarketRow>& rows);
/// Formats the summaries as JSON with the columns of the table.
wire::Json json(const std::string& scenario, const std::vector<MarketSummary>& s);

}  // namespace oxbowmill::simulation
