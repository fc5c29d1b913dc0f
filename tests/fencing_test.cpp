// Tests of the fencing rules of docs/design.md. Each builds the interleaving of events that a rule guards
// against.
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

/// Lets controller 0 place run-1 with `tasks` tasks. The transaction is delayed in transit and kept in its
/// `lost_writes`.
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
  for (const char* task : {"run-1/0", "run-1/1", "run-1/2"}) {
    ASSERT_TRUE(cluster.agent("m1").has(task)) << task;
    cluster.agent("m1").finish(task, EndCause::done);
  }
  cluster.run(3);
  EXPECT_EQ(cluster.phase("run-1"), "done");
  // Of the job only its final phase may remain in the state service.
  for (const auto& [key, entry] : cluster.store.keys())
    EXPECT_EQ(key.find("run-1/"), std::string::npos) << key;
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
  EXPECT_FALSE(cluster.agent("m1").has("run-1/0"));
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
  auto next_response = cluster.exchange_report(machine_name, 0);
  ASSERT_EQ(next_response.commands.size(), 1U);
  EXPECT_EQ(next_response.commands[0].kind, CommandKind::start);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{machine_name});
  cluster.run(2);
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 1);
}

TEST(Fencing, AbsenceUnderAnOldFencingTokenProvesNothing) {
  // Controller 0 sends the start command and ends. The agent's next report reaches controller 1 without the
  // task, because controller 0's response is still in transit. Only a report that shows controller 1's
  // fencing token proves that the task is not on the machine.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.add_machine("m2");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1));
  cluster.controller(0).sync(cluster.now);
  cluster.controller(0).run_cycle(cluster.now);
  std::string machine_name = cluster.machines_of_task("run-1", 0).at(0);
  auto late_response =
      cluster.controller(0).handle_report(cluster.agent(machine_name).report(cluster.now), cluster.now);
  ASSERT_EQ(late_response.commands.size(), 1U);
  cluster.kill_controller(0);
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.now += 0.5;
  auto report = cluster.agent(machine_name).report(cluster.now);
  EXPECT_TRUE(cluster.controller(1).handle_report(report, cluster.now).commands.empty());
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{machine_name});
  const Machine& machine = cluster.controller(1).cluster_state.machine(
      cluster.controller(1).cluster_state.names.machines.find(machine_name));
  EXPECT_EQ(machine.state, MachineState::unreconciled);
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
  // The new owner has given the team's quota to another job, so the records of the delayed job and of the
  // machine are unchanged, and only the guard on the ownership fails. If the transaction were applied, the
  // team would exceed its quota of eight GPUs.
  SimulatedCluster cluster;
  for (const char* name : {"m1", "m2", "m3"}) cluster.add_machine(name);
  for (std::size_t i : {0, 1})
    cluster.controller(i).cluster_state.settings.operator_settings.release_to_pool_s = 1000;
  cluster.run(2);
  ASSERT_NO_FATAL_FAILURE(delay_placement_transaction(cluster, 1));
  JobSpec other = test_job("run-2", 2, 4);
  other.priority = Priority::high;
  cluster.submit(other);
  cluster.fail_over(0, 1, 0.5);
  cluster.run(3, 1);
  ASSERT_TRUE(cluster.machines_of_task("run-1", 0).empty()) << "precondition: run-1 is not placed";
  ASSERT_EQ(cluster.machines_of_task("run-2", 0).size() + cluster.machines_of_task("run-2", 1).size(), 2U);
  EXPECT_EQ(cluster.store.txn(cluster.controller(0).lost_writes[0]).status, 409);
  cluster.run(3, 1);
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 0);
}

