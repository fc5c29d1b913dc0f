// Safety of jobs on machines bought on markets, with agent leases and failovers. A market's statement that a
// machine was returned does not prove that no task runs on it.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

using simulation::SimulatedCluster;
using simulation::test_job;
using simulation::WriteOutcome;

simulation::MarketBehavior north_market() {
  simulation::MarketBehavior behavior;
  behavior.name = "north";
  behavior.price = 8;
  behavior.capacity = 20;
  behavior.delivery_s = 5;
  behavior.auction_s = 1;
  return behavior;
}

struct MarketCluster : SimulatedCluster {
  explicit MarketCluster(const simulation::MarketBehavior& behavior) {
    market_settings.total_limit = {market::to_money_amount(1000), market::to_money_amount(1000)};
    market_settings.trial_fraction = 1;
    add_market(behavior);
  }
  const std::string* running_on(const std::string& task) {
    auto it = run_log.machines_by_task.find(task);
    return it == run_log.machines_by_task.end() || it->second.empty() ? nullptr : &*it->second.begin();
  }
  bool starts_within(const std::string& task, double timeout_s) {
    for (double t = 0; t < timeout_s && running_on(task) == nullptr; t += 0.5) run(0.5);
    return running_on(task) != nullptr;
  }
  /// Submits a job with one task that needs a whole machine. Returns the machine on which it has started;
  /// empty if it has not started within 60 s.
  std::string machine_of_first_job() {
    submit(test_job("run-1", 1, 4));
    return starts_within("run-1/0", 60) ? *running_on("run-1/0") : "";
  }
};

