// Tests of machine selection, of gang scheduling, and of the autoscaler's moves and requests of machines.
#include <gtest/gtest.h>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

using simulation::SimulatedCluster;
using simulation::test_job;

CandidateMachine make_candidate(std::uint32_t zone, double gpus, bool image = false, bool spot = false) {
  return {MachineIndex{}, TypeIndex{0}, ZoneIndex{zone}, spot, 0, {32, gpus, 128}, 0, image ? 0.0 : 10.0};
}

TEST(Placement, RespectsJobConstraints) {
  struct Case {
    const char* description;
    JobShape shape;
    std::uint32_t tasks;
    double gpus;
    bool single_zone, spread_zones, spot;
    std::vector<CandidateMachine> candidates;
    std::size_t expected_count;
  };
  const Case cases[] = {
      {"an array places the tasks that fit",
       JobShape::array,
       6,
       1,
       false,
       false,
       false,
       {make_candidate(0, 4), make_candidate(1, 1)},
       5},
      {"a gang that fits places all members",
       JobShape::gang,
       5,
       1,
       false,
       false,
       false,
       {make_candidate(0, 4), make_candidate(1, 1)},
       5},
      {"a gang that does not fit places no member",
       JobShape::gang,
       6,
       1,
       false,
       false,
       false,
       {make_candidate(0, 4), make_candidate(1, 1)},
       0},
      {"a single-zone gang does not use two zones",
       JobShape::gang,
       2,
       4,
       true,
       false,
       false,
       {make_candidate(0, 4), make_candidate(1, 4)},
       0},
      {"a single-zone gang uses the zone that fits all members",
       JobShape::gang,
       2,
       4,
       true,
       false,
       false,
       {make_candidate(0, 4), make_candidate(1, 4), make_candidate(1, 4)},
       2},
      {"a spread job places half of its tasks per zone, rounded up",
       JobShape::array,
       5,
       1,
       false,
       true,
       false,
       {make_candidate(0, 4), make_candidate(0, 4)},
       3},
      {"a spread job of one task needs one zone only",
       JobShape::array,
       1,
       1,
       false,
       true,
       false,
       {make_candidate(0, 4)},
       1},
      {"a job that does not accept spot machines gets none",
       JobShape::array,
       1,
       1,
       false,
       false,
       false,
       {make_candidate(0, 4, false, true)},
       0},
      {"a job that accepts spot machines gets one",
       JobShape::array,
       1,
       1,
       false,
       false,
       true,
       {make_candidate(0, 4, false, true)},
       1},
      {"a task larger than the free capacity is not placed",
       JobShape::array,
       1,
       5,
       false,
       false,
       false,
       {make_candidate(0, 4)},
       0},
  };
  for (const Case& test_case : cases) {
    JobSpec job_spec = test_job("run-1", test_case.tasks, test_case.gpus);
    job_spec.shape = test_case.shape;
    job_spec.single_zone = test_case.single_zone;
    job_spec.spread_zones = test_case.spread_zones;
    job_spec.spot = test_case.spot;
    std::vector<TaskNumber> tasks;
    for (TaskNumber task = 0; task < test_case.tasks; ++task) tasks.push_back(task);
    auto candidates = test_case.candidates;
    EXPECT_EQ(choose_machines(job_spec, tasks, candidates, {0, 0}).size(), test_case.expected_count)
        << test_case.description;
  }
}

TEST(Placement, EarlierAttemptsFixTheZone) {
  JobSpec job_spec = test_job("run-1", 3);
  job_spec.single_zone = true;
  std::vector<CandidateMachine> candidates = {make_candidate(0, 4), make_candidate(1, 1)};
  auto chosen = choose_machines(job_spec, {1, 2}, candidates, {0, 1});
  ASSERT_EQ(chosen.size(), 1U);
  EXPECT_EQ(candidates[chosen[0].candidate].zone.value, 1U);
  EXPECT_TRUE(choose_machines(job_spec, {2}, candidates, {1, 1}).empty());
}

