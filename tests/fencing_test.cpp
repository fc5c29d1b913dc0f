// The fencing points of docs/design.md, each with the interleaving that it guards against.
#include <gtest/gtest.h>

#include <algorithm>

#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

using simulation::Json;
using simulation::SimulatedCluster;
using simulation::test_job;
using simulation::WriteOutcome;
using Kind = ReportAnswer::Kind;

constexpr PartitionIndex red_partition{1};

/// Controller 0 places run-1, and the transaction is delayed in transit.
void delay_placement_transaction(SimulatedCluster& cluster, std::uint32_t tasks) {
  cluster.submit(test_job("run-1", tasks, 4));
  cluster.controller(0).sync(cluster.now);
  cluster.controller(0).write_outcome = WriteOutcome::not_arrived;
  cluster.controller(0).run_cycle(cluster.now);
  ASSERT_EQ(cluster.controller(0).lost_writes.size(), 1U);
}

TEST(Fencing, RunsAJobToCompletion) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 3));
  cluster.run(4);
  for (const char* t : {"run-1/0", "run-1/1", "run-1/2"}) {
    ASSERT_TRUE(cluster.worker("m1").has(t)) << t;
    cluster.worker("m1").finish(t, EndCause::done);
  }
  cluster.run(3);
  EXPECT_EQ(cluster.phase("run-1"), "done");
  // Only the final phase and the fleet's keys are left.
  for (const auto& [key, e] : cluster.store.keys()) EXPECT_EQ(key.find("run-1/"), std::string::npos) << key;
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(Fencing, StartWaitsForTheDurablePlacement) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1));
  cluster.controller(0).sync(cluster.now);
  cluster.controller(0).write_outcome = WriteOutcome::not_arrived;
  cluster.controller(0).run_cycle(cluster.now);
  ASSERT_FALSE(cluster.controller(0).lost_writes.empty());
  EXPECT_TRUE(cluster.exchange_report("m1", 0).commands.empty());
  EXPECT_FALSE(cluster.worker("m1").has("run-1/0"));
}

TEST(Fencing, LostStartCommandIsResentAndNotPlacedElsewhere) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.add_machine("m2");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1));
  cluster.controller(0).sync(cluster.now);
  cluster.controller(0).run_cycle(cluster.now);
  std::string machine_name = cluster.machines_of_task("run-1", 0).at(0);
  cluster.now += 0.5;
  EXPECT_EQ(cluster.exchange_report(machine_name, 0, true).commands.size(), 1U);
  cluster.now += 0.5;
  auto again = cluster.exchange_report(machine_name, 0);
  ASSERT_EQ(again.commands.size(), 1U);
  EXPECT_EQ(again.commands[0].kind, CommandKind::start);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{machine_name});
  cluster.run(2);
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 1);
}

TEST(Fencing, AbsenceUnderAnOldFencingTokenProvesNothing) {
  // Controller 0 sends the start and ends; the agent's next report reaches controller 1 and lacks the task,
  // since controller 0's response is still in transit. Only a report that shows controller 1's fencing token
  // proves anything.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.add_machine("m2");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1));
  cluster.controller(0).sync(cluster.now);
  cluster.controller(0).run_cycle(cluster.now);
  std::string machine_name = cluster.machines_of_task("run-1", 0).at(0);
  auto late =
      cluster.controller(0).handle_report(cluster.worker(machine_name).report(cluster.now), cluster.now);
  ASSERT_EQ(late.commands.size(), 1U);
  cluster.kill_controller(0);
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.now += 0.5;
  auto report = cluster.worker(machine_name).report(cluster.now);
  EXPECT_TRUE(cluster.controller(1).handle_report(report, cluster.now).commands.empty());
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{machine_name});
  const Machine& m = cluster.controller(1).cluster_state.machine(
      cluster.controller(1).cluster_state.names.machines.find(machine_name));
  EXPECT_EQ(m.state, MachineState::unreconciled);
}

TEST(Fencing, LateTransactionOfAnEarlierOwnerFails) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1));
  cluster.controller(0).sync(cluster.now);
  cluster.controller(0).write_outcome = WriteOutcome::not_arrived;
  cluster.controller(0).run_cycle(cluster.now);
  ASSERT_EQ(cluster.controller(0).lost_writes.size(), 1U);
  cluster.kill_controller(0);
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.run(3, 1);
  EXPECT_EQ(cluster.store.txn(cluster.controller(0).lost_writes[0]).status, 409);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0).size(), 1U);
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 1);
}

