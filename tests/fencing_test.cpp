// The fencing points of docs/design.md, each with the interleaving that it guards against.
#include <gtest/gtest.h>

#include <algorithm>

#include "oxbowmill/lab/cluster.h"

namespace oxbowmill {
namespace {

using lab::Cluster;
using lab::Fate;
using lab::Json;
using lab::test_job;
using Kind = ReportAnswer::Kind;

constexpr PartIndex red{1};

/// Node 0 places run-1, and the transaction is held back on its way.
void hold_back_placement(Cluster& c, std::uint32_t tasks) {
  c.submit(test_job("run-1", tasks, 4));
  c.node(0).sync(c.now);
  c.node(0).fate = Fate::not_arrived;
  c.node(0).pass(c.now);
  ASSERT_EQ(c.node(0).lost.size(), 1U);
}

TEST(Fencing, RunsAJobToItsEnd) {
  Cluster c;
  c.add_machine("m1");
  c.submit(test_job("run-1", 3));
  c.run(4);
  for (const char* t : {"run-1/0", "run-1/1", "run-1/2"}) {
    ASSERT_TRUE(c.worker("m1").has(t)) << t;
    c.worker("m1").finish(t, EndCause::done);
  }
  c.run(3);
  EXPECT_EQ(c.phase("run-1"), "done");
  // Only the final phase and the fleet's keys are left.
  for (const auto& [key, e] : c.state.keys()) EXPECT_EQ(key.find("run-1/"), std::string::npos) << key;
  EXPECT_TRUE(c.log.twice.empty());
}

TEST(Fencing, StartWaitsForTheDurablePlacement) {
  Cluster c;
  c.add_machine("m1");
  c.run(2);
  c.submit(test_job("run-1", 1));
  c.node(0).sync(c.now);
  c.node(0).fate = Fate::not_arrived;
  c.node(0).pass(c.now);
  ASSERT_FALSE(c.node(0).lost.empty());
  EXPECT_TRUE(c.exchange("m1", 0).orders.empty());
  EXPECT_FALSE(c.worker("m1").has("run-1/0"));
}

TEST(Fencing, LostStartIsSentAgainAndNotPlacedElsewhere) {
  Cluster c;
  c.add_machine("m1");
  c.add_machine("m2");
  c.run(2);
  c.submit(test_job("run-1", 1));
  c.node(0).sync(c.now);
  c.node(0).pass(c.now);
  std::string at = c.placed("run-1", 0).at(0);
  c.now += 0.5;
  EXPECT_EQ(c.exchange(at, 0, true).orders.size(), 1U);
  c.now += 0.5;
  auto again = c.exchange(at, 0);
  ASSERT_EQ(again.orders.size(), 1U);
  EXPECT_EQ(again.orders[0].verb, OrderVerb::start);
  EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{at});
  c.run(2);
  EXPECT_EQ(c.log.starts["run-1/0"], 1);
}

TEST(Fencing, AbsenceUnderAnOldTokenProvesNothing) {
  // Node 0 sends the start and dies; the worker's next report reaches node 1 and lacks the task, since node
  // 0's response is still on its way. Only a report that shows node 1's token settles the matter.
  Cluster c;
  c.add_machine("m1");
  c.add_machine("m2");
  c.run(2);
  c.submit(test_job("run-1", 1));
  c.node(0).sync(c.now);
  c.node(0).pass(c.now);
  std::string at = c.placed("run-1", 0).at(0);
  auto late = c.node(0).hear(c.worker(at).report(c.now), c.now);
  ASSERT_EQ(late.orders.size(), 1U);
  c.kill_node(0);
  c.node(1).claim_all(c.now);
  c.now += 0.5;
  auto report = c.worker(at).report(c.now);
  EXPECT_TRUE(c.node(1).hear(report, c.now).orders.empty());
  EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{at});
  const Machine& m = c.node(1).model.machine(c.node(1).model.names.machines.find(at));
  EXPECT_EQ(m.state, MachineState::unaccounted);
}