TEST(Fencing, LatePlacementOnAMachineWhoseRecordHasChangedFails) {
  // The leader marks machines for deletion and deletes the records of those that are gone, whatever the owner
  // of their partition is writing at that time. A placement applied afterwards would be on a machine that no
  // controller can reach or delete.
  for (bool record_deleted : {true, false}) {
    SimulatedCluster cluster;
    cluster.add_machine("m1");
    cluster.run(2);
    ASSERT_NO_FATAL_FAILURE(delay_placement_transaction(cluster, 1));
    simulation::Json change = {{"delete", "o/m/m1"}};
    if (!record_deleted) {
      simulation::Json marked = cluster.store.keys().at("o/m/m1").value;
      marked["del"] = true;
      change = {{"put", "o/m/m1"}, {"value", marked}};
    }
    ASSERT_EQ(cluster.store.txn({{"guards", simulation::Json::array()}, {"apply", {change}}}).status, 200);
    EXPECT_EQ(cluster.store.txn(cluster.controller(0).lost_writes[0]).status, 409) << record_deleted;
    EXPECT_TRUE(cluster.machines_of_task("run-1", 0).empty()) << record_deleted;
  }
}

TEST(Fencing, UnansweredTransactionStaysIndeterminateWhenItsRetryIsRejected) {
  // The first copy is delayed and the second gets 503, which proves nothing about the first. If the reserved
  // quota were released, other work could take it, and the team would exceed its quota when the first copy is
  // applied late.
  SimulatedCluster cluster;
  for (const char* name : {"m1", "m2", "m3", "m4"}) cluster.add_machine(name);
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
    for (TaskNumber task : {0U, 1U}) placed += cluster.machines_of_task(job, task).size();
  }
  EXPECT_EQ(placed, 2U);  // 4 GPUs each, and the team's quota is 8
  EXPECT_TRUE(cluster.agent("m1").has("run-1/0") || cluster.agent("m2").has("run-1/0"));
}

TEST(Fencing, RetriedTransactionIsIdenticalEvenIfItsJobIsGone) {
  // If a retry encoded the transaction again from the replica, it would refer to a job that is no longer
  // there. That made a controller crash.
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
  // The placement is applied but the response is lost. The capacity stays reserved, and the retry finds that
  // the transaction has been applied.
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
  EXPECT_TRUE(cluster.agent("m1").has("run-1/0"));
  EXPECT_FALSE(cluster.agent("m1").has("run-2/0"));
}

TEST(Fencing, FailoverKeepsRunningTasks) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 2));
  cluster.run(3);
  ASSERT_TRUE(cluster.agent("m1").has("run-1/0"));
  cluster.kill_controller(0);
  cluster.now += 4;
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.run(5, 1);
  EXPECT_TRUE(cluster.agent("m1").has("run-1/0"));
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 1);
  cluster.agent("m1").finish("run-1/0", EndCause::done);
  cluster.agent("m1").finish("run-1/1", EndCause::done);
  cluster.run(2, 1);
  EXPECT_EQ(cluster.phase("run-1"), "done");
}