TEST(Fencing, LatePlacementOfAnEarlierOwnerFailsEvenIfNothingElseChanged) {
  // Job, record and machine are unchanged, since the new owner gave the team's quota to another job: only the
  // guard on the ownership fails. Applied, the transaction would put the team over its quota of eight.
  SimulatedCluster cluster;
  for (const char* m : {"m1", "m2", "m3"}) cluster.add_machine(m);
  for (std::size_t n : {0, 1})
    cluster.controller(n).cluster_state.settings.operator_settings.release_to_pool_s = 1000;
  cluster.run(2);
  ASSERT_NO_FATAL_FAILURE(delay_placement_transaction(cluster, 1));
  JobSpec other = test_job("run-2", 2, 4);
  other.priority = Priority::high;
  cluster.submit(other);
  cluster.fail_over(0, 1, 0.5);
  cluster.run(3, 1);
  ASSERT_TRUE(cluster.machines_of_task("run-1", 0).empty()) << "precondition of this case";
  ASSERT_EQ(cluster.machines_of_task("run-2", 0).size() + cluster.machines_of_task("run-2", 1).size(), 2U);
  EXPECT_EQ(cluster.store.txn(cluster.controller(0).lost_writes[0]).status, 409);
  cluster.run(3, 1);
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 0);
}

TEST(Fencing, LatePlacementOnAMachineWhoseRecordHasChangedFails) {
  // The leader marks machines and deletes the records of those that are gone, whatever their partition's
  // owner is writing: applied afterwards, a placement would be on a machine that no controller can reach or
  // delete.
  for (bool gone : {true, false}) {
    SimulatedCluster cluster;
    cluster.add_machine("m1");
    cluster.run(2);
    ASSERT_NO_FATAL_FAILURE(delay_placement_transaction(cluster, 1));
    simulation::Json change = {{"delete", "o/m/m1"}};
    if (!gone) {
      simulation::Json marked = cluster.store.keys().at("o/m/m1").value;
      marked["del"] = true;
      change = {{"put", "o/m/m1"}, {"value", marked}};
    }
    ASSERT_EQ(cluster.store.txn({{"guards", simulation::Json::array()}, {"apply", {change}}}).status, 200);
    EXPECT_EQ(cluster.store.txn(cluster.controller(0).lost_writes[0]).status, 409) << gone;
    EXPECT_TRUE(cluster.machines_of_task("run-1", 0).empty()) << gone;
  }
}

TEST(Fencing, UnansweredTransactionStaysIndeterminateWhenItsRetryIsRejected) {
  // The first copy is delayed, the second gets 503: that proves nothing about the first. If its quota were
  // freed, other work could take it, and the first copy, applied late, would exceed the team's quota.
  SimulatedCluster cluster;
  for (const char* m : {"m1", "m2", "m3", "m4"}) cluster.add_machine(m);
  cluster.run(2);
  ASSERT_NO_FATAL_FAILURE(delay_placement_transaction(cluster, 2));
  cluster.controller(0).write_outcome = WriteOutcome::answered;
  JobSpec other = test_job("run-2", 2, 4);
  other.priority = Priority::high;
  cluster.submit(other);
  cluster.controller(0).sync(cluster.now);
  cluster.store.set_outage(true, cluster.now);
  cluster.now += 0.5;
  cluster.controller(0).run_cycle(cluster.now);
  cluster.store.set_outage(false, cluster.now);
  cluster.controller(0).run_cycle(cluster.now);
  cluster.store.txn(cluster.controller(0).lost_writes[0]);
  cluster.run(2);
  std::size_t placed = 0;
  for (const char* job : {"run-1", "run-2"}) {
    for (TaskNumber t : {0U, 1U}) placed += cluster.machines_of_task(job, t).size();
  }
  EXPECT_EQ(placed, 2U);  // of 4 GPUs each, and the team's quota is 8
  EXPECT_TRUE(cluster.worker("m1").has("run-1/0") || cluster.worker("m2").has("run-1/0"));
}

