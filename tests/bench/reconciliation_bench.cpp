// Cost of a failover for the new owner with 1,213 machines and 300 jobs, with and without reconciliation.
// Only the ratios within one run are meaningful.
#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

constexpr int machine_count = 1213, job_count = 300;

struct FailoverFixture {
  explicit FailoverFixture(bool with_reconciler) {
    spdlog::set_level(spdlog::level::off);
    for (std::size_t index : {0, 1}) {
      cluster.controller(index).cluster_state.settings.teams[1].limit = {};
      cluster.controller(index).cluster_state.settings.state_write_rps = 60;
    }
    cluster.store.txn_ops = 12;
    for (int i = 0; i < machine_count; ++i)
      cluster.add_machine("m" + std::to_string(i), i % 2 == 0 ? "a" : "b");
    for (int i = 0; i < job_count; ++i) cluster.submit(simulation::test_job("run-" + std::to_string(i), 14));
    cluster.run(4);
    cluster.kill_controller(0);
    cluster.now += 4;
    if (with_reconciler) cluster.controller(1).enable_reconciliation({});
    cluster.controller(1).acquire_all_partitions(cluster.now);
    for (int i = 0; i < machine_count; ++i)
      reports.push_back(cluster.agent("m" + std::to_string(i)).report(cluster.now));
  }
  simulation::SimulatedCluster cluster;
  std::vector<AgentReport> reports;
};

/// Handles the first report of every agent to its new owner, and runs one cycle.
void first_reports_after_failover(benchmark::State& state) {
  for (auto _ : state) {
    state.PauseTiming();
    FailoverFixture fixture(state.range(0) != 0);
    state.ResumeTiming();
    for (const AgentReport& report : fixture.reports)
      benchmark::DoNotOptimize(fixture.cluster.controller(1).handle_report(report, fixture.cluster.now));
    fixture.cluster.controller(1).run_cycle(fixture.cluster.now + 0.5);
  }
}

/// Runs a cycle in steady state, with all machines reconciled.
void steady_state_cycle(benchmark::State& state) {
  FailoverFixture fixture(state.range(0) != 0);
  fixture.cluster.run(3, 1);
  for (auto _ : state) {
    fixture.cluster.now += 0.25;
    fixture.cluster.controller(1).renew(fixture.cluster.now);
    fixture.cluster.controller(1).sync(fixture.cluster.now);
    for (MachineIndex machine : fixture.cluster.controller(1).cluster_state.machines_of(PartitionIndex{1}))
      fixture.cluster.controller(1).cluster_state.edit_machine(machine).last_answered_report_at =
          fixture.cluster.now;
    Effects out = fixture.cluster.controller(1).decide(fixture.cluster.now);
    benchmark::DoNotOptimize(out);
  }
}

/// Handles one report in steady state.
void steady_state_report(benchmark::State& state) {
  FailoverFixture fixture(state.range(0) != 0);
  fixture.cluster.run(3, 1);
  AgentReport report = fixture.cluster.agent("m7").report(fixture.cluster.now);
  for (auto _ : state) {
    ++report.report_sequence;
    benchmark::DoNotOptimize(fixture.cluster.controller(1).handle_report(report, fixture.cluster.now));
  }
}

BENCHMARK(first_reports_after_failover)
    ->ArgName("reconciled")
    ->Arg(0)
    ->Arg(1)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(10);
BENCHMARK(steady_state_cycle)->ArgName("reconciled")->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);
BENCHMARK(steady_state_report)->ArgName("reconciled")->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace oxbowmill

BENCHMARK_MAIN();
