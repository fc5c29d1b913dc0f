// Models that scale to zero and back (docs/model-serving.md): there is one cold start per epoch, even if
// controllers fail.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

#include "random_faults.h"

namespace oxbowmill {
namespace {

using simulation::SimulatedCluster;
using simulation::test_job;

serving::Settings chat_settings(double idle_floor_s = 10, std::uint32_t min_replicas = 0) {
  serving::ModelSpec model_spec;
  model_spec.name = "chat";
  model_spec.job_class = "serve";
  model_spec.call_classes = {"call"};
  model_spec.min_replicas = min_replicas;
  model_spec.max_replicas = 3;
  model_spec.calls_per_replica = 2;
  model_spec.idle_floor_s = idle_floor_s;
  return {1, {model_spec}};
}

TEST(ModelAutoscaler, IdleTimeoutIsMultipleOfMedianColdStartWithFloor) {
  struct Case {
    const char* description;
    std::vector<double> cold_starts_s;
    double idle_timeout_s;
  };
  serving::ModelSpec model_spec = chat_settings().models[0];
  model_spec.idle_floor_s = 30;
  const Case cases[] = {{"no cold start yet: the floor", {}, 30},
                        {"median below the floor: the floor", {10, 12}, 30},
                        {"median of an odd count", {100, 40, 60}, 90},
                        {"median of an even count", {100, 40, 60, 80}, 105}};
  for (const Case& test_case : cases)
    EXPECT_DOUBLE_EQ(serving::idle_timeout(test_case.cold_starts_s, model_spec), test_case.idle_timeout_s)
        << test_case.description;
}

/// Three simulated controllers that manage the model `chat`, and machines of two teams, red and blue.
struct ModelServingFixture {
  explicit ModelServingFixture(const serving::Settings& settings = chat_settings()) : cluster(3) {
    for (std::size_t i = 0; i < 3; ++i) {
      cluster.controller(i).cluster_state.settings.teams[1].limit = {};
      cluster.controller(i).cluster_state.settings.operator_settings.release_to_pool_s = 2;
      cluster.controller(i).cluster_state.settings.operator_settings.idle_retention_s = 1e6;
      cluster.controller(i).enable_decisions({}, settings);
    }
    for (const char* machine : {"m1", "m2", "m3", "m4"}) cluster.add_machine(machine, "a", "red");
    for (const char* machine : {"m5", "m6"}) cluster.add_machine(machine, "a", "blue");
    run(3);
  }
  void submit(const std::string& ref, const char* job_class, std::uint32_t tasks = 1, bool is_blue = false) {
    JobSpec job_spec = test_job(ref, tasks, job_class == std::string("serve") ? 4 : 1);
    Names& names = cluster.controller(0).cluster_state.names;
    job_spec.job_class = names.classes.intern(job_class);
    job_spec.partition = PartitionIndex{is_blue ? 2U : 1U};
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
  /// Kills the owner; another controller acquires all its partitions.
  void change_owner() {
    cluster.fail_over(owner, (owner + 1) % 3, 4);
    owner = (owner + 1) % 3;
  }
  std::vector<std::string> machines() const { return {"m1", "m2", "m3", "m4", "m5", "m6"}; }
  /// Number of replicas on the machines.
  std::uint32_t replicas() {
    std::uint32_t count = 0;
    for (const std::string& machine : machines()) {
      for (const auto& [id, task] : cluster.agent(machine).tasks())
        count += static_cast<unsigned int>(task.job == "run-model" && task.phase != TaskPhase::ended);
    }
    return count;
  }
  /// Ends the task if it runs on a machine; returns whether it did.
  bool finish(const std::string& task, EndCause cause = EndCause::done) {
    for (const std::string& machine : machines()) {
      if (!cluster.agent(machine).has(task) || cluster.agent(machine).phase(task) == TaskPhase::ended)
        continue;
      cluster.agent(machine).finish(task, cause);
      return true;
    }
    return false;
  }
  const simulation::Json* record() const {
    auto record = cluster.store.keys().find("o/d/model/chat");
    return record == cluster.store.keys().end() ? nullptr : &record->second.value;
  }
  std::string state() const { return record() == nullptr ? "" : record()->at("s").get<std::string>(); }
  std::uint64_t epoch() const { return record() == nullptr ? 0 : record()->value("e", std::uint64_t{0}); }
  /// Checks with the state service that at most one replica is placed while the model is warming and none
  /// while it is cold, and that a new epoch begins only from cold.
  void check_invariants() {
    EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
    std::size_t placed = 0;
    for (TaskNumber task = 0; task < 3; ++task) placed += cluster.machines_of_task("run-model", task).size();
    if (state() == "warming") {
      EXPECT_LE(placed, 1U);
    }
    if (state() == "cold" || state().empty()) {
      EXPECT_EQ(placed, 0U);
    }
    for (; checked_events < cluster.store.events().size(); ++checked_events) {
      const auto& event = cluster.store.events()[checked_events];
      if (event.key != "o/d/model/chat") continue;
      std::uint64_t epoch = event.value->value("e", std::uint64_t{0});
      EXPECT_TRUE(epoch == last_epoch || (epoch == last_epoch + 1 && last_state == "cold"));
      last_epoch = epoch;
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
  for (const char* machine : {"m1", "m2", "m3", "m4"})
    fixture.cluster.agent(machine).first_phase = TaskPhase::fetching;
  for (int i = 0; i < 5; ++i) fixture.submit("run-call" + std::to_string(i), "call", 1, i % 2 == 1);
  fixture.run(6);
  EXPECT_EQ(fixture.state(), "warming");
  EXPECT_EQ(fixture.replicas(), 1U);  // one replica, not one per call
  EXPECT_EQ(fixture.cluster.run_log.starts["run-call0/0"] + fixture.cluster.run_log.starts["run-call1/0"], 0);
  for (const char* machine : {"m1", "m2", "m3", "m4"}) {
    fixture.cluster.agent(machine).first_phase = TaskPhase::running;
    if (fixture.cluster.agent(machine).has("run-model/0"))
      fixture.cluster.agent(machine).set_phase("run-model/0", TaskPhase::running);
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
  EXPECT_EQ(fixture.cluster.phase("run-model"), "open");  // scaled to zero, but not done
}

TEST(ModelAutoscaler, StateTransitionsUnderFaults) {
  struct Case {
    const char* description;
    std::function<void(ModelServingFixture&)> action;
    const char* state;
    std::uint64_t epoch;
  };
  auto start_model = [](ModelServingFixture& fixture) {
    fixture.submit("run-call", "call");
    fixture.run(5);
    ASSERT_EQ(fixture.state(), "serving");
  };
  const Case cases[] = {
      {"two owners fail while the model warms: one cold start",
       [](ModelServingFixture& fixture) {
         for (const std::string& machine : fixture.machines())
           fixture.cluster.agent(machine).first_phase = TaskPhase::fetching;
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
      {"the owner fails while the model cools: it becomes cold",
       [&](ModelServingFixture& fixture) {
         start_model(fixture);
         fixture.finish("run-call/0");
         while (fixture.state() != "cooling") fixture.run(0.5);
         fixture.change_owner();
         fixture.run(20);
       },
       "cold", 1},
      {"the owner fails while the model cools, then a call arrives: the next owner assumes that stops were "
       "sent",
       [&](ModelServingFixture& fixture) {
         start_model(fixture);
         fixture.finish("run-call/0");
         while (fixture.state() != "cooling") fixture.run(0.5);
         fixture.change_owner();
         fixture.submit("run-call2", "call");
         fixture.run(14);
       },
       "serving", 2},
      {"a call arrives while the model cools, before any stop: cooling is cancelled",
       [&](ModelServingFixture& fixture) {
         start_model(fixture);
         fixture.finish("run-call/0");
         while (fixture.state() != "cooling") fixture.run(0.5);
         fixture.submit("run-call2", "call");
         fixture.run(3);
         EXPECT_EQ(fixture.cluster.run_log.starts["run-model/0"], 1);
       },
       "serving", 1},
      {"a call arrives while the model cools, after a stop: the next epoch begins once all replicas are gone",
       [&](ModelServingFixture& fixture) {
         start_model(fixture);
         fixture.finish("run-call/0");
         while (fixture.state() != "cooling") fixture.run(0.5);
         fixture.run(4);
         fixture.submit("run-call2", "call");
         fixture.run(12);
       },
       "serving", 2},
      {"a replica fails: it is replaced in the same epoch",
       [&](ModelServingFixture& fixture) {
         start_model(fixture);
         fixture.finish("run-model/0", EndCause::error);
         fixture.run(8);
         EXPECT_EQ(fixture.replicas(), 1U);
       },
       "serving", 1},
      {"the service job is cancelled while the model warms: the call waits",
       [](ModelServingFixture& fixture) {
         for (const std::string& machine : fixture.machines())
           fixture.cluster.agent(machine).first_phase = TaskPhase::fetching;
         fixture.submit("run-call", "call");
         fixture.run(3);
         fixture.cluster.withdraw("run-model");
         fixture.run(10);
         EXPECT_EQ(fixture.replicas(), 0U);
         EXPECT_EQ(fixture.cluster.run_log.starts["run-call/0"], 0);  // the call waits and is still known
         EXPECT_EQ(fixture.cluster.phase("run-call"), "open");
       },
       "warming", 1},
      {"the service job is cancelled and another submitted: the next epoch begins from cold",
       [&](ModelServingFixture& fixture) {
         start_model(fixture);
         fixture.cluster.withdraw("run-model");
         fixture.run(8);
         fixture.submit("run-model2", "serve", 3);
         fixture.run(10);
         EXPECT_GE(fixture.cluster.run_log.starts["run-model2/0"], 1);
       },
       "serving", 2},
      {"a call that fails repeatedly does not keep the model running",
       [&](ModelServingFixture& fixture) {
         start_model(fixture);
         for (int i = 0; i < 200 && fixture.state() != "cooling" && fixture.state() != "cold"; ++i) {
           fixture.finish("run-call/0", EndCause::error);
           fixture.run(1);
         }
         fixture.run(10);
       },
       "cold", 1},
      {"the state service has an outage when a call arrives: the model starts afterwards",
       [](ModelServingFixture& fixture) {
         fixture.submit("run-call", "call");
         fixture.cluster.store.set_outage(true, fixture.cluster.now);
         fixture.run(3);
         fixture.cluster.store.set_outage(false, fixture.cluster.now);
         fixture.run(6);
       },
       "serving", 1},
      {"no controller runs for a while as the model warms: one cold start",
       [](ModelServingFixture& fixture) {
         for (const std::string& machine : fixture.machines())
           fixture.cluster.agent(machine).first_phase = TaskPhase::fetching;
         fixture.submit("run-call", "call");
         fixture.run(3);
         fixture.cluster.kill_controller(fixture.owner);
         fixture.cluster.now += 8;
         fixture.change_owner();
         for (const std::string& machine : fixture.machines()) {
           fixture.cluster.agent(machine).first_phase = TaskPhase::running;
           if (fixture.cluster.agent(machine).has("run-model/0"))
             fixture.cluster.agent(machine).set_phase("run-model/0", TaskPhase::running);
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

/// Random histories: calls arrive and finish, owners fail, responses are lost, the state service has outages,
/// replicas fail, and delayed duplicates of transactions arrive. The environment variable `OXBOW_HISTORIES`
/// sets the number of histories.
TEST(ModelAutoscaler, RandomFaultHistories) {
  const char* history_count = std::getenv("OXBOW_HISTORIES");
  int histories = history_count == nullptr ? 120 : std::atoi(history_count);
  std::uint64_t epochs = 0;
  for (int seed = 1; seed <= histories && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    auto pick = [&random](int count) { return std::uniform_int_distribution<int>(0, count - 1)(random); };
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
          inject_fault(fixture, RandomFault::writes_unanswered, pick);
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
    // After the faults every call is served, and then the model becomes cold.
    for (int i = 0; i < 60; ++i) {
      fixture.run(2);
      for (int call = 0; call < calls; ++call) fixture.finish("run-call" + std::to_string(call) + "/0");
    }
    for (int call = 0; call < calls; ++call)
      EXPECT_EQ(fixture.cluster.phase("run-call" + std::to_string(call)), "done") << "call " << call;
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
