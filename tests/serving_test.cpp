// Models that scale to zero and back (docs/model-serving.md): one cold start per epoch, also when controllers
// fail.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

#include "random_faults.h"

namespace oxbowmill {
namespace {

using simulation::SimulatedCluster;
using simulation::test_job;

serving::Settings chat_settings(double floor_s = 10, std::uint32_t least = 0) {
  serving::ModelSpec terms;
  terms.name = "chat";
  terms.job_class = "serve";
  terms.call_classes = {"call"};
  terms.min_replicas = least;
  terms.max_replicas = 3;
  terms.calls_per_replica = 2;
  terms.idle_floor_s = floor_s;
  return {1, {terms}};
}

TEST(ModelAutoscaler, IdleTimeoutIsFlooredMedianOfStarts) {
  struct Case {
    const char* description;
    std::vector<double> starts_at_s;
    double idle_s;
  };
  serving::ModelSpec terms = chat_settings().models[0];
  terms.idle_floor_s = 30;
  const Case cases[] = {{"nothing seen", {}, 30},
                        {"floored", {10, 12}, 30},
                        {"median of an odd count", {100, 40, 60}, 90},
                        {"median of an even count", {100, 40, 60, 80}, 105}};
  for (const Case& k : cases)
    EXPECT_DOUBLE_EQ(serving::idle_timeout(k.starts_at_s, terms), k.idle_s) << k.description;
}

struct ModelServingFixture {
  explicit ModelServingFixture(const serving::Settings& settings = chat_settings()) : cluster(3) {
    for (std::size_t i = 0; i < 3; ++i) {
      cluster.controller(i).cluster_state.settings.teams[1].limit = {};
      cluster.controller(i).cluster_state.settings.operator_settings.release_to_pool_s = 2;
      cluster.controller(i).cluster_state.settings.operator_settings.idle_retention_s = 1e6;
      cluster.controller(i).enable_decisions({}, settings);
    }
    for (const char* m : {"m1", "m2", "m3", "m4"}) cluster.add_machine(m, "a", "red");
    for (const char* m : {"m5", "m6"}) cluster.add_machine(m, "a", "blue");
    run(3);
  }
  void submit(const std::string& ref, const char* job_class, std::uint32_t tasks = 1, bool blue = false) {
    JobSpec job_spec = test_job(ref, tasks, job_class == std::string("serve") ? 4 : 1);
    Names& n = cluster.controller(0).cluster_state.names;
    job_spec.job_class = n.classes.intern(job_class);
    job_spec.partition = PartitionIndex{blue ? 2U : 1U};
    if (job_class == std::string("serve")) {
      job_spec.shape = JobShape::service;
      job_spec.priority = Priority::production;
      job_spec.checkpoint_interval_s = 0;
    }
    cluster.submit(job_spec);
  }
  void submit_service_job() { submit("run-model", "serve", 3); }
  void run(double seconds) {
    for (double end = cluster.now + seconds; cluster.now < end;) {
      cluster.run(0.5, owner);
      check_invariants();
    }
  }
  void change_owner() {
    cluster.fail_over(owner, (owner + 1) % 3, 4);
    owner = (owner + 1) % 3;
  }
  std::vector<std::string> machines() const { return {"m1", "m2", "m3", "m4", "m5", "m6"}; }
  std::uint32_t replicas() {
    std::uint32_t n = 0;
    for (const std::string& m : machines()) {
      for (const auto& [id, t] : cluster.worker(m).tasks())
        n += static_cast<unsigned int>(t.job == "run-model" && t.phase != TaskPhase::ended);
    }
    return n;
  }
  bool finish(const std::string& task, EndCause cause = EndCause::done) {
    for (const std::string& m : machines()) {
      if (!cluster.worker(m).has(task) || cluster.worker(m).phase(task) == TaskPhase::ended) continue;
      cluster.worker(m).finish(task, cause);
      return true;
    }
    return false;
  }
  const simulation::Json* record() const {
    auto it = cluster.store.keys().find("o/d/model/chat");
    return it == cluster.store.keys().end() ? nullptr : &it->second.value;
  }
  std::string state() const { return record() == nullptr ? "" : record()->at("s").get<std::string>(); }
  std::uint64_t epoch() const { return record() == nullptr ? 0 : record()->value("e", std::uint64_t{0}); }
  /// Checked from outside: in a warming epoch at most one replica is placed, when cold none; and a new epoch
  /// only follows cold.
  void check_invariants() {
    EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
    std::size_t placed = 0;
    for (TaskNumber t = 0; t < 3; ++t) placed += cluster.machines_of_task("run-model", t).size();
    if (state() == "warming") {
      EXPECT_LE(placed, 1U);
    }
    if (state() == "cold" || state().empty()) {
      EXPECT_EQ(placed, 0U);
    }
    for (; checked_events < cluster.store.events().size(); ++checked_events) {
      const auto& event = cluster.store.events()[checked_events];
      if (event.key != "o/d/model/chat") continue;
      std::uint64_t n = event.value->value("e", std::uint64_t{0});
      EXPECT_TRUE(n == last_epoch || (n == last_epoch + 1 && last_state == "cold"));
      last_epoch = n;
      last_state = event.value->at("s").get<std::string>();
    }
  }
  SimulatedCluster cluster;
  std::size_t owner = 0, checked_events = 0;
  std::uint64_t last_epoch = 0;
  std::string last_state;
};

TEST(ModelAutoscaler, CallsStartModelOnceAndItScalesToZeroWhenIdle) {
  ModelServingFixture fixture;
  fixture.submit_service_job();
  fixture.run(5);
  EXPECT_EQ(fixture.replicas(), 0U);
  EXPECT_EQ(fixture.state(), "cold");
  EXPECT_EQ(fixture.cluster.phase("run-model"),
            "queued" == fixture.cluster.phase("run-model") ? "queued" : "open");
  for (const char* m : {"m1", "m2", "m3", "m4"}) fixture.cluster.worker(m).first_phase = TaskPhase::fetching;
  for (int i = 0; i < 5; ++i) fixture.submit("run-call" + std::to_string(i), "call", 1, i % 2 == 1);
  fixture.run(6);
  EXPECT_EQ(fixture.state(), "warming");
  EXPECT_EQ(fixture.replicas(), 1U);  // and not one for each of the callers
  EXPECT_EQ(fixture.cluster.run_log.starts["run-call0/0"] + fixture.cluster.run_log.starts["run-call1/0"], 0);
  for (const char* m : {"m1", "m2", "m3", "m4"}) {
    fixture.cluster.worker(m).first_phase = TaskPhase::running;
    if (fixture.cluster.worker(m).has("run-model/0"))
      fixture.cluster.worker(m).set_phase("run-model/0", TaskPhase::running);
  }
  fixture.run(4);
  EXPECT_EQ(fixture.state(), "serving");
  EXPECT_EQ(fixture.replicas(), 3U);  // five calls, two per replica
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(fixture.finish("run-call" + std::to_string(i) + "/0")) << i;
  fixture.run(9);
  EXPECT_EQ(fixture.state(), "serving");
  fixture.run(12);
  EXPECT_EQ(fixture.state(), "cold");
  EXPECT_EQ(fixture.replicas(), 0U);
  EXPECT_EQ(fixture.epoch(), 1U);
  EXPECT_EQ(fixture.cluster.phase("run-model"), "open");  // scaled down, not done
}

TEST(ModelAutoscaler, StateTransitionsUnderFaults) {
  struct Case {
    const char* description;
    std::function<void(ModelServingFixture&)> action;
    const char* state;
    std::uint64_t epoch;
  };
  auto warm = [](ModelServingFixture& fixture) {
    fixture.submit("run-call", "call");
    fixture.run(5);
    ASSERT_EQ(fixture.state(), "serving");
  };
  const Case cases[] = {
      {"the owner ends while it warms",
       [](ModelServingFixture& fixture) {
         for (const std::string& m : fixture.machines())
           fixture.cluster.worker(m).first_phase = TaskPhase::fetching;
         fixture.submit("run-call", "call");
         fixture.run(3);
         ASSERT_EQ(fixture.state(), "warming");
         fixture.change_owner();
         fixture.run(5);
         EXPECT_EQ(fixture.cluster.run_log.starts["run-model/0"], 1);
         fixture.change_owner();
         fixture.run(2);
       },
       "warming", 1},
      {"the owner ends while it cools",
       [&](ModelServingFixture& fixture) {
         warm(fixture);
         fixture.finish("run-call/0");
         while (fixture.state() != "cooling") fixture.run(0.5);
         fixture.change_owner();
         fixture.run(20);
       },
       "cold", 1},
      {"the owner ends while it cools, and a call comes to the next: it cannot know that no stop was sent",
       [&](ModelServingFixture& fixture) {
         warm(fixture);
         fixture.finish("run-call/0");
         while (fixture.state() != "cooling") fixture.run(0.5);
         fixture.change_owner();
         fixture.submit("run-call2", "call");
         fixture.run(14);
       },
       "serving", 2},
      {"a call while it cools, before any stop: taken back",
       [&](ModelServingFixture& fixture) {
         warm(fixture);
         fixture.finish("run-call/0");
         while (fixture.state() != "cooling") fixture.run(0.5);
         fixture.submit("run-call2", "call");
         fixture.run(3);
         EXPECT_EQ(fixture.cluster.run_log.starts["run-model/0"], 1);
       },
       "serving", 1},
      {"a call while it cools, after the stop: the next epoch, once all is off",
       [&](ModelServingFixture& fixture) {
         warm(fixture);
         fixture.finish("run-call/0");
         while (fixture.state() != "cooling") fixture.run(0.5);
         fixture.run(4);
         fixture.submit("run-call2", "call");
         fixture.run(12);
       },
       "serving", 2},
      {"a replica is lost: replaced in the same epoch",
       [&](ModelServingFixture& fixture) {
         warm(fixture);
         fixture.finish("run-model/0", EndCause::error);
         fixture.run(8);
         EXPECT_EQ(fixture.replicas(), 1U);
       },
       "serving", 1},
      {"withdrawn while it warms",
       [](ModelServingFixture& fixture) {
         for (const std::string& m : fixture.machines())
           fixture.cluster.worker(m).first_phase = TaskPhase::fetching;
         fixture.submit("run-call", "call");
         fixture.run(3);
         fixture.cluster.withdraw("run-model");
         fixture.run(10);
         EXPECT_EQ(fixture.replicas(), 0U);
         EXPECT_EQ(fixture.cluster.run_log.starts["run-call/0"], 0);  // it waits, and the job is known
         EXPECT_EQ(fixture.cluster.phase("run-call"), "open");
       },
       "warming", 1},
      {"withdrawn and submitted anew: from cold, under the next epoch",
       [&](ModelServingFixture& fixture) {
         warm(fixture);
         fixture.cluster.withdraw("run-model");
         fixture.run(8);
         fixture.submit("run-model2", "serve", 3);
         fixture.run(10);
         EXPECT_GE(fixture.cluster.run_log.starts["run-model2/0"], 1);
       },
       "serving", 2},
      {"a call that fails for ever does not keep it warm",
       [&](ModelServingFixture& fixture) {
         warm(fixture);
         for (int i = 0; i < 200 && fixture.state() != "cooling" && fixture.state() != "cold"; ++i) {
           fixture.finish("run-call/0", EndCause::error);
           fixture.run(1);
         }
         fixture.run(10);
       },
       "cold", 1},
      {"the state service is out as calls come",
       [](ModelServingFixture& fixture) {
         fixture.submit("run-call", "call");
         fixture.cluster.store.set_outage(true, fixture.cluster.now);
         fixture.run(3);
         fixture.cluster.store.set_outage(false, fixture.cluster.now);
         fixture.run(6);
       },
       "serving", 1},
      {"all down while it warms",
       [](ModelServingFixture& fixture) {
         for (const std::string& m : fixture.machines())
           fixture.cluster.worker(m).first_phase = TaskPhase::fetching;
         fixture.submit("run-call", "call");
         fixture.run(3);
         fixture.cluster.kill_controller(fixture.owner);
         fixture.cluster.now += 8;
         fixture.change_owner();
         for (const std::string& m : fixture.machines()) {
           fixture.cluster.worker(m).first_phase = TaskPhase::running;
           if (fixture.cluster.worker(m).has("run-model/0"))
             fixture.cluster.worker(m).set_phase("run-model/0", TaskPhase::running);
         }
         fixture.run(45);
       },
       "serving", 1},
  };
  for (const Case& test_case : cases) {
    SCOPED_TRACE(test_case.description);
    ModelServingFixture fixture;
    fixture.submit_service_job();
    fixture.run(3);
    test_case.action(fixture);
    EXPECT_EQ(fixture.state(), test_case.state) << test_case.description;
    EXPECT_EQ(fixture.epoch(), test_case.epoch) << test_case.description;
  }
}

TEST(ModelAutoscaler, KeepsMinimumReplicasAndIgnoresUnmanagedServices) {
  ModelServingFixture fixture(chat_settings(10, 1));
  fixture.submit_service_job();
  fixture.submit("run-other", "other", 2);
  fixture.run(40);
  EXPECT_EQ(fixture.state(), "serving");
  EXPECT_EQ(fixture.replicas(), 1U);
  EXPECT_GE(fixture.cluster.run_log.starts["run-other/0"], 1);
}

/// Random histories: calls come and go through all controllers, owners end, responses are lost, machines are
/// lost, late copies arrive. `OXBOW_HISTORIES` sets how many.
TEST(ModelAutoscaler, RandomFaultHistories) {
  const char* wanted = std::getenv("OXBOW_HISTORIES");
  int histories = wanted == nullptr ? 120 : std::atoi(wanted);
  std::uint64_t epochs = 0;
  for (int seed = 1; seed <= histories && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    auto pick = [&random](int position) {
      return std::uniform_int_distribution<int>(0, position - 1)(random);
    };
    ModelServingFixture fixture(chat_settings(4));
    fixture.submit_service_job();
    int calls = 0;
    for (int step = 0; step < 40; ++step) {
      switch (pick(10)) {
        case 0:
        case 1:
          for (int i = pick(4); i >= 0; --i)
            fixture.submit("run-call" + std::to_string(calls++), "call", 1, pick(2) == 0);
          break;
        case 2:
        case 3:
        case 4:
          for (int i = 0; i < calls; ++i) fixture.finish("run-call" + std::to_string(i) + "/0");
          break;
        case 5:
          inject_fault(fixture, RandomFault::owner_crash, pick);
          break;
        case 6:
          inject_fault(fixture, RandomFault::responses_lost, pick);
          break;
        case 7:
          inject_fault(fixture, RandomFault::state_outage, pick);
          break;
        case 8:
          inject_fault(fixture, RandomFault::delayed_duplicates, pick);
          break;
        default:
          fixture.finish("run-model/" + std::to_string(pick(3)), EndCause::error);
      }
      fixture.run(0.5 * (1 + pick(12)));
    }
    // All faults are over: every call is served, and then the model is cold again.
    for (int i = 0; i < 60; ++i) {
      fixture.run(2);
      for (int k = 0; k < calls; ++k) fixture.finish("run-call" + std::to_string(k) + "/0");
    }
    for (int k = 0; k < calls; ++k)
      EXPECT_EQ(fixture.cluster.phase("run-call" + std::to_string(k)), "done") << k;
    fixture.run(30);
    EXPECT_EQ(fixture.state(), "cold")
        << fixture.cluster.controller(fixture.owner).model_autoscaler->pending_reason("chat");
    EXPECT_EQ(fixture.replicas(), 0U);
    epochs += fixture.epoch();
  }
  EXPECT_GT(epochs, static_cast<std::uint64_t>(histories));
}

}  // namespace
}  // namespace oxbowmill