TEST(Fencing, LateTransactionOfAnEarlierOwnerFails) {
  Cluster c;
  c.add_machine("m1");
  c.run(2);
  c.submit(test_job("run-1", 1));
  c.node(0).sync(c.now);
  c.node(0).fate = Fate::not_arrived;
  c.node(0).pass(c.now);
  ASSERT_EQ(c.node(0).lost.size(), 1U);
  c.kill_node(0);
  c.node(1).claim_all(c.now);
  c.run(3, 1);
  EXPECT_EQ(c.state.txn(c.node(0).lost[0]).status, 409);
  EXPECT_EQ(c.placed("run-1", 0).size(), 1U);
  EXPECT_EQ(c.log.starts["run-1/0"], 1);
}

TEST(Fencing, LatePlacementOfAnEarlierOwnerFailsThoughNothingElseOfItHasChanged) {
  // Job, record and machine are as they were, since the new owner gave the team's room to another job: only
  // the claim tells. Applied, it would put the team over its limit of eight.
  Cluster c;
  for (const char* m : {"m1", "m2", "m3"}) c.add_machine(m);
  for (std::size_t n : {0, 1}) c.node(n).model.settings.op.give_back_s = 1000;
  c.run(2);
  ASSERT_NO_FATAL_FAILURE(hold_back_placement(c, 1));
  JobSpec other = test_job("run-2", 2, 4);
  other.rank = Rank::high;
  c.submit(other);
  c.hand_over(0, 1, 0.5);
  c.run(3, 1);
  ASSERT_TRUE(c.placed("run-1", 0).empty()) << "the case that this is about";
  ASSERT_EQ(c.placed("run-2", 0).size() + c.placed("run-2", 1).size(), 2U);
  EXPECT_EQ(c.state.txn(c.node(0).lost[0]).status, 409);
  c.run(3, 1);
  EXPECT_EQ(c.log.starts["run-1/0"], 0);
}

TEST(Fencing, LatePlacementOnAMachineWhoseRecordHasChangedFails) {
  // The leader marks machines and forgets those that are gone, whatever their part's owner is writing:
  // applied afterwards, a placement would be on a machine that nobody can hear or delete.
  for (bool gone : {true, false}) {
    Cluster c;
    c.add_machine("m1");
    c.run(2);
    ASSERT_NO_FATAL_FAILURE(hold_back_placement(c, 1));
    lab::Json change = {{"delete", "o/m/m1"}};
    if (!gone) {
      lab::Json marked = c.state.keys().at("o/m/m1").value;
      marked["del"] = true;
      change = {{"put", "o/m/m1"}, {"value", marked}};
    }
    ASSERT_EQ(c.state.txn({{"guards", lab::Json::array()}, {"apply", {change}}}).status, 200);
    EXPECT_EQ(c.state.txn(c.node(0).lost[0]).status, 409) << gone;
    EXPECT_TRUE(c.placed("run-1", 0).empty()) << gone;
  }
}

TEST(Fencing, UnansweredTransactionStaysInDoubtThroughARefusalOfItsRepeat) {
  // The first copy is held back, the second gets 503: that says nothing of the first. Were its quota freed,
  // other work could take it, and the first copy, applied late, would go over the team's limit.
  Cluster c;
  for (const char* m : {"m1", "m2", "m3", "m4"}) c.add_machine(m);
  c.run(2);
  ASSERT_NO_FATAL_FAILURE(hold_back_placement(c, 2));
  c.node(0).fate = Fate::answered;
  JobSpec other = test_job("run-2", 2, 4);
  other.rank = Rank::high;
  c.submit(other);
  c.node(0).sync(c.now);
  c.state.set_outage(true, c.now);
  c.now += 0.5;
  c.node(0).pass(c.now);
  c.state.set_outage(false, c.now);
  c.node(0).pass(c.now);
  c.state.txn(c.node(0).lost[0]);
  c.run(2);
  std::size_t placed = 0;
  for (const char* job : {"run-1", "run-2"}) {
    for (TaskNo t : {0U, 1U}) placed += c.placed(job, t).size();
  }
  EXPECT_EQ(placed, 2U);  // of 4 GPUs each, and the team may use 8
  EXPECT_TRUE(c.worker("m1").has("run-1/0") || c.worker("m2").has("run-1/0"));
}

