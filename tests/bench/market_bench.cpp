// What trading costs a leader: passes with 1,200 machines and 100 needs, without markets and with eight.
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <spdlog/spdlog.h>

#include "oxbowmill/lab/cluster.h"

namespace oxbowmill {
namespace {

constexpr std::uint32_t machines = 1200, jobs = 100, markets = 8;
constexpr double pass_s = 0.25;

struct Leader {
  explicit Leader(bool trading, double per_hour)
      : model(lab::test_settings("node-0"), lab::test_names()),
        hold(model.settings),
        scheduler(model, hold),
        fleet(model, scheduler) {
    model.settings.teams[1].most = {};
    model.settings.txn_ops = 48;
    model.catalog = lab::test_catalog();
    hold.opened(1, now);
    Stamp rev = 0;
    for (std::uint32_t p = 0; p < model.parts(); ++p)
      model.apply({ClaimKey{PartIndex{p}}, ClaimRecord{"node-0", 1}, 1}, ++rev, now);
    // Every machine is full with a task that goes on.
    JobIndex running = model.intern_job("run-0");
    JobSpec spec = lab::test_job("run-0", machines, 4);
    model.apply({JobKey{running}, JobRecord{spec, JobPhase::open}}, ++rev, now);
    std::map<std::uint32_t, ChunkRecord> chunks;
    for (std::uint32_t i = 0; i < machines; ++i) {
      MachineIndex m = model.intern_machine("host-" + std::to_string(i));
      MachineRecord rec;
      rec.part = PartIndex{1};
      rec.type = TypeIndex{0};
      rec.zone = ZoneIndex{i % 2};
      rec.up = true;
      model.apply({MachineKey{m}, rec}, ++rev, now);
      chunks[i / chunk_tasks].placed.push_back({i, m, i + 1, false});
    }
    for (auto& [c, rec] : chunks) model.apply({ChunkKey{running, c}, rec}, ++rev, now);
    for (std::uint32_t i = 1; i <= jobs; ++i) {
      std::string ref = "run-" + std::to_string(i);
      JobSpec s = lab::test_job(ref, 8, 4);
      s.rank = i % 3 == 0 ? Rank::high : Rank::normal;
      s.spot = false;
      s.estimate_s = 60.0 * (1 + i % 7);
      s.deadline_s = 300 + 40.0 * i;
      s.submitted_at = now;
      model.apply({JobKey{model.intern_job(ref)}, JobRecord{s, JobPhase::open}}, ++rev, now);
    }
    scheduler.seen_revision(rev);
    if (!trading) return;
    settings.all = {market::to_money(per_hour), 0};
    for (std::uint32_t i = 0; i < markets; ++i) {
      lab::Character c;
      c.name = "m" + std::to_string(i);
      c.price = 7 + 0.5 * i;
      c.capacity = 100;
      settings.markets.push_back({c.name, model.names.markets.intern(c.name), "127.0.0.1:1", 1000});
      stands.emplace_back(c, i, std::vector<std::string>{"std"}, std::vector<std::string>{"a", "b"});
    }
    desk = std::make_unique<market::Desk>(model, scheduler, settings);
    fleet.set_source(desk.get());
  }
  void pass() {
    now += pass_s;
    hold.renewed(now);
    hold.watch_answered(now);
    Effects out;
    scheduler.pass({now, now}, out);
    fleet.pass({now, now}, out);
    if (desk) {
      std::vector<market::Call> calls;
      desk->pass({now, now}, out, calls);
      for (const market::Call& call : calls)
        desk->on_answer(call, stands[call.market.v].ask(call, model.names, now), {now, now});
    }
    // Nothing is written and nothing rented, so that every pass has the same to do.
    for (const Write& w : out.writes) scheduler.on_outcome(w.id, Outcome::not_executed, 0, now);
    for (const RentOrder& r : out.rents) fleet.on_rented(r.request, true, {}, now);
  }
  double now = 1000;
  Model model;
  Hold hold;
  Scheduler scheduler;
  Fleet fleet;
  market::Settings settings;
  std::vector<lab::Market> stands;
  std::unique_ptr<market::Desk> desk;
};

void passes(benchmark::State& state, bool trading, double per_hour) {
  spdlog::set_level(spdlog::level::off);
  auto before = mallinfo2().uordblks;
  Leader leader(trading, per_hour);
  for (int i = 0; i < 20; ++i) leader.pass();
  state.counters["bytes"] = static_cast<double>(mallinfo2().uordblks - before);
  for (auto _ : state) leader.pass();
}

void without_markets(benchmark::State& state) {
  passes(state, false, 0);
}
void eight_markets(benchmark::State& state) {
  passes(state, true, 1e6);
}
void eight_markets_at_the_ceiling(benchmark::State& state) {
  passes(state, true, 1500);
}
BENCHMARK(without_markets)->Unit(benchmark::kMicrosecond);
BENCHMARK(eight_markets)->Unit(benchmark::kMicrosecond);
BENCHMARK(eight_markets_at_the_ceiling)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace oxbowmill

BENCHMARK_MAIN();
