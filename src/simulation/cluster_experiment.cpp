#include "oxbowmill/simulation/cluster_experiment.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "oxbowmill/simulation/parallel.h"

namespace oxbowmill::simulation {

namespace {

double five_second_mean(const std::vector<SecondSample>& s, std::size_t index) {
  double sum = 0;
  std::size_t from = index < 4 ? 0 : index - 4;
  for (std::size_t i = from; i <= index; ++i) sum += s[i].gpus_in_use;
  return sum / static_cast<double>(index - from + 1);
}

}  // namespace

double recovery_time_s(const ClusterResult& result, const ClusterResult& twin, double fault_s) {
  constexpr double recovered_fraction = 0.95, required_duration_s = 10;
  std::size_t n = std::min(result.samples.size(), twin.samples.size());
  double stable_s = 0;
  for (auto i = static_cast<std::size_t>(fault_s) + 2; i < n; ++i) {
    stable_s = five_second_mean(result.samples, i) >= recovered_fraction * five_second_mean(twin.samples, i)
                   ? stable_s + 1
                   : 0;
    if (stable_s >= required_duration_s) return static_cast<double>(i + 1) - required_duration_s - fault_s;
  }
  return static_cast<double>(n) - fault_s;  // the level was not reached within the run
}

std::vector<ClusterRow> run_variants(const ClusterScenario& scenario, unsigned seeds, unsigned threads) {
  std::vector<ClusterRow> rows;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    for (SimulationVariant variant : simulation_variants) rows.push_back({variant, seed, {}});
  }
  run_in_parallel(rows.size(), threads, [&](std::size_t i) {
    rows[i].result = ClusterSimulation(scenario, rows[i].variant, rows[i].seed).run();
  });
  return rows;
}

std::vector<ClusterSummary> summarise(const ClusterScenario& scenario, const std::vector<ClusterRow>& rows) {
  double first_fault_at = scenario.duration_s;
  for (const Fault& f : scenario.faults) first_fault_at = std::min(first_fault_at, f.at_s);
  std::vector<ClusterSummary> out;
  for (SimulationVariant variant : simulation_variants) {
    ClusterSummary summary;
    summary.variant = variant;
    std::vector<double> recovery, reconciled, wasted, lost, peak_returns, rentals, suspected, returned,
        deleted_alive, peak_changes;
    summary.lowest_served_fraction = 1;
    for (std::size_t i = 0; i < rows.size(); ++i) {
      if (rows[i].variant != variant) continue;
      const ClusterResult& result = rows[i].result;
      const ClusterResult& twin = rows[i - static_cast<std::size_t>(variant)].result;
      recovery.push_back(recovery_time_s(result, twin, first_fault_at));
      if (result.reconciled_s >= 0) reconciled.push_back(result.reconciled_s);
      wasted.push_back(result.wasted_scale_outs);
      lost.push_back(result.lost_run_time_s);
      suspected.push_back(result.suspected);
      returned.push_back(result.returned);
      deleted_alive.push_back(result.marked_for_deletion_alive);
      double most_returns = 0, rental_count = 0, most_changes = 0;
      for (auto t = static_cast<std::size_t>(first_fault_at); t < result.samples.size(); ++t) {
        most_returns = std::max<double>(most_returns, result.samples[t].returns);
        rental_count += result.samples[t].rentals;
        most_changes = std::max<double>(most_changes, result.samples[t].changes);
      }
      peak_returns.push_back(most_returns);
      rentals.push_back(rental_count);
      peak_changes.push_back(most_changes);
      for (std::size_t k = 0; k < 2; ++k) {
        if (twin.completed_tasks_by_class[k] > 0)
          summary.lowest_served_fraction =
              std::min(summary.lowest_served_fraction,
                       double(result.completed_tasks_by_class[k]) / twin.completed_tasks_by_class[k]);
        if (twin.completed_tasks_by_team[k] > 0)
          summary.lowest_served_fraction =
              std::min(summary.lowest_served_fraction,
                       double(result.completed_tasks_by_team[k]) / twin.completed_tasks_by_team[k]);
      }
      summary.violations += static_cast<int>(result.violations.size());
      if (!result.violations.empty() && summary.first_violation.empty())
        summary.first_violation = fmt::format("seed {}: {}", rows[i].seed, result.violations.front());
    }
    summary.recovery_s = median(recovery);
    summary.reconciled_s = median(reconciled);
    summary.wasted_scale_outs = median(wasted);
    summary.lost_run_time_s = median(lost);
    summary.peak_returns = median(peak_returns);
    summary.rentals = median(rentals);
    summary.suspected = median(suspected);
    summary.returned = median(returned);
    summary.deleted_alive = median(deleted_alive);
    summary.peak_changes = median(peak_changes);
    out.push_back(summary);
  }
  return out;
}

namespace {
/// The columns of the table and of the JSON output.
std::vector<std::pair<const char*, double>> columns(const ClusterSummary& summary) {
  return {{"level_s", summary.recovery_s},
          {"squared_s", summary.reconciled_s},
          {"undone", summary.wasted_scale_outs},
          {"rentals", summary.rentals},
          {"peak_returns", summary.peak_returns},
          {"peak_changes", summary.peak_changes},
          {"lost_gpu_s", summary.lost_run_time_s},
          {"suspected", summary.suspected},
          {"back", summary.returned},
          {"del_alive", summary.deleted_alive},
          {"least_served", summary.lowest_served_fraction},
          {"broken", summary.violations}};
}
}  // namespace

std::string table(const std::string& scenario, const std::vector<ClusterSummary>& summaries) {
  std::string out = fmt::format("{}\n{:<8}", scenario, "way");
  for (const auto& [name, v] : columns(summaries.front())) out += fmt::format("{:>13}", name);
  for (const ClusterSummary& x : summaries) {
    out += fmt::format("\n{:<8}", name_of(x.variant));
    for (const auto& [name, v] : columns(x)) out += fmt::format("{:>13.2f}", v);
  }
  out += '\n';
  for (const ClusterSummary& x : summaries) {
    if (!x.first_violation.empty()) out += fmt::format("{}: {}\n", name_of(x.variant), x.first_violation);
  }
  return out;
}

std::string csv(const std::string& scenario, const std::vector<ClusterRow>& rows) {
  std::string out = "scenario,way,seed,second,gpus,returns,rentals,starts,kills,changes\n";
  for (const ClusterRow& r : rows) {
    for (std::size_t t = 0; t < r.result.samples.size(); ++t) {
      const SecondSample& s = r.result.samples[t];
      out += fmt::format("{},{},{},{},{:.1f},{},{},{},{},{}\n", scenario, name_of(r.variant), r.seed, t,
                         s.gpus_in_use, s.returns, s.rentals, s.starts, s.kills, s.changes);
    }
  }
  return out;
}

wire::Json json(const std::string& scenario, const std::vector<ClusterSummary>& summaries) {
  wire::Json list = wire::Json::array();
  for (const ClusterSummary& x : summaries) {
    wire::Json one = {{"way", name_of(x.variant)}};
    for (const auto& [name, v] : columns(x)) one[name] = v;
    list.push_back(std::move(one));
  }
  return {{"scenario", scenario}, {"ways", list}};
}

}  // namespace oxbowmill::simulation