TEST(Fencing, RepeatedTransactionIsTheOneFirstSentThoughItsJobIsGone) {
  // Made anew from the tables it would name a job that they no longer hold: the controller ended by that.
  Cluster c;
  c.add_machine("m1");
  c.run(2);
  ASSERT_NO_FATAL_FAILURE(hold_back_placement(c, 1));
  c.state.txn({{"guards", lab::Json::array()}, {"apply", {{{"delete", "o/j/run-1"}}}}});
  c.node(0).fate = Fate::answered;
  c.state.set_outage(true, c.now);
  c.now += 0.5;
  c.node(0).pass(c.now);
  c.state.set_outage(false, c.now);
  c.node(0).sync(c.now);
  EXPECT_NO_THROW(c.run(3));
  EXPECT_TRUE(c.placed("run-1", 0).empty());
}

TEST(Fencing, UnansweredTransactionKeepsItsRoomAndIsRepeated) {
  // The answer is lost though the placement was made: room stays taken, and the repeat finds it done.
  Cluster c;
  c.add_machine("m1");
  c.run(2);
  c.submit(test_job("run-1", 1, 4));
  c.submit(test_job("run-2", 1, 4));
  c.node(0).sync(c.now);
  c.node(0).fate = Fate::answer_lost;
  c.node(0).pass(c.now);
  EXPECT_EQ(c.placed("run-1", 0).size() + c.placed("run-2", 0).size(), 1U);
  c.node(0).fate = Fate::answered;
  c.run(3);
  EXPECT_EQ(c.placed("run-1", 0).size() + c.placed("run-2", 0).size(), 1U);
  EXPECT_TRUE(c.worker("m1").has("run-1/0"));
  EXPECT_FALSE(c.worker("m1").has("run-2/0"));
}

TEST(Fencing, TakeoverKeepsRunningWork) {
  Cluster c;
  c.add_machine("m1");
  c.submit(test_job("run-1", 2));
  c.run(3);
  ASSERT_TRUE(c.worker("m1").has("run-1/0"));
  c.kill_node(0);
  c.now += 4;
  c.node(1).claim_all(c.now);
  c.run(5, 1);
  EXPECT_TRUE(c.worker("m1").has("run-1/0"));
  EXPECT_EQ(c.log.starts["run-1/0"], 1);
  c.worker("m1").finish("run-1/0", EndCause::done);
  c.worker("m1").finish("run-1/1", EndCause::done);
  c.run(2, 1);
  EXPECT_EQ(c.phase("run-1"), "done");
}

TEST(Fencing, SilentMachineAfterATakeoverBlocksItsTasksUntilNothingCanBeLeft) {
  Cluster c;
  c.add_machine("m1");
  c.run(2);
  c.submit(test_job("run-1", 1));
  c.run(2);
  ASSERT_TRUE(c.worker("m1").has("run-1/0"));
  c.add_machine("m2");
  c.kill_node(0);
  c.silenced.insert("m1");
  c.node(1).claim_all(c.now);
  c.node(1).model.settings.op.idle_keep_s = 1000;  // m2 is to be there when it is needed
  double wait = c.node(1).model.settings.takeover_silence_s();
  c.run(wait - 2, 1);
  EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{"m1"});
  c.run(4, 1);
  EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{"m2"});
  EXPECT_TRUE(c.worker("m2").has("run-1/0"));
  EXPECT_TRUE(c.log.twice.empty());
}

TEST(Fencing, EarlierOwnersGraceIsNotWaitedForOnceEveryControllerHasBegunAnew) {
  struct Case {
    const char* what;
    bool node_0_back, node_0_gone_again, handed_over;
    bool early;
  };
  for (const Case& k :
       {Case{"both have begun anew", true, false, false, true},
        Case{"the earlier owner may still answer", false, false, false, false},
        Case{"it was there and is gone again", true, true, false, false},
        Case{"the machine came by a move, from an owner that lives", true, false, true, false}}) {
    Cluster c;
    c.add_machine("m1");
    c.run(2);
    c.submit(test_job("run-1", 1));
    c.run(2);
    ASSERT_TRUE(c.worker("m1").has("run-1/0"));
    c.add_machine("m2");
    c.kill_node(0);
    c.silenced.insert("m1");
    Model& model = c.node(1).model;
    model.settings.all_nodes = {"node-0", "node-1"};
    model.settings.op.idle_keep_s = model.settings.op.give_back_s = 1000;
    c.node(1).claim_all(c.now);
    c.register_node(1);
    std::uint64_t back = k.node_0_back ? c.register_node(0) : 0;
    c.run(1, 1);
    if (k.node_0_gone_again) c.state.end_hold(back);
    if (k.handed_over) model.edit_machine(model.names.machines.find("m1")).taken_over = false;
    c.run(model.settings.lease_over_s() - 2, 1);
    EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{"m1"}) << k.what;
    c.run(4, 1);
    EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{k.early ? "m2" : "m1"}) << k.what;
    c.run(model.settings.grace_s(), 1);
    EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{"m2"}) << k.what;
    EXPECT_TRUE(c.log.twice.empty());
  }
}