TEST(Fencing, RetriedTransactionIsIdenticalEvenIfItsJobIsGone) {
  // Encoded again from the replica it would name a job that is no longer there, which once ended the
  // controller.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  ASSERT_NO_FATAL_FAILURE(delay_placement_transaction(cluster, 1));
  cluster.store.txn({{"guards", simulation::Json::array()}, {"apply", {{{"delete", "o/j/run-1"}}}}});
  cluster.controller(0).write_outcome = WriteOutcome::answered;
  cluster.store.set_outage(true, cluster.now);
  cluster.now += 0.5;
  cluster.controller(0).run_cycle(cluster.now);
  cluster.store.set_outage(false, cluster.now);
  cluster.controller(0).sync(cluster.now);
  EXPECT_NO_THROW(cluster.run(3));
  EXPECT_TRUE(cluster.machines_of_task("run-1", 0).empty());
}

TEST(Fencing, UnansweredTransactionKeepsItsReservationAndIsRetried) {
  // The response is lost though the placement was applied: its capacity stays reserved, and the repeat finds
  // it done.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1, 4));
  cluster.submit(test_job("run-2", 1, 4));
  cluster.controller(0).sync(cluster.now);
  cluster.controller(0).write_outcome = WriteOutcome::answer_lost;
  cluster.controller(0).run_cycle(cluster.now);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0).size() + cluster.machines_of_task("run-2", 0).size(), 1U);
  cluster.controller(0).write_outcome = WriteOutcome::answered;
  cluster.run(3);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0).size() + cluster.machines_of_task("run-2", 0).size(), 1U);
  EXPECT_TRUE(cluster.worker("m1").has("run-1/0"));
  EXPECT_FALSE(cluster.worker("m1").has("run-2/0"));
}

TEST(Fencing, FailoverKeepsRunningTasks) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 2));
  cluster.run(3);
  ASSERT_TRUE(cluster.worker("m1").has("run-1/0"));
  cluster.kill_controller(0);
  cluster.now += 4;
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.run(5, 1);
  EXPECT_TRUE(cluster.worker("m1").has("run-1/0"));
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 1);
  cluster.worker("m1").finish("run-1/0", EndCause::done);
  cluster.worker("m1").finish("run-1/1", EndCause::done);
  cluster.run(2, 1);
  EXPECT_EQ(cluster.phase("run-1"), "done");
}

