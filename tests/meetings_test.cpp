// Where two troubles meet (docs/meetings.md): each meeting brought about with several controllers.
#include <gtest/gtest.h>

#include "oxbowmill/lab/cluster.h"

namespace oxbowmill {
namespace {

using lab::Cluster;
using lab::test_job;
using Kind = ReportAnswer::Kind;

/// One task runs on m1 under node 0; m2 is free.
struct Running {
  Running() {
    c.add_machine("m1");
    c.run(2);
    c.submit(test_job("run-1", 1));
    c.run(2);
    c.add_machine("m2");
    for (std::size_t n : {0, 1})
      c.node(n).model.settings.op.idle_keep_s = c.node(n).model.settings.op.give_back_s = 1000;
  }
  const Machine& machine(const std::string& name, std::size_t n = 1) {
    return c.node(n).model.machine(c.node(n).model.names.machines.find(name));
  }
  Cluster c;
};

TEST(Meetings, AnOwnerInItsGraceKillsWhatItKnowsToBeCancelled) {
  // Cancelled while the old owner heard nothing; its heir knows, and loses the state service before the worker
  // comes to it. Kept alive through a second grace, the task was there for longer than cancel_s.
  for (bool cancelled : {true, false}) {
    Running r;
    if (cancelled) {
      ASSERT_EQ(r.c.withdraw("run-1"), 200);
    }
    r.c.hand_over(0, 1, 4);
    r.c.node(1).pass(r.c.now);
    r.c.now += r.c.node(1).model.settings.op.hold_life_s + 0.5;
    ASSERT_EQ(r.c.node(1).hold.authority(r.c.now), Authority::grace);
    auto a = r.c.exchange("m1", 1);
    EXPECT_EQ(a.kind, Kind::ok);
    EXPECT_EQ(a.orders.size(), cancelled ? 1U : 0U);
    EXPECT_EQ(r.c.worker("m1").has("run-1/0"), !cancelled);
  }
}

TEST(Meetings, WhatWasAnsweredInTheGraceTimeIsNotOutdoneByAnOlderReport) {
  Running r;
  auto older = r.c.worker("m1").report(r.c.now);
  r.c.now += r.c.node(0).model.settings.op.hold_life_s + 0.5;
  EXPECT_EQ(r.c.exchange("m1", 0).kind, Kind::ok);
  r.c.node(0).renew(r.c.now);
  r.c.node(0).sync(r.c.now);
  EXPECT_EQ(r.c.node(0).hear(older, r.c.now).kind, Kind::refuse);
}

TEST(Meetings, AnEndOfAnEarlierStartSeenLateDoesNotFreeAGangsMember) {
  // The member ended `incomplete` and was started again on the same machine under the same attempt; the new
  // owner hears the old report first.
  Cluster c;
  for (const char* m : {"m1", "m2"}) c.add_machine(m);
  JobSpec gang = test_job("run-1", 2, 4);
  gang.shape = Shape::gang;
  for (const char* m : {"m1", "m2"}) c.worker(m).first_phase = TaskPhase::gathering;
  c.run(2);
  c.submit(gang);
  c.run(3);
  std::string at = c.placed("run-1", 0).at(0);
  ASSERT_TRUE(c.worker(at).has("run-1/0"));
  Attempt attempt = c.worker(at).attempt("run-1/0");
  c.worker(at).finish("run-1/0", EndCause::incomplete);
  c.now += 0.5;
  WorkerReport late = c.worker(at).report(c.now);
  ASSERT_EQ(late.tasks.at(0).phase, TaskPhase::ended);
  c.run(4);
  ASSERT_EQ(c.placed("run-1", 0), std::vector<std::string>{at});
  ASSERT_TRUE(c.worker(at).has("run-1/0"));
  ASSERT_EQ(c.worker(at).attempt("run-1/0"), attempt) << "the case that this is about";
  c.add_machine("m3");
  c.hand_over(0, 1, 4);
  c.node(1).hear(late, c.now);
  c.run(5, 1);
  EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{at});
  EXPECT_EQ(c.log.starts["run-1/0"], 2);
  EXPECT_TRUE(c.log.twice.empty());
}

TEST(Meetings, SessionsHeardLateDoNotProveATaskGoneThatALaterOneRuns) {
  // Copies of an earlier session that shows it, and of the present one before the start came, in this order.
  Running r;
  WorkerReport shows = r.c.worker("m1").report(r.c.now);
  r.c.hand_over(0, 1, 4);
  WorkerReport lacks = shows;
  ++lacks.tenure;
  lacks.tasks.clear();
  for (const WorkerReport& late : {shows, lacks}) r.c.node(1).hear(late, r.c.now);
  r.c.node(1).pass(r.c.now);
  EXPECT_EQ(r.c.placed("run-1", 0), std::vector<std::string>{"m1"});
  // Its own word settles the matter.
  r.c.worker("m1").finish("run-1/0", EndCause::done);
  r.c.node(1).model.machine(r.c.node(1).model.names.machines.find("m1")).tenure = 0;
  r.c.run(3, 1);
  EXPECT_EQ(r.c.phase("run-1"), "done");
}

TEST(Meetings, AMachineThatDoesNotHearItsNewOwnerIsProvedEmptyAllTheSame) {
  // Its reports arrive, so it is never silent; answers do not, so it never shows the new token. But what shows
  // no token of ours has taken no answer of ours: its lease is over once nobody else can have answered.
  Running r;
  r.c.hand_over(0, 1, 0);
  const Settings& s = r.c.node(1).model.settings;
  Cluster& c = r.c;
  auto play = [&](double seconds) {
    for (double end = c.now + seconds; c.now < end;) {
      c.now += 0.5;
      c.node(1).renew(c.now);
      c.node(1).sync(c.now);
      c.node(1).pass(c.now);
      c.exchange("m1", 1, true);
      c.exchange("m2", 1);
    }
  };
  play(s.takeover_silence_s() - 1);
  EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{"m1"});
  play(4);
  EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{"m2"});
  EXPECT_TRUE(c.worker("m2").has("run-1/0"));
  EXPECT_TRUE(c.log.twice.empty());
  // It hears again: of use as before, with nothing left on it.
  c.run(1, 1);
  EXPECT_EQ(r.machine("m1").state, MachineState::ready);
  EXPECT_TRUE(r.machine("m1").on.empty());
}

TEST(Meetings, StartsThatAMachineDoesNotHearGoElsewhere) {
  for (bool took_over : {false, true}) {
    Cluster c;
    c.add_machine("m1");
    c.run(2);
    std::size_t owner = took_over ? 1 : 0;
    if (took_over) c.hand_over(0, 1, 4);
    c.submit(test_job("run-1", 1));
    c.add_machine("m2", "b");
    c.silenced.insert("m2");
    for (int i = 0; i < 14; ++i) {
      c.now += 0.5;
      c.node(owner).renew(c.now);
      c.node(owner).sync(c.now);
      c.exchange("m1", owner, true);
      if (i > 6) c.exchange("m2", owner);
      c.node(owner).pass(c.now);
    }
    EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{"m2"}) << took_over;
    EXPECT_TRUE(c.worker("m2").has("run-1/0")) << took_over;
    EXPECT_TRUE(c.log.twice.empty());
  }
}

}  // namespace
}  // namespace oxbowmill
