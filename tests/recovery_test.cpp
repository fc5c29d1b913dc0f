// Starts that are squared and machines that are doubted (docs/start.md), with several machines and the
// failures they are meant for.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>

#include "oxbowmill/lab/cluster.h"
#include "oxbowmill/lab/fleet_experiment.h"

namespace oxbowmill {
namespace {

using lab::Cluster;
using lab::Json;
using lab::test_job;
using recovery::Difference;
using recovery::PartState;
using recovery::WordState;

constexpr PartIndex red{1};

std::string name(int i) {
  return "m" + std::to_string(i);
}

/// Machines of zone a, a job on each of them, and node 1 in charge after node 0 has ended.
struct Started {
  explicit Started(int machines, double gpus = 4, std::uint32_t tasks = 0) {
    for (int i = 0; i < machines; ++i) c.add_machine(name(i));
    JobSpec job = test_job("run-1", tasks != 0 ? tasks : static_cast<std::uint32_t>(machines), gpus);
    c.node(0).model.settings.teams[1].most = c.node(1).model.settings.teams[1].most = {};
    c.submit(job);
    c.run(4);
  }
  /// `anew`: every controller has ended and begun again, so that no earlier owner can answer anybody.
  void take_over(recovery::Settings s = {}, bool anew = true) {
    c.kill_node(0);
    c.now += 4;
    c.node(1).square(s);
    c.node(1).model.settings.op.give_back_s = 1000;
    c.node(1).claim_all(c.now);
    if (!anew) return;
    c.node(1).model.settings.all_nodes = {"node-0", "node-1"};
    for (std::size_t n : {0, 1}) c.register_node(n);
    c.node(1).sync(c.now);
  }
  recovery::Start& start() { return *c.node(1).start; }
  MachineIndex machine(const std::string& m) { return c.node(1).model.names.machines.find(m); }
  WordState word(int i) { return start().word(machine(name(i))); }
  bool marked(const std::string& m) const {
    return c.state.keys().at("o/m/" + m).value.at("del").get<bool>();
  }
  Cluster c;
};

TEST(Difference, EachKindIsToldFromTheOthers) {
  struct Case {
    const char* what;
    std::function<void(Cluster&, WorkerReport&)> change;
    Difference kind;
  };
  auto task = [](const char* job, TaskNo n, Attempt attempt, TaskPhase phase, EndCause cause) {
    TaskReport t;
    t.job = job;
    t.task = n;
    t.attempt = attempt;
    t.phase = phase;
    t.cause = cause;
    return t;
  };
  const Case cases[] = {
      {"an older token", [](Cluster&, WorkerReport& r) { r.token = 1; }, Difference::old_token},
      {"a task is missing", [](Cluster&, WorkerReport& r) { r.tasks.clear(); }, Difference::not_reported},
      {"another attempt", [](Cluster&, WorkerReport& r) { r.tasks[0].attempt += 1; },
       Difference::other_attempt},
      {"it has ended", [](Cluster&, WorkerReport& r) { r.tasks[0].phase = TaskPhase::ended; },
       Difference::ended_unheard},
      {"a task nobody placed",
       [&](Cluster&, WorkerReport& r) { r.tasks.push_back(task("run-2", 0, 5, TaskPhase::running, {})); },
       Difference::not_placed},
      {"a task placed elsewhere",
       [&](Cluster&, WorkerReport& r) { r.tasks.push_back(task("run-1", 1, 5, TaskPhase::running, {})); },
       Difference::elsewhere},
      {"a job nobody knows any more",
       [&](Cluster&, WorkerReport& r) { r.tasks.push_back(task("run-9", 0, 5, TaskPhase::running, {})); },
       Difference::final_phase},
      {"a job cancelled meanwhile",
       [](Cluster& c, WorkerReport&) {
         ASSERT_EQ(c.withdraw("run-1"), 200);
         c.node(1).sync(c.now);
       },
       Difference::final_phase},
      {"an ended task without a placement",
       [&](Cluster&, WorkerReport& r) {
         r.tasks.push_back(task("run-9", 0, 5, TaskPhase::ended, EndCause::done));
       },
       Difference::leftover},
  };
  for (const Case& k : cases) {
    Started s(2);
    s.c.submit(test_job("run-2", 1, 64));  // known, and placed nowhere
    s.take_over();
    s.c.node(1).pass(s.c.now);
    WorkerReport r = s.c.worker("m0").report(s.c.now);
    r.token = ~0ULL;
    ASSERT_EQ(r.tasks.size(), 1U);
    // Both machines hold a task of run-1; which, is the owner's choice.
    TaskNo here = r.tasks[0].task;
    k.change(s.c, r);
    for (TaskReport& t : r.tasks) {
      if (t.job == "run-1" && t.attempt == 5) t.task = 1 - here;
    }
    auto d = recovery::compare(s.c.node(1).model, s.machine("m0"), r);
    EXPECT_EQ(d[k.kind], 1U) << k.what;
    for (std::size_t i = 0; i < recovery::difference_kinds; ++i) {
      if (static_cast<Difference>(i) == k.kind) continue;
      EXPECT_EQ(d.count[i], 0U) << k.what << ": " << i;
    }
  }
}

TEST(Difference, AGangThatIsPartlyThereIsBroken) {
  Cluster c;
  for (int i = 0; i < 3; ++i) c.add_machine(name(i));
  c.node(0).model.settings.teams[1].most = c.node(1).model.settings.teams[1].most = {};
  JobSpec job = test_job("run-1", 3, 4);
  job.shape = Shape::gang;
  job.rank = Rank::high;
  c.submit(job);
  c.run(5);
  c.kill_node(0);
  c.node(1).claim_all(c.now);
  c.node(1).pass(c.now);
  WorkerReport r = c.worker("m0").report(c.now);
  r.token = ~0ULL;
  MachineIndex m = c.node(1).model.names.machines.find("m0");
  ASSERT_EQ(r.tasks.size(), 1U);
  EXPECT_FALSE(recovery::compare(c.node(1).model, m, r).any());
  r.tasks[0].phase = TaskPhase::ended;
  r.tasks[0].cause = EndCause::peers;
  EXPECT_EQ(recovery::compare(c.node(1).model, m, r)[Difference::gang_broken], 1U);
  r.tasks.clear();
  EXPECT_EQ(recovery::compare(c.node(1).model, m, r)[Difference::gang_broken], 1U);
}

TEST(Words, ThresholdIsFlooredRelativeAndCapped) {
  struct Case {
    std::vector<double> words;
    std::uint32_t expected;
    double result;
  };
  recovery::Settings s;  // 0.6 of the machines, times 1.5
  for (const Case& k : {Case{{}, 10, -1}, Case{{1, 1, 1, 1, 1}, 10, -1}, Case{{1, 1, 1, 1, 1, 2}, 10, 6},
                        Case{{1, 1, 1, 1, 1, 6}, 10, 9}, Case{{1, 1, 1, 1, 1, 9}, 10, 12}, Case{{1}, 1, 6}}) {
    EXPECT_DOUBLE_EQ(recovery::threshold(k.words, k.expected, 6, 12, s), k.result) << k.words.size();
  }
}

TEST(Words, ExperienceMovesTheChancesAndFades) {
  recovery::Experience e;
  EXPECT_DOUBLE_EQ(e.chance_of_return(), 0.75);
  for (int i = 0; i < 8; ++i) e.lost();
  EXPECT_DOUBLE_EQ(e.chance_of_return(), 0.25);
  for (int i = 0; i < 1000; ++i) e.lost();
  EXPECT_GE(e.chance_of_return(), 0.05);  // never impossible
  EXPECT_LT(e.chance_of_return(), 0.06);
  EXPECT_NEAR(e.losses(), 50, 1e-6);
  for (int i = 0; i < 60; ++i) e.returned();
  EXPECT_GT(e.chance_of_return(), 0.6);
  // The longer it has lasted the longer it lasts, and what is proved need not be guessed.
  recovery::Experience none;
  EXPECT_DOUBLE_EQ(recovery::chance_of_word(none, 0, 10), 0.75);
  EXPECT_DOUBLE_EQ(recovery::chance_of_word(none, 10, 10), 0.375);
  EXPECT_DOUBLE_EQ(recovery::chance_of_word(none, 30, 10), 0.1875);
  EXPECT_DOUBLE_EQ(recovery::chance_of_word(none, 10, 0), 0);
}

TEST(Start, HearsSquaresAndServes) {
  Started s(8);
  s.take_over();
  s.c.node(1).pass(s.c.now);
  EXPECT_EQ(s.start().state(red), PartState::listening);
  EXPECT_EQ(s.start().counts(red).expected, 8U);
  for (int i = 0; i < 7; ++i) s.c.exchange(name(i), 1);
  s.c.now += 0.3;
  s.c.node(1).pass(s.c.now);
  EXPECT_EQ(s.start().state(red), PartState::listening) << "seven of eight are too few";
  EXPECT_EQ(s.start().counts(red).heard, 7U);
  s.c.run(2, 1);
  EXPECT_EQ(s.start().state(red), PartState::serving);
  EXPECT_EQ(s.start().counts(red).matched, 8U);
  EXPECT_GE(s.start().squared_at(red), 0);
  for (int i = 0; i < 8; ++i) EXPECT_EQ(s.word(i), WordState::squared);
  EXPECT_EQ(s.c.log.starts["run-1/0"], 1);
}

TEST(Start, OneOfManyThatIsSilentIsSuspectedAndItsWordRefutesIt) {
  Started s(8);
  s.c.silenced.insert("m3");
  recovery::Settings settings;
  settings.delete_suspects = false;
  s.take_over(settings);
  s.c.run(5, 1);
  EXPECT_EQ(s.word(3), WordState::awaited);
  s.c.run(2, 1);
  EXPECT_EQ(s.word(3), WordState::suspected);
  EXPECT_TRUE(s.start().suspected(s.machine("m3")));
  EXPECT_EQ(s.start().suspects(10).size(), 1U);
  EXPECT_EQ(s.c.placed("run-1", 3).size(), 1U) << "a suspicion is no proof";
  s.c.silenced.clear();
  s.c.run(1, 1);
  EXPECT_NE(s.word(3), WordState::suspected);
  EXPECT_FALSE(s.start().suspected(s.machine("m3")));
  EXPECT_DOUBLE_EQ(s.start().experience().returns(), 1);
}

TEST(Start, WhileAnEarlierOwnerMayStillAnswerNobodyIsSuspected) {
  Started s(8);
  s.c.silenced.insert("m3");  // as one that speaks to its earlier owner, who lacks only the state service
  s.take_over({}, false);
  double grace = s.c.node(1).model.settings.grace_s(), arrival = s.c.node(1).model.settings.arrival_s();
  s.c.run(grace + arrival - 1, 1);
  EXPECT_EQ(s.word(3), WordState::awaited);
  s.c.run(2, 1);
  EXPECT_TRUE(s.start().suspected(s.machine("m3")));
}

TEST(Start, WhereTooFewSpeakNobodyIsSuspected) {
  Started s(8);
  for (int i = 0; i < 4; ++i) s.c.silenced.insert(name(i));
  s.take_over();
  s.c.run(9, 1);
  for (int i = 0; i < 8; ++i) EXPECT_NE(s.word(i), WordState::suspected) << i;
  EXPECT_EQ(s.start().state(red), PartState::squaring) << "the wait for words is bounded";
}

TEST(Start, WhereAZoneFallsSilentInOrdinaryServiceNobodyIsSuspected) {
  Started s(8);
  s.take_over();
  s.c.run(3, 1);
  ASSERT_EQ(s.start().state(red), PartState::serving);
  for (int i = 0; i < 4; ++i) s.c.silenced.insert(name(i));
  s.c.run(9, 1);
  for (int i = 0; i < 8; ++i) EXPECT_NE(s.word(i), WordState::suspected) << i;
  // And when the zone speaks again, all have the same time to do so.
  for (int i = 0; i < 3; ++i) s.c.silenced.erase(name(i));
  s.c.run(1, 1);
  EXPECT_NE(s.word(3), WordState::suspected);
}

TEST(Start, AStallOfItsOwnIsNobodyElsesSilence) {
  Started s(8);
  s.take_over();
  s.c.run(3, 1);
  ASSERT_EQ(s.start().state(red), PartState::serving);
  s.c.silenced.insert("m3");
  // Eight seconds in which it neither passes nor hears, though its hold is renewed.
  for (int i = 0; i < 16; ++i) {
    s.c.now += 0.5;
    s.c.node(1).renew(s.c.now);
    s.c.node(1).sync(s.c.now);
  }
  // What the others have said meanwhile is read before its first pass.
  for (int i = 0; i < 8; ++i) {
    if (i != 3) s.c.exchange(name(i), 1);
  }
  s.c.run(3, 1);
  EXPECT_NE(s.word(3), WordState::suspected);
}

TEST(Start, ASuspectsRoomIsNotCountedOnByTheLeader) {
  Started s(8, 4, 7);  // one machine stays empty
  s.take_over();
  s.c.run(2, 1);
  std::string empty;
  for (int i = 0; i < 8; ++i) {
    if (s.c.node(1).model.machine(s.machine(name(i))).on.empty()) empty = name(i);
  }
  ASSERT_FALSE(empty.empty());
  s.c.silenced.insert(empty);
  s.c.run(8, 1);
  ASSERT_TRUE(s.start().suspected(s.machine(empty)));
  s.c.node(1).rents.clear();
  s.c.submit(test_job("run-2", 1, 4));
  s.c.run(6.5, 1);  // a job waits so long before machines are rented for it
  EXPECT_FALSE(s.c.node(1).rents.empty()) << "the room of a machine that may be gone holds nobody off";
}

TEST(Start, ABrokenGangsLostMemberIsDeletedAndTheGangRunsOnWithTheProof) {
  Cluster c;
  for (int i = 0; i < 9; ++i) c.add_machine(name(i));
  for (int n : {0, 1}) c.node(static_cast<std::size_t>(n)).model.settings.teams[1].most = {};
  JobSpec job = test_job("run-1", 4, 4);
  job.shape = Shape::gang;
  job.rank = Rank::high;
  c.submit(job);
  c.run(5);
  std::string lost = c.placed("run-1", 0).at(0);
  c.silenced.insert(lost);
  c.worker(lost).power_off();
  c.kill_node(0);
  c.now += 4;
  c.node(1).square({});
  c.node(1).model.settings.op.give_back_s = 1000;
  c.node(1).claim_all(c.now);
  c.node(1).model.settings.all_nodes = {"node-0", "node-1"};
  for (std::size_t n : {0, 1}) c.register_node(n);
  c.run(1, 1);
  for (TaskNo t : {1U, 2U, 3U})
    c.worker(c.placed("run-1", t).at(0)).finish("run-1/" + std::to_string(t), EndCause::peers);
  MachineIndex m = c.node(1).model.names.machines.find(lost);
  c.run(7.5, 1);
  EXPECT_TRUE(c.state.keys().at("o/m/" + lost).value.at("del").get<bool>());
  c.run(2, 1);
  ASSERT_FALSE(c.node(1).deletes.empty());
  EXPECT_EQ(c.node(1).deletes.back(), m);
  // Until the cloud confirms it the task is nowhere else.
  EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{lost});
  EXPECT_EQ(c.log.starts["run-1/0"], 1);
  c.node(1).fleet.on_deleted({m}, true);
  c.run(4, 1);
  ASSERT_EQ(c.placed("run-1", 0).size(), 1U);
  EXPECT_NE(c.placed("run-1", 0).at(0), lost);
  EXPECT_EQ(c.log.starts["run-1/0"], 2);
  EXPECT_TRUE(c.log.twice.empty());
}

TEST(Start, WhatASuspectMayStillHoldIsNotDeletedLightly) {
  struct Case {
    const char* what;
    bool delete_suspects, market;
    int losses;  // seen before
    bool deleted;
  };
  for (const Case& k : {Case{"nothing is known of silences", true, false, 0, false},
                        Case{"silent machines have not come back", true, false, 40, true},
                        Case{"switched off", false, false, 40, false},
                        Case{"a market's word is no proof", true, true, 40, false}}) {
    Started s(8);
    recovery::Settings settings;
    settings.delete_suspects = k.delete_suspects;
    s.c.silenced.insert("m3");
    s.take_over(settings);
    if (k.market) {
      s.c.node(1).model.names.markets.intern("north");
      Json value = s.c.state.keys().at("o/m/m3").value;
      value["market"] = "north";
      value["bid"] = "b";
      s.c.state.txn({{"guards", Json::array()}, {"apply", {{{"put", "o/m/m3"}, {"value", value}}}}});
      s.c.node(1).sync(s.c.now);
    }
    for (int i = 0; i < k.losses; ++i) const_cast<recovery::Experience&>(s.start().experience()).lost();
    s.c.run(8, 1);
    EXPECT_TRUE(s.start().suspected(s.machine("m3"))) << k.what;
    EXPECT_EQ(s.marked("m3"), k.deleted) << k.what;
  }
}

TEST(Start, IdleMachinesGoBackOnlyOnceDemandIsKnownAndThenAtAPace) {
  Cluster c;
  for (int i = 0; i < 30; ++i) c.add_machine(name(i), "a", ".pool");
  c.run(2);
  c.kill_node(0);
  c.now += 4;
  recovery::Settings settings;
  c.node(1).square(settings);
  c.node(1).claim_all(c.now);
  auto marked = [&c] {
    return std::count_if(c.state.keys().begin(), c.state.keys().end(), [](const auto& e) {
      return e.first.rfind("o/m/", 0) == 0 && e.second.value.at("del").template get<bool>();
    });
  };
  c.run(settings.demand_window_s - 2, 1);
  EXPECT_EQ(marked(), 0);
  EXPECT_EQ(c.node(1).start->counts(pool_part).held_returns.size(), 30U);
  c.run(6, 1);
  // 20 changes a second here: two returns a second, and a burst of as many.
  EXPECT_GT(marked(), 4);
  EXPECT_LE(marked(), 12);
}

TEST(Start, RentalsWaitForTheWordsOfTheirPartButForGuaranteedWork) {
  Started s(8);
  s.c.silenced.insert("m0");
  s.take_over();
  s.c.node(1).pass(s.c.now);
  recovery::Start& start = s.start();
  ASSERT_EQ(start.state(red), PartState::listening);
  EXPECT_FALSE(start.may_rent(red, JobIndex{0}, false, s.c.now));
  EXPECT_TRUE(start.may_rent(red, JobIndex{0}, true, s.c.now));
  EXPECT_EQ(start.counts(pool_part).held_rentals.size(), 1U);
  s.c.run(7, 1);
  EXPECT_TRUE(start.may_rent(red, JobIndex{0}, false, s.c.now)) << "all but a suspect have spoken";
}

TEST(Start, ALeaderThatWasThereBeforeHoldsNoRentalsBack) {
  Started s(8);
  s.c.node(1).square({});
  // A minute as one that owns nothing, then the first node ends.
  for (int i = 0; i < 120; ++i) {
    s.c.now += 0.5;
    s.c.node(0).renew(s.c.now);
    s.c.node(1).sync(s.c.now);
    s.start().pass(s.c.now);
  }
  s.c.kill_node(0);
  s.c.node(1).claim_all(s.c.now);
  s.c.now += 0.5;
  s.c.node(1).pass(s.c.now);
  ASSERT_EQ(s.start().state(red), PartState::listening);
  EXPECT_TRUE(s.start().may_rent(red, JobIndex{0}, false, s.c.now));
}

TEST(Start, DeletionsOnSuspicionKeepToTheBudget) {
  Started s(30);
  for (int i = 0; i < 10; ++i) s.c.silenced.insert(name(i));
  s.take_over();
  for (int i = 0; i < 40; ++i) const_cast<recovery::Experience&>(s.start().experience()).lost();
  s.c.run(7, 1);
  ASSERT_EQ(s.start().suspects(100).size(), 10U);
  // 20 changes a second here: two deletions a second, and a burst of as many.
  EXPECT_LE(s.start().counts(red).condemned, 3U);
  s.c.run(2, 1);
  EXPECT_GE(s.start().counts(red).condemned, 4U);
  EXPECT_LE(s.start().counts(red).condemned, 7U);
}

TEST(Start, WhatOthersSayOfTheirPartsIsAHintThatEnds) {
  Started s(4);
  s.c.kill_node(0);
  s.c.now += 4;
  s.c.node(1).square({});
  s.c.node(1).claim(pool_part, s.c.now);
  s.c.node(0).claim(red, s.c.now);  // still the first node's: it opens a new hold
  s.c.node(0).hold.lost();
  s.c.node(0).claim(red, s.c.now);
  s.c.node(1).sync(s.c.now);
  s.c.node(1).pass(s.c.now);
  recovery::Start& start = s.start();
  Stamp claim = s.c.node(1).model.claim(red).stamp;
  ASSERT_NE(claim, 0U);
  double arrival = s.c.node(1).model.settings.arrival_s();
  EXPECT_FALSE(start.may_rent(red, {}, false, s.c.now)) << "nothing is known yet";
  start.heard_of({red, claim, PartState::squaring, 4, 4}, s.c.now);
  EXPECT_TRUE(start.may_rent(red, {}, false, s.c.now));
  start.heard_of({red, claim - 1, PartState::listening, 4, 0}, s.c.now);
  EXPECT_TRUE(start.may_rent(red, {}, false, s.c.now)) << "an earlier start's word";
  start.heard_of({PartIndex{}, claim, PartState::listening, 4, 0}, s.c.now);
  start.heard_of({red, claim, PartState::listening, 4, 0}, s.c.now);
  EXPECT_FALSE(start.may_rent(red, {}, false, s.c.now));
  EXPECT_TRUE(start.may_rent(red, {}, false, s.c.now + arrival + 0.1)) << "an owner that says nothing more";
  start.heard_of_suspect(s.machine("m0"), s.c.now);
  start.heard_of_suspect(MachineIndex{}, s.c.now);
  EXPECT_TRUE(start.suspected(s.machine("m0")));
  for (int i = 0; i < 8; ++i) start.pass(s.c.now += 0.5);
  EXPECT_FALSE(start.suspected(s.machine("m0")));
}

TEST(Start, WhatOthersSuspectIsReplacedOnceThoughTheirWordComesAndGoes) {
  Started s(20);
  s.take_over();
  s.c.run(2, 1);
  recovery::Start& start = s.start();
  std::size_t asked = 0;
  for (int round = 0; round < 5; ++round) {
    for (int i = 0; i < 4; ++i) start.heard_of_suspect(s.machine(name(i)), s.c.now);
    for (const Replacement& r : start.replacements(s.c.now)) {
      start.under_way(r.suspect);
      ++asked;
    }
    // Longer than a word of others counts, and then it comes again.
    for (int i = 0; i < 8; ++i) start.pass(s.c.now += 0.5);
  }
  EXPECT_EQ(asked, 3U) << "0.15 of 20";
}

TEST(Start, AMachineOfWhichNothingCanBeProvedDoesNotKeepOthersFromGoingBack) {
  Cluster c;
  for (int i = 0; i < 6; ++i) c.add_machine(name(i), "a", ".pool");
  c.run(2);
  c.kill_node(0);
  c.now += 4;
  recovery::Settings settings;
  c.node(1).square(settings);
  c.node(1).claim_all(c.now);
  // It was up, nothing is on it, and it stays silent: no lease speaks for it.
  c.node(1).model.edit_machine(c.node(1).model.names.machines.find("m0")).up = true;
  c.silenced.insert("m0");
  c.run(c.node(1).model.settings.takeover_silence_s() + settings.demand_window_s + 6, 1);
  EXPECT_GE(c.node(1).start->state(pool_part), PartState::easing);
}

TEST(Start, ReplacementsAreBoundedAndAskedForOnce) {
  Started s(20);
  for (int i = 0; i < 5; ++i) s.c.silenced.insert(name(i));
  recovery::Settings settings;
  settings.delete_suspects = false;
  s.take_over(settings);
  s.c.run(7, 1);
  auto asked = [&s] {
    std::uint32_t n = 0;
    for (const RentOrder& r : s.c.node(1).rents) n += r.count;
    return n;
  };
  ASSERT_EQ(s.start().suspects(100).size(), 5U);
  EXPECT_EQ(asked(), 3U) << "0.15 of 20";
  s.c.run(2, 1);
  EXPECT_EQ(asked(), 3U);
  s.c.silenced.clear();
  s.c.run(1, 1);
  EXPECT_TRUE(s.start().replacements(s.c.now).empty());
}

/// The hard cases of a start, each on a small fleet: no rule is broken, everything is squared, no class and
/// no team served below half of its undisturbed twin.
class HardStart : public testing::TestWithParam<std::string> {};

TEST_P(HardStart, KeepsTheRulesAndIsSquared) {
  std::string dir = std::string(DEPLOY_DIR) + "/lab/";
  auto s = lab::load_fleet_scenario(dir + "cluster/" + GetParam() + ".yaml", dir + "fleets/small.yaml");
  for (lab::Fault& f : s.faults) f.count = f.count / 10;  // a tenth of the fleet they were written for
  auto rows = lab::play(s, 2, 1);
  for (const lab::FleetSummary& x : lab::summarise(s, rows)) {
    EXPECT_EQ(x.broken, 0) << name_of(x.way) << ": " << x.first_broken;
    if (x.way != lab::Way::now) continue;
    EXPECT_GE(x.least_served, 0.5);
  }
  for (const lab::FleetRow& r : rows) {
    if (r.way != lab::Way::now) continue;
    EXPECT_GE(r.result.squared_s, 0) << "seed " << r.seed;
  }
}

std::vector<std::string> scenarios() {
  std::vector<std::string> out;
  for (const auto& f : std::filesystem::directory_iterator(std::string(DEPLOY_DIR) + "/lab/cluster"))
    out.push_back(f.path().stem().string());
  std::sort(out.begin(), out.end());
  return out;
}

INSTANTIATE_TEST_SUITE_P(Scenarios, HardStart, testing::ValuesIn(scenarios()), [](const auto& p) {
  std::string n = p.param;
  std::replace(n.begin(), n.end(), '-', '_');
  return n;
});

/// The users' acceptance by job, which the bench does not report: half of each class, of each team and of
/// each class's largest jobs is served, and whatever can run begins within 240 s.
class Acceptance : public testing::TestWithParam<std::string> {};

TEST_P(Acceptance, HalfOfEachIsServedAndAllBeginInTime) {
  std::string dir = std::string(DEPLOY_DIR) + "/lab/";
  auto s = lab::load_fleet_scenario(dir + "cluster/" + GetParam() + ".yaml", dir + "fleets/small.yaml");
  for (lab::Fault& f : s.faults) f.count = f.count / 10;
  s.length_s = 420;
  lab::FleetResult r = lab::FleetWorld(s, lab::Way::now, 1).run();
  for (std::size_t i : {0, 1}) {
    for (const lab::Served& x : {r.class_served[i], r.team_served[i], r.largest_served[i]}) {
      EXPECT_GT(x.jobs, 0U) << i;
      EXPECT_GE(2 * x.begun, x.jobs) << i;
      EXPECT_LE(x.longest_wait_s, 240) << i << ": " << x.begun << " of " << x.jobs << " have begun";
    }
  }
  EXPECT_GT(r.answers, r.refusals);
  EXPECT_TRUE(r.broken.empty()) << r.broken.front();
}

INSTANTIATE_TEST_SUITE_P(Scenarios, Acceptance, testing::ValuesIn(scenarios()), [](const auto& p) {
  std::string n = p.param;
  std::replace(n.begin(), n.end(), '-', '_');
  return n;
});

/// Whatever machines do, one that has spoken of late is not suspected, and nothing is proved by doubt alone.
RC_GTEST_PROP(StartProps, DoubtNeedsSilenceAndProvesNothing, ()) {
  Started s(8);
  s.take_over();
  std::map<std::string, double> spoke;
  auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30));
  for (int step : steps) {
    // 0 to 7: that machine falls silent; 8 to 15: it speaks again; else time passes.
    if (step < 8) s.c.silenced.insert(name(step));
    if (step >= 8 && step < 16) s.c.silenced.erase(name(step - 8));
    s.c.run(1, 1);
    for (int i = 0; i < 8; ++i) {
      if (s.c.silenced.count(name(i)) == 0) spoke[name(i)] = s.c.now;
      MachineIndex m = s.machine(name(i));
      if (!m.valid() || s.c.node(1).model.machine(m).stamp == 0) continue;
      double quiet = s.c.now - (spoke.count(name(i)) != 0 ? spoke[name(i)] : 0);
      if (quiet < 5.5) RC_ASSERT(!s.start().suspected(m));
    }
    RC_ASSERT(s.c.log.twice.empty());
  }
}

}  // namespace
}  // namespace oxbowmill
