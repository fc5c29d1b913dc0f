#include "oxbowmill/lab/fleet_experiment.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "oxbowmill/lab/crew.h"

namespace oxbowmill::lab {

namespace {

double over_five(const std::vector<Second>& s, std::size_t at) {
  double sum = 0;
  std::size_t from = at < 4 ? 0 : at - 4;
  for (std::size_t i = from; i <= at; ++i) sum += s[i].gpus;
  return sum / static_cast<double>(at - from + 1);
}

}  // namespace

double time_to_level(const FleetResult& r, const FleetResult& twin, double fault_s) {
  constexpr double level = 0.95, stays_s = 10;
  std::size_t n = std::min(r.seconds.size(), twin.seconds.size());
  double held = 0;
  for (auto i = static_cast<std::size_t>(fault_s) + 2; i < n; ++i) {
    held = over_five(r.seconds, i) >= level * over_five(twin.seconds, i) ? held + 1 : 0;
    if (held >= stays_s) return static_cast<double>(i + 1) - stays_s - fault_s;
  }
  return static_cast<double>(n) - fault_s;  // not within the run
}

std::vector<FleetRow> play(const FleetScenario& s, unsigned seeds, unsigned threads) {
  std::vector<FleetRow> rows;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    for (Way w : ways) rows.push_back({w, seed, {}});
  }
  in_parallel(rows.size(), threads,
              [&](std::size_t i) { rows[i].result = FleetWorld(s, rows[i].way, rows[i].seed).run(); });
  return rows;
}

std::vector<FleetSummary> summarise(const FleetScenario& s, const std::vector<FleetRow>& rows) {
  double fault = s.length_s;
  for (const Fault& f : s.faults) fault = std::min(fault, f.at_s);
  std::vector<FleetSummary> out;
  for (Way w : ways) {
    FleetSummary x;
    x.way = w;
    std::vector<double> level, squared, undone, lost, peak, rentals, suspected, returned, alive, changes;
    x.least_served = 1;
    for (std::size_t i = 0; i < rows.size(); ++i) {
      if (rows[i].way != w) continue;
      const FleetResult& r = rows[i].result;
      const FleetResult& twin = rows[i - static_cast<std::size_t>(w)].result;
      level.push_back(time_to_level(r, twin, fault));
      if (r.squared_s >= 0) squared.push_back(r.squared_s);
      undone.push_back(r.undone);
      lost.push_back(r.lost_s);
      suspected.push_back(r.suspected);
      returned.push_back(r.returned);
      alive.push_back(r.condemned_alive);
      double most = 0, rent = 0, change = 0;
      for (auto t = static_cast<std::size_t>(fault); t < r.seconds.size(); ++t) {
        most = std::max<double>(most, r.seconds[t].returns);
        rent += r.seconds[t].rentals;
        change = std::max<double>(change, r.seconds[t].changes);
      }
      peak.push_back(most);
      rentals.push_back(rent);
      changes.push_back(change);
      for (std::size_t k = 0; k < 2; ++k) {
        if (twin.done[k] > 0) x.least_served = std::min(x.least_served, double(r.done[k]) / twin.done[k]);
        if (twin.of_team[k] > 0)
          x.least_served = std::min(x.least_served, double(r.of_team[k]) / twin.of_team[k]);
      }
      x.broken += static_cast<int>(r.broken.size());
      if (!r.broken.empty() && x.first_broken.empty())
        x.first_broken = fmt::format("seed {}: {}", rows[i].seed, r.broken.front());
    }
    x.level_s = median(level);
    x.squared_s = median(squared);
    x.undone = median(undone);
    x.lost_s = median(lost);
    x.peak_returns = median(peak);
    x.rentals = median(rentals);
    x.suspected = median(suspected);
    x.returned = median(returned);
    x.deleted_alive = median(alive);
    x.peak_changes = median(changes);
    out.push_back(x);
  }
  return out;
}

namespace {
/// One list of columns for all forms.
std::vector<std::pair<const char*, double>> columns(const FleetSummary& x) {
  return {{"level_s", x.level_s},         {"squared_s", x.squared_s},       {"undone", x.undone},
          {"rentals", x.rentals},         {"peak_returns", x.peak_returns}, {"peak_changes", x.peak_changes},
          {"lost_gpu_s", x.lost_s},       {"suspected", x.suspected},       {"back", x.returned},
          {"del_alive", x.deleted_alive}, {"least_served", x.least_served}, {"broken", x.broken}};
}
}  // namespace

std::string table(const std::string& scenario, const std::vector<FleetSummary>& rows) {
  std::string out = fmt::format("{}\n{:<8}", scenario, "way");
  for (const auto& [name, v] : columns(rows.front())) out += fmt::format("{:>13}", name);
  for (const FleetSummary& x : rows) {
    out += fmt::format("\n{:<8}", name_of(x.way));
    for (const auto& [name, v] : columns(x)) out += fmt::format("{:>13.2f}", v);
  }
  out += '\n';
  for (const FleetSummary& x : rows) {
    if (!x.first_broken.empty()) out += fmt::format("{}: {}\n", name_of(x.way), x.first_broken);
  }
  return out;
}

std::string csv(const std::string& scenario, const std::vector<FleetRow>& rows) {
  std::string out = "scenario,way,seed,second,gpus,returns,rentals,starts,kills,changes\n";
  for (const FleetRow& r : rows) {
    for (std::size_t t = 0; t < r.result.seconds.size(); ++t) {
      const Second& s = r.result.seconds[t];
      out += fmt::format("{},{},{},{},{:.1f},{},{},{},{},{}\n", scenario, name_of(r.way), r.seed, t, s.gpus,
                         s.returns, s.rentals, s.starts, s.kills, s.changes);
    }
  }
  return out;
}

wire::Json json(const std::string& scenario, const std::vector<FleetSummary>& rows) {
  wire::Json list = wire::Json::array();
  for (const FleetSummary& x : rows) {
    wire::Json one = {{"way", name_of(x.way)}};
    for (const auto& [name, v] : columns(x)) one[name] = v;
    list.push_back(std::move(one));
  }
  return {{"scenario", scenario}, {"ways", list}};
}

}  // namespace oxbowmill::lab