TEST(Fencing, WorkOnAMachineThatIsBeingDeletedIsProvedGoneBySilenceThroughATakeover) {
  // The cloud is down: the deletion is marked and never confirmed, and its owner ends.
  Cluster c;
  c.add_machine("m1");
  c.run(2);
  c.submit(test_job("run-1", 1));
  c.run(2);
  ASSERT_TRUE(c.worker("m1").has("run-1/0"));
  Json value = c.state.keys().at("o/m/m1").value;
  value["del"] = true;
  c.state.txn({{"guards", Json::array()}, {"apply", {{{"put", "o/m/m1"}, {"value", value}}}}});
  c.add_machine("m2");
  c.silenced.insert("m1");
  c.kill_node(0);
  c.node(1).model.settings.op.idle_keep_s = c.node(1).model.settings.op.give_back_s = 1000;
  c.node(1).claim_all(c.now);
  double wait = c.node(1).model.settings.takeover_silence_s();
  c.run(wait - 2, 1);
  EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{"m1"});
  c.run(4, 1);
  EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{"m2"});
  EXPECT_TRUE(c.log.twice.empty());
}

TEST(Fencing, ReportHeldBackFromAnEarlierTermIsNoNews) {
  Cluster c;
  c.add_machine("m1");
  c.run(2);
  auto held = c.worker("m1").report(c.now);  // before the start, delivered much later
  c.submit(test_job("run-1", 1));
  c.run(3);
  ASSERT_TRUE(c.worker("m1").has("run-1/0"));
  EXPECT_EQ(c.node(0).hear(held, c.now).kind, Kind::refuse);
  c.run(1);
  EXPECT_EQ(c.placed("run-1", 0).size(), 1U);
  EXPECT_EQ(c.log.starts["run-1/0"], 1);
}

TEST(Fencing, MachineWithSomethingPossiblyOnItIsNotMoved) {
  Cluster c;
  c.add_machine("m1");
  c.run(2);
  c.submit(test_job("run-1", 1));
  c.node(0).sync(c.now);
  c.node(0).pass(c.now);
  c.silenced.insert("m1");  // placed, never heard of
  auto part = [&c] { return c.state.keys().at("o/m/m1").value.at("part").get<std::string>(); };
  c.run(8);
  EXPECT_EQ(part(), "red");
  c.run(10);  // its lease is over: the task is off, the machine goes back to be deleted
  EXPECT_EQ(part(), ".pool");
  EXPECT_TRUE(c.state.keys().at("o/m/m1").value.at("del").get<bool>());
}

TEST(Fencing, TokenRisesWithEveryChangeOfAuthority) {
  Cluster c;
  c.add_machine("m1");
  c.run(2);
  MachineIndex m = c.node(0).model.names.machines.find("m1");
  Stamp first = c.node(0).model.token(c.node(0).model.machine(m));
  c.kill_node(0);
  c.node(1).claim_all(c.now);
  MachineIndex m1 = c.node(1).model.names.machines.find("m1");
  Stamp second = c.node(1).model.token(c.node(1).model.machine(m1));
  EXPECT_GT(second, first);
  c.node(0).sync(c.now);
  EXPECT_EQ(c.exchange("m1", 0).kind, Kind::redirect);
  EXPECT_EQ(c.exchange("m1", 0).owner, "node-1");
}

TEST(Fencing, NodeWithALowerTokenDoesNotAnswer) {
  // Node 0 has not heard that its claim went to node 1.
  Cluster c;
  c.add_machine("m1");
  c.run(2);
  c.kill_node(0);
  c.node(1).claim_all(c.now);
  c.exchange("m1", 1);
  c.now += 0.5;
  EXPECT_EQ(c.exchange("m1", 0).kind, Kind::refuse);
}