TEST(Placement, PrefersCachedImageThenFullestMachine) {
  JobSpec job_spec = test_job("run-1", 1);
  std::vector<CandidateMachine> candidates = {make_candidate(0, 4), make_candidate(0, 2),
                                              make_candidate(0, 3, true)};
  EXPECT_EQ(choose_machines(job_spec, {0}, candidates, {0, 0})[0].candidate, 2U);
  candidates = {make_candidate(0, 4), make_candidate(0, 2)};
  EXPECT_EQ(choose_machines(job_spec, {0}, candidates, {0, 0})[0].candidate, 1U);
}

TEST(DeadlineOrder, GivesUpTheFewestJobs) {
  struct Case {
    const char* description;
    std::vector<DueJob> jobs;
    double machines_per_s;
    std::vector<bool> given_up;
  };
  const Case cases[] = {
      {"every job can start in time", {{10, 5}, {20, 5}}, 1, {false, false}},
      {"the largest job is given up, although it is due first",
       {{10, 8}, {12, 4}, {14, 4}},
       1,
       {true, false, false}},
      {"a job that is already late is given up", {{-1, 1}, {5, 5}}, 1, {true, false}},
      {"jobs that are already late do not delay others",
       {{-1, 100}, {-2, 50}, {5, 5}},
       1,
       {true, true, false}},
      {"no capacity becomes free", {{10, 1}, {20, 1}}, 0, {true, true}},
      {"a job that starts exactly when it is due is in time", {{5, 5}}, 1, {false}},
      {"no jobs", {}, 1, {}},
  };
  for (const Case& c : cases)
    EXPECT_EQ(select_late_jobs(c.jobs, c.machines_per_s), c.given_up) << c.description;
}

TEST(Placement, CountsTasksThatFit) {
  EXPECT_EQ(how_many_fit({6, 1, 36}, {32, 4, 192}), 4);
  EXPECT_EQ(how_many_fit({0.1, 0, 0}, {0.3, 0, 0}), 3);  // sums of decimal fractions are not exact in binary
  EXPECT_EQ(how_many_fit({1, 0, 0}, {0, 4, 4}), 0);
}

JobSpec gang_job(const std::string& ref, std::uint32_t tasks) {
  JobSpec spec = test_job(ref, tasks, 4);
  spec.shape = JobShape::gang;
  return spec;
}

TEST(GangScheduling, StartsAllMembersWithOneAttemptAndFinishesTogether) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(gang_job("run-1", 2));
  cluster.run(4);
  EXPECT_EQ(cluster.run_log.starts["run-1/0"] + cluster.run_log.starts["run-1/1"], 0);
  cluster.add_machine("m2");
  cluster.run(4);
  std::string first = cluster.agent("m1").has("run-1/0") ? "run-1/0" : "run-1/1";
  std::string second = first == "run-1/0" ? "run-1/1" : "run-1/0";
  ASSERT_TRUE(cluster.agent("m1").has(first));
  ASSERT_TRUE(cluster.agent("m2").has(second));
  EXPECT_EQ(cluster.agent("m1").attempt(first), cluster.agent("m2").attempt(second));
  // The members complete together when one reports done, even while the other's machine is silent.
  cluster.silenced_agents.insert("m2");
  cluster.agent("m1").finish(first, EndCause::done);
  cluster.run(2);
  EXPECT_EQ(cluster.phase("run-1"), "done");
}