TEST(Fencing, SilentMachineAfterFailoverBlocksItsTasksUntilProvablyGone) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1));
  cluster.run(2);
  ASSERT_TRUE(cluster.worker("m1").has("run-1/0"));
  cluster.add_machine("m2");
  cluster.kill_controller(0);
  cluster.silenced_workers.insert("m1");
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.controller(1).cluster_state.settings.operator_settings.idle_retention_s =
      1000;  // m2 must still be there when it is needed
  double wait = cluster.controller(1).cluster_state.settings.failover_silence_s();
  cluster.run(wait - 2, 1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  cluster.run(4, 1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m2"});
  EXPECT_TRUE(cluster.worker("m2").has("run-1/0"));
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(Fencing, ReadOnlyPeriodIsSkippedOnceEveryControllerHasRestarted) {
  struct Case {
    const char* description;
    bool node_0_restarted, node_0_restarted_again, handed_over;
    bool resolved_early;
  };
  for (const Case& test_case :
       {Case{"both have begun anew", true, false, false, true},
        Case{"the earlier owner may still answer", false, false, false, false},
        Case{"it was there and is gone again", true, true, false, false},
        Case{"the machine came by a move, from an owner that lives", true, false, true, false}}) {
    SimulatedCluster cluster;
    cluster.add_machine("m1");
    cluster.run(2);
    cluster.submit(test_job("run-1", 1));
    cluster.run(2);
    ASSERT_TRUE(cluster.worker("m1").has("run-1/0"));
    cluster.add_machine("m2");
    cluster.kill_controller(0);
    cluster.silenced_workers.insert("m1");
    ClusterState& model = cluster.controller(1).cluster_state;
    model.settings.all_controllers = {"node-0", "node-1"};
    model.settings.operator_settings.idle_retention_s = model.settings.operator_settings.release_to_pool_s =
        1000;
    cluster.controller(1).acquire_all_partitions(cluster.now);
    cluster.register_controller(1);
    std::uint64_t back = test_case.node_0_restarted ? cluster.register_controller(0) : 0;
    cluster.run(1, 1);
    if (test_case.node_0_restarted_again) cluster.store.revoke_lease(back);
    if (test_case.handed_over) model.edit_machine(model.names.machines.find("m1")).inherited = false;
    cluster.run(model.settings.lease_expiry_s() - 2, 1);
    EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"}) << test_case.description;
    cluster.run(4, 1);
    EXPECT_EQ(cluster.machines_of_task("run-1", 0),
              std::vector<std::string>{test_case.resolved_early ? "m2" : "m1"})
        << test_case.description;
    cluster.run(model.settings.read_only_period_s(), 1);
    EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m2"}) << test_case.description;
    EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
  }
}

TEST(Fencing, TasksOnAMachineMarkedForDeletionAreProvedGoneBySilenceAcrossFailover) {
  // The cloud is down: the deletion is marked and never confirmed, and the owner ends.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1));
  cluster.run(2);
  ASSERT_TRUE(cluster.worker("m1").has("run-1/0"));
  Json value = cluster.store.keys().at("o/m/m1").value;
  value["del"] = true;
  cluster.store.txn({{"guards", Json::array()}, {"apply", {{{"put", "o/m/m1"}, {"value", value}}}}});
  cluster.add_machine("m2");
  cluster.silenced_workers.insert("m1");
  cluster.kill_controller(0);
  cluster.controller(1).cluster_state.settings.operator_settings.idle_retention_s =
      cluster.controller(1).cluster_state.settings.operator_settings.release_to_pool_s = 1000;
  cluster.controller(1).acquire_all_partitions(cluster.now);
  double wait = cluster.controller(1).cluster_state.settings.failover_silence_s();
  cluster.run(wait - 2, 1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  cluster.run(4, 1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m2"});
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(Fencing, DelayedReportOfAnEarlierAgentEpochIsRefused) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  auto delayed_report = cluster.worker("m1").report(cluster.now);  // before the start, delivered much later
  cluster.submit(test_job("run-1", 1));
  cluster.run(3);
  ASSERT_TRUE(cluster.worker("m1").has("run-1/0"));
  EXPECT_EQ(cluster.controller(0).handle_report(delayed_report, cluster.now).kind, Kind::refuse);
  cluster.run(1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0).size(), 1U);
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 1);
}

TEST(Fencing, MachineThatMayRunATaskIsNotMoved) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1));
  cluster.controller(0).sync(cluster.now);
  cluster.controller(0).run_cycle(cluster.now);
  cluster.silenced_workers.insert("m1");  // placed, never reports
  auto current_partition = [&cluster] {
    return cluster.store.keys().at("o/m/m1").value.at("part").get<std::string>();
  };
  cluster.run(8);
  EXPECT_EQ(current_partition(), "red");
  cluster.run(10);  // its agent's lease is over: the task is gone, the machine is released to be deleted
  EXPECT_EQ(current_partition(), ".pool");
  EXPECT_TRUE(cluster.store.keys().at("o/m/m1").value.at("del").get<bool>());
}

TEST(Fencing, FencingTokenIncreasesWithEveryOwnershipChange) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  MachineIndex m = cluster.controller(0).cluster_state.names.machines.find("m1");
  Revision first =
      cluster.controller(0).cluster_state.fencing_token(cluster.controller(0).cluster_state.machine(m));
  cluster.kill_controller(0);
  cluster.controller(1).acquire_all_partitions(cluster.now);
  MachineIndex m1 = cluster.controller(1).cluster_state.names.machines.find("m1");
  Revision second =
      cluster.controller(1).cluster_state.fencing_token(cluster.controller(1).cluster_state.machine(m1));
  EXPECT_GT(second, first);
  cluster.controller(0).sync(cluster.now);
  EXPECT_EQ(cluster.exchange_report("m1", 0).kind, Kind::redirect);
  EXPECT_EQ(cluster.exchange_report("m1", 0).owner, "node-1");
}

TEST(Fencing, ControllerWithALowerTokenDoesNotRespond) {
  // Controller 0 does not know yet that controller 1 has its ownership now.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.kill_controller(0);
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.exchange_report("m1", 1);
  cluster.now += 0.5;
  EXPECT_EQ(cluster.exchange_report("m1", 0).kind, Kind::refuse);
}