TEST(Fencing, AuthorityFadesWithTheLastRenewalAndTheLastNews) {
  Settings s = lab::test_settings("n");
  double life = s.op.hold_life_s, grace = s.grace_s();
  struct Case {
    double renewed, watched, now;
    Authority expected;
  };
  const Case cases[] = {
      {0, 0, life - 0.1, Authority::full},          {0, 0, life, Authority::grace},
      {0, 0, life + grace - 0.1, Authority::grace}, {0, 0, life + grace, Authority::none},
      {10, 0, life + 1, Authority::grace},  // renewals alone do not do: it hears nothing of cancellations
      {0, 10, life + 1, Authority::grace},          {10, 10, life + 1, Authority::full},
  };
  for (const Case& c : cases) {
    Hold h(s);
    h.opened(1, 0);
    h.renewed(c.renewed);
    h.watch_answered(c.watched);
    EXPECT_EQ(static_cast<int>(h.authority(c.now)), static_cast<int>(c.expected))
        << c.renewed << " " << c.watched << " " << c.now;
  }
  EXPECT_LT(life + grace + s.lease_over_s(), s.cancel_s);
}

TEST(Fencing, StateOutageKeepsTasksAliveWithoutOrders) {
  Cluster c;
  c.add_machine("m1");
  c.submit(test_job("run-1", 1));
  c.run(3);
  c.submit(test_job("run-2", 1));
  c.state.set_outage(true, c.now);
  c.run(c.node(0).model.settings.op.hold_life_s + 8);
  EXPECT_TRUE(c.worker("m1").has("run-1/0"));
  EXPECT_EQ(c.worker("m1").tenure(), 1U);
  EXPECT_FALSE(c.worker("m1").has("run-2/0"));
  c.state.set_outage(false, c.now);
  c.run(3);
  EXPECT_TRUE(c.worker("m1").has("run-2/0"));
  EXPECT_EQ(c.log.starts["run-1/0"], 1);
}

TEST(Fencing, GraceOrdersNothingAndEnds) {
  Cluster c;
  c.add_machine("m1");
  c.submit(test_job("run-1", 1));
  c.run(3);
  Settings s = c.node(0).model.settings;
  c.withdraw("run-1");
  c.now += s.op.hold_life_s + 0.5;  // the node hears nothing any more
  auto a = c.exchange("m1", 0);
  EXPECT_EQ(a.kind, Kind::ok);
  EXPECT_TRUE(a.orders.empty());
  c.now += s.grace_s();
  EXPECT_EQ(c.exchange("m1", 0).kind, Kind::refuse);
}

TEST(Fencing, CancellationAndCompletionAreDecidedByOneWrite) {
  for (bool cancel_first : {true, false}) {
    Cluster c;
    c.add_machine("m1");
    c.submit(test_job("run-1", 1));
    c.run(3);
    c.worker("m1").finish("run-1/0", EndCause::done);
    c.exchange("m1", 0);
    std::string expected;
    if (cancel_first) {
      // The owner has not heard of it when it writes the done mark.
      EXPECT_EQ(c.withdraw("run-1"), 200);
      c.node(0).pass(c.now);
      EXPECT_EQ(c.node(0).refused, 1);
      expected = "cancelled";
    } else {
      c.node(0).pass(c.now);
      EXPECT_EQ(c.withdraw("run-1"), 404);
      expected = "done";
    }
    EXPECT_EQ(c.phase("run-1"), expected);
    c.run(4);
    EXPECT_EQ(c.phase("run-1"), expected);
    EXPECT_EQ(c.state.keys().count("f/run-1"), 1U);
  }
}

TEST(Fencing, CancelledTasksAreKilledAndNeverStarted) {
  Cluster c;
  c.add_machine("m1");
  c.submit(test_job("run-1", 6));  // four fit
  c.run(3);
  c.withdraw("run-1");
  c.run(4);
  for (int t = 0; t < 6; ++t) EXPECT_FALSE(c.worker("m1").has("run-1/" + std::to_string(t)));
  EXPECT_EQ(c.phase("run-1"), "cancelled");
  c.run(4);
  EXPECT_EQ(c.log.starts["run-1/5"], 0);
  EXPECT_EQ(c.state.keys().count("o/j/run-1"), 0U);
}

