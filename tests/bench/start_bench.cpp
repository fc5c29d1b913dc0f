// What a start costs its controller at 1,213 machines and 300 jobs, squared and as it was: to be read as
// ratios of one run.
#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include "oxbowmill/lab/cluster.h"

namespace oxbowmill {
namespace {

constexpr int machines = 1213, jobs = 300;

struct World {
  explicit World(bool squared) {
    spdlog::set_level(spdlog::level::off);
    for (std::size_t n : {0, 1}) {
      c.node(n).model.settings.teams[1].most = {};
      c.node(n).model.settings.state_write_rps = 60;
    }
    c.state.txn_ops = 12;
    for (int i = 0; i < machines; ++i) c.add_machine("m" + std::to_string(i), i % 2 == 0 ? "a" : "b");
    for (int i = 0; i < jobs; ++i) c.submit(lab::test_job("run-" + std::to_string(i), 14));
    c.run(4);
    c.kill_node(0);
    c.now += 4;
    if (squared) c.node(1).square({});
    c.node(1).claim_all(c.now);
    for (int i = 0; i < machines; ++i) reports.push_back(c.worker("m" + std::to_string(i)).report(c.now));
  }
  lab::Cluster c;
  std::vector<WorkerReport> reports;
};

/// Every worker's first word to its new owner, and the pass that follows.
void first_words(benchmark::State& state) {
  for (auto _ : state) {
    state.PauseTiming();
    World w(state.range(0) != 0);
    state.ResumeTiming();
    for (const WorkerReport& r : w.reports) benchmark::DoNotOptimize(w.c.node(1).hear(r, w.c.now));
    w.c.node(1).pass(w.c.now + 0.5);
  }
}

/// A pass in ordinary service, all machines squared.
void ordinary_pass(benchmark::State& state) {
  World w(state.range(0) != 0);
  w.c.run(3, 1);
  for (auto _ : state) {
    w.c.now += 0.25;
    w.c.node(1).renew(w.c.now);
    w.c.node(1).sync(w.c.now);
    for (MachineIndex m : w.c.node(1).model.machines_of(PartIndex{1}))
      w.c.node(1).model.edit_machine(m).last_answered = w.c.now;
    Effects out = w.c.node(1).decide(w.c.now);
    benchmark::DoNotOptimize(out);
  }
}

/// One report in ordinary service.
void ordinary_report(benchmark::State& state) {
  World w(state.range(0) != 0);
  w.c.run(3, 1);
  WorkerReport r = w.c.worker("m7").report(w.c.now);
  for (auto _ : state) {
    ++r.serial;
    benchmark::DoNotOptimize(w.c.node(1).hear(r, w.c.now));
  }
}

BENCHMARK(first_words)->ArgName("squared")->Arg(0)->Arg(1)->Unit(benchmark::kMillisecond)->Iterations(10);
BENCHMARK(ordinary_pass)->ArgName("squared")->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);
BENCHMARK(ordinary_report)->ArgName("squared")->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace oxbowmill

BENCHMARK_MAIN();
