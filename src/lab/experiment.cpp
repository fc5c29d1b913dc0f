#include "oxbowmill/lab/experiment.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

#include "oxbowmill/lab/crew.h"

namespace oxbowmill::lab {

std::vector<Row> play(const Scenario& s, unsigned seeds, unsigned threads) {
  std::vector<Row> rows;
  for (Policy p : policies) {
    for (unsigned seed = 1; seed <= seeds; ++seed) rows.push_back({p, seed, {}});
  }
  in_parallel(rows.size(), threads,
              [&](std::size_t i) { rows[i].result = MarketWorld(s, rows[i].policy, rows[i].seed).run(); });
  return rows;
}

std::vector<Summary> summarise(const std::vector<Row>& rows) {
  std::vector<Summary> out;
  for (Policy p : policies) {
    Summary s;
    s.policy = p;
    std::vector<double> shares, costs, per_job;
    double jobs = 0, in_time = 0, guaranteed = 0, guaranteed_in_time = 0;
    for (const Row& r : rows) {
      if (r.policy != p) continue;
      jobs += r.result.jobs;
      in_time += r.result.in_time;
      guaranteed += r.result.guaranteed;
      guaranteed_in_time += r.result.guaranteed_in_time;
      shares.push_back(static_cast<double>(r.result.in_time) / std::max(1U, r.result.jobs));
      costs.push_back(r.result.cost);
      per_job.push_back(r.result.cost / std::max(1U, r.result.in_time));
      s.bought += r.result.bought;
      s.unused += r.result.unused;
      s.breaches += r.result.breaches;
      s.shut += r.result.shut;
    }
    if (shares.empty()) continue;
    auto n = static_cast<double>(shares.size());
    s.deadlines = in_time / std::max(1.0, jobs);
    s.guaranteed = guaranteed_in_time / std::max(1.0, guaranteed);
    double var = 0;
    for (double x : shares) var += (x - s.deadlines) * (x - s.deadlines);
    s.deadlines_error = std::sqrt(var / n / n);
    s.cost = median(costs);
    s.cost_per_job = median(per_job);
    s.bought /= n;
    s.unused /= n;
    out.push_back(s);
  }
  return out;
}

std::string table(const std::string& scenario, const std::vector<Summary>& rows) {
  std::string out =
      fmt::format("{}\n{:<10}{:>11}{:>8}{:>12}{:>8}{:>10}{:>8}{:>8}{:>9}{:>6}\n", scenario, "policy",
                  "deadlines", "+-", "guaranteed", "cost", "per job", "bought", "unused", "breaches", "shut");
  for (const Summary& s : rows) {
    out += fmt::format("{:<10}{:>11.3f}{:>8.3f}{:>12.3f}{:>8.2f}{:>10.3f}{:>8.1f}{:>8.1f}{:>9}{:>6}\n",
                       name_of(s.policy), s.deadlines, s.deadlines_error, s.guaranteed, s.cost,
                       s.cost_per_job, s.bought, s.unused, s.breaches, s.shut);
  }
  return out;
}

std::string csv(const std::string& scenario, const std::vector<Row>& rows) {
  std::string out =
      "scenario,policy,seed,jobs,in_time,guaranteed,guaranteed_in_time,cost,bought,unused,breaches,shut\n";
  for (const Row& r : rows) {
    const Result& x = r.result;
    out += fmt::format("{},{},{},{},{},{},{},{:.4f},{},{},{},{}\n", scenario, name_of(r.policy), r.seed,
                       x.jobs, x.in_time, x.guaranteed, x.guaranteed_in_time, x.cost, x.bought, x.unused,
                       x.breaches, x.shut);
  }
  return out;
}

wire::Json json(const std::string& scenario, const std::vector<Summary>& rows) {
  wire::Json list = wire::Json::array();
  for (const Summary& s : rows) {
    list.push_back({{"policy", name_of(s.policy)},
                    {"deadlines", s.deadlines},
                    {"deadlines_error", s.deadlines_error},
                    {"guaranteed", s.guaranteed},
                    {"cost", s.cost},
                    {"cost_per_job", s.cost_per_job},
                    {"bought", s.bought},
                    {"unused", s.unused},
                    {"breaches", s.breaches},
                    {"shut", s.shut}});
  }
  return {{"scenario", scenario}, {"policies", list}};
}

}  // namespace oxbowmill::lab
