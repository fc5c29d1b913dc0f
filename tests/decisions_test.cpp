// Tests of durable decisions (docs/decisions.md) with several controllers, lost responses, late copies,
// retries and restarts.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "oxbowmill/simulation/decision_simulation.h"

namespace oxbowmill {
namespace {

using decisions::ChangeResult;
using decisions::DecisionKind;
using decisions::DecisionLog;
using simulation::SimulatedCluster;
using simulation::test_job;
using simulation::WriteOutcome;

const DecisionKind lamp_kind = {"lamp", {{"", "off"}, {"off", "on"}, {"on", "on"}, {"on", "off"}}};

/// Requests a change of the decision lamp/hall from one controller and sends it as its scheduling cycle
/// would.
ChangeResult request_change(SimulatedCluster& cluster, std::size_t controller_number,
                            DecisionLog& decision_log, const std::string& state,
                            PartitionIndex partition = idle_pool, std::uint64_t epoch = 0) {
  simulation::SimulatedController& controller = cluster.controller(controller_number);
  Effects out;
  const Decision* current = decision_log.find(lamp_kind, "hall");
  DecisionRecord next = current == nullptr ? DecisionRecord() : current->record;
  next.state = state;
  if (epoch != 0) next.epoch = epoch;
  ChangeResult change_result =
      decision_log.change(lamp_kind, "hall", next, partition, {cluster.now, cluster.now}, out, true);
  for (const Write& write : out.writes) {
    auto response = controller.send(write);
    Revision revision = response ? response->body.value("ledger_rev", std::uint64_t{0}) : 0;
    controller.on_write_result(write,
                               controller.write_outcome == WriteOutcome::answer_lost
                                   ? TransactionOutcome::unknown
                                   : simulation::outcome_of(response),
                               revision, cluster.now);
  }
  return change_result;
}

std::string stored_state(SimulatedCluster& cluster) {
  auto it = cluster.store.keys().find("o/d/lamp/hall");
  return it == cluster.store.keys().end() ? "" : it->second.value.at("s").get<std::string>();
}

TEST(DecisionLog, AcceptsOnlyAllowedTransitionsFromTheOwner) {
  SimulatedCluster cluster;
  DecisionLog log_0(cluster.controller(0).cluster_state, cluster.controller(0).scheduler, 1),
      log_1(cluster.controller(1).cluster_state, cluster.controller(1).scheduler, 1);
  EXPECT_EQ(request_change(cluster, 1, log_1, "off"), ChangeResult::not_owner);
  EXPECT_EQ(request_change(cluster, 0, log_0, "on"),
            ChangeResult::invalid_transition);  // there is no transition from an absent record to on
  EXPECT_EQ(request_change(cluster, 0, log_0, "off"), ChangeResult::sent);
  EXPECT_EQ(request_change(cluster, 0, log_0, "on", idle_pool, 3), ChangeResult::sent);
  EXPECT_EQ(request_change(cluster, 0, log_0, "off", idle_pool, 2),
            ChangeResult::invalid_transition);  // epochs never decrease
  EXPECT_EQ(stored_state(cluster), "on");
  EXPECT_EQ(cluster.store.keys().at("o/d/lamp/hall").value.at("n").get<int>(), 2);
}

TEST(DecisionLog, UnansweredChangeStaysIndeterminateUntilResolved) {
  // A second change beside an indeterminate one could be overtaken by a late copy of the first.
  SimulatedCluster cluster;
  simulation::SimulatedController& controller = cluster.controller(0);
  DecisionLog decision_log(controller.cluster_state, controller.scheduler, 1);
  ASSERT_EQ(request_change(cluster, 0, decision_log, "off"), ChangeResult::sent);
  controller.write_outcome = WriteOutcome::not_arrived;
  ASSERT_EQ(request_change(cluster, 0, decision_log, "on"), ChangeResult::sent);
  EXPECT_EQ(request_change(cluster, 0, decision_log, "on"), ChangeResult::in_flight);
  cluster.store.set_outage(true, cluster.now);
  controller.write_outcome = WriteOutcome::answered;
  cluster.now += 0.5;
  controller.run_cycle(cluster.now);  // the retry gets 503, which proves nothing about the first copy
  EXPECT_EQ(request_change(cluster, 0, decision_log, "on"), ChangeResult::in_flight);
  cluster.store.set_outage(false, cluster.now);
  cluster.now += 0.5;
  controller.run_cycle(cluster.now);
  EXPECT_EQ(stored_state(cluster), "on");
  EXPECT_FALSE(decision_log.has_pending_change(lamp_kind, "hall"));
  EXPECT_EQ(cluster.store.txn(controller.lost_writes.at(0)).status, 409);  // the late copy
}

TEST(DecisionLog, LateChangeOfAnEarlierOwnerFailsAndSuccessorContinues) {
  SimulatedCluster cluster;
  DecisionLog log_0(cluster.controller(0).cluster_state, cluster.controller(0).scheduler, 1),
      log_1(cluster.controller(1).cluster_state, cluster.controller(1).scheduler, 1);
  ASSERT_EQ(request_change(cluster, 0, log_0, "off"), ChangeResult::sent);
  cluster.controller(0).write_outcome = WriteOutcome::not_arrived;
  ASSERT_EQ(request_change(cluster, 0, log_0, "on"), ChangeResult::sent);
  cluster.kill_controller(0);
  cluster.controller(1).acquire_all_partitions(cluster.now);
  ASSERT_NE(log_1.find(lamp_kind, "hall"), nullptr);
  EXPECT_EQ(cluster.store.txn(cluster.controller(0).lost_writes.at(0)).status,
            409);  // the ownership that it was guarded by has ended
  EXPECT_EQ(stored_state(cluster), "off");
  EXPECT_EQ(request_change(cluster, 1, log_1, "on"), ChangeResult::sent);
  EXPECT_EQ(stored_state(cluster), "on");
}

TEST(DecisionLog, PlacementGuardedByADecisionFailsOnceTheDecisionHasChanged) {
  struct DecisionGuard : PlacementConstraints {
    ClusterState* cluster_state = nullptr;
    void constrain(JobIndex, PlacementLimits& limits) const override {
      limits.guards.push_back({DecisionKey{"lamp/hall"}, cluster_state->decisions.at("lamp/hall").revision});
    }
  };
  SimulatedCluster cluster;
  simulation::SimulatedController& controller = cluster.controller(0);
  DecisionLog decision_log(controller.cluster_state, controller.scheduler, 1);
  DecisionGuard guard;
  guard.cluster_state = &controller.cluster_state;
  ASSERT_EQ(request_change(cluster, 0, decision_log, "off"), ChangeResult::sent);
  controller.cluster_state.constraints = &guard;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1));
  controller.sync(cluster.now);
  controller.write_outcome = WriteOutcome::not_arrived;
  controller.run_cycle(cluster.now);
  ASSERT_EQ(controller.lost_writes.size(), 1U);
  controller.write_outcome = WriteOutcome::answered;
  ASSERT_EQ(request_change(cluster, 0, decision_log, "on"), ChangeResult::sent);
  EXPECT_EQ(cluster.store.txn(controller.lost_writes[0]).status, 409);
  cluster.run(4);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0).size(),
            1U);  // it is placed again under the present decision
}

