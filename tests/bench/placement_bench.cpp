// Cost of placement as the cluster grows: machines visited per placed task, and time compared with a full
// scan.
#include <benchmark/benchmark.h>

#include "../full_scan_placement.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace {

using namespace oxbowmill;

/// A cluster in which one machine in twenty has enough free capacity for a job of 18 tasks.
class PartlyFreeCluster {
 public:
  explicit PartlyFreeCluster(std::uint32_t machines)
      : state_(simulation::test_settings("n"), simulation::test_names()), index_(state_) {
    state_.catalog = simulation::test_catalog();
    state_.catalog[0].capacity = {64, 20, 256};
    for (std::uint32_t i = 0; i < machines; ++i) {
      MachineCapacity capacity;
      MachineIndex machine = state_.intern_machine("m" + std::to_string(i));
      double used = i % 20 == 0 ? 2 : 20;
      capacity.candidate = {
          machine, TypeIndex{0}, ZoneIndex{i % 2}, false, 0, {64 - 2 * used, 20 - used, 256 - 8 * used}};
      candidates_.push_back(capacity.candidate);
      index_.update(machine, std::move(capacity));
    }
    spec_ = simulation::test_job("run", 18);
    query_.spec = &spec_;
    for (TaskNumber t = 0; t < spec_.tasks; ++t) tasks_.push_back(t);
  }
  std::size_t place_by_index() {
    Selection selection = index_.select(query_, tasks_, {0, 0});
    return selection.assignments.size();
  }
  std::size_t place_by_full_scan() {
    auto candidates = candidates_;
    return full_scan::select(query_, state_, tasks_, {0, 0}, candidates).size();
  }
  std::uint64_t visited_machines() const { return index_.visits(); }

 private:
  ClusterState state_;
  FreeCapacity index_;
  std::vector<CandidateMachine> candidates_;
  JobSpec spec_;
  SelectionQuery query_;
  std::vector<TaskNumber> tasks_;
};

void jobs_by_index(benchmark::State& state) {
  PartlyFreeCluster cluster(static_cast<std::uint32_t>(state.range(0)));
  std::uint64_t before = cluster.visited_machines();
  std::size_t placed = 0;
  for (auto _ : state) {
    for (std::int64_t job = 0; job < state.range(1); ++job) placed += cluster.place_by_index();
  }
  state.counters["visits_a_task"] =
      static_cast<double>(cluster.visited_machines() - before) / static_cast<double>(placed);
}

void jobs_by_full_scan(benchmark::State& state) {
  PartlyFreeCluster cluster(static_cast<std::uint32_t>(state.range(0)));
  for (auto _ : state) {
    for (std::int64_t job = 0; job < state.range(1); ++job)
      benchmark::DoNotOptimize(cluster.place_by_full_scan());
  }
  state.counters["visits_a_task"] = static_cast<double>(state.range(0)) / 18;
}

BENCHMARK(jobs_by_index)->ArgsProduct({{300, 2500, 10000}, {10, 500, 5000}})->Unit(benchmark::kMillisecond);
BENCHMARK(jobs_by_full_scan)->ArgsProduct({{300, 2500, 10000}, {10, 500}})->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
