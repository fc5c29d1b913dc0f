// Tests of the slow-task detector (after Apache Flink's FLIP-168) and of the restarts that the scheduler
// derives from it.
#include "oxbowmill/scheduling/slow_task_detector.h"

#include <gtest/gtest.h>

#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

using simulation::SimulatedCluster;
using simulation::test_job;

TEST(SlowTaskDetector, BaselineIsMedianOfEarliestFinishesTimesMultiplier) {
  OperatorSettings operator_settings;
  operator_settings.finished_ratio = 0.75;
  operator_settings.slow_multiplier = 1.5;
  operator_settings.baseline_floor_s = 20;
  struct Case {
    const char* description;
    std::uint32_t tasks;
    std::vector<double> finished_durations_s;
    double expected;
  };
  const Case cases[] = {
      {"no baseline for a single task that has not finished", 1, {}, -1},
      {"a single finished task is enough for one task", 1, {40}, 60},
      {"no baseline with 2 of 4 tasks finished", 4, {40, 40}, -1},
      {"baseline with 3 of 4 tasks finished", 4, {40, 50, 60}, 75},
      {"the median of an even number is the mean of the middle two", 5, {40, 50, 60, 70}, 82.5},
      {"the baseline is not below the floor", 4, {1, 2, 3}, 20},
      {"only the earliest finishes count", 4, {40, 50, 60, 1000}, 75},
      {"the earliest finishes are not the shortest run times", 4, {90, 10, 30, 1}, 45},
      {"75 of 100 finishes are enough, despite rounding of 100 x 0.75", 100, std::vector<double>(75, 100),
       150},
      {"74 of 100 finishes are too few", 100, std::vector<double>(74, 100), -1},
  };
  for (const Case& c : cases) {
    EXPECT_DOUBLE_EQ(slow_baseline(c.finished_durations_s, c.tasks, operator_settings), c.expected)
        << c.description;
  }
}

TEST(SlowTaskDetector, TaskIsSlowAtOrAboveBaseline) {
  EXPECT_FALSE(is_slow(59.9, 60));
  EXPECT_TRUE(is_slow(60, 60));
  EXPECT_TRUE(is_slow(60.1, 60));
  EXPECT_FALSE(is_slow(1e6, -1));
}

TEST(SlowTaskDetector, SlowTasksOfOneJobDoNotBlockTheMachine) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.add_machine("m2");
  cluster.run(2);
  cluster.submit(test_job("run-1", 4));
  cluster.run(3);
  for (const char* task : {"run-1/0", "run-1/1", "run-1/2"}) {
    for (const char* machine : {"m1", "m2"}) {
      if (cluster.agent(machine).has(task)) cluster.agent(machine).finish(task, EndCause::done);
    }
  }
  cluster.run(40);
  EXPECT_EQ(cluster.run_log.starts["run-1/3"], 1);
}

TEST(SlowTaskDetector, SlowTasksOfTwoJobsBlockTheMachineAndRestartElsewhereOnce) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  JobSpec first_job = test_job("run-1", 4, 0.5), second_job = test_job("run-2", 4, 0.5);
  cluster.submit(first_job);
  cluster.submit(second_job);
  cluster.run(3);
  for (const char* job_prefix : {"run-1/", "run-2/"}) {
    for (int task = 0; task < 3; ++task)
      cluster.agent("m1").finish(job_prefix + std::to_string(task), EndCause::done);
  }
  cluster.run(2);
  cluster.add_machine("m2", "b");
  JobSpec zone_b_job = test_job("run-0", 1);  // keeps m2 from being returned to the idle pool
  zone_b_job.zone = ZoneIndex{1};
  cluster.submit(zone_b_job);
  cluster.run(14);  // still below the floor of 20 s
  EXPECT_TRUE(cluster.agent("m1").has("run-1/3"));
  cluster.run(6);
  EXPECT_FALSE(cluster.agent("m1").has("run-1/3"));
  EXPECT_FALSE(cluster.agent("m1").has("run-2/3"));
  EXPECT_TRUE(cluster.agent("m2").has("run-1/3"));
  EXPECT_TRUE(cluster.agent("m2").has("run-2/3"));
  // m1 is blocked: new tasks are placed elsewhere although it is empty.
  cluster.submit(test_job("run-3", 1));
  cluster.run(2);
  EXPECT_TRUE(cluster.agent("m2").has("run-3/0"));
  // Each task is restarted only once, also under the next owner.
  cluster.kill_controller(0);
  cluster.controller(1).acquire_all_partitions(cluster.now);
  cluster.run(60, 1);
  EXPECT_EQ(cluster.run_log.starts["run-1/3"], 2);
  EXPECT_EQ(cluster.run_log.starts["run-2/3"], 2);
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(SlowTaskDetector, SlowTasksContinueWithoutCapacityElsewhere) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.submit(test_job("run-1", 4, 0.5));
  cluster.submit(test_job("run-2", 4, 0.5));
  cluster.run(3);
  for (const char* job_prefix : {"run-1/", "run-2/"}) {
    for (int task = 0; task < 3; ++task)
      cluster.agent("m1").finish(job_prefix + std::to_string(task), EndCause::done);
  }
  cluster.run(40);
  EXPECT_TRUE(cluster.agent("m1").has("run-1/3"));
  EXPECT_EQ(cluster.run_log.starts["run-1/3"], 1);
}

TEST(SlowTaskDetector, TaskFinishingBeforeItsRestartIsDone) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1));
  cluster.run(2);
  MachineIndex machine_index = cluster.controller(0).cluster_state.names.machines.find("m1");
  JobIndex job_index = cluster.controller(0).cluster_state.find_job("run-1");
  Placement& placement = *cluster.controller(0).cluster_state.edit_placement({job_index, 0});
  placement.restart_requested = true;
  cluster.controller(0).cluster_state.dirty_jobs.insert(job_index);
  cluster.controller(0).run_cycle(cluster.now);
  cluster.controller(0).run_cycle(cluster.now);
  ASSERT_EQ(cluster.controller(0).cluster_state.find_placement({job_index, 0})->state,
            PlacementState::stopping);
  cluster.agent("m1").finish("run-1/0", EndCause::done);
  cluster.run(2);
  EXPECT_EQ(cluster.phase("run-1"), "done");
  EXPECT_TRUE(cluster.controller(0).cluster_state.machine(machine_index).placed_tasks.empty());
}

}  // namespace
}  // namespace oxbowmill
