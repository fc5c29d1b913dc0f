// What a scheduling cycle costs as the fleet grows: machines visited for a placed task, and time beside a
// full scan.
#include <benchmark/benchmark.h>

#include "../full_scan.h"
#include "oxbowmill/lab/cluster.h"

namespace {

using namespace oxbowmill;

/// A fleet of which one machine in twenty has room, and jobs of 18 tasks that want it.
class Fleet {
 public:
  explicit Fleet(std::uint32_t machines)
      : model_(lab::test_settings("n"), lab::test_names()), index_(model_) {
    model_.catalog = lab::test_catalog();
    model_.catalog[0].room = {64, 20, 256};
    for (std::uint32_t i = 0; i < machines; ++i) {
      MachineCapacity capacity;
      MachineIndex machine = model_.intern_machine("m" + std::to_string(i));
      double used = i % 20 == 0 ? 2 : 20;
      capacity.node = {
          machine, TypeIndex{0}, ZoneIndex{i % 2}, false, 0, {64 - 2 * used, 20 - used, 256 - 8 * used}};
      nodes_.push_back(capacity.node);
      index_.update(machine, std::move(capacity));
    }
    spec_ = lab::test_job("run", 18);
    query_.spec = &spec_;
    for (TaskNo t = 0; t < spec_.tasks; ++t) tasks_.push_back(t);
  }
  std::size_t by_index() {
    Selection selection = index_.select(query_, tasks_, {0, 0});
    return selection.choices.size();
  }
  std::size_t by_full_scan() {
    auto nodes = nodes_;
    return full_scan::select(query_, model_, tasks_, {0, 0}, nodes).size();
  }
  std::uint64_t visits() const { return index_.visits(); }

 private:
  Model model_;
  FreeCapacity index_;
  std::vector<CandidateNode> nodes_;
  JobSpec spec_;
  SelectionQuery query_;
  std::vector<TaskNo> tasks_;
};

void jobs_by_index(benchmark::State& state) {
  Fleet fleet(static_cast<std::uint32_t>(state.range(0)));
  std::uint64_t before = fleet.visits();
  std::size_t placed = 0;
  for (auto _ : state) {
    for (std::int64_t job = 0; job < state.range(1); ++job) placed += fleet.by_index();
  }
  state.counters["visits_a_task"] =
      static_cast<double>(fleet.visits() - before) / static_cast<double>(placed);
}

void jobs_by_full_scan(benchmark::State& state) {
  Fleet fleet(static_cast<std::uint32_t>(state.range(0)));
  for (auto _ : state) {
    for (std::int64_t job = 0; job < state.range(1); ++job) benchmark::DoNotOptimize(fleet.by_full_scan());
  }
  state.counters["visits_a_task"] = static_cast<double>(state.range(0)) / 18;
}

BENCHMARK(jobs_by_index)->ArgsProduct({{300, 2500, 10000}, {10, 500, 5000}})->Unit(benchmark::kMillisecond);
BENCHMARK(jobs_by_full_scan)->ArgsProduct({{300, 2500, 10000}, {10, 500}})->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
