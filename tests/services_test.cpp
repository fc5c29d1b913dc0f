// Tests of services, whose replicas run until the job is cancelled, and of how services share machines with
// other jobs; tests of the records of completed tasks.
#include <gtest/gtest.h>

#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

using simulation::SimulatedCluster;
using simulation::test_job;

JobSpec service_job(const std::string& ref, std::uint32_t replicas) {
  JobSpec job_spec = test_job(ref, replicas);
  job_spec.shape = JobShape::service;
  job_spec.priority = Priority::production;
  job_spec.checkpoint_interval_s = job_spec.flush_s = 0;
  return job_spec;
}

/// Expects the task to be placed on exactly this machine, and to be held by the machine's agent.
void expect_running_on(SimulatedCluster& cluster, const std::string& machine, const std::string& ref,
                       TaskNumber task) {
  EXPECT_EQ(cluster.machines_of_task(ref, task), std::vector<std::string>{machine});
  EXPECT_TRUE(cluster.agent(machine).has(ref + "/" + std::to_string(task)));
}

TEST(Services, ReplicaRecoversFromFaults) {
  struct Case {
    const char* description;
    std::function<void(SimulatedCluster&)> inject_fault;
    std::string phase;
    std::size_t final_owner;    // index of the partition's owner afterwards
    std::string final_machine;  // of replica 0 afterwards; empty: none
    int start_count;            // of replica 0, in total
  };
  const Case cases[] = {
      {"a replica without a fault starts once", [](SimulatedCluster&) {}, "open", 0, "m1", 1},
      {"a replica on a lost machine starts on another one",
       [](SimulatedCluster& cluster) {
         cluster.add_machine("m2");
         cluster.run(2);
         cluster.silenced_agents.insert("m1");
         cluster.store.txn({{"guards", simulation::Json::array()}, {"apply", {{{"delete", "o/m/m1"}}}}});
         cluster.agent("m1").tick(cluster.now + 100);  // the machine is gone
         cluster.run(3);
       },
       "open", 0, "m2", 2},
      {"a replica on a silent machine starts on another one after the lease expires and not before",
       [](SimulatedCluster& cluster) {
         cluster.add_machine("m2");
         cluster.run(2);
         cluster.silenced_agents.insert("m1");
         cluster.run(cluster.controller(0).cluster_state.settings.lease_expiry_s() - 2);
         EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
         cluster.run(5);
       },
       "open", 0, "m2", 2},
      {"a replica keeps running through a failover",
       [](SimulatedCluster& cluster) {
         cluster.kill_controller(0);
         cluster.now += 4;
         cluster.controller(1).acquire_all_partitions(cluster.now);
         cluster.run(5, 1);
       },
       "open", 1, "m1", 1},
      {"a replica is not preempted for a gang of high priority",
       [](SimulatedCluster& cluster) {
         JobSpec gang = test_job("run-9", 1, 4);
         gang.shape = JobShape::gang;
         gang.priority = Priority::high;
         cluster.submit(gang);
         cluster.run(5);
         EXPECT_EQ(cluster.run_log.starts["run-9/0"], 0);
       },
       "open", 0, "m1", 1},
      {"a replica that ends with an error starts again",
       [](SimulatedCluster& cluster) {
         cluster.agent("m1").finish("run-1/0", EndCause::error);
         cluster.run(6);
       },
       "open", 0, "m1", 2},
      {"a replica stops when its job is cancelled",
       [](SimulatedCluster& cluster) {
         EXPECT_EQ(cluster.withdraw("run-1"), 200);
         cluster.run(4);
       },
       "cancelled", 0, "", 1},
      {"a replica keeps running when a late report names an earlier attempt",
       [](SimulatedCluster& cluster) {
         AgentReport late_report = cluster.agent("m1").report(cluster.now);
         late_report.tasks[0].phase = TaskPhase::ended;
         late_report.tasks[0].cause = EndCause::error;
         late_report.tasks[0].attempt -= 1;
         late_report.report_sequence = 0;
         cluster.controller(0).handle_report(late_report, cluster.now);
         cluster.run(3);
       },
       "open", 0, "m1", 1},
  };
  for (const Case& test_case : cases) {
    SCOPED_TRACE(test_case.description);
    SimulatedCluster cluster;
    cluster.add_machine("m1");
    cluster.controller(0).cluster_state.settings.operator_settings.idle_retention_s =
        cluster.controller(0).cluster_state.settings.operator_settings.release_to_pool_s = 1000;
    cluster.submit(service_job("run-1", 2));
    cluster.run(3);
    test_case.inject_fault(cluster);
    EXPECT_EQ(cluster.phase("run-1"), test_case.phase);
    EXPECT_EQ(cluster.run_log.starts["run-1/0"], test_case.start_count);
    EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
    if (!test_case.final_machine.empty()) {
      expect_running_on(cluster, test_case.final_machine, "run-1", 0);
    } else {
      EXPECT_FALSE(cluster.agent("m1").has("run-1/0"));
    }
  }
}