TEST(GangScheduling, TimedOutMemberIsReplacedUnderTheSameAttempt) {
  // One member has its image and waits; the other fetches for longer than the gang's wait timeout. Stopping
  // both when the first gives up would abort the fetch, in this attempt and in every later one.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.add_machine("m2");
  cluster.submit(gang_job("run-1", 2));
  cluster.run(3);
  std::string task_on_m1 = cluster.agent("m1").has("run-1/0") ? "run-1/0" : "run-1/1";
  std::string task_on_m2 = task_on_m1 == "run-1/0" ? "run-1/1" : "run-1/0";
  cluster.agent("m1").set_phase(task_on_m1, TaskPhase::gathering);
  cluster.agent("m2").set_phase(task_on_m2, TaskPhase::fetching);
  cluster.run(1);
  Attempt attempt = cluster.agent("m2").attempt(task_on_m2);
  cluster.agent("m1").finish(task_on_m1, EndCause::gang_incomplete);
  cluster.run(3);
  EXPECT_EQ(cluster.run_log.starts[task_on_m2], 1);  // still fetching
  ASSERT_TRUE(cluster.agent("m1").has(task_on_m1));
  EXPECT_EQ(cluster.run_log.starts[task_on_m1], 2);
  EXPECT_EQ(cluster.agent("m1").attempt(task_on_m1), attempt);
  cluster.run(5);
  cluster.agent("m1").finish(task_on_m1, EndCause::done);
  cluster.run(2);
  EXPECT_EQ(cluster.phase("run-1"), "done");
}

TEST(GangScheduling, MembersPrefetchImagesWhileRemainingMachinesArrive) {
  // Guards against gangs that wait for all machines at once: smaller jobs then take each machine as it comes
  // up.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.add_machine("m2");
  cluster.silenced_agents.insert("m2");  // still booting
  cluster.submit(gang_job("run-1", 2));
  cluster.run(1);
  std::string first = cluster.agent("m1").has("run-1/0") ? "run-1/0" : "run-1/1";
  ASSERT_TRUE(cluster.agent("m1").has(first));
  cluster.agent("m1").set_phase(first, TaskPhase::gathering);
  cluster.submit(gang_job("run-2", 1));
  cluster.run(2);
  EXPECT_EQ(cluster.run_log.starts["run-2/0"], 0);
  cluster.silenced_agents.clear();
  cluster.run(2);
  std::string second = first == "run-1/0" ? "run-1/1" : "run-1/0";
  ASSERT_TRUE(cluster.agent("m2").has(second));
  EXPECT_EQ(cluster.agent("m1").attempt(first), cluster.agent("m2").attempt(second));
  EXPECT_EQ(cluster.run_log.starts[first], 1);
}

TEST(GangScheduling, IncompleteGangReleasesItsMachines) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.add_machine("m2");
  cluster.silenced_agents.insert("m2");  // never comes up
  cluster.submit(gang_job("run-1", 2));
  cluster.run(1);
  std::string first = cluster.agent("m1").has("run-1/0") ? "run-1/0" : "run-1/1";
  ASSERT_TRUE(cluster.agent("m1").has(first));
  cluster.agent("m1").set_phase(first, TaskPhase::gathering);
  cluster.submit(gang_job("run-2", 1));
  cluster.run(2 * cluster.controller(0).cluster_state.catalog[0].boot_s +
              cluster.controller(0).cluster_state.settings.gang_wait_timeout_s + 5);
  EXPECT_FALSE(cluster.agent("m1").has(first));
  EXPECT_TRUE(cluster.agent("m1").has("run-2/0"));
}

TEST(GangScheduling, CapacityFreedForAGangIsNotTakenByLowerPriority) {
  // Guards against a fault in which arrays took each machine emptied for a gang before the next one was
  // empty.
  SimulatedCluster cluster;
  for (const char* machine : {"m1", "m2", "m3"}) cluster.add_machine(machine, "a", "blue");
  JobSpec low = test_job("run-1", 40);
  low.partition = PartitionIndex{2};
  low.priority = Priority::low;
  cluster.submit(low);
  cluster.run(3);
  std::map<std::string, int> before = cluster.run_log.starts;
  JobSpec high = gang_job("run-2", 3);
  high.partition = PartitionIndex{2};
  high.priority = Priority::high;
  cluster.submit(high);
  cluster.run(6);
  for (const char* task : {"run-2/0", "run-2/1", "run-2/2"})
    EXPECT_EQ(cluster.run_log.starts[task], 1) << task;
  int restarted = 0;
  for (const auto& [task, count] : cluster.run_log.starts) {
    if (task.compare(0, 6, "run-1/") == 0) restarted += count - before[task];
  }
  EXPECT_EQ(restarted, 0);
}