TEST(MarketSafety, JobRunsOnABoughtMachineThatIsReturnedAndPaid) {
  MarketCluster cluster(north_market());
  std::string machine_name = cluster.machine_of_first_job();
  ASSERT_NE(machine_name, "");
  EXPECT_EQ(machine_name.rfind("north.", 0), 0U);
  cluster.agent(machine_name).finish("run-1/0", EndCause::done);
  cluster.run(120);
  EXPECT_EQ(cluster.phase("run-1"), "done");
  EXPECT_TRUE(cluster.markets[0].hosts().at(machine_name).returned);
  EXPECT_EQ(cluster.store.keys().count("o/m/" + machine_name), 0U);
  // The bid's record is deleted and its cost is in the ledger.
  for (const auto& [key, entry] : cluster.store.keys()) EXPECT_NE(key.rfind("o/b/", 0), 0U) << key;
  ASSERT_EQ(cluster.store.keys().count("o/l/ledger"), 1U);
  double paid = cluster.store.keys().at("o/l/ledger").value.at("spent").at("red").get<double>() / 1e6;
  EXPECT_NEAR(paid, cluster.markets[0].charged(cluster.now), 1e-4);
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(MarketSafety, ReturnedMachineStillRunningBlocksItsTaskFromStartingElsewhere) {
  // The record of a machine is marked for deletion while a task may run on it, and the market states that the
  // machine has been returned. The machine keeps running and its agent is unreachable, so only the expiry of
  // the agent's lease proves that the task has stopped.
  simulation::MarketBehavior market = north_market();
  market.runs_after_return = true;
  MarketCluster cluster(market);
  std::string machine_name = cluster.machine_of_first_job();
  ASSERT_NE(machine_name, "");
  cluster.silenced_agents.insert(machine_name);
  auto record = cluster.store.keys().at("o/m/" + machine_name);
  record.value["del"] = true;
  record.value["part"] = state::idle_pool_name;
  cluster.store.txn({{"guards", simulation::Json::array()},
                     {"apply", {{{"put", "o/m/" + machine_name}, {"value", record.value}}}}});
  double lease_s = cluster.controller(0).cluster_state.settings.lease_s;
  for (double t = 0; t + 1 < lease_s; t += 0.5) {
    cluster.run(0.5);
    ASSERT_EQ(cluster.run_log.starts["run-1/0"], 1) << t;
  }
  EXPECT_TRUE(cluster.markets[0].hosts().at(machine_name).returned);  // the market states the return
  EXPECT_EQ(cluster.store.keys().count("o/m/" + machine_name), 1U);   // the record stays nevertheless
  cluster.run(60);
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 2);
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(MarketSafety, ReturnedMachineThatStillReportsIsNotUsedUnderItsOldRecord) {
  simulation::MarketBehavior market = north_market();
  market.runs_after_return = true;
  MarketCluster cluster(market);
  std::string machine_name = cluster.machine_of_first_job();
  ASSERT_NE(machine_name, "");
  cluster.agent(machine_name).finish("run-1/0", EndCause::done);
  cluster.run(60);
  ASSERT_TRUE(cluster.markets[0].hosts().at(machine_name).returned);
  ASSERT_TRUE(cluster.markets[0].hosts().at(machine_name).alive);
  // The leader that returned the machine still knows this. To the next leader the machine is unregistered: it
  // is used or returned again under a new record, which has a new fencing token.
  cluster.submit(test_job("run-2", 2, 4));
  cluster.run(20);
  cluster.kill_controller(0);
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.run(120, 1);
  for (const char* task : {"run-2/0", "run-2/1"}) EXPECT_GE(cluster.run_log.starts[task], 1) << task;
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(MarketSafety, MachineThatReportsAnotherZoneThanItsRecordStartsNoTask) {
  // The market states zone a and the machine reports zone b. A job restricted to zone a must not start there.
  MarketCluster cluster(north_market());
  JobSpec spec = test_job("run-1", 1, 4);
  spec.zone = ZoneIndex{0};
  cluster.submit(spec);
  cluster.store.txn({{"guards", simulation::Json::array()},
                     {"apply",
                      {{{"put", "o/m/north.x1"},
                        {"value",
                         {{"part", "red"},
                          {"type", "std"},
                          {"zone", "a"},
                          {"spot", false},
                          {"del", false},
                          {"market", "north"},
                          {"bid", "node-0-1-b1"}}}}}}});
  cluster.add_unregistered_machine("north.x1", "b");
  cluster.run(8);
  EXPECT_FALSE(cluster.agent("north.x1").has("run-1/0"));
  ASSERT_TRUE(cluster.starts_within("run-1/0", 60));
  EXPECT_NE(*cluster.running_on("run-1/0"), "north.x1");
  EXPECT_EQ(cluster.store.keys().count("o/m/north.x1"), 0U);  // the machine was returned
}

TEST(MarketSafety, FailoverDuringAnAuctionKeepsTheBidAndRunsNoTaskTwice) {
  simulation::MarketBehavior slow = north_market();
  slow.auction_s = 6;
  slow.delivery_s = 10;
  MarketCluster cluster(slow);
  cluster.submit(test_job("run-1", 2, 4));
  cluster.run(5);  // the bid has been sent and its auction is in progress
  cluster.kill_controller(0);
  cluster.controller(1).acquire_all_partitions(cluster.now);
  std::size_t machines_at_failover = cluster.markets[0].hosts().size();
  EXPECT_EQ(machines_at_failover, 0U);
  for (double t = 0;
       t < 80 && (cluster.running_on("run-1/0") == nullptr || cluster.running_on("run-1/1") == nullptr);
       t += 1)
    cluster.run(1, 1);
  EXPECT_NE(cluster.running_on("run-1/0"), nullptr);
  EXPECT_NE(cluster.running_on("run-1/1"), nullptr);
  EXPECT_EQ(cluster.markets[0].hosts().size(), 2U);  // the new leader resumed the bid and placed no other
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(MarketSafety, MachinesOfAnOverchargingMarketAreDrainedAndReturned) {
  simulation::MarketBehavior overcharging = north_market();
  overcharging.overcharge_factor = 100;
  MarketCluster cluster(overcharging);
  simulation::MarketBehavior honest = north_market();
  honest.name = "south";
  honest.price = 9;
  cluster.add_market(honest);
  cluster.submit(test_job("run-1", 1, 4));
  ASSERT_TRUE(cluster.starts_within("run-1/0", 60));
  ASSERT_EQ(cluster.running_on("run-1/0")->rfind("north.", 0), 0U);
  cluster.run(60);
  ASSERT_NE(cluster.running_on("run-1/0"), nullptr);
  EXPECT_EQ(cluster.running_on("run-1/0")->rfind("south.", 0), 0U);
  for (const auto& [name, machine] : cluster.markets[0].hosts()) EXPECT_TRUE(machine.returned) << name;
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

RC_GTEST_PROP(MarketSafetyProperties, NoTaskRunsTwiceUnderRandomFaults, ()) {
  simulation::MarketBehavior first_market = north_market(), second_market = north_market();
  second_market.name = "south";
  for (simulation::MarketBehavior* behavior : {&first_market, &second_market}) {
    behavior->runs_after_return = *rc::gen::arbitrary<bool>();
    behavior->never_delivers_chance = *rc::gen::inRange(0, 3) / 5.0;
    behavior->late_chance = *rc::gen::inRange(0, 3) / 5.0;
    behavior->wrong_delivery_chance = *rc::gen::inRange(0, 3) / 5.0;
    behavior->double_delivery_chance = *rc::gen::inRange(0, 3) / 5.0;
    behavior->stall_chance = *rc::gen::inRange(0, 3) / 5.0;
    behavior->overcharge_factor = *rc::gen::element(1.0, 1.0, 100.0);
  }
  MarketCluster cluster(first_market);
  cluster.add_market(second_market);
  std::size_t owner = 0;
  auto actions = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 9), rc::gen::inRange(0, 8), rc::gen::inRange(1, 30)));
  int jobs = 0;
  auto nth_machine = [&](int index) -> std::string {
    std::vector<std::string> names;
    for (const auto& market : cluster.markets) {
      for (const auto& [name, machine] : market.hosts()) {
        if (machine.alive) names.push_back(name);
      }
    }
    return names.empty() ? "" : names[static_cast<std::size_t>(index) % names.size()];
  };
  cluster.submit(test_job("run-" + std::to_string(jobs++), 2, 4));
  for (auto [action, argument, steps] : actions) {
    std::string host = nth_machine(argument);
    switch (action) {
      case 0:
        cluster.submit(test_job("run-" + std::to_string(jobs++), 1 + argument % 2, 4));
        break;
      case 1:
        cluster.withdraw("run-" + std::to_string(argument));
        break;
      case 2:  // the other controller takes over; the first one finds out later
        cluster.kill_controller(owner);
        owner = 1 - owner;
        cluster.controller(owner).lease.on_lost();
        cluster.controller(owner).acquire_all_partitions(cluster.now);
        break;
      case 3:
        cluster.store.set_outage(!cluster.store.outage(), cluster.now);
        break;
      case 4:
        if (!host.empty()) cluster.silenced_agents.insert(host);
        break;
      case 5:
        cluster.silenced_agents.erase(host);
        break;
      case 6:
        cluster.controller(owner).write_outcome = WriteOutcome::answer_lost;
        break;
      case 7:
        cluster.controller(owner).write_outcome = WriteOutcome::not_arrived;
        break;
      case 8: {
        // A transaction that was thought lost arrives late.
        auto& lost = cluster.controller(owner).lost_writes;
        if (!lost.empty()) cluster.store.txn(lost[static_cast<std::size_t>(argument) % lost.size()]);
        break;
      }
    }
    for (int i = 0; i < steps; ++i) {
      cluster.run(0.5, owner);
      RC_ASSERT(cluster.run_log.duplicated_tasks.empty());
    }
    cluster.controller(owner).write_outcome = WriteOutcome::answered;
  }
  RC_CLASSIFY(!cluster.run_log.starts.empty(), "some task ran");
}

}  // namespace
}  // namespace oxbowmill