TEST(Services, JobCancelledBeforeItsStartIsSentNeverStarts) {
  // The cancellation becomes durable after the placement and before the start command is sent.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(1);
  cluster.submit(service_job("run-1", 1));
  cluster.controller(0).sync(cluster.now);
  cluster.controller(0).run_cycle(cluster.now);
  ASSERT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  EXPECT_EQ(cluster.withdraw("run-1"), 200);
  cluster.run(4);
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 0);
  EXPECT_EQ(cluster.phase("run-1"), "cancelled");
}

TEST(Services, AreExcludedFromSlowTaskDetection) {
  SimulatedCluster cluster;
  for (const char* machine : {"m1", "m2"}) cluster.add_machine(machine);
  cluster.submit(service_job("run-1", 2));
  cluster.submit(service_job("run-2", 2));
  cluster.run(200);
  for (const char* task : {"run-1/0", "run-1/1", "run-2/0", "run-2/1"})
    EXPECT_EQ(cluster.run_log.starts[task], 1) << task;
}

TEST(MachineSharing, ShortAndLongRunningTasksAreSeparated) {
  // A single long-running replica keeps its machine from all gangs and from being returned.
  MachineType type = simulation::test_catalog()[0];
  ClusterState state(simulation::test_settings("node-0"), simulation::test_names());
  state.catalog = {type};
  auto whole = [&](bool spot) {
    CandidateMachine candidate{MachineIndex{}, TypeIndex{0}, ZoneIndex{0}, spot, 0, type.capacity};
    return candidate;
  };
  auto partly_used = [&](bool long_running, bool spot = false) {
    CandidateMachine candidate = whole(spot);
    candidate.free_capacity -= Resources{2, 1, 8};
    candidate.long_running = long_running;
    return candidate;
  };
  JobSpec replica = service_job("run-1", 1), task = test_job("run-2", 1), gang = test_job("run-3", 1, 4);
  task.spot = true;
  gang.shape = JobShape::gang;
  struct Case {
    const char* description;
    const JobSpec& spec;
    std::vector<CandidateMachine> candidates;
    std::size_t chosen_candidate;
  };
  const Case cases[] = {
      {"a replica joins other replicas", replica, {whole(false), partly_used(false), partly_used(true)}, 2},
      {"a replica prefers a partly used machine to a whole one",
       replica,
       {whole(false), partly_used(false)},
       1},
      {"a task prefers a spot machine to partly used on-demand machines",
       task,
       {partly_used(false), partly_used(true), whole(true)},
       2},
      {"a task prefers a partly used spot machine to a whole one",
       task,
       {whole(true), partly_used(false, true)},
       1},
      {"a task prefers a machine without replicas to one with replicas",
       task,
       {partly_used(true), partly_used(false)},
       1},
      {"a task prefers a machine with replicas to a whole machine",
       task,
       {whole(false), partly_used(true)},
       1},
      {"a gang takes a whole machine", gang, {partly_used(true), whole(false)}, 1},
  };
  for (const Case& test_case : cases) {
    auto candidates = test_case.candidates;
    evaluate_for_job(test_case.spec, state, candidates);
    auto chosen = choose_machines(test_case.spec, {0}, candidates, {0, 0});
    ASSERT_EQ(chosen.size(), 1U) << test_case.description;
    EXPECT_EQ(chosen[0].candidate, test_case.chosen_candidate) << test_case.description;
  }
}

TEST(MachineSharing, ShortTasksLeaveWholeMachinesToGangsWhileSpotCapacityArrives) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  JobSpec gang_spec = test_job("run-1", 2, 4);  // needs two whole machines; one is available
  gang_spec.shape = JobShape::gang;
  gang_spec.partition = PartitionIndex{2};
  JobSpec task = test_job("run-2", 1);
  task.partition = PartitionIndex{2};
  task.spot = true;
  cluster.add_machine("m2", "a", "blue");
  cluster.run(1);
  cluster.submit(gang_spec);
  cluster.submit(task);
  cluster.run(2);
  EXPECT_EQ(cluster.run_log.starts["run-2/0"], 0);
  bool requests_spot = false;
  for (const ScaleOutRequest& request : cluster.controller(0).scale_outs)
    requests_spot = requests_spot || request.spot;
  EXPECT_TRUE(requests_spot);
  // When the cloud has no capacity, the task takes a whole machine, which is better than not starting at all.
  for (const ScaleOutRequest& request : std::vector<ScaleOutRequest>(cluster.controller(0).scale_outs)) {
    cluster.controller(0).autoscaler.on_scale_out_result(request.request_id, true, {}, cluster.now);
  }
  cluster.run(cluster.controller(0).cluster_state.settings.operator_settings.scale_out_delay_s + 2);
  EXPECT_EQ(cluster.run_log.starts["run-2/0"], 1);
}

