// The oxbowmill-sim program: runs experiments on a simulated clock or over loopback. No part of it is linked
// into a controller.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <thread>

#include "oxbowmill/error.h"
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
  if (!out) throw Error(report + ": cannot be written");
  return 0;
}

int run_markets(const std::string& file, unsigned seeds, unsigned threads, const std::string& report,
                unsigned long long single_seed, const std::string& policy) {
  simulation::MarketScenario scenario = simulation::load_scenario(file);
  if (single_seed != 0) {
    const auto* p = std::find_if(std::begin(simulation::policies), std::end(simulation::policies),
                                 [&](simulation::Policy x) { return policy == simulation::name_of(x); });
    if (p == std::end(simulation::policies)) throw Error("--policy: none is named " + policy);
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
    if (w == std::end(simulation::simulation_variants)) throw Error("--way: none is named " + variant);
    std::cout << simulation::csv(
        scenario.name, {{*w, single_seed, simulation::ClusterSimulation(scenario, *w, single_seed).run()}});
    return 0;
  }
  auto rows = simulation::play(scenario, seeds, threads);
  auto summary = simulation::summarise(scenario, rows);
  write_results(scenario.name + " on " + scenario.cluster, rows, summary, report);
  // A violated invariant fails the run, whatever its figures are.
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
  simulation::DecisionScenario scenario = simulation::load_decision_scenario(file);
  auto rows = simulation::play_decisions(scenario, seeds, threads);
  std::cout << simulation::table(scenario, rows);
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
    if (!out) throw Error(report_file + ": cannot be written");
  }
  return report.violations.empty() ? 0 : 1;
}

int serve_market(const std::string& file, const std::string& name, const std::string& listen) {
  simulation::MarketScenario scenario = simulation::load_scenario(file);
  auto market = std::find_if(scenario.markets.begin(), scenario.markets.end(),
                             [&](const simulation::MarketBehavior& x) { return x.name == name; });
  if (market == scenario.markets.end()) throw Error(file + ": markets: none is named " + name);
  auto base = net::make_event_base();
  auto start = std::chrono::steady_clock::now();
  simulation::MarketServer server(
      base.get(), net::parse_bind_address(listen), simulation::SimulatedMarket(*market, 1, {}, {}),
      [start] { return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count(); });
  std::cout << "market " << name << " listens on " << net::to_string(server.address()) << std::endl;
  event_base_dispatch(base.get());
  return 0;
}

/// Values of the options of all commands; each command uses those that it adds.
struct Options {
  std::string file, report;
  unsigned seeds = 200, threads = std::max(1U, std::thread::hardware_concurrency());
  unsigned long long single_seed = 0, first_seed = 1;
  std::string policy = "planner";              // for the markets command
  std::string variant = "now", fleet;          // for the cluster command
  simulation::ScaleOptions scale;              // for the scale command
  std::string market, listen = "127.0.0.1:0";  // for the market command
};

using Command = std::function<int()>;

void add_seeds(CLI::App& command, Options& options) {
  command.add_option("--seeds", options.seeds, "how many seeds, from 1 on");
  command.add_option("--threads", options.threads, "how many at a time");
}

Command add_markets(CLI::App& command, Options& options) {
  command.add_option("scenario", options.file, "scenario file (YAML)")->required();
  add_seeds(command, options);
  command.add_option("--report", options.report, "file for the figures: .json by policy, else CSV by seed");
  command.add_option("--one", options.single_seed,
                     "play this seed alone (LOG_LEVEL=info tells what happens)");
  command.add_option("--policy", options.policy, "with --one: planner, cheapest, one, even or bound");
  return [&options] {
    return run_markets(options.file, options.seeds, options.threads, options.report, options.single_seed,
                       options.policy);
  };
}

Command add_cluster(CLI::App& command, Options& options) {
  command.add_option("scenario", options.file, "scenario file (YAML)")->required();
  command.add_option("--fleet", options.fleet, "the cluster that has its faults (YAML)")->required();
  add_seeds(command, options);
  command.add_option("--report", options.report, "file for the figures: .json by way, else CSV by second");
  command.add_option("--one", options.single_seed,
                     "play this seed alone, second by second (LOG_LEVEL=info tells what happens)");
  command.add_option("--way", options.variant, "with --one: twin, before, now or bound");
  return [&options] {
    return run_cluster(options.file, options.fleet, options.seeds, options.threads, options.report,
                       options.single_seed, options.variant);
  };
}

Command add_decisions(CLI::App& command, Options& options) {
  command.add_option("scenario", options.file, "scenario file (YAML)")->required();
  add_seeds(command, options);
  return [&options] { return run_decisions(options.file, options.seeds, options.threads); };
}

Command add_histories(CLI::App& command, Options& options) {
  command.add_option("--from", options.first_seed, "the first seed");
  command.add_option("--seeds", options.seeds, "how many seeds");
  command.add_option("--threads", options.threads, "how many at a time");
  return [&options] { return run_histories(options.first_seed, options.seeds, options.threads); };
}

Command add_scale(CLI::App& command, Options& options) {
  command.add_option("settings", options.file, "what is played (YAML)")->required();
  command.add_option("--program", options.scale.program, "the controller; the one beside this program");
  command.add_option("--operator", options.scale.operators, "its operators' settings; several may be given");
  command.add_option("--logs", options.scale.directory, "where settings and logs go; a new directory");
  command.add_option("--report", options.report, "file for the figures (JSON)");
  return [&options] { return run_scale(options.file, options.scale, options.report); };
}

Command add_market(CLI::App& command, Options& options) {
  command.add_option("scenario", options.file, "scenario file (YAML)")->required();
  command.add_option("name", options.market, "which of its markets")->required();
  command.add_option("--listen", options.listen, "IPv4:port; port 0: the system's choice");
  return [&options] { return serve_market(options.file, options.market, options.listen); };
}

void set_up_logging() {
  spdlog::set_default_logger(spdlog::stderr_logger_mt("oxbowmill-sim"));
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level == nullptr ? spdlog::level::off : spdlog::level::from_str(level));
  spdlog::set_pattern("%l %v");
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int usage_error = 2;
  set_up_logging();
  Options options;
  options.scale.program = (std::filesystem::path(argv[0]).parent_path() / "oxbowmill").string();
  CLI::App app{"oxbowmill-sim: experiments with oxbowmill on a simulated clock"};
  app.require_subcommand(1);
  std::map<CLI::App*, Command> commands;
  auto add = [&](const char* name, const char* description, Command (*add_options)(CLI::App&, Options&)) {
    CLI::App* command = app.add_subcommand(name, description);
    commands[command] = add_options(*command, options);
  };
  add("markets", "bidding on simulated markets, beside its baselines", add_markets);
  add("cluster", "a whole cluster through a start, beside its undisturbed twin", add_cluster);
  add("agreed", "releases or a model with its calls, beside simpler variants", add_decisions);
  add("histories", "random faults in a small cluster; one that breaks an invariant is reduced",
      add_histories);
  add("scale", "real controllers beside thousands of simulated agents, on loopback", add_scale);
  add("market", "one simulated market of a scenario on a socket, until it is ended", add_market);
  try {
    app.parse(argc, argv);
    return commands.at(app.get_subcommands().front())();
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : usage_error;
  } catch (const std::exception& e) {
    std::cerr << "oxbowmill-sim: " << e.what() << '\n';
    return usage_error;
  }
}
