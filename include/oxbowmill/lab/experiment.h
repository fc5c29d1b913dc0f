// Many seeds of a scenario, each policy on the same ones, and what came of it.
#pragma once

#include "oxbowmill/lab/market_world.h"

namespace oxbowmill::lab {

struct Row {
  Policy policy = Policy::planner;
  std::uint64_t seed = 0;
  Result result;
};

/// Plays seeds 1 to `seeds` under each policy, on several threads; rows in order of policy and seed.
std::vector<Row> play(const Scenario& s, unsigned seeds, unsigned threads);

struct Summary {
  Policy policy = Policy::planner;
  double deadlines = 0, deadlines_error = 0;  // share held over all jobs, and its standard error over seeds
  double guaranteed = 0;
  double cost = 0;                // median
  double cost_per_job = 0;        // median of cost over jobs in time
  double bought = 0, unused = 0;  // means
  int breaches = 0, shut = 0;
};
std::vector<Summary> summarise(const std::vector<Row>& rows);
std::string table(const std::string& scenario, const std::vector<Summary>& s);
std::string csv(const std::string& scenario, const std::vector<Row>& rows);
wire::Json json(const std::string& scenario, const std::vector<Summary>& s);

}  // namespace oxbowmill::lab
