// Services: replicas that run until their job is cancelled, and how they share machines with other work.
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

/// A replica is on exactly this machine, by the records and by the agent itself.
void expect_running_on(SimulatedCluster& cluster, const std::string& machine, const std::string& ref,
                       TaskNumber task) {
  EXPECT_EQ(cluster.machines_of_task(ref, task), std::vector<std::string>{machine});
  EXPECT_TRUE(cluster.worker(machine).has(ref + "/" + std::to_string(task)));
}

TEST(Services, ReplicaRecoversFromFaults) {
  struct Case {
    const char* description;
    std::function<void(SimulatedCluster&)> inject_fault;
    std::string phase;
    std::size_t final_owner;    // the partition's owner afterwards
    std::string final_machine;  // where replica 0 is in the end; empty: nowhere
    int start_count;            // of replica 0, in total
  };
  const Case cases[] = {
      {"start", [](SimulatedCluster&) {}, "open", 0, "m1", 1},
      {"lost with its machine",
       [](SimulatedCluster& cluster) {
         cluster.add_machine("m2");
         cluster.run(2);
         cluster.silenced_workers.insert("m1");
         cluster.store.txn({{"guards", simulation::Json::array()}, {"apply", {{{"delete", "o/m/m1"}}}}});
         cluster.worker("m1").tick(cluster.now + 100);  // the machine is gone
         cluster.run(3);
       },
       "open", 0, "m2", 2},
      {"on a silent machine, replaced once its lease is over and not before",
       [](SimulatedCluster& cluster) {
         cluster.add_machine("m2");
         cluster.run(2);
         cluster.silenced_workers.insert("m1");
         cluster.run(cluster.controller(0).cluster_state.settings.lease_expiry_s() - 2);
         EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
         cluster.run(5);
       },
       "open", 0, "m2", 2},
      {"kept through a takeover",
       [](SimulatedCluster& cluster) {
         cluster.kill_controller(0);
         cluster.now += 4;
         cluster.controller(1).acquire_all_partitions(cluster.now);
         cluster.run(5, 1);
       },
       "open", 1, "m1", 1},
      {"not stopped for a gang of high rank",
       [](SimulatedCluster& cluster) {
         JobSpec g = test_job("run-9", 1, 4);
         g.shape = JobShape::gang;
         g.priority = Priority::high;
         cluster.submit(g);
         cluster.run(5);
         EXPECT_EQ(cluster.run_log.starts["run-9/0"], 0);
       },
       "open", 0, "m1", 1},
      {"error: started again",
       [](SimulatedCluster& cluster) {
         cluster.worker("m1").finish("run-1/0", EndCause::error);
         cluster.run(6);
       },
       "open", 0, "m1", 2},
      {"cancel",
       [](SimulatedCluster& cluster) {
         EXPECT_EQ(cluster.withdraw("run-1"), 200);
         cluster.run(4);
       },
       "cancelled", 0, "", 1},
      {"late report under an earlier attempt changes nothing",
       [](SimulatedCluster& cluster) {
         WorkerReport late = cluster.worker("m1").report(cluster.now);
         late.tasks[0].phase = TaskPhase::ended;
         late.tasks[0].cause = EndCause::error;
         late.tasks[0].attempt -= 1;
         late.report_sequence = 0;
         cluster.controller(0).handle_report(late, cluster.now);
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
      EXPECT_FALSE(cluster.worker("m1").has("run-1/0"));
    }
  }
}

TEST(Services, CancellationRacesWithStart) {
  // The cancellation becomes durable after the placement and before its start is sent.
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
  for (const char* m : {"m1", "m2"}) cluster.add_machine(m);
  cluster.submit(service_job("run-1", 2));
  cluster.submit(service_job("run-2", 2));
  cluster.run(200);
  for (const char* t : {"run-1/0", "run-1/1", "run-2/0", "run-2/1"})
    EXPECT_EQ(cluster.run_log.starts[t], 1) << t;
}

TEST(MachineSharing, ShortAndLongRunningTasksAreSeparated) {
  // A single long-running replica keeps its machine from every gang and from being returned.
  MachineType type = simulation::test_catalog()[0];
  ClusterState model(simulation::test_settings("node-0"), simulation::test_names());
  model.catalog = {type};
  auto whole = [&](bool spot) {
    CandidateMachine b{MachineIndex{}, TypeIndex{0}, ZoneIndex{0}, spot, 0, type.capacity};
    return b;
  };
  auto partly_used = [&](bool long_running, bool spot = false) {
    CandidateMachine b = whole(spot);
    b.free_capacity -= Resources{2, 1, 8};
    b.long_running = long_running;
    return b;
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
      {"a replica goes to others", replica, {whole(false), partly_used(false), partly_used(true)}, 2},
      {"a replica takes a shared machine before a whole one", replica, {whole(false), partly_used(false)}, 1},
      {"a task takes a cheap machine", task, {partly_used(false), partly_used(true), whole(true)}, 2},
      {"a task fills a cheap machine first", task, {whole(true), partly_used(false, true)}, 1},
      {"a task takes a shared machine before replicas'", task, {partly_used(true), partly_used(false)}, 1},
      {"a task takes replicas' holes before a whole machine", task, {whole(false), partly_used(true)}, 1},
      {"a gang takes a whole one", gang, {partly_used(true), whole(false)}, 1},
  };
  for (const Case& test_case : cases) {
    auto bins = test_case.candidates;
    evaluate_for_job(test_case.spec, model, bins);
    auto chosen = choose_machines(test_case.spec, {0}, bins, {0, 0});
    ASSERT_EQ(chosen.size(), 1U) << test_case.description;
    EXPECT_EQ(chosen[0].candidate, test_case.chosen_candidate) << test_case.description;
  }
}

TEST(MachineSharing, ShortTasksLeaveWholeMachinesToGangsWhileSpotCapacityArrives) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  JobSpec gang_spec = test_job("run-1", 2, 4);  // needs two machines; one is there
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
  bool cheap = false;
  for (const ScaleOutRequest& r : cluster.controller(0).scale_outs) cheap = cheap || r.spot;
  EXPECT_TRUE(cheap);
  // The cloud has no capacity: using a whole machine is better than not starting at all.
  for (const ScaleOutRequest& r : std::vector<ScaleOutRequest>(cluster.controller(0).scale_outs)) {
    cluster.controller(0).autoscaler.on_scale_out_result(r.request_id, true, {}, cluster.now);
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
  JobSpec g = test_job("run-2", 6, 4);
  g.shape = JobShape::gang;
  g.partition = PartitionIndex{2};
  cluster.submit(g);
  EXPECT_TRUE(cluster.controller(0).scale_outs.empty());  // tasks being placed need no machines
  cluster.run(cluster.controller(0).cluster_state.settings.operator_settings.scale_out_delay_s + 3);
  std::size_t for_gang = 0, ahead = 0;
  for (const ScaleOutRequest& r : cluster.controller(0).scale_outs) {
    for (PartitionIndex p : r.partitions) ++(p == idle_pool ? ahead : for_gang);
  }
  EXPECT_EQ(for_gang, 6U);
  // Six in 30 s and 20 s to boot: four; at most a tenth of the forty: four.
  EXPECT_EQ(ahead, 4U);
}

TEST(CompletionRecords, BusyOwnerBatchesCompletionsAndFreesTheirCapacity) {
  // A done mark for each ended task once took most of the state service's changes.
  SimulatedCluster cluster;
  Settings& s = cluster.controller(0).cluster_state.settings;
  s.state_write_rps = 0;  // the owner always counts as busy
  s.operator_settings.done_mark_delay_s = 20;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 4));
  cluster.run(3);
  cluster.worker("m1").finish("run-1/0", EndCause::done);
  cluster.worker("m1").finish("run-1/1", EndCause::done);
  cluster.run(2);
  auto mark = [&] { return cluster.store.keys().at("o/c/run-1/0").value.at("d").get<std::string>(); };
  EXPECT_EQ(mark(), "0");
  cluster.submit(test_job("run-2", 2));  // the machine fits four tasks
  cluster.run(3);
  EXPECT_TRUE(cluster.worker("m1").has("run-2/0"));
  EXPECT_TRUE(cluster.worker("m1").has("run-2/1"));
  cluster.run(20);
  EXPECT_EQ(mark(), "3");  // both in one change
  // The end of the job is written without delay.
  cluster.worker("m1").finish("run-1/2", EndCause::done);
  cluster.run(2);
  EXPECT_EQ(mark(), "3");
  cluster.worker("m1").finish("run-1/3", EndCause::done);
  cluster.run(2);
  EXPECT_EQ(cluster.phase("run-1"), "done");
}

