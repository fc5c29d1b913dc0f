#include "oxbowmill/simulation/market_experiment.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

#include "oxbowmill/simulation/parallel.h"

namespace oxbowmill::simulation {

std::vector<MarketRow> play(const MarketScenario& scenario, unsigned seeds, unsigned threads) {
  std::vector<MarketRow> rows;
  for (Policy p : policies) {
    for (unsigned seed = 1; seed <= seeds; ++seed) rows.push_back({p, seed, {}});
  }
  run_in_parallel(rows.size(), threads, [&](std::size_t i) {
    rows[i].result = MarketSimulation(scenario, rows[i].policy, rows[i].seed).run();
  });
  return rows;
}

std::vector<MarketSummary> summarise(const std::vector<MarketRow>& rows) {
  std::vector<MarketSummary> out;
  for (Policy policy : policies) {
    MarketSummary summary;
    summary.policy = policy;
    std::vector<double> met_fractions, costs, costs_per_job;
    double jobs = 0, in_time = 0, guaranteed = 0, guaranteed_in_time = 0;
    for (const MarketRow& row : rows) {
      if (row.policy != policy) continue;
      jobs += row.result.jobs;
      in_time += row.result.in_time;
      guaranteed += row.result.guaranteed;
      guaranteed_in_time += row.result.guaranteed_in_time;
      met_fractions.push_back(static_cast<double>(row.result.in_time) / std::max(1U, row.result.jobs));
      costs.push_back(row.result.cost);
      costs_per_job.push_back(row.result.cost / std::max(1U, row.result.in_time));
      summary.bought_machines += row.result.bought_machines;
      summary.unused_machines += row.result.unused_machines;
      summary.breaches += row.result.breaches;
      summary.suspended_markets += row.result.suspended_markets;
    }
    if (met_fractions.empty()) continue;
    auto run_count = static_cast<double>(met_fractions.size());
    summary.deadlines_met = in_time / std::max(1.0, jobs);
    summary.guaranteed_met = guaranteed_in_time / std::max(1.0, guaranteed);
    double squared_deviations = 0;
    for (double x : met_fractions)
      squared_deviations += (x - summary.deadlines_met) * (x - summary.deadlines_met);
    summary.deadlines_met_error = std::sqrt(squared_deviations / run_count / run_count);
    summary.cost = median(costs);
    summary.cost_per_job = median(costs_per_job);
    summary.bought_machines /= run_count;
    summary.unused_machines /= run_count;
    out.push_back(summary);
  }
  return out;
}

std::string table(const std::string& scenario, const std::vector<MarketSummary>& rows) {
  std::string out =
      fmt::format("{}\n{:<10}{:>11}{:>8}{:>12}{:>8}{:>10}{:>8}{:>8}{:>9}{:>6}\n", scenario, "policy",
                  "deadlines", "+-", "guaranteed", "cost", "per job", "bought", "unused", "breaches", "shut");
  for (const MarketSummary& s : rows) {
    out += fmt::format("{:<10}{:>11.3f}{:>8.3f}{:>12.3f}{:>8.2f}{:>10.3f}{:>8.1f}{:>8.1f}{:>9}{:>6}\n",
                       name_of(s.policy), s.deadlines_met, s.deadlines_met_error, s.guaranteed_met, s.cost,
                       s.cost_per_job, s.bought_machines, s.unused_machines, s.breaches, s.suspended_markets);
  }
  return out;
}

std::string csv(const std::string& scenario, const std::vector<MarketRow>& rows) {
  std::string out =
      "scenario,policy,seed,jobs,in_time,guaranteed,guaranteed_in_time,cost,bought,unused,breaches,shut\n";
  for (const MarketRow& r : rows) {
    const MarketResult& x = r.result;
    out += fmt::format("{},{},{},{},{},{},{},{:.4f},{},{},{},{}\n", scenario, name_of(r.policy), r.seed,
                       x.jobs, x.in_time, x.guaranteed, x.guaranteed_in_time, x.cost, x.bought_machines,
                       x.unused_machines, x.breaches, x.suspended_markets);
  }
  return out;
}

wire::Json json(const std::string& scenario, const std::vector<MarketSummary>& rows) {
  wire::Json list = wire::Json::array();
  for (const MarketSummary& summary : rows) {
    list.push_back({{"policy", name_of(summary.policy)},
                    {"deadlines", summary.deadlines_met},
                    {"deadlines_error", summary.deadlines_met_error},
                    {"guaranteed", summary.guaranteed_met},
                    {"cost", summary.cost},
                    {"cost_per_job", summary.cost_per_job},
                    {"bought", summary.bought_machines},
                    {"unused", summary.unused_machines},
                    {"breaches", summary.breaches},
                    {"shut", summary.suspended_markets}});
  }
  return {{"scenario", scenario}, {"policies", list}};
}

}  // namespace oxbowmill::simulation