TEST(GangScheduling, PreemptsLowerPriorityOnCachedImageMachineWhenFetchIsLong) {
  // Guards against a fault in which the partition's owner used its free machine at once, although the fetch
  // there takes longer than the preempted tasks need to save on a machine that has the image.
  SimulatedCluster cluster;
  cluster.controller(0).cluster_state.catalog[0].fetch_gb_per_s = 0.5;
  cluster.controller(0).cluster_state.catalog[0].cache_gb = 100;
  cluster.add_machine("m1");
  cluster.add_machine("m2", "a", "blue");
  JobSpec low_priority_job = test_job("run-1", 4);
  low_priority_job.partition = PartitionIndex{2};
  low_priority_job.priority = Priority::low;
  low_priority_job.image_gb = 8;
  cluster.submit(low_priority_job);
  cluster.run(4);
  ASSERT_TRUE(cluster.agent("m2").has("run-1/0"));
  JobSpec high = gang_job("run-2", 1);
  high.priority = Priority::high;
  high.image_gb = 8;  // the same image
  cluster.submit(high);
  cluster.run(8);
  EXPECT_TRUE(cluster.agent("m2").has("run-2/0"));
  EXPECT_EQ(cluster.run_log.starts["run-2/0"], 1);
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(GangScheduling, MachineOfATimedOutMemberIsReservedForIt) {
  // The member's image is cached on that machine. Guards against a fault in which another gang took the
  // machine after the member's end and before the record of that end.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.add_machine("m2");
  for (const char* machine : {"m1", "m2"}) cluster.agent(machine).first_phase = TaskPhase::gathering;
  cluster.submit(gang_job("run-1", 2));
  cluster.run(3);
  std::string task = cluster.agent("m1").has("run-1/0") ? "run-1/0" : "run-1/1";
  ASSERT_TRUE(cluster.agent("m1").has(task));
  JobSpec other = gang_job("run-0", 1);
  other.priority = Priority::high;  // it comes first in the queue
  cluster.submit(other);
  cluster.controller(0).sync(cluster.now);
  cluster.agent("m1").finish(task, EndCause::gang_incomplete);
  cluster.now += 0.5;
  cluster.exchange_report("m1", 0);
  // The record of the end is written, but the controller does not get the answer.
  cluster.controller(0).write_outcome = simulation::WriteOutcome::answer_lost;
  cluster.controller(0).run_cycle(cluster.now);
  EXPECT_TRUE(cluster.machines_of_task("run-0", 0).empty());
}

TEST(GangScheduling, MemberLossStopsTheOthersAndWaitsForAll) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.add_machine("m2");
  cluster.submit(gang_job("run-1", 2));
  cluster.run(4);
  std::string task_on_m1 = cluster.agent("m1").has("run-1/0") ? "run-1/0" : "run-1/1";
  ASSERT_TRUE(cluster.agent("m1").has(task_on_m1));
  Attempt before = cluster.agent("m1").attempt(task_on_m1);
  cluster.silenced_agents.insert("m2");
  cluster.agent("m1").finish(task_on_m1, EndCause::peers_lost);
  cluster.add_machine("m3");
  cluster.run(6);
  // The member on m2 may still be running, so nothing is started until its agent's lease has expired.
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 1);
  EXPECT_EQ(cluster.run_log.starts["run-1/1"], 1);
  cluster.run(12);
  ASSERT_EQ(cluster.run_log.starts["run-1/0"], 2);
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
  for (const char* machine : {"m1", "m3"}) {
    for (const char* task : {"run-1/0", "run-1/1"}) {
      if (cluster.agent(machine).has(task)) {
        EXPECT_NE(cluster.agent(machine).attempt(task), before);
      }
    }
  }
}

