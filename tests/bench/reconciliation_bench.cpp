// Cost of a failover for the new owner at 1,213 machines and 300 jobs, with and without reconciliation: to be
// read as ratios within one run.
#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

constexpr int machine_count = 1213, job_count = 300;

struct FailoverFixture {
  explicit FailoverFixture(bool with_reconciler) {
    spdlog::set_level(spdlog::level::off);
    for (std::size_t n : {0, 1}) {
      cluster.controller(n).cluster_state.settings.teams[1].limit = {};
      cluster.controller(n).cluster_state.settings.state_write_rps = 60;
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
      reports.push_back(cluster.worker("m" + std::to_string(i)).report(cluster.now));
  }
  simulation::SimulatedCluster cluster;
  std::vector<WorkerReport> reports;
};

/// Every agent's first report to its new owner, and the cycle that follows.
void first_reports_after_failover(benchmark::State& state) {
  for (auto _ : state) {
    state.PauseTiming();
    FailoverFixture w(state.range(0) != 0);
    state.ResumeTiming();
    for (const WorkerReport& r : w.reports)
      benchmark::DoNotOptimize(w.cluster.controller(1).handle_report(r, w.cluster.now));
    w.cluster.controller(1).run_cycle(w.cluster.now + 0.5);
  }
}

/// A cycle in steady state, all machines reconciled.
void steady_state_cycle(benchmark::State& state) {
  FailoverFixture fixture(state.range(0) != 0);
  fixture.cluster.run(3, 1);
  for (auto _ : state) {
    fixture.cluster.now += 0.25;
    fixture.cluster.controller(1).renew(fixture.cluster.now);
    fixture.cluster.controller(1).sync(fixture.cluster.now);
    for (MachineIndex m : fixture.cluster.controller(1).cluster_state.machines_of(PartitionIndex{1}))
      fixture.cluster.controller(1).cluster_state.edit_machine(m).last_answered_report_at =
          fixture.cluster.now;
    Effects out = fixture.cluster.controller(1).decide(fixture.cluster.now);
    benchmark::DoNotOptimize(out);
  }
}

/// One report in steady state.
void steady_state_report(benchmark::State& state) {
  FailoverFixture fixture(state.range(0) != 0);
  fixture.cluster.run(3, 1);
  WorkerReport r = fixture.cluster.worker("m7").report(fixture.cluster.now);
  for (auto _ : state) {
    ++r.report_sequence;
    benchmark::DoNotOptimize(fixture.cluster.controller(1).handle_report(r, fixture.cluster.now));
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