TEST(Fencing, EndedTaskIsClearedOnlyAfterItsMarkIsDurable) {
  Cluster c;
  c.add_machine("m1");
  c.submit(test_job("run-1", 2));
  c.run(3);
  c.worker("m1").finish("run-1/0", EndCause::done);
  c.node(0).fate = Fate::not_arrived;
  c.run(2);
  EXPECT_EQ(c.worker("m1").phase("run-1/0"), TaskPhase::ended);  // still reported
  c.node(0).fate = Fate::answered;
  c.run(3);
  auto r = c.worker("m1").report(c.now);
  EXPECT_EQ(r.tasks.size(), 1U);
  EXPECT_EQ(c.state.keys().at("o/c/run-1/0").value.at("d"), "1");
}

TEST(Fencing, QuotaCountsTasksNobodyHasSeen) {
  // The team may use 8 GPUs; two machines fall silent with 8 on them, so nothing else may start.
  Cluster c;
  c.add_machine("m1");
  c.add_machine("m2");
  c.submit(test_job("run-1", 8));
  c.run(4);
  c.silenced = {"m1", "m2"};
  c.add_machine("m3");
  c.add_machine("m4");
  c.submit(test_job("run-2", 4));
  c.run(6);
  EXPECT_FALSE(c.worker("m3").has("run-2/0"));
  EXPECT_FALSE(c.worker("m4").has("run-2/0"));
  c.run(10);
  EXPECT_LE(c.node(0).model.team_use(red).gpus, 8);
  EXPECT_TRUE(c.log.twice.empty());
}

TEST(Fencing, OneZoneHoldsAgainstTasksNobodyHasSeen) {
  Cluster c;
  c.add_machine("m1", "a");
  JobSpec s = test_job("run-1", 2, 4);
  s.one_zone = true;
  c.submit(s);
  c.run(3);
  ASSERT_TRUE(c.worker("m1").has("run-1/0"));
  c.silenced.insert("m1");
  c.add_machine("m2", "b");
  c.run(8);
  EXPECT_FALSE(c.worker("m2").has("run-1/1"));  // zone a still holds task 0
}

TEST(Fencing, DeletedMachineIsGoneForCertainAndStaysOut) {
  Cluster c;
  c.add_machine("m1", "a", ".pool");
  c.run(2);
  double keep = c.node(0).model.settings.op.idle_keep_s;
  c.run(keep + 3);
  ASSERT_FALSE(c.node(0).deletes.empty());
  EXPECT_TRUE(c.state.keys().at("o/m/m1").value.at("del").get<bool>());  // durable before the delete is sent
  c.node(0).fleet.on_deleted(c.node(0).deletes, true);
  c.silenced.insert("m1");
  c.run(2);
  EXPECT_EQ(c.state.keys().count("o/m/m1"), 0U);
  // A list from before the deletion must not bring it back.
  ListedMachine old{"m1", "127.0.0.1:1", "std", "a", false, ListedMachine::Phase::running, 100};
  for (int i = 0; i < 10; ++i) {
    c.node(0).fleet.on_listed({old}, c.now);
    c.run(3);
  }
  EXPECT_EQ(c.state.keys().count("o/m/m1"), 0U);
}

TEST(Fencing, PartsSpreadOverLiveNodes) {
  Model model(lab::test_settings("n0"), lab::test_names());
  auto claim = [&model](std::uint32_t part, const std::string& node, Stamp stamp) {
    model.apply({ClaimKey{PartIndex{part}}, ClaimRecord{node, 1}, 1}, stamp, 100);
  };
  std::vector<std::string> all = {"n0", "n1", "n2"};
  // At the start every part prefers another node.
  EXPECT_EQ(claim_turn(model, PartIndex{0}, "n0", all), 0U);
  EXPECT_EQ(claim_turn(model, PartIndex{1}, "n1", all), 0U);
  EXPECT_EQ(claim_turn(model, PartIndex{2}, "n2", all), 0U);
  EXPECT_EQ(claim_turn(model, PartIndex{1}, "n0", all), 2U);
  // Later the node with fewer parts goes first.
  claim(0, "n1", 10);
  EXPECT_NE(claim_turn(model, PartIndex{1}, "n1", all), 0U);
}

