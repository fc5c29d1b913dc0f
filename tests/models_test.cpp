// Models that scale to zero and come back (docs/models.md): one cold start an epoch, through failing
// controllers.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

#include "troubles.h"

namespace oxbowmill {
namespace {

using lab::Cluster;
using lab::test_job;

models::Settings chat(double floor_s = 10, std::uint32_t least = 0) {
  models::Terms t;
  t.name = "chat";
  t.job_class = "serve";
  t.calls = {"call"};
  t.least = least;
  t.most = 3;
  t.calls_per_replica = 2;
  t.idle_floor_s = floor_s;
  return {1, {t}};
}

TEST(Models, IdleTimeIsTheDesignsFlooredMedian) {
  struct Case {
    const char* what;
    std::vector<double> starts;
    double idle;
  };
  models::Terms t = chat().models[0];
  t.idle_floor_s = 30;
  const Case cases[] = {{"nothing seen", {}, 30},
                        {"floored", {10, 12}, 30},
                        {"median of an odd count", {100, 40, 60}, 90},
                        {"median of an even count", {100, 40, 60, 80}, 105}};
  for (const Case& k : cases) EXPECT_DOUBLE_EQ(models::idle_after(k.starts, t), k.idle) << k.what;
}

struct Served {
  explicit Served(const models::Settings& settings = chat()) : c(3) {
    for (std::size_t i = 0; i < 3; ++i) {
      c.node(i).model.settings.teams[1].most = {};
      c.node(i).model.settings.op.give_back_s = 2;
      c.node(i).model.settings.op.idle_keep_s = 1e6;
      c.node(i).agree({}, settings);
    }
    for (const char* m : {"m1", "m2", "m3", "m4"}) c.add_machine(m, "a", "red");
    for (const char* m : {"m5", "m6"}) c.add_machine(m, "a", "blue");
    run(3);
  }
  void submit(const std::string& ref, const char* job_class, std::uint32_t tasks = 1, bool blue = false) {
    JobSpec s = test_job(ref, tasks, job_class == std::string("serve") ? 4 : 1);
    Names& n = c.node(0).model.names;
    s.job_class = n.classes.intern(job_class);
    s.part = PartIndex{blue ? 2U : 1U};
    if (job_class == std::string("serve")) {
      s.shape = Shape::service;
      s.rank = Rank::production;
      s.save_every_s = 0;
    }
    c.submit(s);
  }
  void standing() { submit("run-model", "serve", 3); }
  void run(double seconds) {
    for (double end = c.now + seconds; c.now < end;) {
      c.run(0.5, owner);
      check();
    }
  }
  void change_owner() {
    c.hand_over(owner, (owner + 1) % 3, 4);
    owner = (owner + 1) % 3;
  }
  std::vector<std::string> machines() const { return {"m1", "m2", "m3", "m4", "m5", "m6"}; }
  std::uint32_t replicas() {
    std::uint32_t n = 0;
    for (const std::string& m : machines()) {
      for (const auto& [id, t] : c.worker(m).tasks())
        n += static_cast<unsigned int>(t.job == "run-model" && t.phase != TaskPhase::ended);
    }
    return n;
  }
  bool finish(const std::string& task, EndCause cause = EndCause::done) {
    for (const std::string& m : machines()) {
      if (!c.worker(m).has(task) || c.worker(m).phase(task) == TaskPhase::ended) continue;
      c.worker(m).finish(task, cause);
      return true;
    }
    return false;
  }
  const lab::Json* record() const {
    auto it = c.state.keys().find("o/d/model/chat");
    return it == c.state.keys().end() ? nullptr : &it->second.value;
  }
  std::string state() const { return record() == nullptr ? "" : record()->at("s").get<std::string>(); }
  std::uint64_t epoch() const { return record() == nullptr ? 0 : record()->value("e", std::uint64_t{0}); }
  /// From outside: in a warming epoch at most one replica is placed, in cold none; and epochs only follow
  /// cold.
  void check() {
    EXPECT_TRUE(c.log.twice.empty());
    std::size_t placed = 0;
    for (TaskNo t = 0; t < 3; ++t) placed += c.placed("run-model", t).size();
    if (state() == "warming") {
      EXPECT_LE(placed, 1U);
    }
    if (state() == "cold" || state().empty()) {
      EXPECT_EQ(placed, 0U);
    }
    for (; heard < c.state.events().size(); ++heard) {
      const auto& e = c.state.events()[heard];
      if (e.key != "o/d/model/chat") continue;
      std::uint64_t n = e.value->value("e", std::uint64_t{0});
      EXPECT_TRUE(n == last_epoch || (n == last_epoch + 1 && last_state == "cold"));
      last_epoch = n;
      last_state = e.value->at("s").get<std::string>();
    }
  }
  Cluster c;
  std::size_t owner = 0, heard = 0;
  std::uint64_t last_epoch = 0;
  std::string last_state;
};

TEST(Models, CallsWakeItOnceAndItCoolsWhenIdle) {
  Served s;
  s.standing();
  s.run(5);
  EXPECT_EQ(s.replicas(), 0U);
  EXPECT_EQ(s.state(), "cold");
  EXPECT_EQ(s.c.phase("run-model"), "queued" == s.c.phase("run-model") ? "queued" : "open");
  for (const char* m : {"m1", "m2", "m3", "m4"}) s.c.worker(m).first_phase = TaskPhase::fetching;
  for (int i = 0; i < 5; ++i) s.submit("run-call" + std::to_string(i), "call", 1, i % 2 == 1);
  s.run(6);
  EXPECT_EQ(s.state(), "warming");
  EXPECT_EQ(s.replicas(), 1U);  // and not one for each of the callers
  EXPECT_EQ(s.c.log.starts["run-call0/0"] + s.c.log.starts["run-call1/0"], 0);
  for (const char* m : {"m1", "m2", "m3", "m4"}) {
    s.c.worker(m).first_phase = TaskPhase::running;
    if (s.c.worker(m).has("run-model/0")) s.c.worker(m).set_phase("run-model/0", TaskPhase::running);
  }
  s.run(4);
  EXPECT_EQ(s.state(), "serving");
  EXPECT_EQ(s.replicas(), 3U);  // five calls, two for each
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(s.finish("run-call" + std::to_string(i) + "/0")) << i;
  s.run(9);
  EXPECT_EQ(s.state(), "serving");
  s.run(12);
  EXPECT_EQ(s.state(), "cold");
  EXPECT_EQ(s.replicas(), 0U);
  EXPECT_EQ(s.epoch(), 1U);
  EXPECT_EQ(s.c.phase("run-model"), "open");  // scaled down, not done
}

TEST(Models, HardCases) {
  struct Case {
    const char* what;
    std::function<void(Served&)> act;
    const char* state;
    std::uint64_t epoch;
  };
  auto warm = [](Served& s) {
    s.submit("run-call", "call");
    s.run(5);
    ASSERT_EQ(s.state(), "serving");
  };
  const Case cases[] = {
      {"the owner ends while it warms",
       [](Served& s) {
         for (const std::string& m : s.machines()) s.c.worker(m).first_phase = TaskPhase::fetching;
         s.submit("run-call", "call");
         s.run(3);
         ASSERT_EQ(s.state(), "warming");
         s.change_owner();
         s.run(5);
         EXPECT_EQ(s.c.log.starts["run-model/0"], 1);
         s.change_owner();
         s.run(2);
       },
       "warming", 1},
      {"the owner ends while it cools",
       [&](Served& s) {
         warm(s);
         s.finish("run-call/0");
         while (s.state() != "cooling") s.run(0.5);
         s.change_owner();
         s.run(20);
       },
       "cold", 1},
      {"the owner ends while it cools, and a call comes to the next: it cannot know that no stop was sent",
       [&](Served& s) {
         warm(s);
         s.finish("run-call/0");
         while (s.state() != "cooling") s.run(0.5);
         s.change_owner();
         s.submit("run-call2", "call");
         s.run(14);
       },
       "serving", 2},
      {"a call while it cools, before any stop: taken back",
       [&](Served& s) {
         warm(s);
         s.finish("run-call/0");
         while (s.state() != "cooling") s.run(0.5);
         s.submit("run-call2", "call");
         s.run(3);
         EXPECT_EQ(s.c.log.starts["run-model/0"], 1);
       },
       "serving", 1},
      {"a call while it cools, after the stop: the next epoch, once all is off",
       [&](Served& s) {
         warm(s);
         s.finish("run-call/0");
         while (s.state() != "cooling") s.run(0.5);
         s.run(4);
         s.submit("run-call2", "call");
         s.run(12);
       },
       "serving", 2},
      {"a replica is lost: replaced in the same epoch",
       [&](Served& s) {
         warm(s);
         s.finish("run-model/0", EndCause::error);
         s.run(8);
         EXPECT_EQ(s.replicas(), 1U);
       },
       "serving", 1},
      {"withdrawn while it warms",
       [](Served& s) {
         for (const std::string& m : s.machines()) s.c.worker(m).first_phase = TaskPhase::fetching;
         s.submit("run-call", "call");
         s.run(3);
         s.c.withdraw("run-model");
         s.run(10);
         EXPECT_EQ(s.replicas(), 0U);
         EXPECT_EQ(s.c.log.starts["run-call/0"], 0);  // it waits, and is known
         EXPECT_EQ(s.c.phase("run-call"), "open");
       },
       "warming", 1},
      {"withdrawn and submitted anew: from cold, under the next epoch",
       [&](Served& s) {
         warm(s);
         s.c.withdraw("run-model");
         s.run(8);
         s.submit("run-model2", "serve", 3);
         s.run(10);
         EXPECT_GE(s.c.log.starts["run-model2/0"], 1);
       },
       "serving", 2},
      {"a call that fails for ever does not keep it warm",
       [&](Served& s) {
         warm(s);
         for (int i = 0; i < 200 && s.state() != "cooling" && s.state() != "cold"; ++i) {
           s.finish("run-call/0", EndCause::error);
           s.run(1);
         }
         s.run(10);
       },
       "cold", 1},
      {"the state service is out as calls come",
       [](Served& s) {
         s.submit("run-call", "call");
         s.c.state.set_outage(true, s.c.now);
         s.run(3);
         s.c.state.set_outage(false, s.c.now);
         s.run(6);
       },
       "serving", 1},
      {"all down while it warms",
       [](Served& s) {
         for (const std::string& m : s.machines()) s.c.worker(m).first_phase = TaskPhase::fetching;
         s.submit("run-call", "call");
         s.run(3);
         s.c.kill_node(s.owner);
         s.c.now += 8;
         s.change_owner();
         for (const std::string& m : s.machines()) {
           s.c.worker(m).first_phase = TaskPhase::running;
           if (s.c.worker(m).has("run-model/0")) s.c.worker(m).set_phase("run-model/0", TaskPhase::running);
         }
         s.run(45);
       },
       "serving", 1},
  };
  for (const Case& k : cases) {
    SCOPED_TRACE(k.what);
    Served s;
    s.standing();
    s.run(3);
    k.act(s);
    EXPECT_EQ(s.state(), k.state) << k.what;
    EXPECT_EQ(s.epoch(), k.epoch) << k.what;
  }
}

TEST(Models, LeastReplicasStayAndWhatNoModelNamesIsLeftAlone) {
  Served s(chat(10, 1));
  s.standing();
  s.submit("run-other", "other", 2);
  s.run(40);
  EXPECT_EQ(s.state(), "serving");
  EXPECT_EQ(s.replicas(), 1U);
  EXPECT_GE(s.c.log.starts["run-other/0"], 1);
}

/// Random histories: calls come and go at all controllers' users, owners end, answers are lost, machines die,
/// late copies arrive. `OXBOW_HISTORIES` says how many.
TEST(Models, RandomHistories) {
  const char* wanted = std::getenv("OXBOW_HISTORIES");
  int histories = wanted == nullptr ? 120 : std::atoi(wanted);
  std::uint64_t epochs = 0;
  for (int seed = 1; seed <= histories && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    auto pick = [&random](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
    Served s(chat(4));
    s.standing();
    int calls = 0;
    for (int step = 0; step < 40; ++step) {
      switch (pick(10)) {
        case 0:
        case 1:
          for (int i = pick(4); i >= 0; --i)
            s.submit("run-call" + std::to_string(calls++), "call", 1, pick(2) == 0);
          break;
        case 2:
        case 3:
        case 4:
          for (int i = 0; i < calls; ++i) s.finish("run-call" + std::to_string(i) + "/0");
          break;
        case 5:
          trouble(s, Trouble::owner_ends, pick);
          break;
        case 6:
          trouble(s, Trouble::answers_lost, pick);
          break;
        case 7:
          trouble(s, Trouble::state_outage, pick);
          break;
        case 8:
          trouble(s, Trouble::late_copies, pick);
          break;
        default:
          s.finish("run-model/" + std::to_string(pick(3)), EndCause::error);
      }
      s.run(0.5 * (1 + pick(12)));
    }
    // All troubles are over: every call is served, and then it is cold again.
    for (int i = 0; i < 60; ++i) {
      s.run(2);
      for (int k = 0; k < calls; ++k) s.finish("run-call" + std::to_string(k) + "/0");
    }
    for (int k = 0; k < calls; ++k) EXPECT_EQ(s.c.phase("run-call" + std::to_string(k)), "done") << k;
    s.run(30);
    EXPECT_EQ(s.state(), "cold") << s.c.node(s.owner).keeper->why("chat");
    EXPECT_EQ(s.replicas(), 0U);
    epochs += s.epoch();
  }
  EXPECT_GT(epochs, static_cast<std::uint64_t>(histories));
}

}  // namespace
}  // namespace oxbowmill