TEST(DecisionLog, WriteBudgetDefersNonUrgentChanges) {
  SimulatedCluster cluster;
  DecisionLog decision_log(cluster.controller(0).cluster_state, cluster.controller(0).scheduler, 0.05);
  Effects out;
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    DecisionRecord record;
    record.state = "off";
    ChangeResult result = decision_log.change(lamp_kind, "l" + std::to_string(i), record, idle_pool,
                                              {cluster.now, cluster.now}, out);
    sent += static_cast<int>(result == ChangeResult::sent);
    if (i > 50) {
      EXPECT_EQ(result, ChangeResult::rate_limited);
    }
  }
  EXPECT_LE(sent, 5);
}

TEST(LowerBoundClock, ForwardJumpCountsOnlyAfterTheWindowAndBackwardJumpAtOnce) {
  decisions::LowerBoundClock clock(1);
  EXPECT_DOUBLE_EQ(clock.earliest_time({10, 1000}), 999);
  EXPECT_DOUBLE_EQ(clock.earliest_time({20, 2010}), 1009);  // a forward jump is not trusted yet
  EXPECT_DOUBLE_EQ(clock.earliest_time({30, 990}), 989);    // a backward jump counts at once
  EXPECT_DOUBLE_EQ(clock.earliest_time({85, 2075}), 1044);
  EXPECT_DOUBLE_EQ(clock.earliest_time({200, 2190}), 2189);  // trusted after it has lasted for the window
}