TEST(GangScheduling, GangLargerThanATransactionIsPlacedInBatches) {
  SimulatedCluster cluster;
  for (int i = 0; i < 70; ++i) cluster.add_machine("m" + std::to_string(i), "a", "blue");
  JobSpec spec = gang_job("run-1", 70);  // more machines than one transaction can guard, in two chunk records
  spec.partition = PartitionIndex{2};
  cluster.submit(spec);
  cluster.run(6);
  std::set<Attempt> attempts;
  for (int i = 0; i < 70; ++i) {
    for (const TaskReport& task : cluster.agent("m" + std::to_string(i)).report(cluster.now).tasks)
      attempts.insert(task.attempt);
  }
  EXPECT_EQ(cluster.run_log.starts.size(), 70U);
  EXPECT_EQ(attempts.size(), 1U);
}

TEST(JobArrays, HundredThousandTasksStayWithinStateServiceLimits) {
  SimulatedCluster cluster;
  for (int i = 0; i < 40; ++i)
    cluster.add_machine("machine-with-a-long-name-" + std::to_string(1000000 + i), "a", "blue");
  JobSpec job_spec = test_job("run-with-a-long-name-0001", 100000, 0.05);
  job_spec.partition = PartitionIndex{2};
  job_spec.task_resources = {0.1, 0.01, 0.1};
  cluster.submit(job_spec);
  cluster.run(8);
  int running = 0;
  for (const auto& [task, count] : cluster.run_log.starts) running += count;
  EXPECT_GT(running, 2000);
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
  EXPECT_EQ(cluster.controller(0)
                .cluster_state.job(cluster.controller(0).cluster_state.find_job(job_spec.ref))
                .pending_count(),
            100000U - cluster.controller(0)
                          .cluster_state.job(cluster.controller(0).cluster_state.find_job(job_spec.ref))
                          .placements.size());
}

TEST(GangScheduling, SpotPreemptionNoticeStopsAllMembersWithTimeToCheckpoint) {
  SimulatedCluster cluster;
  JobSpec job_spec = gang_job("run-1", 2);
  job_spec.spot = true;
  cluster.add_machine("m1", "a", "red", true);
  cluster.add_machine("m2");
  cluster.submit(job_spec);
  cluster.run(4);
  ASSERT_EQ(cluster.run_log.starts["run-1/0"], 1);
  cluster.agent("m1").preemption_notice_s = 10;
  cluster.exchange_report("m1", 0);
  cluster.controller(0).direct_commands.clear();
  cluster.now += 0.5;
  cluster.controller(0).run_cycle(cluster.now);
  cluster.now += 0.5;
  cluster.controller(0).run_cycle(cluster.now);
  std::set<std::string> notified_machines;
  for (const DirectCommands& direct_commands : cluster.controller(0).direct_commands) {
    notified_machines.insert(
        cluster.controller(0).cluster_state.names.machines.name(direct_commands.machine));
    for (const AgentCommand& command : direct_commands.commands) {
      EXPECT_EQ(command.kind, CommandKind::kill);
      EXPECT_GE(command.termination_timeout_s, job_spec.flush_s);
    }
  }
  EXPECT_EQ(notified_machines, (std::set<std::string>{"m1", "m2"}));
}

TEST(Services, ReplicasAreReplacedUntilCancelled) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  JobSpec spec = test_job("run-1", 2);
  spec.shape = JobShape::service;
  spec.estimate_s = 0;
  cluster.submit(spec);
  cluster.run(3);
  cluster.agent("m1").finish("run-1/0", EndCause::error);
  cluster.run(5);
  EXPECT_TRUE(cluster.agent("m1").has("run-1/0"));
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 2);
  cluster.withdraw("run-1");
  cluster.run(3);
  EXPECT_EQ(cluster.phase("run-1"), "cancelled");
  EXPECT_FALSE(cluster.agent("m1").has("run-1/1"));
}