TEST(Fencing, AuthorityExpiresAfterTheLastRenewalAndWatchResponse) {
  Settings settings = simulation::test_settings("n");
  double life = settings.operator_settings.controller_lease_s, grace = settings.read_only_period_s();
  struct Case {
    double renewed_at, watch_answered_at, now;
    Authority expected;
  };
  const Case cases[] = {
      {0, 0, life - 0.1, Authority::full},
      {0, 0, life, Authority::read_only},
      {0, 0, life + grace - 0.1, Authority::read_only},
      {0, 0, life + grace, Authority::none},
      {10, 0, life + 1, Authority::read_only},  // renewals are not enough: it learns of no cancellations
      {0, 10, life + 1, Authority::read_only},
      {10, 10, life + 1, Authority::full},
  };
  for (const Case& test_case : cases) {
    ControllerLease lease(settings);
    lease.on_granted(1, 0);
    lease.on_renewed(test_case.renewed_at);
    lease.on_watch_answered(test_case.watch_answered_at);
    EXPECT_EQ(static_cast<int>(lease.authority(test_case.now)), static_cast<int>(test_case.expected))
        << test_case.renewed_at << " " << test_case.watch_answered_at << " " << test_case.now;
  }
  EXPECT_LT(life + grace + settings.lease_expiry_s(), settings.cancel_deadline_s);
}

TEST(Fencing, StateOutageKeepsTasksAliveWithoutCommands) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 1));
  cluster.run(3);
  cluster.submit(test_job("run-2", 1));
  cluster.store.set_outage(true, cluster.now);
  cluster.run(cluster.controller(0).cluster_state.settings.operator_settings.controller_lease_s + 8);
  EXPECT_TRUE(cluster.worker("m1").has("run-1/0"));
  EXPECT_EQ(cluster.worker("m1").agent_epoch(), 1U);
  EXPECT_FALSE(cluster.worker("m1").has("run-2/0"));
  cluster.store.set_outage(false, cluster.now);
  cluster.run(3);
  EXPECT_TRUE(cluster.worker("m1").has("run-2/0"));
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 1);
}

TEST(Fencing, ReadOnlyPeriodSendsNoCommandsAndExpires) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 1));
  cluster.run(3);
  Settings settings = cluster.controller(0).cluster_state.settings;
  cluster.withdraw("run-1");
  cluster.now += settings.operator_settings.controller_lease_s + 0.5;  // it receives nothing any more
  auto a = cluster.exchange_report("m1", 0);
  EXPECT_EQ(a.kind, Kind::ok);
  EXPECT_TRUE(a.commands.empty());
  cluster.now += settings.read_only_period_s();
  EXPECT_EQ(cluster.exchange_report("m1", 0).kind, Kind::refuse);
}

TEST(Fencing, CancellationAndCompletionAreDecidedAtomically) {
  for (bool cancel_first : {true, false}) {
    SimulatedCluster cluster;
    cluster.add_machine("m1");
    cluster.submit(test_job("run-1", 1));
    cluster.run(3);
    cluster.worker("m1").finish("run-1/0", EndCause::done);
    cluster.exchange_report("m1", 0);
    std::string expected;
    if (cancel_first) {
      // The owner does not know of the cancellation when it writes the done mark.
      EXPECT_EQ(cluster.withdraw("run-1"), 200);
      cluster.controller(0).run_cycle(cluster.now);
      EXPECT_EQ(cluster.controller(0).refused_writes, 1);
      expected = "cancelled";
    } else {
      cluster.controller(0).run_cycle(cluster.now);
      EXPECT_EQ(cluster.withdraw("run-1"), 404);
      expected = "done";
    }
    EXPECT_EQ(cluster.phase("run-1"), expected);
    cluster.run(4);
    EXPECT_EQ(cluster.phase("run-1"), expected);
    EXPECT_EQ(cluster.store.keys().count("f/run-1"), 1U);
  }
}

TEST(Fencing, CancelledTasksAreKilledAndNeverStarted) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 6));  // four fit
  cluster.run(3);
  cluster.withdraw("run-1");
  cluster.run(4);
  for (int t = 0; t < 6; ++t) EXPECT_FALSE(cluster.worker("m1").has("run-1/" + std::to_string(t)));
  EXPECT_EQ(cluster.phase("run-1"), "cancelled");
  cluster.run(4);
  EXPECT_EQ(cluster.run_log.starts["run-1/5"], 0);
  EXPECT_EQ(cluster.store.keys().count("o/j/run-1"), 0U);
}