TEST(CompletionRecords, CompletionsLostWithTheirOwnerAreReportedAgain) {
  SimulatedCluster cluster;
  cluster.controller(0).cluster_state.settings.state_write_rps = 0;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 2));
  cluster.run(3);
  cluster.worker("m1").finish("run-1/0", EndCause::done);
  cluster.run(2);
  cluster.kill_controller(0);
  cluster.now += 4;
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.run(3, 1);
  cluster.worker("m1").finish("run-1/1", EndCause::done);
  cluster.run(3, 1);
  EXPECT_EQ(cluster.phase("run-1"), "done");
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 1);
}

TEST(CompletionRecords, PlacementOnADeletedMachineIsDroppedAtFailover) {
  // All controllers end between the deletion of the machine's record and that of its placements.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 1));
  cluster.run(3);
  ASSERT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  cluster.kill_controller(0);
  cluster.store.txn({{"guards", simulation::Json::array()}, {"apply", {{{"delete", "o/m/m1"}}}}});
  simulation::SimulatedController started("node-9", cluster.store, simulation::test_settings("node-9"));
  started.load_state(cluster.now);
  ASSERT_TRUE(started.acquire_partition(PartitionIndex{1}, cluster.now));
  started.run_cycle(cluster.now);
  EXPECT_TRUE(cluster.machines_of_task("run-1", 0).empty());
}

TEST(CompletionRecords, MachineWithAPlacementInFlightIsNotMoved) {
  // It was once released as idle while the transaction was in flight: the job's owner received no more
  // reports of its task, since the agent reported to the machine's new owner.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.controller(0).write_outcome = simulation::WriteOutcome::not_arrived;
  cluster.submit(test_job("run-1", 1));
  cluster.run(8 * cluster.controller(0).cluster_state.settings.operator_settings.release_to_pool_s);
  ASSERT_FALSE(cluster.controller(0).lost_writes.empty());
  for (const auto& body : cluster.controller(0).lost_writes) {
    for (const auto& op : body.at("apply")) EXPECT_NE(op.value("put", ""), "o/m/m1");
  }
}

}  // namespace
}  // namespace oxbowmill
