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
#include "oxbowmill/net/broken_pipe.h"
#include "oxbowmill/simulation/cluster_experiment.h"
#include "oxbowmill/simulation/decision_simulation.h"
#include "oxbowmill/simulation/market_experiment.h"
#include "oxbowmill/simulation/market_server.h"
#include "oxbowmill/simulation/parallel.h"
#include "oxbowmill/simulation/random_histories.h"
#include "oxbowmill/simulation/scale_run.h"

namespace {

using namespace oxbowmill;

bool ends_with(const std::string& text, const std::string& suffix) {
  return text.size() >= suffix.size() &&
         text.compare(text.size() - suffix.size(), suffix.size(), suffix) == 0;
}

template <class Rows, class Summary>
int write_results(const std::string& name, const Rows& rows, const Summary& summary,
                  const std::string& report_file) {
  std::cout << simulation::table(name, summary);
  if (report_file.empty()) return 0;
  std::ofstream out(report_file);
  if (ends_with(report_file, ".json")) {
    out << simulation::json(name, summary).dump(2) << '\n';
  } else {
    out << simulation::csv(name, rows);
  }
  if (!out) throw Error(report_file + ": cannot be written");
  return 0;
}

int run_markets(const std::string& file, unsigned seeds, unsigned threads, const std::string& report_file,
                unsigned long long single_seed, const std::string& policy_name) {
  simulation::MarketScenario scenario = simulation::load_scenario(file);
  if (single_seed != 0) {
    const auto* policy =
        std::find_if(std::begin(simulation::policies), std::end(simulation::policies),
                     [&](simulation::Policy x) { return policy_name == simulation::name_of(x); });
    if (policy == std::end(simulation::policies))
      throw Error("--policy: unknown policy '" + policy_name + "'");
    std::cout << simulation::table(
        scenario.name,
        simulation::summarise(
            {{*policy, single_seed, simulation::MarketSimulation(scenario, *policy, single_seed).run()}}));
    return 0;
  }
  auto rows = simulation::play(scenario, seeds, threads);
  return write_results(scenario.name, rows, simulation::summarise(rows), report_file);
}

int run_cluster(const std::string& file, const std::string& fleet, unsigned seeds, unsigned threads,
                const std::string& report_file, unsigned long long single_seed,
                const std::string& variant_name) {
  simulation::ClusterScenario scenario = simulation::load_cluster_scenario(file, fleet);
  if (single_seed != 0) {
    const auto* variant =
        std::find_if(std::begin(simulation::simulation_variants), std::end(simulation::simulation_variants),
                     [&](simulation::SimulationVariant x) { return variant_name == simulation::name_of(x); });
    if (variant == std::end(simulation::simulation_variants))
      throw Error("--way: unknown variant '" + variant_name + "'");
    std::cout << simulation::csv(
        scenario.name,
        {{*variant, single_seed, simulation::ClusterSimulation(scenario, *variant, single_seed).run()}});
    return 0;
  }
  auto rows = simulation::run_variants(scenario, seeds, threads);
  auto summary = simulation::summarise(scenario, rows);
  write_results(scenario.name + " on " + scenario.cluster, rows, summary, report_file);
  // A violated invariant fails the run, whatever its figures are.
  return std::any_of(summary.begin(), summary.end(), [](const auto& x) { return x.violations != 0; }) ? 1 : 0;
}

int run_histories(unsigned long long first_seed, unsigned seeds, unsigned threads) {
  std::vector<simulation::ClusterResult> results(seeds);
  simulation::run_in_parallel(seeds, threads, [&](std::size_t i) {
    results[i] =
        simulation::ClusterSimulation(simulation::random_history(first_seed + i),
                                      simulation::SimulationVariant::with_reconciliation, first_seed + i)
            .run();
  });
  unsigned failed_histories = 0;
  for (unsigned i = 0; i < seeds; ++i) {
    if (results[i].violations.empty()) continue;
    ++failed_histories;
    std::cout << "seed " << first_seed + i << ": " << results[i].violations.front() << " and "
              << results[i].violations.size() - 1 << " more; reproduced by\n"
              << simulation::faults_to_yaml(
                     simulation::minimize_faults(simulation::random_history(first_seed + i), first_seed + i));
  }
  std::cout << seeds << " histories from seed " << first_seed << ", " << failed_histories
            << " with a rule broken\n";
  return failed_histories != 0 ? 1 : 0;
}

int run_decisions(const std::string& file, unsigned seeds, unsigned threads) {
  simulation::DecisionScenario scenario = simulation::load_decision_scenario(file);
  auto rows = simulation::run_decision_variants(scenario, seeds, threads);
  std::cout << simulation::table(scenario, rows);
  return std::any_of(rows.begin(), rows.end(), [](const auto& r) { return r.violations != 0; }) ? 1 : 0;
}

int run_scale(const std::string& file, simulation::ScaleOptions options, const std::string& report_file) {
  simulation::ScaleSettings settings = simulation::load_scale_settings(file);
  if (options.directory.empty())
    options.directory =
        (std::filesystem::temp_directory_path() / ("scale-" + std::to_string(::getpid()))).string();
  simulation::ScaleReport report = simulation::run_scale_simulation(settings, options);
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
  if (market == scenario.markets.end()) throw Error(file + ": markets: no market is named '" + name + "'");
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
  std::string file, report_file;
  unsigned seeds = 200, threads = std::max(1U, std::thread::hardware_concurrency());
  unsigned long long single_seed = 0, first_seed = 1;
  std::string policy = "planner";              // for the markets command
  std::string variant = "now", fleet;          // for the cluster command
  simulation::ScaleOptions scale;              // for the scale command
  std::string market, listen = "127.0.0.1:0";  // for the market command
};

using Command = std::function<int()>;

void add_seeds(CLI::App& command, Options& options) {
  command.add_option("--seeds", options.seeds, "number of seeds, from 1 on");
  command.add_option("--threads", options.threads, "number of simulations that run in parallel");
}

Command add_markets(CLI::App& command, Options& options) {
  command.add_option("scenario", options.file, "scenario file (YAML)")->required();
  add_seeds(command, options);
  command.add_option("--report", options.report_file,
                     "file for the results: summary by policy if it ends in .json, otherwise CSV by seed");
  command.add_option("--one", options.single_seed, "run only this seed (LOG_LEVEL=info logs the events)");
  command.add_option("--policy", options.policy, "with --one: planner, cheapest, one, even or bound");
  return [&options] {
    return run_markets(options.file, options.seeds, options.threads, options.report_file, options.single_seed,
                       options.policy);
  };
}

Command add_cluster(CLI::App& command, Options& options) {
  command.add_option("scenario", options.file, "scenario file (YAML)")->required();
  command.add_option("--fleet", options.fleet, "file of the cluster that gets the faults (YAML)")->required();
  add_seeds(command, options);
  command.add_option("--report", options.report_file,
                     "file for the results: summary by variant if it ends in .json, otherwise CSV by second");
  command.add_option("--one", options.single_seed,
                     "run only this seed and print CSV by second (LOG_LEVEL=info logs the events)");
  command.add_option("--way", options.variant, "with --one: twin, before, now or bound");
  return [&options] {
    return run_cluster(options.file, options.fleet, options.seeds, options.threads, options.report_file,
                       options.single_seed, options.variant);
  };
}

Command add_decisions(CLI::App& command, Options& options) {
  command.add_option("scenario", options.file, "scenario file (YAML)")->required();
  add_seeds(command, options);
  return [&options] { return run_decisions(options.file, options.seeds, options.threads); };
}

Command add_histories(CLI::App& command, Options& options) {
  command.add_option("--from", options.first_seed, "first seed");
  command.add_option("--seeds", options.seeds, "number of seeds");
  command.add_option("--threads", options.threads, "number of simulations that run in parallel");
  return [&options] { return run_histories(options.first_seed, options.seeds, options.threads); };
}

Command add_scale(CLI::App& command, Options& options) {
  command.add_option("settings", options.file, "settings file of the run (YAML)")->required();
  command.add_option("--program", options.scale.program,
                     "controller program; default: oxbowmill in the directory of this program");
  command.add_option("--operator", options.scale.operators,
                     "operators' settings of the controllers (YAML); may be repeated");
  command.add_option("--logs", options.scale.directory,
                     "directory for settings and logs; default: a new temporary one");
  command.add_option("--report", options.report_file, "file for the results (JSON)");
  return [&options] { return run_scale(options.file, options.scale, options.report_file); };
}

Command add_market(CLI::App& command, Options& options) {
  command.add_option("scenario", options.file, "scenario file (YAML)")->required();
  command.add_option("name", options.market, "name of a market of the scenario")->required();
  command.add_option("--listen", options.listen,
                     "address to listen on, IPv4:port; with port 0 the system chooses the port");
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
  net::ignore_broken_pipe_signal();
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
  add("markets", "bid on simulated markets and compare with baseline policies", add_markets);
  add("cluster", "simulate a cluster with faults and compare with a run without them", add_cluster);
  add("agreed", "simulate releases, or a served model with its calls, and compare with simpler variants",
      add_decisions);
  add("histories", "simulate random faults in a small cluster and reduce histories that violate an invariant",
      add_histories);
  add("scale", "run real controllers with thousands of simulated agents over loopback", add_scale);
  add("market", "serve one simulated market of a scenario until the process is ended", add_market);
  try {
    app.parse(argc, argv);
    int status = commands.at(app.get_subcommands().front())();
    net::flush_standard_output();
    return status;
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : usage_error;
  } catch (const std::exception& error) {
    std::cerr << "oxbowmill-sim: " << error.what() << '\n';
    return usage_error;
  }
}