TEST(Fencing, EndedTaskIsClearedOnlyAfterItsCompletionIsDurable) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 2));
  cluster.run(3);
  cluster.worker("m1").finish("run-1/0", EndCause::done);
  cluster.controller(0).write_outcome = WriteOutcome::not_arrived;
  cluster.run(2);
  EXPECT_EQ(cluster.worker("m1").phase("run-1/0"), TaskPhase::ended);  // still reported
  cluster.controller(0).write_outcome = WriteOutcome::answered;
  cluster.run(3);
  auto r = cluster.worker("m1").report(cluster.now);
  EXPECT_EQ(r.tasks.size(), 1U);
  EXPECT_EQ(cluster.store.keys().at("o/c/run-1/0").value.at("d"), "1");
}

TEST(Fencing, QuotaCountsUnreportedTasks) {
  // The team's quota is 8 GPUs; two machines fall silent with 8 in use on them, so nothing else may start.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.add_machine("m2");
  cluster.submit(test_job("run-1", 8));
  cluster.run(4);
  cluster.silenced_workers = {"m1", "m2"};
  cluster.add_machine("m3");
  cluster.add_machine("m4");
  cluster.submit(test_job("run-2", 4));
  cluster.run(6);
  EXPECT_FALSE(cluster.worker("m3").has("run-2/0"));
  EXPECT_FALSE(cluster.worker("m4").has("run-2/0"));
  cluster.run(10);
  EXPECT_LE(cluster.controller(0).cluster_state.team_usage(red_partition).gpus, 8);
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(Fencing, SingleZoneConstraintCountsUnreportedTasks) {
  SimulatedCluster cluster;
  cluster.add_machine("m1", "a");
  JobSpec s = test_job("run-1", 2, 4);
  s.single_zone = true;
  cluster.submit(s);
  cluster.run(3);
  ASSERT_TRUE(cluster.worker("m1").has("run-1/0"));
  cluster.silenced_workers.insert("m1");
  cluster.add_machine("m2", "b");
  cluster.run(8);
  EXPECT_FALSE(cluster.worker("m2").has("run-1/1"));  // task 0 still counts as in zone a
}

TEST(Fencing, DeletedMachineIsProvablyGoneAndNotReadmitted) {
  SimulatedCluster cluster;
  cluster.add_machine("m1", "a", ".pool");
  cluster.run(2);
  double keep = cluster.controller(0).cluster_state.settings.operator_settings.idle_retention_s;
  cluster.run(keep + 3);
  ASSERT_FALSE(cluster.controller(0).machines_to_delete.empty());
  EXPECT_TRUE(
      cluster.store.keys().at("o/m/m1").value.at("del").get<bool>());  // durable before the delete is sent
  cluster.controller(0).autoscaler.on_deleted(cluster.controller(0).machines_to_delete, true);
  cluster.silenced_workers.insert("m1");
  cluster.run(2);
  EXPECT_EQ(cluster.store.keys().count("o/m/m1"), 0U);
  // A listing from before the deletion must not bring it back.
  ListedMachine old{"m1", "127.0.0.1:1", "std", "a", false, ListedMachine::Phase::running, 100};
  for (int i = 0; i < 10; ++i) {
    cluster.controller(0).autoscaler.on_listed({old}, cluster.now);
    cluster.run(3);
  }
  EXPECT_EQ(cluster.store.keys().count("o/m/m1"), 0U);
}

TEST(Fencing, PartitionsSpreadOverLiveControllers) {
  ClusterState model(simulation::test_settings("n0"), simulation::test_names());
  auto record_ownership = [&model](std::uint32_t partition, const std::string& node, Revision revision) {
    model.apply({OwnershipKey{PartitionIndex{partition}}, OwnershipRecord{node, 1}, 1}, revision, 100);
  };
  std::vector<std::string> all = {"n0", "n1", "n2"};
  // At the start every partition prefers another controller.
  EXPECT_EQ(acquisition_turn(model, PartitionIndex{0}, "n0", all), 0U);
  EXPECT_EQ(acquisition_turn(model, PartitionIndex{1}, "n1", all), 0U);
  EXPECT_EQ(acquisition_turn(model, PartitionIndex{2}, "n2", all), 0U);
  EXPECT_EQ(acquisition_turn(model, PartitionIndex{1}, "n0", all), 2U);
  // Later the controller with fewer partitions goes first.
  record_ownership(0, "n1", 10);
  EXPECT_NE(acquisition_turn(model, PartitionIndex{1}, "n1", all), 0U);
}

TEST(Fencing, RecordsMayArriveInAnyOrder) {
  // After a restart placement records are listed before their jobs: capacity and quota in use must be the
  // same.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 2));
  cluster.run(3);
  simulation::SimulatedController late("node-9", cluster.store, simulation::test_settings("node-9"));
  std::vector<std::string> keys;
  for (const auto& [key, e] : cluster.store.keys()) keys.push_back(key);
  std::sort(keys.begin(), keys.end());
  for (const std::string& key : keys) {
    const auto& e = cluster.store.keys().at(key);
    auto change = state::decode(key, &e.value, late.cluster_state);
    ASSERT_TRUE(change) << key;
    late.cluster_state.apply(*change, e.revision, cluster.now);
  }
  const Machine& m = late.cluster_state.machine(late.cluster_state.names.machines.find("m1"));
  EXPECT_DOUBLE_EQ(m.used.gpus, 2);
  EXPECT_DOUBLE_EQ(late.cluster_state.team_usage(red_partition).gpus, 2);
  EXPECT_EQ(late.cluster_state.job(late.cluster_state.find_job("run-1")).pending_count(), 0U);
}

TEST(Fencing, WakeUpUsesATokenThatEveryLaterOwnerExceeds) {
  // Agents that report seldom are woken once their task's placement is durable. The wake-up's token is the
  // placement's revision: above what the agent has seen, below the ownership revision of any later owner.
  SimulatedCluster cluster;
  cluster.controller(0).cluster_state.settings.report_interval_s = 5;
  cluster.add_machine("m1");
  cluster.run(1);
  cluster.submit(test_job("run-1", 1));
  cluster.controller(0).sync(cluster.now);
  cluster.controller(0).run_cycle(cluster.now);
  cluster.controller(0).run_cycle(cluster.now);
  ASSERT_EQ(cluster.controller(0).direct_commands.size(), 1U);
  DirectCommands wake_up = cluster.controller(0).direct_commands.front();
  EXPECT_TRUE(wake_up.commands.empty());
  ASSERT_TRUE(cluster.worker("m1").command(wake_up));
  ASSERT_EQ(cluster.exchange_report("m1", 0).commands.size(), 1U);
  cluster.kill_controller(0);
  ASSERT_TRUE(cluster.controller(1).acquire_partition(red_partition, cluster.now));
  auto a = cluster.controller(1).handle_report(cluster.worker("m1").report(cluster.now), cluster.now);
  EXPECT_EQ(a.kind, ReportAnswer::Kind::ok);
  EXPECT_GT(a.fencing_token, wake_up.fencing_token);
  cluster.worker("m1").answer(a, cluster.now);
  EXPECT_FALSE(cluster.worker("m1").command(wake_up));  // a late wake-up is refused
}

TEST(Fencing, RedirectDistinguishesDepartedWorkersFromNewOnes) {
  // Only a departed agent's reports are forwarded to the owner: across a network cut between zones its lease
  // would run out.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.controller(1).sync(cluster.now);
  auto answer = cluster.controller(1).handle_report(cluster.worker("m1").report(cluster.now), cluster.now);
  EXPECT_EQ(answer.kind, Kind::redirect);
  EXPECT_FALSE(answer.owner_unreachable);  // the owner never served it
  cluster.run(5);
  answer = cluster.controller(1).handle_report(cluster.worker("m1").report(cluster.now), cluster.now);
  EXPECT_FALSE(answer.owner_unreachable);  // ownership is recent: it may have been told to report at once
  cluster.run(30);
  answer = cluster.controller(1).handle_report(cluster.worker("m1").report(cluster.now), cluster.now);
  EXPECT_EQ(answer.kind, Kind::redirect);
  EXPECT_EQ(answer.owner, "node-0");
  EXPECT_TRUE(answer.owner_unreachable);
  cluster.kill_controller(0);
  cluster.controller(1).sync(cluster.now);
  EXPECT_EQ(cluster.controller(1).handle_report(cluster.worker("m1").report(cluster.now), cluster.now).kind,
            Kind::refuse);
}

TEST(Fencing, AttemptNumbersAreNeverReused) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 1));
  cluster.run(3);
  Attempt first = cluster.worker("m1").attempt("run-1/0");
  cluster.worker("m1").finish("run-1/0", EndCause::error);
  cluster.kill_controller(0);
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.run(6, 1);
  ASSERT_TRUE(cluster.worker("m1").has("run-1/0"));
  EXPECT_GT(cluster.worker("m1").attempt("run-1/0"), first);
}

}  // namespace
}  // namespace oxbowmill
