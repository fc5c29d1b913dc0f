// Where tasks may go, and gangs: all or none, and what their members say together.
#include <gtest/gtest.h>

#include "oxbowmill/core/token_bucket.h"
#include "oxbowmill/lab/cluster.h"

namespace oxbowmill {
namespace {

using lab::Cluster;
using lab::test_job;

CandidateNode bin(std::uint32_t zone, double gpus, bool image = false, bool spot = false) {
  return {MachineIndex{}, TypeIndex{0}, ZoneIndex{zone}, spot, 0, {32, gpus, 128}, 0, image ? 0.0 : 10.0};
}

TEST(Placement, ChoosesWithinTheJobsLimits) {
  struct Case {
    const char* what;
    Shape shape;
    std::uint32_t tasks;
    double gpus;
    bool one_zone, scatter, spot;
    std::vector<CandidateNode> bins;
    std::size_t placed;
  };
  const Case cases[] = {
      {"array takes what fits", Shape::array, 6, 1, false, false, false, {bin(0, 4), bin(1, 1)}, 5},
      {"gang takes all", Shape::gang, 5, 1, false, false, false, {bin(0, 4), bin(1, 1)}, 5},
      {"gang takes none", Shape::gang, 6, 1, false, false, false, {bin(0, 4), bin(1, 1)}, 0},
      {"gang in one zone does not fit", Shape::gang, 2, 4, true, false, false, {bin(0, 4), bin(1, 4)}, 0},
      {"gang in one zone fits", Shape::gang, 2, 4, true, false, false, {bin(0, 4), bin(1, 4), bin(1, 4)}, 2},
      {"half of the tasks per zone, rounded up",
       Shape::array,
       5,
       1,
       false,
       true,
       false,
       {bin(0, 4), bin(0, 4)},
       3},
      {"one of one", Shape::array, 1, 1, false, true, false, {bin(0, 4)}, 1},
      {"no spot machine without leave", Shape::array, 1, 1, false, false, false, {bin(0, 4, false, true)}, 0},
      {"spot machine with leave", Shape::array, 1, 1, false, false, true, {bin(0, 4, false, true)}, 1},
      {"too large", Shape::array, 1, 5, false, false, false, {bin(0, 4)}, 0},
  };
  for (const Case& c : cases) {
    JobSpec s = test_job("run-1", c.tasks, c.gpus);
    s.shape = c.shape;
    s.one_zone = c.one_zone;
    s.scatter = c.scatter;
    s.spot = c.spot;
    std::vector<TaskNo> tasks;
    for (TaskNo t = 0; t < c.tasks; ++t) tasks.push_back(t);
    auto bins = c.bins;
    EXPECT_EQ(choose(s, tasks, bins, {0, 0}).size(), c.placed) << c.what;
  }
}

TEST(Placement, OldAttemptsFixTheZone) {
  JobSpec s = test_job("run-1", 3);
  s.one_zone = true;
  std::vector<CandidateNode> bins = {bin(0, 4), bin(1, 1)};
  auto chosen = choose(s, {1, 2}, bins, {0, 1});
  ASSERT_EQ(chosen.size(), 1U);
  EXPECT_EQ(bins[chosen[0].node].zone.v, 1U);
  EXPECT_TRUE(choose(s, {2}, bins, {1, 1}).empty());
}

TEST(Placement, PrefersTheImageThenTheFullestMachine) {
  JobSpec s = test_job("run-1", 1);
  std::vector<CandidateNode> bins = {bin(0, 4), bin(0, 2), bin(0, 3, true)};
  EXPECT_EQ(choose(s, {0}, bins, {0, 0})[0].node, 2U);
  bins = {bin(0, 4), bin(0, 2)};
  EXPECT_EQ(choose(s, {0}, bins, {0, 0})[0].node, 1U);
}

TEST(Order, GivesUpTheFewestJobs) {
  struct Case {
    const char* what;
    std::vector<Due> jobs;
    double rate;
    std::vector<bool> given_up;
  };
  const Case cases[] = {
      {"all in time", {{10, 5}, {20, 5}}, 1, {false, false}},
      {"the largest goes, whatever its time", {{10, 8}, {12, 4}, {14, 4}}, 1, {true, false, false}},
      {"late already", {{-1, 1}, {5, 5}}, 1, {true, false}},
      {"late already does not count against others", {{-1, 100}, {-2, 50}, {5, 5}}, 1, {true, true, false}},
      {"no room comes", {{10, 1}, {20, 1}}, 0, {true, true}},
      {"at its very time", {{5, 5}}, 1, {false}},
      {"none", {}, 1, {}},
  };
  for (const Case& c : cases) EXPECT_EQ(give_up_late(c.jobs, c.rate), c.given_up) << c.what;
}

TEST(Placement, HowManyFit) {
  EXPECT_EQ(how_many_fit({6, 1, 36}, {32, 4, 192}), 4);
  EXPECT_EQ(how_many_fit({0.1, 0, 0}, {0.3, 0, 0}), 3);  // sums of decimals
  EXPECT_EQ(how_many_fit({1, 0, 0}, {0, 4, 4}), 0);
}

JobSpec gang(const std::string& ref, std::uint32_t tasks) {
  JobSpec s = test_job(ref, tasks, 4);
  s.shape = Shape::gang;
  return s;
}

TEST(Gangs, StartsWholeWithOneAttemptAndFinishesTogether) {
  Cluster c;
  c.add_machine("m1");
  c.submit(gang("run-1", 2));
  c.run(4);
  EXPECT_EQ(c.log.starts["run-1/0"] + c.log.starts["run-1/1"], 0);
  c.add_machine("m2");
  c.run(4);
  std::string first = c.worker("m1").has("run-1/0") ? "run-1/0" : "run-1/1";
  std::string second = first == "run-1/0" ? "run-1/1" : "run-1/0";
  ASSERT_TRUE(c.worker("m1").has(first));
  ASSERT_TRUE(c.worker("m2").has(second));
  EXPECT_EQ(c.worker("m1").attempt(first), c.worker("m2").attempt(second));
  // One says done while the other's machine is silent: they complete together.
  c.silenced.insert("m2");
  c.worker("m1").finish(first, EndCause::done);
  c.run(2);
  EXPECT_EQ(c.phase("run-1"), "done");
}

TEST(Gangs, MemberThatGaveUpWaitingIsReplacedUnderTheSameAttempt) {
  // One member has its image and waits, the other fetches for longer than a gang waits. Stopping both would
  // give the fetch up, and the next attempt would end the same way.
  Cluster c;
  c.add_machine("m1");
  c.add_machine("m2");
  c.submit(gang("run-1", 2));
  c.run(3);
  std::string on1 = c.worker("m1").has("run-1/0") ? "run-1/0" : "run-1/1";
  std::string on2 = on1 == "run-1/0" ? "run-1/1" : "run-1/0";
  c.worker("m1").set_phase(on1, TaskPhase::gathering);
  c.worker("m2").set_phase(on2, TaskPhase::fetching);
  c.run(1);
  Attempt attempt = c.worker("m2").attempt(on2);
  c.worker("m1").finish(on1, EndCause::incomplete);
  c.run(3);
  EXPECT_EQ(c.log.starts[on2], 1);  // still fetching
  ASSERT_TRUE(c.worker("m1").has(on1));
  EXPECT_EQ(c.log.starts[on1], 2);
  EXPECT_EQ(c.worker("m1").attempt(on1), attempt);
  c.run(5);
  c.worker("m1").finish(on1, EndCause::done);
  c.run(2);
  EXPECT_EQ(c.phase("run-1"), "done");
}

TEST(Gangs, MembersFetchWhereTheyCanWhileTheRestOfTheirMachinesComes) {
  // Waiting for all machines at once, a gang lost each one to smaller jobs as it came up.
  Cluster c;
  c.add_machine("m1");
  c.add_machine("m2");
  c.silenced.insert("m2");  // boots
  c.submit(gang("run-1", 2));
  c.run(1);
  std::string first = c.worker("m1").has("run-1/0") ? "run-1/0" : "run-1/1";
  ASSERT_TRUE(c.worker("m1").has(first));
  c.worker("m1").set_phase(first, TaskPhase::gathering);
  c.submit(gang("run-2", 1));
  c.run(2);
  EXPECT_EQ(c.log.starts["run-2/0"], 0);
  c.silenced.clear();
  c.run(2);
  std::string second = first == "run-1/0" ? "run-1/1" : "run-1/0";
  ASSERT_TRUE(c.worker("m2").has(second));
  EXPECT_EQ(c.worker("m1").attempt(first), c.worker("m2").attempt(second));
  EXPECT_EQ(c.log.starts[first], 1);
}

TEST(Gangs, MembersWhoseRestNeverComesLetTheirMachinesGo) {
  Cluster c;
  c.add_machine("m1");
  c.add_machine("m2");
  c.silenced.insert("m2");  // never comes up
  c.submit(gang("run-1", 2));
  c.run(1);
  std::string first = c.worker("m1").has("run-1/0") ? "run-1/0" : "run-1/1";
  ASSERT_TRUE(c.worker("m1").has(first));
  c.worker("m1").set_phase(first, TaskPhase::gathering);
  c.submit(gang("run-2", 1));
  c.run(2 * c.node(0).model.catalog[0].boot_s + c.node(0).model.settings.gang_wait_s + 5);
  EXPECT_FALSE(c.worker("m1").has(first));
  EXPECT_TRUE(c.worker("m1").has("run-2/0"));
}

TEST(Gangs, RoomGatheredForAGangIsNotFilledAgainByLowerRank) {
  // Arrays once took each machine that a gang had emptied before the next was empty too.
  Cluster c;
  for (const char* m : {"m1", "m2", "m3"}) c.add_machine(m, "a", "blue");
  JobSpec low = test_job("run-1", 40);
  low.part = PartIndex{2};
  low.rank = Rank::low;
  c.submit(low);
  c.run(3);
  std::map<std::string, int> before = c.log.starts;
  JobSpec high = gang("run-2", 3);
  high.part = PartIndex{2};
  high.rank = Rank::high;
  c.submit(high);
  c.run(6);
  for (const char* t : {"run-2/0", "run-2/1", "run-2/2"}) EXPECT_EQ(c.log.starts[t], 1) << t;
  int restarted = 0;
  for (const auto& [task, n] : c.log.starts) {
    if (task.compare(0, 6, "run-1/") == 0) restarted += n - before[task];
  }
  EXPECT_EQ(restarted, 0);
}

TEST(Gangs, MachineWithTheImageIsWorthStoppingLowerRankWhereTheFetchIsLong) {
  // The owner once took its free machine at once and fetched for longer than the other's work needs to save.
  Cluster c;
  c.node(0).model.catalog[0].fetch_gb_per_s = 0.5;
  c.node(0).model.catalog[0].cache_gb = 100;
  c.add_machine("m1");
  c.add_machine("m2", "a", "blue");
  JobSpec low = test_job("run-1", 4);
  low.part = PartIndex{2};
  low.rank = Rank::low;
  low.image_gb = 8;
  c.submit(low);
  c.run(4);
  ASSERT_TRUE(c.worker("m2").has("run-1/0"));
  JobSpec high = gang("run-2", 1);
  high.rank = Rank::high;
  high.image_gb = 8;  // the same image
  c.submit(high);
  c.run(8);
  EXPECT_TRUE(c.worker("m2").has("run-2/0"));
  EXPECT_EQ(c.log.starts["run-2/0"], 1);
  EXPECT_TRUE(c.log.twice.empty());
}

TEST(Gangs, MachineOfAMemberThatGaveUpWaitingIsKeptForIt) {
  // Its image is there. Between its end and the record of that another gang took the machine.
  Cluster c;
  c.add_machine("m1");
  c.add_machine("m2");
  for (const char* m : {"m1", "m2"}) c.worker(m).first_phase = TaskPhase::gathering;
  c.submit(gang("run-1", 2));
  c.run(3);
  std::string task = c.worker("m1").has("run-1/0") ? "run-1/0" : "run-1/1";
  ASSERT_TRUE(c.worker("m1").has(task));
  JobSpec other = gang("run-0", 1);
  other.rank = Rank::high;  // it would go first
  c.submit(other);
  c.node(0).sync(c.now);
  c.worker("m1").finish(task, EndCause::incomplete);
  c.now += 0.5;
  c.exchange("m1", 0);
  c.node(0).fate = lab::Fate::answer_lost;  // the end is written, and its answer is waited for
  c.node(0).pass(c.now);
  EXPECT_TRUE(c.placed("run-0", 0).empty());
}

TEST(Gangs, LossOfOneStopsTheRestAndWaitsForAll) {
  Cluster c;
  c.add_machine("m1");
  c.add_machine("m2");
  c.submit(gang("run-1", 2));
  c.run(4);
  std::string on1 = c.worker("m1").has("run-1/0") ? "run-1/0" : "run-1/1";
  ASSERT_TRUE(c.worker("m1").has(on1));
  Attempt before = c.worker("m1").attempt(on1);
  c.silenced.insert("m2");
  c.worker("m1").finish(on1, EndCause::peers);
  c.add_machine("m3");
  c.run(6);
  // The member on m2 may still be there: nothing is started until its lease is over.
  EXPECT_EQ(c.log.starts["run-1/0"], 1);
  EXPECT_EQ(c.log.starts["run-1/1"], 1);
  c.run(12);
  ASSERT_EQ(c.log.starts["run-1/0"], 2);
  EXPECT_TRUE(c.log.twice.empty());
  for (const char* m : {"m1", "m3"}) {
    for (const char* t : {"run-1/0", "run-1/1"}) {
      if (c.worker(m).has(t)) {
        EXPECT_NE(c.worker(m).attempt(t), before);
      }
    }
  }
}

TEST(Gangs, GangLargerThanATransactionIsPlacedInPieces) {
  Cluster c;
  for (int i = 0; i < 70; ++i) c.add_machine("m" + std::to_string(i), "a", "blue");
  JobSpec s = gang("run-1", 70);  // more machines than one transaction can guard, two records
  s.part = PartIndex{2};
  c.submit(s);
  c.run(6);
  std::set<Attempt> attempts;
  for (int i = 0; i < 70; ++i) {
    for (const TaskReport& t : c.worker("m" + std::to_string(i)).report(c.now).tasks)
      attempts.insert(t.attempt);
  }
  EXPECT_EQ(c.log.starts.size(), 70U);
  EXPECT_EQ(attempts.size(), 1U);
}

TEST(Jobs, HundredThousandTasksStayWithinTheStateServicesLimits) {
  Cluster c;
  for (int i = 0; i < 40; ++i)
    c.add_machine("machine-with-a-long-name-" + std::to_string(1000000 + i), "a", "blue");
  JobSpec s = test_job("run-with-a-long-name-0001", 100000, 0.05);
  s.part = PartIndex{2};
  s.need = {0.1, 0.01, 0.1};
  c.submit(s);
  c.run(8);
  int running = 0;
  for (const auto& [task, n] : c.log.starts) running += n;
  EXPECT_GT(running, 2000);
  EXPECT_TRUE(c.log.twice.empty());
  EXPECT_EQ(c.node(0).model.job(c.node(0).model.find_job(s.ref)).pending(),
            100000U - c.node(0).model.job(c.node(0).model.find_job(s.ref)).placed.size());
}

TEST(Gangs, SpotNoticeStopsAllMembersInOrderWithTimeToSave) {
  Cluster c;
  JobSpec s = gang("run-1", 2);
  s.spot = true;
  c.add_machine("m1", "a", "red", true);
  c.add_machine("m2");
  c.submit(s);
  c.run(4);
  ASSERT_EQ(c.log.starts["run-1/0"], 1);
  c.worker("m1").recall_s = 10;
  c.exchange("m1", 0);
  c.node(0).direct.clear();
  c.now += 0.5;
  c.node(0).pass(c.now);
  c.now += 0.5;
  c.node(0).pass(c.now);
  std::set<std::string> told;
  for (const DirectOrders& d : c.node(0).direct) {
    told.insert(c.node(0).model.names.machines.name(d.machine));
    for (const Order& o : d.orders) {
      EXPECT_EQ(o.verb, OrderVerb::kill);
      EXPECT_GE(o.wind_down_s, s.flush_s);
    }
  }
  EXPECT_EQ(told, (std::set<std::string>{"m1", "m2"}));
}

TEST(Gangs, ServiceReplicasAreReplacedUntilCancelled) {
  Cluster c;
  c.add_machine("m1");
  JobSpec s = test_job("run-1", 2);
  s.shape = Shape::service;
  s.estimate_s = 0;
  c.submit(s);
  c.run(3);
  c.worker("m1").finish("run-1/0", EndCause::error);
  c.run(5);
  EXPECT_TRUE(c.worker("m1").has("run-1/0"));
  EXPECT_EQ(c.log.starts["run-1/0"], 2);
  c.withdraw("run-1");
  c.run(3);
  EXPECT_EQ(c.phase("run-1"), "cancelled");
  EXPECT_FALSE(c.worker("m1").has("run-1/1"));
}

TEST(Fleet, LeaderMovesIdleMachinesAndRentsWhatIsMissing) {
  Cluster c;
  c.add_machine("m1", "a", ".pool");
  c.run(2);
  c.submit(test_job("run-1", 8));
  c.run(4);
  EXPECT_EQ(c.state.keys().at("o/m/m1").value.at("part"), "red");
  EXPECT_TRUE(c.worker("m1").has("run-1/0"));
  // Nothing has come free of late, so there is nothing to wait for.
  ASSERT_EQ(c.node(0).rents.size(), 1U);  // for the other four; asked once
  EXPECT_EQ(c.node(0).rents[0].count, 1U);
  // In doubt, the same name is asked again; a definite answer ends it.
  std::string name = c.node(0).rents[0].request;
  c.node(0).fleet.on_rented(name, false, {}, c.now);
  c.run(5);
  ASSERT_EQ(c.node(0).rents.size(), 2U);
  EXPECT_EQ(c.node(0).rents[1].request, name);
  c.node(0).fleet.on_rented(name, true, {"m9"}, c.now);
  c.run(2);
  EXPECT_EQ(c.state.keys().at("o/m/m9").value.at("part"), "red");
  EXPECT_EQ(c.node(0).rents.size(), 2U);
}

TEST(Fleet, MachineThatServedForLongIsNotTakenForOneThatNeverBooted) {
  // The pool's owner has had no report of it yet; it was once returned at once for that.
  Cluster c;
  c.add_machine("m1");
  c.submit(test_job("run-1", 1));
  OperatorSettings& op = c.node(0).model.settings.op;
  op.give_back_s = 5;
  c.run(op.boot_patience * 20 + 20);
  c.worker("m1").finish("run-1/0", EndCause::done);
  c.run(1.5);
  c.silenced.insert("m1");  // its first report to the pool's owner does not come for a while
  c.run(6.5);
  EXPECT_EQ(c.state.keys().at("o/m/m1").value.at("part"), ".pool");
  EXPECT_FALSE(c.state.keys().at("o/m/m1").value.at("del").get<bool>());
}

TEST(Fleet, LargeStartWritesOneRecordAMachineAndOneAJob) {
  // The start of a day is what the state service's changes are scarcest for.
  constexpr int size = 300;
  Cluster c;
  for (int i = 0; i < size; ++i) c.add_stranger("m" + std::to_string(i), i % 2 == 0 ? "a" : "b");
  for (int i = 0; i < size; ++i) {
    JobSpec s = gang("run-" + std::to_string(i), 1);
    s.part = PartIndex{2};
    c.submit(s);
  }
  c.node(0).sync(c.now);
  std::size_t before = c.state.events().size();
  c.run(25);
  std::map<std::string, int> written;
  for (std::size_t i = before; i < c.state.events().size(); ++i)
    ++written[c.state.events()[i].key.substr(0, 4)];
  EXPECT_EQ(c.log.starts.size(), static_cast<std::size_t>(size));
  EXPECT_EQ(written["o/m/"], size);
  EXPECT_EQ(written["o/c/"], size);
  EXPECT_EQ(c.node(0).refused, 0);
  EXPECT_TRUE(c.log.twice.empty());
}

TEST(Fleet, ZoneOutOfReachIsNeitherRentedInNorCountedOn) {
  Cluster c;
  for (int i = 0; i < 5; ++i) {
    c.add_machine("a" + std::to_string(i), "a", "blue");
    c.add_machine("b" + std::to_string(i), "b", "blue");
  }
  c.run(3);
  for (int i = 0; i < 5; ++i) c.silenced.insert("a" + std::to_string(i));
  c.run(4);
  EXPECT_TRUE(c.node(0).scheduler.dark(ZoneIndex{0}, c.now));
  EXPECT_FALSE(c.node(0).scheduler.dark(ZoneIndex{1}, c.now));
  JobSpec s = test_job("run-1", 40);  // more than zone b has
  s.part = PartIndex{2};
  c.submit(s);
  c.run(6);
  ASSERT_FALSE(c.node(0).rents.empty());
  for (const RentOrder& r : c.node(0).rents) EXPECT_EQ(r.zone.v, 1U);
  EXPECT_EQ(c.log.starts.size(), 20U);
  c.silenced.clear();
  c.run(2);
  EXPECT_FALSE(c.node(0).scheduler.dark(ZoneIndex{0}, c.now));
  // A node that hears nobody has lost the network itself: no zone is to blame.
  for (int i = 0; i < 5; ++i) {
    c.silenced.insert("a" + std::to_string(i));
    c.silenced.insert("b" + std::to_string(i));
  }
  c.run(4);
  EXPECT_TRUE(c.node(0).scheduler.dark_zones(c.now).empty());
}

TEST(Fleet, MachineNobodyAskedForIsTakenIn) {
  Cluster c;
  c.add_machine("m1", "a", ".pool");
  lab::Worker stranger("host-9", "b", c.log);
  auto a = c.node(0).hear(stranger.report(c.now), c.now);
  EXPECT_EQ(a.kind, ReportAnswer::Kind::ok);
  EXPECT_TRUE(a.orders.empty());
  c.run(1);
  EXPECT_EQ(c.state.keys().at("o/m/host-9").value.at("part"), ".pool");
}

TEST(Fleet, NewMachineGoesStraightToThePartThatWaits) {
  // Taken into the pool first, each machine cost two changes and the worker a further round of reports.
  Cluster c;
  c.submit(test_job("run-1", 1));
  c.node(0).sync(c.now);
  lab::Worker stranger("host-9", "b", c.log);
  c.node(0).hear(stranger.report(c.now), c.now);
  std::size_t before = c.state.events().size();
  c.run(0.5);
  EXPECT_EQ(c.state.keys().at("o/m/host-9").value.at("part"), "red");
  std::size_t records = 0;
  for (std::size_t i = before; i < c.state.events().size(); ++i)
    records += c.state.events()[i].key == "o/m/host-9" ? 1 : 0;
  EXPECT_EQ(records, 1U);
}

TEST(Net, TokenBucketAllowsItsRateAndBurst) {
  TokenBucket b(10, 5);
  int taken = 0;
  for (int i = 0; i < 20; ++i) taken += b.take(1, 100) ? 1 : 0;
  EXPECT_EQ(taken, 5);
  EXPECT_NEAR(b.wait_for(2, 100), 0.2, 1e-9);
  EXPECT_TRUE(b.take(2, 100.2));
  EXPECT_FALSE(b.take(1, 100.2));
  EXPECT_FALSE(b.take(6, 100.3));
  EXPECT_TRUE(b.take(6, 101));  // larger than the burst: taken on credit once it is full
}

}  // namespace
}  // namespace oxbowmill