TEST(Autoscaler, LeaderMovesIdleMachinesAndScalesOutForTheRest) {
  SimulatedCluster cluster;
  cluster.add_machine("m1", "a", ".pool");
  cluster.run(2);
  cluster.submit(test_job("run-1", 8));
  cluster.run(4);
  EXPECT_EQ(cluster.store.keys().at("o/m/m1").value.at("part"), "red");
  EXPECT_TRUE(cluster.agent("m1").has("run-1/0"));
  // No machine has become free recently, so the autoscaler does not wait for one.
  ASSERT_EQ(cluster.controller(0).scale_outs.size(), 1U);  // for the other four tasks; requested once
  EXPECT_EQ(cluster.controller(0).scale_outs[0].count, 1U);
  // A request without a definite answer is repeated under the same identifier; a definite answer ends it.
  std::string name = cluster.controller(0).scale_outs[0].request_id;
  cluster.controller(0).autoscaler.on_scale_out_result(name, false, {}, cluster.now);
  cluster.run(5);
  ASSERT_EQ(cluster.controller(0).scale_outs.size(), 2U);
  EXPECT_EQ(cluster.controller(0).scale_outs[1].request_id, name);
  cluster.controller(0).autoscaler.on_scale_out_result(name, true, {"m9"}, cluster.now);
  cluster.run(2);
  EXPECT_EQ(cluster.store.keys().at("o/m/m9").value.at("part"), "red");
  EXPECT_EQ(cluster.controller(0).scale_outs.size(), 2U);
}

TEST(Autoscaler, LongRunningMachineIsNotMistakenForOneThatNeverBooted) {
  // Guards against a fault in which the owner of the idle pool returned a machine at once because it had not
  // yet received a report of it.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 1));
  OperatorSettings& operator_settings = cluster.controller(0).cluster_state.settings.operator_settings;
  operator_settings.release_to_pool_s = 5;
  cluster.run(operator_settings.boot_timeout_factor * 20 + 20);
  cluster.agent("m1").finish("run-1/0", EndCause::done);
  cluster.run(1.5);
  cluster.silenced_agents.insert("m1");  // the idle pool's owner gets no report of it for a while
  cluster.run(6.5);
  EXPECT_EQ(cluster.store.keys().at("o/m/m1").value.at("part"), ".pool");
  EXPECT_FALSE(cluster.store.keys().at("o/m/m1").value.at("del").get<bool>());
}