/// Ownership changes between two controllers, which lose responses and transactions and retry them. The
/// changes that the state service has applied must form a chain of allowed transitions without gaps in the
/// sequence.
RC_GTEST_PROP(DecisionLogProperties, RecordIsAChainOfAllowedSteps, ()) {
  SimulatedCluster cluster;
  std::vector<std::unique_ptr<DecisionLog>> decision_logs;
  for (std::size_t i : {0, 1})
    decision_logs.push_back(std::make_unique<DecisionLog>(cluster.controller(i).cluster_state,
                                                          cluster.controller(i).scheduler, 1));
  std::vector<simulation::Json> late;
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
  for (int step : steps) {
    auto acting = static_cast<std::size_t>(step % 2);
    simulation::SimulatedController& controller = cluster.controller(acting);
    cluster.now += 0.4;
    cluster.store.expire_leases(cluster.now);
    switch (step) {
      case 0:
      case 1:
        request_change(cluster, acting, *decision_logs[acting],
                       stored_state(cluster) == "off" ? "on" : "off");
        break;
      case 2:
      case 3:
        controller.write_outcome = step == 2 ? WriteOutcome::answer_lost : WriteOutcome::not_arrived;
        request_change(cluster, acting, *decision_logs[acting],
                       stored_state(cluster) == "off" ? "on" : "off");
        controller.write_outcome = WriteOutcome::answered;
        break;
      case 4:
      case 5:  // ownership changes; the other controller does not know it yet
        cluster.kill_controller(1 - acting);
        controller.lease.on_lost();
        controller.acquire_all_partitions(cluster.now);
        break;
      case 6:  // late copies of all lost transactions arrive
        for (std::size_t i : {0, 1}) {
          for (const simulation::Json& body : cluster.controller(i).lost_writes) cluster.store.txn(body);
        }
        break;
      case 7:
        for (std::size_t i : {0, 1}) cluster.controller(i).sync(cluster.now);
        break;
      default:  // the decision log restarts without its in-memory state
        decision_logs[acting] =
            std::make_unique<DecisionLog>(controller.cluster_state, controller.scheduler, 1);
        controller.run_cycle(cluster.now);
    }
  }
  std::string previous_state;
  std::uint64_t sequence = 0;
  for (const auto& event : cluster.store.events()) {
    if (event.key != "o/d/lamp/hall") continue;
    std::string new_state = event.value->at("s").get<std::string>();
    RC_ASSERT(lamp_kind.allows(previous_state, new_state));
    RC_ASSERT(event.value->at("n").get<std::uint64_t>() == sequence + 1);
    previous_state = new_state;
    ++sequence;
  }
}

}  // namespace
}  // namespace oxbowmill

namespace oxbowmill {
namespace {

TEST(DecisionScenarios, InvariantsHoldAcrossOwnerCrashes) {
  for (const char* file : {"model-owners-end", "model-flaps", "release-owners-end"}) {
    simulation::DecisionScenario scenario =
        simulation::load_decision_scenario(std::string(DEPLOY_DIR) + "/lab/agreed/" + file + ".yaml");
    scenario.duration_s = 3000;
    for (const simulation::DecisionRow& row : simulation::run_decision_variants(scenario, 2, 2)) {
      EXPECT_EQ(row.violations, 0) << file << ' ' << row.variant << ' ' << row.seed;
      if (row.variant != "as it is") continue;
      if (scenario.is_release_scenario) {
        EXPECT_LE(row.time_to_publish_median_s, 2.5) << file;
        EXPECT_LE(row.time_to_publish_max_s, 14)
            << file;  // a failover takes 4 s, and publishing at most 10 s from then on
      } else {
        EXPECT_EQ(row.starts_before_serving, 1) << file;
        EXPECT_GE(row.epochs, 1) << file;
      }
    }
  }
}

}  // namespace
}  // namespace oxbowmill