TEST(Fencing, RecordsMayComeInAnyOrder) {
  // After a restart placement records are listed before their jobs: room and quota must come out the same.
  Cluster c;
  c.add_machine("m1");
  c.submit(test_job("run-1", 2));
  c.run(3);
  lab::Controller late("node-9", c.state, lab::test_settings("node-9"));
  std::vector<std::string> keys;
  for (const auto& [key, e] : c.state.keys()) keys.push_back(key);
  std::sort(keys.begin(), keys.end());
  for (const std::string& key : keys) {
    const auto& e = c.state.keys().at(key);
    auto change = state::decode(key, &e.value, late.model);
    ASSERT_TRUE(change) << key;
    late.model.apply(*change, e.stamp, c.now);
  }
  const Machine& m = late.model.machine(late.model.names.machines.find("m1"));
  EXPECT_DOUBLE_EQ(m.used.gpus, 2);
  EXPECT_DOUBLE_EQ(late.model.team_use(red).gpus, 2);
  EXPECT_EQ(late.model.job(late.model.find_job("run-1")).pending(), 0U);
}

TEST(Fencing, WokenWorkerReportsUnderATokenThatEveryLaterOwnerExceeds) {
  // Workers that report seldom are woken once their task's placement is durable. The wake-up's token is the
  // placement's revision: above what the worker has seen, below any later owner's claim.
  Cluster c;
  c.node(0).model.settings.report_s = 5;
  c.add_machine("m1");
  c.run(1);
  c.submit(test_job("run-1", 1));
  c.node(0).sync(c.now);
  c.node(0).pass(c.now);
  c.node(0).pass(c.now);
  ASSERT_EQ(c.node(0).direct.size(), 1U);
  DirectOrders wake_up = c.node(0).direct.front();
  EXPECT_TRUE(wake_up.orders.empty());
  ASSERT_TRUE(c.worker("m1").command(wake_up));
  ASSERT_EQ(c.exchange("m1", 0).orders.size(), 1U);
  c.kill_node(0);
  ASSERT_TRUE(c.node(1).claim(red, c.now));
  auto a = c.node(1).hear(c.worker("m1").report(c.now), c.now);
  EXPECT_EQ(a.kind, ReportAnswer::Kind::ok);
  EXPECT_GT(a.token, wake_up.token);
  c.worker("m1").answer(a, c.now);
  EXPECT_FALSE(c.worker("m1").command(wake_up));  // a late wake-up is refused
}

TEST(Fencing, WorkerThatLeftItsOwnerIsToldFromOneThatHasYetToFindIt) {
  // Only the former's reports are passed on: across a cut between zones its lease would run out.
  Cluster c;
  c.add_machine("m1");
  c.node(1).sync(c.now);
  auto a = c.node(1).hear(c.worker("m1").report(c.now), c.now);
  EXPECT_EQ(a.kind, Kind::redirect);
  EXPECT_FALSE(a.left_owner);  // never served by it
  c.run(5);
  a = c.node(1).hear(c.worker("m1").report(c.now), c.now);
  EXPECT_FALSE(a.left_owner);  // just handed over, it may have been told to report at once
  c.run(30);
  a = c.node(1).hear(c.worker("m1").report(c.now), c.now);
  EXPECT_EQ(a.kind, Kind::redirect);
  EXPECT_EQ(a.owner, "node-0");
  EXPECT_TRUE(a.left_owner);
  c.kill_node(0);
  c.node(1).sync(c.now);
  EXPECT_EQ(c.node(1).hear(c.worker("m1").report(c.now), c.now).kind, Kind::refuse);
}

TEST(Fencing, AttemptsAreNeverUsedTwice) {
  Cluster c;
  c.add_machine("m1");
  c.submit(test_job("run-1", 1));
  c.run(3);
  Attempt first = c.worker("m1").attempt("run-1/0");
  c.worker("m1").finish("run-1/0", EndCause::error);
  c.kill_node(0);
  c.node(1).claim_all(c.now);
  c.run(6, 1);
  ASSERT_TRUE(c.worker("m1").has("run-1/0"));
  EXPECT_GT(c.worker("m1").attempt("run-1/0"), first);
}

}  // namespace
}  // namespace oxbowmill