TEST(Fencing, SilentMachineAfterFailoverBlocksItsTasksUntilProvablyGone) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1));
  cluster.run(2);
  ASSERT_TRUE(cluster.agent("m1").has("run-1/0"));
  cluster.add_machine("m2");
  cluster.kill_controller(0);
  cluster.silenced_agents.insert("m1");
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.controller(1).cluster_state.settings.operator_settings.idle_retention_s =
      1000;  // keeps m2 until it is needed
  double silence_s = cluster.controller(1).cluster_state.settings.failover_silence_s();
  cluster.run(silence_s - 2, 1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  cluster.run(4, 1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m2"});
  EXPECT_TRUE(cluster.agent("m2").has("run-1/0"));
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(Fencing, ReadOnlyPeriodIsSkippedOnceEveryControllerHasRestarted) {
  struct Case {
    const char* description;
    bool node_0_restarted, node_0_lease_revoked, machine_was_moved;
    bool read_only_period_skipped;
  };
  for (const Case& test_case :
       {Case{"both controllers have restarted", true, false, false, true},
        Case{"the earlier owner has not restarted and may still answer", false, false, false, false},
        Case{"the earlier owner has restarted and lost its lease again", true, true, false, false},
        Case{"the machine was moved from an owner that still runs", true, false, true, false}}) {
    SimulatedCluster cluster;
    cluster.add_machine("m1");
    cluster.run(2);
    cluster.submit(test_job("run-1", 1));
    cluster.run(2);
    ASSERT_TRUE(cluster.agent("m1").has("run-1/0"));
    cluster.add_machine("m2");
    cluster.kill_controller(0);
    cluster.silenced_agents.insert("m1");
    ClusterState& cluster_state = cluster.controller(1).cluster_state;
    cluster_state.settings.all_controllers = {"node-0", "node-1"};
    cluster_state.settings.operator_settings.idle_retention_s =
        cluster_state.settings.operator_settings.release_to_pool_s = 1000;
    cluster.controller(1).acquire_all_partitions(cluster.now);
    cluster.register_controller(1);
    std::uint64_t node_0_lease = test_case.node_0_restarted ? cluster.register_controller(0) : 0;
    cluster.run(1, 1);
    if (test_case.node_0_lease_revoked) cluster.store.revoke_lease(node_0_lease);
    if (test_case.machine_was_moved)
      cluster_state.edit_machine(cluster_state.names.machines.find("m1")).inherited = false;
    cluster.run(cluster_state.settings.lease_expiry_s() - 2, 1);
    EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"}) << test_case.description;
    cluster.run(4, 1);
    EXPECT_EQ(cluster.machines_of_task("run-1", 0),
              std::vector<std::string>{test_case.read_only_period_skipped ? "m2" : "m1"})
        << test_case.description;
    cluster.run(cluster_state.settings.read_only_period_s(), 1);
    EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m2"}) << test_case.description;
    EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
  }
}

TEST(Fencing, TasksOnAMachineMarkedForDeletionAreProvedGoneBySilenceAcrossFailover) {
  // The cloud is down, so the machine is marked for deletion but the deletion is never confirmed. Then the
  // owner ends.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1));
  cluster.run(2);
  ASSERT_TRUE(cluster.agent("m1").has("run-1/0"));
  Json value = cluster.store.keys().at("o/m/m1").value;
  value["del"] = true;
  cluster.store.txn({{"guards", Json::array()}, {"apply", {{{"put", "o/m/m1"}, {"value", value}}}}});
  cluster.add_machine("m2");
  cluster.silenced_agents.insert("m1");
  cluster.kill_controller(0);
  cluster.controller(1).cluster_state.settings.operator_settings.idle_retention_s =
      cluster.controller(1).cluster_state.settings.operator_settings.release_to_pool_s = 1000;
  cluster.controller(1).acquire_all_partitions(cluster.now);
  double silence_s = cluster.controller(1).cluster_state.settings.failover_silence_s();
  cluster.run(silence_s - 2, 1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  cluster.run(4, 1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m2"});
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(Fencing, DelayedReportOfAnEarlierAgentEpochIsRefused) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  auto delayed_report =
      cluster.agent("m1").report(cluster.now);  // sent before the task starts, delivered much later
  cluster.submit(test_job("run-1", 1));
  cluster.run(3);
  ASSERT_TRUE(cluster.agent("m1").has("run-1/0"));
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
  cluster.silenced_agents.insert("m1");  // the task is placed, but the agent never reports
  auto current_partition = [&cluster] {
    return cluster.store.keys().at("o/m/m1").value.at("part").get<std::string>();
  };
  cluster.run(8);
  EXPECT_EQ(current_partition(), "red");
  cluster.run(
      10);  // the agent's lease has expired: the task is gone, and the machine is released for deletion
  EXPECT_EQ(current_partition(), ".pool");
  EXPECT_TRUE(cluster.store.keys().at("o/m/m1").value.at("del").get<bool>());
}

TEST(Fencing, FencingTokenIncreasesWithEveryOwnershipChange) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  MachineIndex m1_at_controller_0 = cluster.controller(0).cluster_state.names.machines.find("m1");
  Revision first = cluster.controller(0).cluster_state.fencing_token(
      cluster.controller(0).cluster_state.machine(m1_at_controller_0));
  cluster.kill_controller(0);
  cluster.controller(1).acquire_all_partitions(cluster.now);
  MachineIndex m1_at_controller_1 = cluster.controller(1).cluster_state.names.machines.find("m1");
  Revision second = cluster.controller(1).cluster_state.fencing_token(
      cluster.controller(1).cluster_state.machine(m1_at_controller_1));
  EXPECT_GT(second, first);
  cluster.controller(0).sync(cluster.now);
  EXPECT_EQ(cluster.exchange_report("m1", 0).kind, Kind::redirect);
  EXPECT_EQ(cluster.exchange_report("m1", 0).owner, "node-1");
}

TEST(Fencing, ControllerWithALowerTokenDoesNotRespond) {
  // Controller 0 does not know yet that controller 1 now owns its partitions.
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
  double lease_s = settings.operator_settings.controller_lease_s, read_only_s = settings.read_only_period_s();
  struct Case {
    double renewed_at, watch_answered_at, now;
    Authority expected;
  };
  const Case cases[] = {
      {0, 0, lease_s - 0.1, Authority::full},
      {0, 0, lease_s, Authority::read_only},
      {0, 0, lease_s + read_only_s - 0.1, Authority::read_only},
      {0, 0, lease_s + read_only_s, Authority::none},
      {10, 0, lease_s + 1,
       Authority::read_only},  // renewed, but without the watch it learns of no cancellations
      {0, 10, lease_s + 1, Authority::read_only},
      {10, 10, lease_s + 1, Authority::full},
  };
  for (const Case& test_case : cases) {
    ControllerLease lease(settings);
    lease.on_granted(1, 0);
    lease.on_renewed(test_case.renewed_at);
    lease.on_watch_answered(test_case.watch_answered_at);
    EXPECT_EQ(static_cast<int>(lease.authority(test_case.now)), static_cast<int>(test_case.expected))
        << test_case.renewed_at << " " << test_case.watch_answered_at << " " << test_case.now;
  }
  EXPECT_LT(lease_s + read_only_s + settings.lease_expiry_s(), settings.cancel_deadline_s);
}

TEST(Fencing, StateOutageKeepsTasksAliveWithoutCommands) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 1));
  cluster.run(3);
  cluster.submit(test_job("run-2", 1));
  cluster.store.set_outage(true, cluster.now);
  cluster.run(cluster.controller(0).cluster_state.settings.operator_settings.controller_lease_s + 8);
  EXPECT_TRUE(cluster.agent("m1").has("run-1/0"));
  EXPECT_EQ(cluster.agent("m1").agent_epoch(), 1U);
  EXPECT_FALSE(cluster.agent("m1").has("run-2/0"));
  cluster.store.set_outage(false, cluster.now);
  cluster.run(3);
  EXPECT_TRUE(cluster.agent("m1").has("run-2/0"));
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 1);
}

