// Benchmarks the leader's cycle with 1,200 machines and 100 demands, without markets and with eight markets.
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <spdlog/spdlog.h>

#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

constexpr std::uint32_t machine_count = 1200, job_count = 100, market_count = 8;
constexpr double cycle_interval_s = 0.25;

struct LeaderFixture {
  explicit LeaderFixture(bool has_markets, double limit_per_hour)
      : cluster_state(simulation::test_settings("node-0"), simulation::test_names()),
        lease(cluster_state.settings),
        scheduler(cluster_state, lease),
        autoscaler(cluster_state, scheduler) {
    cluster_state.settings.teams[1].limit = {};
    cluster_state.settings.max_transaction_ops = 48;
    cluster_state.catalog = simulation::test_catalog();
    lease.on_granted(1, now);
    Revision revision = 0;
    for (std::uint32_t partition = 0; partition < cluster_state.partition_count(); ++partition)
      cluster_state.apply({OwnershipKey{PartitionIndex{partition}}, OwnershipRecord{"node-0", 1}, 1},
                          ++revision, now);
    // Every machine is filled by a task that keeps running.
    JobIndex running_job = cluster_state.intern_job("run-0");
    JobSpec spec = simulation::test_job("run-0", machine_count, 4);
    cluster_state.apply({JobKey{running_job}, JobRecord{spec, JobPhase::open}}, ++revision, now);
    std::map<std::uint32_t, ChunkRecord> chunks;
    for (std::uint32_t i = 0; i < machine_count; ++i) {
      MachineIndex machine_index = cluster_state.intern_machine("host-" + std::to_string(i));
      MachineRecord record;
      record.partition = PartitionIndex{1};
      record.type = TypeIndex{0};
      record.zone = ZoneIndex{i % 2};
      record.has_booted = true;
      cluster_state.apply({MachineKey{machine_index}, record}, ++revision, now);
      chunks[i / tasks_per_chunk].placements.push_back({i, machine_index, i + 1, false});
    }
    for (auto& [chunk, record] : chunks)
      cluster_state.apply({ChunkKey{running_job, chunk}, record}, ++revision, now);
    for (std::uint32_t i = 1; i <= job_count; ++i) {
      std::string ref = "run-" + std::to_string(i);
      JobSpec job_spec = simulation::test_job(ref, 8, 4);
      job_spec.priority = i % 3 == 0 ? Priority::high : Priority::normal;
      job_spec.spot = false;
      job_spec.estimate_s = 60.0 * (1 + i % 7);
      job_spec.deadline_s = 300 + 40.0 * i;
      job_spec.submitted_at = now;
      cluster_state.apply({JobKey{cluster_state.intern_job(ref)}, JobRecord{job_spec, JobPhase::open}},
                          ++revision, now);
    }
    scheduler.applied_revision(revision);
    if (!has_markets) return;
    market_settings.total_limit = {market::to_money_amount(limit_per_hour), 0};
    for (std::uint32_t i = 0; i < market_count; ++i) {
      simulation::MarketBehavior behavior;
      behavior.name = "m" + std::to_string(i);
      behavior.price = 7 + 0.5 * i;
      behavior.capacity = 100;
      market_settings.markets.push_back(
          {behavior.name, cluster_state.names.markets.intern(behavior.name), "127.0.0.1:1", 1000});
      market_simulators.emplace_back(behavior, i, std::vector<std::string>{"std"},
                                     std::vector<std::string>{"a", "b"});
    }
    bidding_service = std::make_unique<market::BiddingService>(cluster_state, scheduler, market_settings);
    autoscaler.set_source(bidding_service.get());
  }
  void run_cycle() {
    now += cycle_interval_s;
    lease.on_renewed(now);
    lease.on_watch_answered(now);
    Effects out;
    scheduler.run_cycle({now, now}, out);
    autoscaler.run_cycle({now, now}, out);
    if (bidding_service) {
      std::vector<market::Call> calls;
      bidding_service->run_cycle({now, now}, out, calls);
      for (const market::Call& call : calls)
        bidding_service->on_answer(
            call, market_simulators[call.market.value].call(call, cluster_state.names, now), {now, now});
    }
    // No transaction and no scale-out succeeds, so that every cycle does the same work.
    for (const Write& write : out.writes)
      scheduler.on_outcome(write.id, TransactionOutcome::not_executed, 0, now);
    for (const ScaleOutRequest& request : out.scale_outs)
      autoscaler.on_scale_out_result(request.request_id, true, {}, now);
  }
  double now = 1000;
  ClusterState cluster_state;
  ControllerLease lease;
  Scheduler scheduler;
  Autoscaler autoscaler;
  market::Settings market_settings;
  std::vector<simulation::SimulatedMarket> market_simulators;
  std::unique_ptr<market::BiddingService> bidding_service;
};

void measure_cycles(benchmark::State& state, bool has_markets, double limit_per_hour) {
  spdlog::set_level(spdlog::level::off);
  auto before = mallinfo2().uordblks;
  LeaderFixture leader(has_markets, limit_per_hour);
  for (int i = 0; i < 20; ++i) leader.run_cycle();
  state.counters["bytes"] = static_cast<double>(mallinfo2().uordblks - before);
  for (auto _ : state) leader.run_cycle();
}

void cycle_without_markets(benchmark::State& state) {
  measure_cycles(state, false, 0);
}
void cycle_with_eight_markets(benchmark::State& state) {
  measure_cycles(state, true, 1e6);
}
void cycle_with_eight_markets_at_the_ceiling(benchmark::State& state) {
  measure_cycles(state, true, 1500);
}
BENCHMARK(cycle_without_markets)->Unit(benchmark::kMicrosecond);
BENCHMARK(cycle_with_eight_markets)->Unit(benchmark::kMicrosecond);
BENCHMARK(cycle_with_eight_markets_at_the_ceiling)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace oxbowmill

BENCHMARK_MAIN();
