// The laboratory: experiments on a simulated clock. Nothing of it is part of a controller.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "oxbowmill/simulation/cluster_experiment.h"
#include "oxbowmill/simulation/decision_simulation.h"
#include "oxbowmill/simulation/market_experiment.h"
#include "oxbowmill/simulation/market_server.h"
#include "oxbowmill/simulation/parallel.h"
#include "oxbowmill/simulation/random_histories.h"
#include "oxbowmill/simulation/scale_run.h"

namespace {

using namespace oxbowmill;

bool ends_with(const std::string& text, const std::string& end) {
  return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

template <class Rows, class Summary>
int write_results(const std::string& name, const Rows& rows, const Summary& summary,
                  const std::string& report) {
  std::cout << simulation::table(name, summary);
  if (report.empty()) return 0;
  std::ofstream out(report);
  if (ends_with(report, ".json")) {
    out << simulation::json(name, summary).dump(2) << '\n';
  } else {
    out << simulation::csv(name, rows);
  }
  if (!out) throw std::runtime_error(report + ": cannot be written");
  return 0;
}

int run_markets(const std::string& file, unsigned seeds, unsigned threads, const std::string& report,
                unsigned long long single_seed, const std::string& policy) {
  simulation::MarketScenario scenario = simulation::load_scenario(file);
  if (single_seed != 0) {
    const auto* p = std::find_if(std::begin(simulation::policies), std::end(simulation::policies),
                                 [&](simulation::Policy x) { return policy == simulation::name_of(x); });
    if (p == std::end(simulation::policies)) throw std::runtime_error("--policy: none is named " + policy);
    std::cout << simulation::table(
        scenario.name,
        simulation::summarise(
            {{*p, single_seed, simulation::MarketSimulation(scenario, *p, single_seed).run()}}));
    return 0;
  }
  auto rows = simulation::play(scenario, seeds, threads);
  return write_results(scenario.name, rows, simulation::summarise(rows), report);
}

int run_cluster(const std::string& file, const std::string& fleet, unsigned seeds, unsigned threads,
                const std::string& report, unsigned long long single_seed, const std::string& variant) {
  simulation::ClusterScenario scenario = simulation::load_cluster_scenario(file, fleet);
  if (single_seed != 0) {
    const auto* w =
        std::find_if(std::begin(simulation::simulation_variants), std::end(simulation::simulation_variants),
                     [&](simulation::SimulationVariant x) { return variant == simulation::name_of(x); });
    if (w == std::end(simulation::simulation_variants))
      throw std::runtime_error("--way: none is named " + variant);
    std::cout << simulation::csv(
        scenario.name, {{*w, single_seed, simulation::ClusterSimulation(scenario, *w, single_seed).run()}});
    return 0;
  }
  auto rows = simulation::play(scenario, seeds, threads);
  auto summary = simulation::summarise(scenario, rows);
  write_results(scenario.name + " on " + scenario.cluster, rows, summary, report);
  // A broken rule is a failure whatever the figures say.
  return std::any_of(summary.begin(), summary.end(), [](const auto& x) { return x.violations != 0; }) ? 1 : 0;
}

int run_histories(unsigned long long from, unsigned seeds, unsigned threads) {
  std::vector<simulation::ClusterResult> results(seeds);
  simulation::run_in_parallel(seeds, threads, [&](std::size_t i) {
    results[i] = simulation::ClusterSimulation(simulation::random_history(from + i),
                                               simulation::SimulationVariant::with_reconciliation, from + i)
                     .run();
  });
  unsigned broken = 0;
  for (unsigned i = 0; i < seeds; ++i) {
    if (results[i].violations.empty()) continue;
    ++broken;
    std::cout << "seed " << from + i << ": " << results[i].violations.front() << " and "
              << results[i].violations.size() - 1 << " more; needs\n"
              << simulation::to_script(simulation::shrunk(simulation::random_history(from + i), from + i));
  }
  std::cout << seeds << " histories from seed " << from << ", " << broken << " with a rule broken\n";
  return broken != 0 ? 1 : 0;
}

int run_decisions(const std::string& file, unsigned seeds, unsigned threads) {
  simulation::DecisionScenario s = simulation::load_decision_scenario(file);
  auto rows = simulation::play_decisions(s, seeds, threads);
  std::cout << simulation::table(s, rows);
  return std::any_of(rows.begin(), rows.end(), [](const auto& r) { return r.violations != 0; }) ? 1 : 0;
}

int run_scale(const std::string& file, simulation::ScaleOptions options, const std::string& report_file) {
  simulation::ScaleSettings settings = simulation::load_scale_settings(file);
  if (options.directory.empty())
    options.directory =
        (std::filesystem::temp_directory_path() / ("scale-" + std::to_string(::getpid()))).string();
  simulation::ScaleReport report = simulation::play_scale(settings, options);
  std::cout << simulation::table(report) << "  settings and logs in " << options.directory << '\n';
  if (!report_file.empty()) {
    std::ofstream out(report_file);
    out << report.figures.dump(2) << '\n';
    if (!out) throw std::runtime_error(report_file + ": cannot be written");
  }
  return report.violations.empty() ? 0 : 1;
}

int serve_market(const std::string& file, const std::string& name, const std::string& listen) {
  simulation::MarketScenario s = simulation::load_scenario(file);
  auto market = std::find_if(s.markets.begin(), s.markets.end(),
                             [&](const simulation::MarketBehavior& x) { return x.name == name; });
  if (market == s.markets.end()) throw std::runtime_error(file + ": markets: none is named " + name);
  auto base = net::make_event_base();
  auto start = std::chrono::steady_clock::now();
  simulation::MarketServer server(
      base.get(), net::parse_bind_address(listen), simulation::SimulatedMarket(*market, 1, {}, {}),
      [start] { return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count(); });
  std::cout << "market " << name << " listens on " << net::to_string(server.address()) << std::endl;
  event_base_dispatch(base.get());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  spdlog::set_default_logger(spdlog::stderr_logger_mt("oxbowmill-sim"));
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level == nullptr ? spdlog::level::off : spdlog::level::from_str(level));
  spdlog::set_pattern("%l %v");
  CLI::App app{"oxbowmill-sim: experiments with oxbowmill on a simulated clock"};
  app.require_subcommand(1);
  std::string file, report, policy = "planner";
  unsigned seeds = 200, threads = std::max(1U, std::thread::hardware_concurrency());
  unsigned long long single_seed = 0, from = 1;
  auto* markets_command = app.add_subcommand("markets", "bidding on stand-in markets, beside its baselines");
  markets_command->add_option("scenario", file, "scenario file (YAML)")->required();
  markets_command->add_option("--seeds", seeds, "how many seeds, from 1 on");
  markets_command->add_option("--threads", threads, "how many at a time");
  markets_command->add_option("--report", report, "file for the figures: .json by policy, else CSV by seed");
  markets_command->add_option("--one", single_seed,
                              "play this seed alone (LOG_LEVEL=info tells what happens)");
  markets_command->add_option("--policy", policy, "with --one: planner, cheapest, one, even or bound");
  std::string variant = "now", fleet;
  auto* cluster_command =
      app.add_subcommand("cluster", "a whole cluster through a start, beside its undisturbed twin");
  cluster_command->add_option("scenario", file, "scenario file (YAML)")->required();
  cluster_command->add_option("--fleet", fleet, "the cluster that has its faults (YAML)")->required();
  cluster_command->add_option("--seeds", seeds, "how many seeds, from 1 on");
  cluster_command->add_option("--threads", threads, "how many at a time");
  cluster_command->add_option("--report", report, "file for the figures: .json by way, else CSV by second");
  cluster_command->add_option("--one", single_seed,
                              "play this seed alone, second by second (LOG_LEVEL=info tells what happens)");
  cluster_command->add_option("--way", variant, "with --one: twin, before, now or bound");
  auto* decisions_command =
      app.add_subcommand("agreed", "releases or a model with its calls, beside simpler ways");
  decisions_command->add_option("scenario", file, "scenario file (YAML)")->required();
  decisions_command->add_option("--seeds", seeds, "how many seeds, from 1 on");
  decisions_command->add_option("--threads", threads, "how many at a time");
  auto* histories_command =
      app.add_subcommand("histories", "random troubles for a small cluster; what breaks a rule is shrunk");
  histories_command->add_option("--from", from, "the first seed");
  histories_command->add_option("--seeds", seeds, "how many seeds");
  histories_command->add_option("--threads", threads, "how many at a time");
  simulation::ScaleOptions scale_options;
  scale_options.program = (std::filesystem::path(argv[0]).parent_path() / "oxbowmill").string();
  auto* cell =
      app.add_subcommand("scale", "real controllers beside thousands of hollow workers, on loopback");
  cell->add_option("settings", file, "what is played (YAML)")->required();
  cell->add_option("--program", scale_options.program, "the controller; the one beside this program");
  cell->add_option("--operator", scale_options.operators, "its operators' settings; several may be given");
  cell->add_option("--logs", scale_options.directory, "where settings and logs go; a new directory");
  cell->add_option("--report", report, "file for the figures (JSON)");
  std::string name, listen = "127.0.0.1:0";
  auto* one_market =
      app.add_subcommand("market", "one stand-in market of a scenario on a socket, until it is ended");
  one_market->add_option("scenario", file, "scenario file (YAML)")->required();
  one_market->add_option("name", name, "which of its markets")->required();
  one_market->add_option("--listen", listen, "IPv4:port; port 0: the system's choice");
  try {
    app.parse(argc, argv);
    if (one_market->parsed()) return serve_market(file, name, listen);
    if (cell->parsed()) return run_scale(file, scale_options, report);
    if (histories_command->parsed()) return run_histories(from, seeds, threads);
    if (decisions_command->parsed()) return run_decisions(file, seeds, threads);
    if (cluster_command->parsed())
      return run_cluster(file, fleet, seeds, threads, report, single_seed, variant);
    return run_markets(file, seeds, threads, report, single_seed, policy);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  } catch (const std::exception& e) {
    std::cerr << "oxbowmill-sim: " << e.what() << '\n';
    return 2;
  }
}
