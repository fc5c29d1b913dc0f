// Machines of markets beside jobs, leases and takeovers: a market's word frees nothing.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "oxbowmill/lab/cluster.h"

namespace oxbowmill {
namespace {

using lab::Cluster;
using lab::Fate;
using lab::test_job;

lab::Character north() {
  lab::Character c;
  c.name = "north";
  c.price = 8;
  c.capacity = 20;
  c.delivery_s = 5;
  c.auction_s = 1;
  return c;
}

struct Trading : Cluster {
  explicit Trading(const lab::Character& c) {
    trading.all = {market::to_money(1000), market::to_money(1000)};
    trading.trial_share = 1;
    add_market(c);
  }
  const std::string* running_on(const std::string& task) {
    auto it = log.on.find(task);
    return it == log.on.end() || it->second.empty() ? nullptr : &*it->second.begin();
  }
  bool runs(const std::string& task, double within) {
    for (double t = 0; t < within && running_on(task) == nullptr; t += 0.5) run(0.5);
    return running_on(task) != nullptr;
  }
  /// Where a job of one task that takes a whole machine has come to run.
  std::string machine_of_first_job() {
    submit(test_job("run-1", 1, 4));
    return runs("run-1/0", 60) ? *running_on("run-1/0") : "";
  }
};

TEST(MarketSafety, JobRunsOnABoughtMachineWhichGoesBackAndIsPaid) {
  Trading c(north());
  std::string at = c.machine_of_first_job();
  ASSERT_NE(at, "");
  EXPECT_EQ(at.rfind("north.", 0), 0U);
  c.worker(at).finish("run-1/0", EndCause::done);
  c.run(120);
  EXPECT_EQ(c.phase("run-1"), "done");
  EXPECT_TRUE(c.markets[0].hosts().at(at).returned);
  EXPECT_EQ(c.state.keys().count("o/m/" + at), 0U);
  // The bid is over, and what it cost stands in the ledger.
  for (const auto& [key, e] : c.state.keys()) EXPECT_NE(key.rfind("o/b/", 0), 0U) << key;
  ASSERT_EQ(c.state.keys().count("o/l/ledger"), 1U);
  double paid = c.state.keys().at("o/l/ledger").value.at("spent").at("red").get<double>() / 1e6;
  EXPECT_NEAR(paid, c.markets[0].charged(c.now), 1e-4);
  EXPECT_TRUE(c.log.twice.empty());
}

TEST(MarketSafety, ReturnedMachineThatRunsOnKeepsItsTaskFromStartingElsewhere) {
  // Its record is marked as to be returned while a task may be on it, and the market says that it is back.
  // The machine runs on and its worker cannot be heard: only the lease proves that the task is off.
  lab::Character liar = north();
  liar.keeps_running = true;
  Trading c(liar);
  std::string at = c.machine_of_first_job();
  ASSERT_NE(at, "");
  c.silenced.insert(at);
  auto record = c.state.keys().at("o/m/" + at);
  record.value["del"] = true;
  record.value["part"] = state::pool_name;
  c.state.txn({{"guards", lab::Json::array()}, {"apply", {{{"put", "o/m/" + at}, {"value", record.value}}}}});
  double lease = c.node(0).model.settings.lease_s;
  for (double t = 0; t + 1 < lease; t += 0.5) {
    c.run(0.5);
    ASSERT_EQ(c.log.starts["run-1/0"], 1) << t;
  }
  EXPECT_TRUE(c.markets[0].hosts().at(at).returned);  // that is what the market says
  EXPECT_EQ(c.state.keys().count("o/m/" + at), 1U);   // and nobody believes it
  c.run(60);
  EXPECT_EQ(c.log.starts["run-1/0"], 2);
  EXPECT_TRUE(c.log.twice.empty());
}

TEST(MarketSafety, ReturnedMachineThatStillReportsIsNotUsedUnderItsOldRecord) {
  lab::Character liar = north();
  liar.keeps_running = true;
  Trading c(liar);
  std::string at = c.machine_of_first_job();
  ASSERT_NE(at, "");
  c.worker(at).finish("run-1/0", EndCause::done);
  c.run(60);
  ASSERT_TRUE(c.markets[0].hosts().at(at).returned);
  ASSERT_TRUE(c.markets[0].hosts().at(at).alive);
  // The same leader knows that it gave the machine back; the next one takes it for a stranger, and either
  // uses it or gives it back again: under a record, and so a token, of its own.
  c.submit(test_job("run-2", 2, 4));
  c.run(20);
  c.kill_node(0);
  c.node(1).claim_all(c.now);
  c.run(120, 1);
  for (const char* t : {"run-2/0", "run-2/1"}) EXPECT_GE(c.log.starts[t], 1) << t;
  EXPECT_TRUE(c.log.twice.empty());
}

TEST(MarketSafety, MachineOfAnotherZoneThanBidForStartsNothing) {
  // The market says zone a, the machine says b: a job that may only run in a must not start there.
  Trading c(north());
  JobSpec spec = test_job("run-1", 1, 4);
  spec.zone = ZoneIndex{0};
  c.submit(spec);
  c.state.txn({{"guards", lab::Json::array()},
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
  c.add_stranger("north.x1", "b");
  c.run(8);
  EXPECT_FALSE(c.worker("north.x1").has("run-1/0"));
  ASSERT_TRUE(c.runs("run-1/0", 60));
  EXPECT_NE(*c.running_on("run-1/0"), "north.x1");
  EXPECT_EQ(c.state.keys().count("o/m/north.x1"), 0U);  // it went back
}

TEST(MarketSafety, TakeoverInAnAuctionNeitherLosesTheMachineNorRunsTwice) {
  lab::Character slow = north();
  slow.auction_s = 6;
  slow.delivery_s = 10;
  Trading c(slow);
  c.submit(test_job("run-1", 2, 4));
  c.run(5);  // bids are out, nothing is decided
  c.kill_node(0);
  c.node(1).claim_all(c.now);
  std::size_t by_both = c.markets[0].hosts().size();
  EXPECT_EQ(by_both, 0U);
  for (double t = 0; t < 80 && (c.running_on("run-1/0") == nullptr || c.running_on("run-1/1") == nullptr);
       t += 1)
    c.run(1, 1);
  EXPECT_NE(c.running_on("run-1/0"), nullptr);
  EXPECT_NE(c.running_on("run-1/1"), nullptr);
  EXPECT_EQ(c.markets[0].hosts().size(), 2U);  // followed, not bought again
  EXPECT_TRUE(c.log.twice.empty());
}

TEST(MarketSafety, MachinesOfAMarketThatOverchargesAreLeftAndGoBack) {
  lab::Character liar = north();
  liar.overcharge = 100;
  Trading c(liar);
  lab::Character honest = north();
  honest.name = "south";
  honest.price = 9;
  c.add_market(honest);
  c.submit(test_job("run-1", 1, 4));
  ASSERT_TRUE(c.runs("run-1/0", 60));
  ASSERT_EQ(c.running_on("run-1/0")->rfind("north.", 0), 0U);
  c.run(60);
  ASSERT_NE(c.running_on("run-1/0"), nullptr);
  EXPECT_EQ(c.running_on("run-1/0")->rfind("south.", 0), 0U);
  for (const auto& [name, h] : c.markets[0].hosts()) EXPECT_TRUE(h.returned) << name;
  EXPECT_TRUE(c.log.twice.empty());
}

RC_GTEST_PROP(MarketSafetyProps, NoTaskIsOnTwoMachinesThroughAnyMixtureOfFaults, ()) {
  lab::Character a = north(), b = north();
  b.name = "south";
  for (lab::Character* c : {&a, &b}) {
    c->keeps_running = *rc::gen::arbitrary<bool>();
    c->never = *rc::gen::inRange(0, 3) / 5.0;
    c->late = *rc::gen::inRange(0, 3) / 5.0;
    c->wrong = *rc::gen::inRange(0, 3) / 5.0;
    c->twice = *rc::gen::inRange(0, 3) / 5.0;
    c->stall = *rc::gen::inRange(0, 3) / 5.0;
    c->overcharge = *rc::gen::element(1.0, 1.0, 100.0);
  }
  Trading c(a);
  c.add_market(b);
  std::size_t owner = 0;
  auto moves = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 9), rc::gen::inRange(0, 8), rc::gen::inRange(1, 30)));
  int jobs = 0;
  auto nth = [&](int n) -> std::string {
    std::vector<std::string> names;
    for (const auto& m : c.markets) {
      for (const auto& [name, h] : m.hosts()) {
        if (h.alive) names.push_back(name);
      }
    }
    return names.empty() ? "" : names[static_cast<std::size_t>(n) % names.size()];
  };
  c.submit(test_job("run-" + std::to_string(jobs++), 2, 4));
  for (auto [what, which, steps] : moves) {
    std::string host = nth(which);
    switch (what) {
      case 0:
        c.submit(test_job("run-" + std::to_string(jobs++), 1 + which % 2, 4));
        break;
      case 1:
        c.withdraw("run-" + std::to_string(which));
        break;
      case 2:  // the other controller takes over, the first one finds out when it can
        c.kill_node(owner);
        owner = 1 - owner;
        c.node(owner).hold.lost();
        c.node(owner).claim_all(c.now);
        break;
      case 3:
        c.state.set_outage(!c.state.outage(), c.now);
        break;
      case 4:
        if (!host.empty()) c.silenced.insert(host);
        break;
      case 5:
        c.silenced.erase(host);
        break;
      case 6:
        c.node(owner).fate = Fate::answer_lost;
        break;
      case 7:
        c.node(owner).fate = Fate::not_arrived;
        break;
      case 8: {
        // A transaction that was held back arrives.
        auto& lost = c.node(owner).lost;
        if (!lost.empty()) c.state.txn(lost[static_cast<std::size_t>(which) % lost.size()]);
        break;
      }
    }
    for (int i = 0; i < steps; ++i) {
      c.run(0.5, owner);
      RC_ASSERT(c.log.twice.empty());
    }
    c.node(owner).fate = Fate::answered;
  }
  RC_CLASSIFY(!c.log.starts.empty(), "something ran");
}

}  // namespace
}  // namespace oxbowmill
