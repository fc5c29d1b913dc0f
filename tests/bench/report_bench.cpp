// Processor time of a report and of a placement pass by the number of tasks on the machine, up to the
// greatest number that its messages can list. It must not grow faster than that number.
#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include "oxbowmill/cluster/message_size.h"
#include "oxbowmill/simulation/agent_wire.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

const char* const job_name = "run-000001";

std::int64_t max_tasks() {
  return static_cast<std::int64_t>(agent_message_list_bytes / task_message_bytes(job_name));
}

/// A machine and a job of small tasks that it has the resources for.
class SmallTaskCluster {
 public:
  explicit SmallTaskCluster(std::int64_t tasks) : cluster_(1) {
    spdlog::set_level(spdlog::level::off);
    cluster_.add_machine("m1");
    cluster_.run(1);
    JobSpec spec = simulation::test_job(job_name, static_cast<std::uint32_t>(tasks), 0);
    spec.task_resources = {0.01, 0, 0.05};
    cluster_.submit(spec);
    controller().sync(cluster_.now);
  }
  simulation::SimulatedController& controller() { return cluster_.controller(0); }
  simulation::SimulatedCluster& cluster() { return cluster_; }
  /// Places and starts all tasks.
  void start_tasks() { cluster_.run(8); }

 private:
  simulation::SimulatedCluster cluster_;
};

/// Decodes and handles a report that lists all tasks as running, and encodes the answer.
void report(benchmark::State& state) {
  SmallTaskCluster small_tasks(state.range(0));
  small_tasks.start_tasks();
  simulation::SimulatedCluster& cluster = small_tasks.cluster();
  AgentReport report = cluster.agent("m1").report(cluster.now);
  if (report.tasks.size() != static_cast<std::size_t>(state.range(0)))
    return state.SkipWithError("not all tasks run");
  for (auto _ : state) {
    state.PauseTiming();
    ++report.report_sequence;
    std::string body = wire::encode(simulation::write_report(report));
    state.ResumeTiming();
    auto decoded = wire::decode_map(body, wire::report_rules);
    ReportAnswer answer = small_tasks.controller().handle_report(*wire::read_report(*decoded), cluster.now);
    benchmark::DoNotOptimize(wire::encode(wire::write_report_answer(answer)));
  }
  state.counters["time_a_task"] =
      benchmark::Counter(static_cast<double>(state.range(0) * static_cast<std::int64_t>(state.iterations())),
                         benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

/// Handles the report that shows that all tasks have ended, without decoding.
void report_of_ended_tasks(benchmark::State& state) {
  for (auto _ : state) {
    state.PauseTiming();
    SmallTaskCluster small_tasks(state.range(0));
    small_tasks.start_tasks();
    simulation::Agent& agent = small_tasks.cluster().agent("m1");
    std::vector<std::string> ids;
    for (const auto& [id, task] : agent.tasks()) ids.push_back(id);
    for (const std::string& id : ids) agent.finish(id, EndCause::done);
    AgentReport report = agent.report(small_tasks.cluster().now);
    state.ResumeTiming();
    benchmark::DoNotOptimize(small_tasks.controller().handle_report(report, small_tasks.cluster().now));
  }
}

/// Places all tasks of the job on the empty machine in one cycle.
void placement_pass(benchmark::State& state) {
  for (auto _ : state) {
    state.PauseTiming();
    SmallTaskCluster small_tasks(state.range(0));
    state.ResumeTiming();
    benchmark::DoNotOptimize(small_tasks.controller().decide(small_tasks.cluster().now));
  }
}

void by_tasks(benchmark::internal::Benchmark* run) {
  run->Arg(10)->Arg(100)->Arg(max_tasks())->Unit(benchmark::kMicrosecond);
}
BENCHMARK(report)->Apply(by_tasks);
BENCHMARK(report_of_ended_tasks)->Apply(by_tasks)->Iterations(40);
BENCHMARK(placement_pass)->Apply(by_tasks)->Iterations(40);

}  // namespace
}  // namespace oxbowmill

BENCHMARK_MAIN();