TEST(MachineSharing, WarmWholeMachinesFollowGangDemand) {
  SimulatedCluster cluster;
  for (int i = 0; i < 40; ++i) cluster.add_machine("m" + std::to_string(i), "a", "blue");
  cluster.run(2);
  JobSpec filler = test_job("run-1", 160);
  filler.partition = PartitionIndex{2};
  cluster.submit(filler);
  cluster.run(4);
  JobSpec gang = test_job("run-2", 6, 4);
  gang.shape = JobShape::gang;
  gang.partition = PartitionIndex{2};
  cluster.submit(gang);
  EXPECT_TRUE(cluster.controller(0).scale_outs.empty());  // tasks that are being placed need no machines
  cluster.run(cluster.controller(0).cluster_state.settings.operator_settings.scale_out_delay_s + 3);
  std::size_t gang_machines = 0, warm_machines = 0;
  for (const ScaleOutRequest& request : cluster.controller(0).scale_outs) {
    for (PartitionIndex partition : request.partitions)
      ++(partition == idle_pool ? warm_machines : gang_machines);
  }
  EXPECT_EQ(gang_machines, 6U);
  // Six machines in 30 s with a boot time of 20 s give a target of four. A tenth of forty machines is four,
  // too.
  EXPECT_EQ(warm_machines, 4U);
}

TEST(CompletionRecords, BusyOwnerBatchesCompletionsAndFreesTheirCapacity) {
  // Guards against a done mark for each ended task, which took most of the state service's changes.
  SimulatedCluster cluster;
  Settings& settings = cluster.controller(0).cluster_state.settings;
  settings.state_write_rps = 0;  // the owner always counts as busy
  settings.operator_settings.done_mark_delay_s = 20;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 4));
  cluster.run(3);
  cluster.agent("m1").finish("run-1/0", EndCause::done);
  cluster.agent("m1").finish("run-1/1", EndCause::done);
  cluster.run(2);
  auto done_mark = [&] { return cluster.store.keys().at("o/c/run-1/0").value.at("d").get<std::string>(); };
  EXPECT_EQ(done_mark(), "0");
  cluster.submit(test_job("run-2", 2));  // the machine fits four tasks
  cluster.run(3);
  EXPECT_TRUE(cluster.agent("m1").has("run-2/0"));
  EXPECT_TRUE(cluster.agent("m1").has("run-2/1"));
  cluster.run(20);
  EXPECT_EQ(done_mark(), "3");  // both tasks in one change
  // The end of the job is written without delay.
  cluster.agent("m1").finish("run-1/2", EndCause::done);
  cluster.run(2);
  EXPECT_EQ(done_mark(), "3");
  cluster.agent("m1").finish("run-1/3", EndCause::done);
  cluster.run(2);
  EXPECT_EQ(cluster.phase("run-1"), "done");
}

TEST(CompletionRecords, CompletionsLostWithTheirOwnerAreReportedAgain) {
  SimulatedCluster cluster;
  cluster.controller(0).cluster_state.settings.state_write_rps = 0;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 2));
  cluster.run(3);
  cluster.agent("m1").finish("run-1/0", EndCause::done);
  cluster.run(2);
  cluster.kill_controller(0);
  cluster.now += 4;
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.run(3, 1);
  cluster.agent("m1").finish("run-1/1", EndCause::done);
  cluster.run(3, 1);
  EXPECT_EQ(cluster.phase("run-1"), "done");
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 1);
}

TEST(CompletionRecords, PlacementOnADeletedMachineIsDroppedAtFailover) {
  // All controllers stop after the machine's record is deleted and before its placements are.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 1));
  cluster.run(3);
  ASSERT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  cluster.kill_controller(0);
  cluster.store.txn({{"guards", simulation::Json::array()}, {"apply", {{{"delete", "o/m/m1"}}}}});
  simulation::SimulatedController new_controller("node-9", cluster.store,
                                                 simulation::test_settings("node-9"));
  new_controller.load_state(cluster.now);
  ASSERT_TRUE(new_controller.acquire_partition(PartitionIndex{1}, cluster.now));
  new_controller.run_cycle(cluster.now);
  EXPECT_TRUE(cluster.machines_of_task("run-1", 0).empty());
}

TEST(CompletionRecords, MachineWithAPlacementInFlightIsNotMoved) {
  // Guards against releasing the machine as idle while the transaction is in flight. The agent would report
  // to the machine's new owner, and the job's owner would get no more reports of its task.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.controller(0).write_outcome = simulation::WriteOutcome::not_arrived;
  cluster.submit(test_job("run-1", 1));
  cluster.run(8 * cluster.controller(0).cluster_state.settings.operator_settings.release_to_pool_s);
  ASSERT_FALSE(cluster.controller(0).lost_writes.empty());
  for (const auto& body : cluster.controller(0).lost_writes) {
    for (const auto& operation : body.at("apply")) EXPECT_NE(operation.value("put", ""), "o/m/m1");
  }
}

}  // namespace
}  // namespace oxbowmill
