// Services: replicas that run until their job is cancelled, and how they share machines with other work.
#include <gtest/gtest.h>

#include "oxbowmill/lab/cluster.h"

namespace oxbowmill {
namespace {

using lab::Cluster;
using lab::test_job;

JobSpec service(const std::string& ref, std::uint32_t replicas) {
  JobSpec s = test_job(ref, replicas);
  s.shape = Shape::service;
  s.rank = Rank::production;
  s.save_every_s = s.flush_s = 0;
  return s;
}

/// A replica is on exactly this machine, by the records and by the worker itself.
void expect_on(Cluster& c, const std::string& machine, const std::string& ref, TaskNo task) {
  EXPECT_EQ(c.placed(ref, task), std::vector<std::string>{machine});
  EXPECT_TRUE(c.worker(machine).has(ref + "/" + std::to_string(task)));
}

TEST(Services, ReplicaThroughItsTroubles) {
  struct Case {
    const char* what;
    std::function<void(Cluster&)> trouble;
    std::string phase;
    std::size_t node;   // who owns the part afterwards
    std::string first;  // where replica 0 is in the end; empty: nowhere
    int starts;         // of replica 0, all in all
  };
  const Case cases[] = {
      {"start", [](Cluster&) {}, "open", 0, "m1", 1},
      {"lost with its machine",
       [](Cluster& c) {
         c.add_machine("m2");
         c.run(2);
         c.silenced.insert("m1");
         c.state.txn({{"guards", lab::Json::array()}, {"apply", {{{"delete", "o/m/m1"}}}}});
         c.worker("m1").tick(c.now + 100);  // it is gone
         c.run(3);
       },
       "open", 0, "m2", 2},
      {"on a silent machine, replaced once its lease is over and not before",
       [](Cluster& c) {
         c.add_machine("m2");
         c.run(2);
         c.silenced.insert("m1");
         c.run(c.node(0).model.settings.lease_over_s() - 2);
         EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{"m1"});
         c.run(5);
       },
       "open", 0, "m2", 2},
      {"kept through a takeover",
       [](Cluster& c) {
         c.kill_node(0);
         c.now += 4;
         c.node(1).claim_all(c.now);
         c.run(5, 1);
       },
       "open", 1, "m1", 1},
      {"not stopped for a gang of high rank",
       [](Cluster& c) {
         JobSpec g = test_job("run-9", 1, 4);
         g.shape = Shape::gang;
         g.rank = Rank::high;
         c.submit(g);
         c.run(5);
         EXPECT_EQ(c.log.starts["run-9/0"], 0);
       },
       "open", 0, "m1", 1},
      {"error: started again",
       [](Cluster& c) {
         c.worker("m1").finish("run-1/0", EndCause::error);
         c.run(6);
       },
       "open", 0, "m1", 2},
      {"cancel",
       [](Cluster& c) {
         EXPECT_EQ(c.withdraw("run-1"), 200);
         c.run(4);
       },
       "cancelled", 0, "", 1},
      {"late report under an earlier attempt changes nothing",
       [](Cluster& c) {
         WorkerReport late = c.worker("m1").report(c.now);
         late.tasks[0].phase = TaskPhase::ended;
         late.tasks[0].cause = EndCause::error;
         late.tasks[0].attempt -= 1;
         late.serial = 0;
         c.node(0).hear(late, c.now);
         c.run(3);
       },
       "open", 0, "m1", 1},
  };
  for (const Case& k : cases) {
    SCOPED_TRACE(k.what);
    Cluster c;
    c.add_machine("m1");
    c.node(0).model.settings.op.idle_keep_s = c.node(0).model.settings.op.give_back_s = 1000;
    c.submit(service("run-1", 2));
    c.run(3);
    k.trouble(c);
    EXPECT_EQ(c.phase("run-1"), k.phase);
    EXPECT_EQ(c.log.starts["run-1/0"], k.starts);
    EXPECT_TRUE(c.log.twice.empty());
    if (!k.first.empty()) {
      expect_on(c, k.first, "run-1", 0);
    } else {
      EXPECT_FALSE(c.worker("m1").has("run-1/0"));
    }
  }
}

TEST(Services, CancelAgainstStart) {
  // The withdrawal becomes durable after the placement and before its start was sent.
  Cluster c;
  c.add_machine("m1");
  c.run(1);
  c.submit(service("run-1", 1));
  c.node(0).sync(c.now);
  c.node(0).pass(c.now);
  ASSERT_EQ(c.placed("run-1", 0), std::vector<std::string>{"m1"});
  EXPECT_EQ(c.withdraw("run-1"), 200);
  c.run(4);
  EXPECT_EQ(c.log.starts["run-1/0"], 0);
  EXPECT_EQ(c.phase("run-1"), "cancelled");
}

TEST(Services, NeverEnterTheDetector) {
  Cluster c;
  for (const char* m : {"m1", "m2"}) c.add_machine(m);
  c.submit(service("run-1", 2));
  c.submit(service("run-2", 2));
  c.run(200);
  for (const char* t : {"run-1/0", "run-1/1", "run-2/0", "run-2/1"}) EXPECT_EQ(c.log.starts[t], 1) << t;
}

TEST(Sharing, ShortAndLastingWorkKeepApart) {
  // One lasting replica on a machine keeps it from every gang and from being returned.
  MachineType type = lab::test_catalog()[0];
  Model model(lab::test_settings("node-0"), lab::test_names());
  model.catalog = {type};
  auto whole = [&](bool spot) {
    CandidateNode b{MachineIndex{}, TypeIndex{0}, ZoneIndex{0}, spot, 0, type.room};
    return b;
  };
  auto part = [&](bool lasting, bool spot = false) {
    CandidateNode b = whole(spot);
    b.room -= Amounts{2, 1, 8};
    b.lasting = lasting;
    return b;
  };
  JobSpec replica = service("run-1", 1), task = test_job("run-2", 1), gang = test_job("run-3", 1, 4);
  task.spot = true;
  gang.shape = Shape::gang;
  struct Case {
    const char* what;
    const JobSpec& spec;
    std::vector<CandidateNode> bins;
    std::size_t chosen;
  };
  const Case cases[] = {
      {"a replica goes to others", replica, {whole(false), part(false), part(true)}, 2},
      {"a replica takes a shared machine before a whole one", replica, {whole(false), part(false)}, 1},
      {"a task takes a cheap machine", task, {part(false), part(true), whole(true)}, 2},
      {"a task fills a cheap machine first", task, {whole(true), part(false, true)}, 1},
      {"a task takes a shared machine before replicas'", task, {part(true), part(false)}, 1},
      {"a task takes replicas' holes before a whole machine", task, {whole(false), part(true)}, 1},
      {"a gang takes a whole one", gang, {part(true), whole(false)}, 1},
  };
  for (const Case& k : cases) {
    auto bins = k.bins;
    see_as(k.spec, model, bins);
    auto chosen = choose(k.spec, {0}, bins, {0, 0});
    ASSERT_EQ(chosen.size(), 1U) << k.what;
    EXPECT_EQ(chosen[0].node, k.chosen) << k.what;
  }
}

TEST(Sharing, ShortWorkLeavesWholeMachinesToGangsWhileCheapOnesCome) {
  Cluster c;
  c.add_machine("m1");
  c.run(2);
  JobSpec g = test_job("run-1", 2, 4);  // it needs two; one is there
  g.shape = Shape::gang;
  g.part = PartIndex{2};
  JobSpec task = test_job("run-2", 1);
  task.part = PartIndex{2};
  task.spot = true;
  c.add_machine("m2", "a", "blue");
  c.run(1);
  c.submit(g);
  c.submit(task);
  c.run(2);
  EXPECT_EQ(c.log.starts["run-2/0"], 0);
  bool cheap = false;
  for (const RentOrder& r : c.node(0).rents) cheap = cheap || r.spot;
  EXPECT_TRUE(cheap);
  // The cloud has none: rather a whole machine than none at all.
  for (const RentOrder& r : std::vector<RentOrder>(c.node(0).rents)) {
    c.node(0).fleet.on_rented(r.request, true, {}, c.now);
  }
  c.run(c.node(0).model.settings.op.rent_patience_s + 2);
  EXPECT_EQ(c.log.starts["run-2/0"], 1);
}

TEST(Sharing, WholeMachinesStandByAtThePaceGangsTakeThem) {
  Cluster c;
  for (int i = 0; i < 40; ++i) c.add_machine("m" + std::to_string(i), "a", "blue");
  c.run(2);
  JobSpec filler = test_job("run-1", 160);
  filler.part = PartIndex{2};
  c.submit(filler);
  c.run(4);
  JobSpec g = test_job("run-2", 6, 4);
  g.shape = Shape::gang;
  g.part = PartIndex{2};
  c.submit(g);
  EXPECT_TRUE(c.node(0).rents.empty());  // what is being placed needs no machines
  c.run(c.node(0).model.settings.op.rent_patience_s + 3);
  std::size_t for_gang = 0, ahead = 0;
  for (const RentOrder& r : c.node(0).rents) {
    for (PartIndex p : r.parts) ++(p == pool_part ? ahead : for_gang);
  }
  EXPECT_EQ(for_gang, 6U);
  // Six in 30 s, 20 s a boot: four; a tenth of the forty at the most: four.
  EXPECT_EQ(ahead, 4U);
}

TEST(Marks, BusyOwnerCollectsDoneMarksAndTheirRoomIsFree) {
  // A mark for each end of a task once took most of the state service's changes.
  Cluster c;
  Settings& s = c.node(0).model.settings;
  s.state_write_rps = 0;  // always busy
  s.op.mark_delay_s = 20;
  c.add_machine("m1");
  c.submit(test_job("run-1", 4));
  c.run(3);
  c.worker("m1").finish("run-1/0", EndCause::done);
  c.worker("m1").finish("run-1/1", EndCause::done);
  c.run(2);
  auto mark = [&] { return c.state.keys().at("o/c/run-1/0").value.at("d").get<std::string>(); };
  EXPECT_EQ(mark(), "0");
  c.submit(test_job("run-2", 2));  // the machine holds four
  c.run(3);
  EXPECT_TRUE(c.worker("m1").has("run-2/0"));
  EXPECT_TRUE(c.worker("m1").has("run-2/1"));
  c.run(20);
  EXPECT_EQ(mark(), "3");  // both in one change
  // The job's end waits for nothing.
  c.worker("m1").finish("run-1/2", EndCause::done);
  c.run(2);
  EXPECT_EQ(mark(), "3");
  c.worker("m1").finish("run-1/3", EndCause::done);
  c.run(2);
  EXPECT_EQ(c.phase("run-1"), "done");
}

TEST(Marks, MarksLostWithTheirOwnerAreReportedAgain) {
  Cluster c;
  c.node(0).model.settings.state_write_rps = 0;
  c.add_machine("m1");
  c.submit(test_job("run-1", 2));
  c.run(3);
  c.worker("m1").finish("run-1/0", EndCause::done);
  c.run(2);
  c.kill_node(0);
  c.now += 4;
  c.node(1).claim_all(c.now);
  c.run(3, 1);
  c.worker("m1").finish("run-1/1", EndCause::done);
  c.run(3, 1);
  EXPECT_EQ(c.phase("run-1"), "done");
  EXPECT_EQ(c.log.starts["run-1/0"], 1);
}

TEST(Marks, PlacementOnAMachineThatIsGoneIsGivenUpAtATakeover) {
  // All controllers end between the removal of the machine's record and that of its placements.
  Cluster c;
  c.add_machine("m1");
  c.submit(test_job("run-1", 1));
  c.run(3);
  ASSERT_EQ(c.placed("run-1", 0), std::vector<std::string>{"m1"});
  c.kill_node(0);
  c.state.txn({{"guards", lab::Json::array()}, {"apply", {{{"delete", "o/m/m1"}}}}});
  lab::Controller started("node-9", c.state, lab::test_settings("node-9"));
  started.list(c.now);
  ASSERT_TRUE(started.claim(PartIndex{1}, c.now));
  started.pass(c.now);
  EXPECT_TRUE(c.placed("run-1", 0).empty());
}

TEST(Marks, MachineWithAPlacementInFlightIsNotMoved) {
  // It was given back as idle while the transaction was on its way: the job's owner never heard of its task
  // again, since the worker reported to the machine's new owner.
  Cluster c;
  c.add_machine("m1");
  c.run(2);
  c.node(0).fate = lab::Fate::not_arrived;
  c.submit(test_job("run-1", 1));
  c.run(8 * c.node(0).model.settings.op.give_back_s);
  ASSERT_FALSE(c.node(0).lost.empty());
  for (const auto& body : c.node(0).lost) {
    for (const auto& op : body.at("apply")) EXPECT_NE(op.value("put", ""), "o/m/m1");
  }
}

}  // namespace
}  // namespace oxbowmill