TEST(Autoscaler, LargeScaleOutWritesOneRecordPerMachineAndJob) {
  // Guards the number of writes, because the write limit of the state service is tightest at the start of a
  // day.
  constexpr int size = 300;
  SimulatedCluster cluster;
  for (int i = 0; i < size; ++i)
    cluster.add_unregistered_machine("m" + std::to_string(i), i % 2 == 0 ? "a" : "b");
  for (int i = 0; i < size; ++i) {
    JobSpec spec = gang_job("run-" + std::to_string(i), 1);
    spec.partition = PartitionIndex{2};
    cluster.submit(spec);
  }
  cluster.controller(0).sync(cluster.now);
  std::size_t before = cluster.store.events().size();
  cluster.run(25);
  std::map<std::string, int> written;
  for (std::size_t i = before; i < cluster.store.events().size(); ++i)
    ++written[cluster.store.events()[i].key.substr(0, 4)];
  EXPECT_EQ(cluster.run_log.starts.size(), static_cast<std::size_t>(size));
  EXPECT_EQ(written["o/m/"], size);
  EXPECT_EQ(written["o/c/"], size);
  EXPECT_EQ(cluster.controller(0).refused_writes, 0);
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(Autoscaler, UnreachableZoneIsNeitherScaledOutNorCounted) {
  SimulatedCluster cluster;
  for (int i = 0; i < 5; ++i) {
    cluster.add_machine("a" + std::to_string(i), "a", "blue");
    cluster.add_machine("b" + std::to_string(i), "b", "blue");
  }
  cluster.run(3);
  for (int i = 0; i < 5; ++i) cluster.silenced_agents.insert("a" + std::to_string(i));
  cluster.run(4);
  EXPECT_TRUE(cluster.controller(0).scheduler.is_unreachable(ZoneIndex{0}, cluster.now));
  EXPECT_FALSE(cluster.controller(0).scheduler.is_unreachable(ZoneIndex{1}, cluster.now));
  JobSpec spec = test_job("run-1", 40);  // more than fit in zone b
  spec.partition = PartitionIndex{2};
  cluster.submit(spec);
  cluster.run(6);
  ASSERT_FALSE(cluster.controller(0).scale_outs.empty());
  for (const ScaleOutRequest& request : cluster.controller(0).scale_outs) EXPECT_EQ(request.zone.value, 1U);
  EXPECT_EQ(cluster.run_log.starts.size(), 20U);
  cluster.silenced_agents.clear();
  cluster.run(2);
  EXPECT_FALSE(cluster.controller(0).scheduler.is_unreachable(ZoneIndex{0}, cluster.now));
  // A controller that receives no reports at all is disconnected itself, so no zone counts as unreachable.
  for (int i = 0; i < 5; ++i) {
    cluster.silenced_agents.insert("a" + std::to_string(i));
    cluster.silenced_agents.insert("b" + std::to_string(i));
  }
  cluster.run(4);
  EXPECT_TRUE(cluster.controller(0).scheduler.unreachable_zones(cluster.now).empty());
}

TEST(Autoscaler, UnregisteredMachineIsAdopted) {
  SimulatedCluster cluster;
  cluster.add_machine("m1", "a", ".pool");
  simulation::Agent unregistered_agent("host-9", "b", cluster.run_log);
  auto answer = cluster.controller(0).handle_report(unregistered_agent.report(cluster.now), cluster.now);
  EXPECT_EQ(answer.kind, ReportAnswer::Kind::ok);
  EXPECT_TRUE(answer.commands.empty());
  cluster.run(1);
  EXPECT_EQ(cluster.store.keys().at("o/m/host-9").value.at("part"), ".pool");
}

TEST(Autoscaler, NewMachineIsAssignedDirectlyToTheWaitingPartition) {
  // Guards against adopting the machine into the idle pool first, which costs a second change per machine and
  // a further round of reports of its agent.
  SimulatedCluster cluster;
  cluster.submit(test_job("run-1", 1));
  cluster.controller(0).sync(cluster.now);
  simulation::Agent unregistered_agent("host-9", "b", cluster.run_log);
  cluster.controller(0).handle_report(unregistered_agent.report(cluster.now), cluster.now);
  std::size_t before = cluster.store.events().size();
  cluster.run(0.5);
  EXPECT_EQ(cluster.store.keys().at("o/m/host-9").value.at("part"), "red");
  std::size_t records = 0;
  for (std::size_t i = before; i < cluster.store.events().size(); ++i)
    records += cluster.store.events()[i].key == "o/m/host-9" ? 1 : 0;
  EXPECT_EQ(records, 1U);
}

TEST(Net, TokenBucketEnforcesRateAndBurst) {
  TokenBucket bucket(10, 5);
  int taken = 0;
  for (int i = 0; i < 20; ++i) taken += bucket.take(1, 100) ? 1 : 0;
  EXPECT_EQ(taken, 5);
  EXPECT_NEAR(bucket.wait_for(2, 100), 0.2, 1e-9);
  EXPECT_TRUE(bucket.take(2, 100.2));
  EXPECT_FALSE(bucket.take(1, 100.2));
  EXPECT_FALSE(bucket.take(6, 100.3));
  EXPECT_TRUE(bucket.take(6, 101));  // larger than the burst: granted on credit from a full bucket
}

}  // namespace
}  // namespace oxbowmill