TEST(Fencing, ReadOnlyPeriodSendsNoCommandsAndExpires) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 1));
  cluster.run(3);
  Settings settings = cluster.controller(0).cluster_state.settings;
  cluster.withdraw("run-1");
  cluster.now +=
      settings.operator_settings.controller_lease_s + 0.5;  // its lease and its watch are not renewed
  auto answer = cluster.exchange_report("m1", 0);
  EXPECT_EQ(answer.kind, Kind::ok);
  EXPECT_TRUE(answer.commands.empty());
  cluster.now += settings.read_only_period_s();
  EXPECT_EQ(cluster.exchange_report("m1", 0).kind, Kind::refuse);
}

TEST(Fencing, CancellationAndCompletionAreDecidedAtomically) {
  for (bool cancel_first : {true, false}) {
    SimulatedCluster cluster;
    cluster.add_machine("m1");
    cluster.submit(test_job("run-1", 1));
    cluster.run(3);
    cluster.agent("m1").finish("run-1/0", EndCause::done);
    cluster.exchange_report("m1", 0);
    std::string expected;
    if (cancel_first) {
      // The owner writes the done mark without knowing of the cancellation.
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
  cluster.submit(test_job("run-1", 6));  // four tasks fit on the machine
  cluster.run(3);
  cluster.withdraw("run-1");
  cluster.run(4);
  for (int task = 0; task < 6; ++task) EXPECT_FALSE(cluster.agent("m1").has("run-1/" + std::to_string(task)));
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
  cluster.agent("m1").finish("run-1/0", EndCause::done);
  cluster.controller(0).write_outcome = WriteOutcome::not_arrived;
  cluster.run(2);
  EXPECT_EQ(cluster.agent("m1").phase("run-1/0"), TaskPhase::ended);  // the agent still reports it
  cluster.controller(0).write_outcome = WriteOutcome::answered;
  cluster.run(3);
  auto report = cluster.agent("m1").report(cluster.now);
  EXPECT_EQ(report.tasks.size(), 1U);
  EXPECT_EQ(cluster.store.keys().at("o/c/run-1/0").value.at("d"), "1");
}

TEST(Fencing, QuotaCountsUnreportedTasks) {
  // The team's quota is 8 GPUs. Two machines stop reporting while 8 GPUs are in use on them, so no other task
  // may start.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.add_machine("m2");
  cluster.submit(test_job("run-1", 8));
  cluster.run(4);
  cluster.silenced_agents = {"m1", "m2"};
  cluster.add_machine("m3");
  cluster.add_machine("m4");
  cluster.submit(test_job("run-2", 4));
  cluster.run(6);
  EXPECT_FALSE(cluster.agent("m3").has("run-2/0"));
  EXPECT_FALSE(cluster.agent("m4").has("run-2/0"));
  cluster.run(10);
  EXPECT_LE(cluster.controller(0).cluster_state.team_usage(red_partition).gpus, 8);
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(Fencing, SingleZoneConstraintCountsUnreportedTasks) {
  SimulatedCluster cluster;
  cluster.add_machine("m1", "a");
  JobSpec spec = test_job("run-1", 2, 4);
  spec.single_zone = true;
  cluster.submit(spec);
  cluster.run(3);
  ASSERT_TRUE(cluster.agent("m1").has("run-1/0"));
  cluster.silenced_agents.insert("m1");
  cluster.add_machine("m2", "b");
  cluster.run(8);
  EXPECT_FALSE(cluster.agent("m2").has("run-1/1"));  // task 0 still counts as running in zone a
}

TEST(Fencing, DeletedMachineIsProvablyGoneAndNotReadmitted) {
  SimulatedCluster cluster;
  cluster.add_machine("m1", "a", ".pool");
  cluster.run(2);
  double idle_retention_s = cluster.controller(0).cluster_state.settings.operator_settings.idle_retention_s;
  cluster.run(idle_retention_s + 3);
  ASSERT_FALSE(cluster.controller(0).machines_to_delete.empty());
  EXPECT_TRUE(
      cluster.store.keys().at("o/m/m1").value.at("del").get<bool>());  // durable before the deletion is sent
  cluster.controller(0).autoscaler.on_deleted(cluster.controller(0).machines_to_delete, true);
  cluster.silenced_agents.insert("m1");
  cluster.run(2);
  EXPECT_EQ(cluster.store.keys().count("o/m/m1"), 0U);
  // A listing from before the deletion must not register the machine again.
  ListedMachine stale_entry{"m1", "127.0.0.1:1", "std", "a", false, ListedMachine::Phase::running, 100};
  for (int i = 0; i < 10; ++i) {
    cluster.controller(0).autoscaler.on_listed({stale_entry}, cluster.now);
    cluster.run(3);
  }
  EXPECT_EQ(cluster.store.keys().count("o/m/m1"), 0U);
}

TEST(Fencing, PartitionsSpreadOverLiveControllers) {
  ClusterState cluster_state(simulation::test_settings("n0"), simulation::test_names());
  auto record_ownership = [&cluster_state](std::uint32_t partition, const std::string& controller,
                                           Revision revision) {
    cluster_state.apply({OwnershipKey{PartitionIndex{partition}}, OwnershipRecord{controller, 1}, 1},
                        revision, 100);
  };
  std::vector<std::string> candidates = {"n0", "n1", "n2"};
  // At the start each partition prefers a different controller.
  EXPECT_EQ(acquisition_turn(cluster_state, PartitionIndex{0}, "n0", candidates), 0U);
  EXPECT_EQ(acquisition_turn(cluster_state, PartitionIndex{1}, "n1", candidates), 0U);
  EXPECT_EQ(acquisition_turn(cluster_state, PartitionIndex{2}, "n2", candidates), 0U);
  EXPECT_EQ(acquisition_turn(cluster_state, PartitionIndex{1}, "n0", candidates), 2U);
  // Later, controllers that own fewer partitions go first.
  record_ownership(0, "n1", 10);
  EXPECT_NE(acquisition_turn(cluster_state, PartitionIndex{1}, "n1", candidates), 0U);
}

TEST(Fencing, RecordsMayArriveInAnyOrder) {
  // After a restart, chunk records are listed before the records of their jobs. The capacity and quota in use
  // must be the same as in any other order.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 2));
  cluster.run(3);
  simulation::SimulatedController restarted("node-9", cluster.store, simulation::test_settings("node-9"));
  std::vector<std::string> keys;
  for (const auto& [key, entry] : cluster.store.keys()) keys.push_back(key);
  std::sort(keys.begin(), keys.end());
  for (const std::string& key : keys) {
    const auto& entry = cluster.store.keys().at(key);
    auto change = state::decode(key, &entry.value, restarted.cluster_state);
    ASSERT_TRUE(change) << key;
    restarted.cluster_state.apply(*change, entry.revision, cluster.now);
  }
  const Machine& machine = restarted.cluster_state.machine(restarted.cluster_state.names.machines.find("m1"));
  EXPECT_DOUBLE_EQ(machine.used.gpus, 2);
  EXPECT_DOUBLE_EQ(restarted.cluster_state.team_usage(red_partition).gpus, 2);
  EXPECT_EQ(restarted.cluster_state.job(restarted.cluster_state.find_job("run-1")).pending_count(), 0U);
}

TEST(Fencing, WakeUpUsesATokenThatEveryLaterOwnerExceeds) {
  // Agents that report at long intervals are woken once a placement on their machine is durable. The fencing
  // token of the wake-up is the revision of the placement. It is higher than any token that the agent has
  // seen, and lower than the ownership revision of any later owner.
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
  ASSERT_TRUE(cluster.agent("m1").handle_commands(wake_up));
  ASSERT_EQ(cluster.exchange_report("m1", 0).commands.size(), 1U);
  cluster.kill_controller(0);
  ASSERT_TRUE(cluster.controller(1).acquire_partition(red_partition, cluster.now));
  auto answer = cluster.controller(1).handle_report(cluster.agent("m1").report(cluster.now), cluster.now);
  EXPECT_EQ(answer.kind, ReportAnswer::Kind::ok);
  EXPECT_GT(answer.fencing_token, wake_up.fencing_token);
  cluster.agent("m1").handle_response(answer, cluster.now);
  EXPECT_FALSE(cluster.agent("m1").handle_commands(wake_up));  // a late copy of the wake-up is refused
}

TEST(Fencing, RedirectMarksTheOwnerUnreachableOnlyForAgentsThatItServed) {
  // Only the reports of an agent that lost contact with its owner are forwarded to the owner. Without that,
  // the lease of an agent that is cut off from its owner's zone would expire.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.controller(1).sync(cluster.now);
  auto answer = cluster.controller(1).handle_report(cluster.agent("m1").report(cluster.now), cluster.now);
  EXPECT_EQ(answer.kind, Kind::redirect);
  EXPECT_FALSE(answer.owner_unreachable);  // the owner never served it
  cluster.run(5);
  answer = cluster.controller(1).handle_report(cluster.agent("m1").report(cluster.now), cluster.now);
  EXPECT_FALSE(
      answer.owner_unreachable);  // ownership is recent: the agent may have been told to report at once
  cluster.run(30);
  answer = cluster.controller(1).handle_report(cluster.agent("m1").report(cluster.now), cluster.now);
  EXPECT_EQ(answer.kind, Kind::redirect);
  EXPECT_EQ(answer.owner, "node-0");
  EXPECT_TRUE(answer.owner_unreachable);
  cluster.kill_controller(0);
  cluster.controller(1).sync(cluster.now);
  EXPECT_EQ(cluster.controller(1).handle_report(cluster.agent("m1").report(cluster.now), cluster.now).kind,
            Kind::refuse);
}

TEST(Fencing, AttemptNumbersAreNeverReused) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 1));
  cluster.run(3);
  Attempt first = cluster.agent("m1").attempt("run-1/0");
  cluster.agent("m1").finish("run-1/0", EndCause::error);
  cluster.kill_controller(0);
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.run(6, 1);
  ASSERT_TRUE(cluster.agent("m1").has("run-1/0"));
  EXPECT_GT(cluster.agent("m1").attempt("run-1/0"), first);
}

}  // namespace
}  // namespace oxbowmill
