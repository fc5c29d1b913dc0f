// Tests of saved progress (docs/checkpoints.md): its bounds, how tasks resume after a loss, slow-task
// detection across failovers, and compatibility with records of earlier versions.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "oxbowmill/checkpoint/saved_progress.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

using checkpoint::RunTimeBounds;
using checkpoint::SavedProgress;
using simulation::SimulatedCluster;
using simulation::test_job;

checkpoint::Settings checkpoint_settings() {
  checkpoint::Settings settings;
  settings.enabled = true;
  return settings;
}

TEST(Checkpoint, BoundsOnSavedProgressFollowFromRunTimeAndInterval) {
  struct Case {
    const char* description;
    SavedProgress before;
    RunTimeBounds running_time;
    double checkpoint_interval_s;
    bool saved_at_end;
    SavedProgress after;
  };
  const Case cases[] = {
      {"lost between two checkpoints", {}, {100, 105}, 30, false, {0, 90, 120}},
      {"never seen running, but it may have run", {}, {0, 35}, 30, false, {0, 0, 30}},
      {"saved when it was stopped", {}, {100, 105}, 30, true, {12.5, 100, 131.25}},
      {"progress saved between two multiples is kept", {45, 45, 45}, {4, 5}, 30, false, {45, 45, 45}},
      {"resumed, then lost", {60, 60, 60}, {80, 80}, 30, false, {60, 120, 150}},
      {"job that never saves", {30, 30, 30}, {100, 100}, 0, true, {0, 0, 0}},
  };
  for (const Case& test_case : cases) {
    SavedProgress actual =
        test_case.saved_at_end
            ? checkpoint::progress_after_saved_stop(test_case.before, test_case.running_time,
                                                    test_case.checkpoint_interval_s, checkpoint_settings())
            : checkpoint::progress_after_unsaved_end(test_case.before, test_case.running_time,
                                                     test_case.checkpoint_interval_s, checkpoint_settings());
    EXPECT_DOUBLE_EQ(actual.low, test_case.after.low) << test_case.description;
    EXPECT_DOUBLE_EQ(actual.likely, test_case.after.likely) << test_case.description;
    EXPECT_DOUBLE_EQ(actual.high, test_case.after.high) << test_case.description;
  }
}

/// A task runs on machines of varying speed, is lost or stopped repeatedly, and is reported at intervals. The
/// true progress must lie between the bounds, and the lower bound must never decrease.
RC_GTEST_PROP(CheckpointProperties, TrueProgressLiesBetweenTheBounds, ()) {
  double interval_s = *rc::gen::element(10.0, 30.0, 45.0), true_progress = 0;
  SavedProgress saved;
  int attempts = *rc::gen::inRange(1, 8);
  for (int i = 0; i < attempts; ++i) {
    double report_s = *rc::gen::element(1.0, 4.0, 5.0);
    double speed = *rc::gen::element(0.13, 0.17, 0.9, 1.0, 1.1);
    double wait_s = *rc::gen::inRange(0, 200) / 10.0, elapsed_s = *rc::gen::inRange(0, 3000) / 10.0;
    bool saved_at_end = *rc::gen::inRange(0, 3) == 0;
    // Reports show the task running for at most as long as it ran. The start command was sent before that,
    // and its end becomes known later.
    double first_report_s = *rc::gen::inRange(0, 10) / 10.0 * report_s,
           last_report_s = elapsed_s - *rc::gen::inRange(0, 10) / 10.0 * report_s;
    RunTimeBounds seen{std::max(0.0, last_report_s - first_report_s), wait_s + elapsed_s + report_s};
    double reached = true_progress + elapsed_s * speed;
    true_progress =
        saved_at_end ? reached : std::max(true_progress, std::floor(reached / interval_s) * interval_s);
    SavedProgress next =
        saved_at_end ? checkpoint::progress_after_saved_stop(saved, seen, interval_s, checkpoint_settings())
                     : checkpoint::progress_after_unsaved_end(saved, seen, interval_s, checkpoint_settings());
    RC_ASSERT(next.low >= saved.low);
    saved = checkpoint::merge(saved, next);
    RC_ASSERT(saved.low <= true_progress + 1e-9);
    RC_ASSERT(saved.high >= true_progress - 1e-9);
    RC_ASSERT(saved.low <= saved.likely && saved.likely <= saved.high);
  }
}

struct CheckpointFixture {
  explicit CheckpointFixture(std::uint32_t tasks, JobShape shape = JobShape::array, double gpus = 4)
      : cluster(3) {
    for (std::size_t i = 0; i < 3; ++i) {
      ClusterState& cluster_state = cluster.controller(i).cluster_state;
      cluster_state.settings.teams[1].limit = {};
      cluster_state.settings.progress = checkpoint_settings();
      cluster_state.wall_clock_offset_s = 1e-6;  // not 0, which would mean unknown
      cluster_state.settings.operator_settings.release_to_pool_s = 1e6;
    }
    for (std::uint32_t i = 0; i < tasks + 1; ++i)
      cluster.add_machine("m" + std::to_string(i), i % 2 == 0 ? "a" : "b");
    JobSpec job_spec = test_job("run-1", tasks, gpus);
    job_spec.shape = shape;
    job_spec.estimate_s = 100;
    job_spec.checkpoint_interval_s = 30;
    cluster.run(2);
    cluster.submit(job_spec);
    cluster.run(2);
  }
  Job& job(std::size_t controller = 0) {
    return cluster.controller(controller)
        .cluster_state.job(cluster.controller(controller).cluster_state.find_job("run-1"));
  }
  std::string machine_of(TaskNumber task) const { return cluster.machines_of_task("run-1", task).at(0); }
  void change_owner(std::size_t to) {
    for (std::size_t i = 0; i < 3; ++i) {
      if (i != to) cluster.kill_controller(i);
    }
    cluster.now += 4;
    cluster.controller(to).sync(cluster.now);
    cluster.controller(to).lease.on_lost();
    cluster.controller(to).acquire_all_partitions(cluster.now);
  }
  SimulatedCluster cluster;
};

TEST(Checkpoint, TaskOfALostMachineResumesFromItsCheckpointAcrossFailover) {
  CheckpointFixture fixture(2);
  fixture.cluster.run(75);
  std::string lost = fixture.machine_of(0);
  fixture.cluster.agent(lost).power_off();
  fixture.cluster.silenced_agents.insert(lost);
  fixture.cluster.run(16);  // until the lease of the machine's agent has expired
  ASSERT_EQ(fixture.cluster.machines_of_task("run-1", 0).size(), 1U);
  ASSERT_NE(fixture.machine_of(0), lost);
  SavedProgress saved = fixture.job().checkpoint_of(0);
  EXPECT_DOUBLE_EQ(saved.likely, 60);
  EXPECT_EQ(saved.low, 0);
  fixture.change_owner(1);
  EXPECT_DOUBLE_EQ(fixture.job(1).checkpoint_of(0).likely, 60);
  EXPECT_FALSE(fixture.job(1).checkpoint_of(1).may_be_nonzero());
}

TEST(Checkpoint, NewOwnerKnowsWhichTasksHaveStarted) {
  // Otherwise every old job looks as if it had never started, and a job that really has not started waits
  // behind all of them.
  CheckpointFixture fixture(2);
  fixture.cluster.run(75);
  fixture.change_owner(1);
  fixture.cluster.run(0.5, 1);
  EXPECT_TRUE(fixture.job(1).has_started(0) && fixture.job(1).has_started(1));
  std::string lost = fixture.machine_of(0);
  fixture.cluster.agent(lost).power_off();
  fixture.cluster.silenced_agents.insert(lost);
  fixture.cluster.run(20, 1);
  EXPECT_FALSE(awaits_first_start(fixture.job(1)));
}

TEST(Checkpoint, GangSharesOneCheckpointWhicheverMemberReportsIt) {
  CheckpointFixture fixture(3, JobShape::gang);
  fixture.cluster.run(75);
  // Two members report that they lost their peers. The first that leaves decides the gang's progress.
  fixture.cluster.agent(fixture.machine_of(0)).finish("run-1/0", EndCause::peers_lost);
  fixture.cluster.agent(fixture.machine_of(1)).finish("run-1/1", EndCause::peers_lost);
  fixture.cluster.run(1);
  EXPECT_DOUBLE_EQ(fixture.job().checkpoint_of(0).likely, 60);
  EXPECT_DOUBLE_EQ(fixture.job().checkpoint_of(2).likely,
                   60);  // the same checkpoint, whichever member is queried
  EXPECT_EQ(fixture.job().checkpoints.size(), 1U);
}

TEST(Checkpoint, RunTimesForSlowTaskDetectionSurviveFailover) {
  // Tasks of a job with four tasks finish after 40 s each under two owners. The second owner needs the run
  // times of all of them for the median that it compares the remaining tasks with.
  CheckpointFixture fixture(4, JobShape::array, 2);
  fixture.cluster.run(38);
  fixture.cluster.agent(fixture.machine_of(0)).finish("run-1/0", EndCause::done);
  fixture.cluster.run(1);
  fixture.change_owner(1);
  fixture.cluster.run(0.5, 1);
  ASSERT_EQ(fixture.job(1).finished_run_times.size(), 1U);
  EXPECT_NEAR(fixture.job(1).finished_run_times[0], 40, 2.5);
  fixture.cluster.run(1, 1);
  fixture.cluster.agent(fixture.machine_of(1)).finish("run-1/1", EndCause::done);
  fixture.cluster.run(1, 1);
  ASSERT_EQ(fixture.job(1).finished_run_times.size(), 2U);
  // Without the durable placement time, this run time would count from the failover, which was 2 s ago.
  EXPECT_GT(fixture.job(1).finished_run_times[1], 35);
  EXPECT_LT(fixture.job(1).finished_run_times[1], 48);
}

TEST(Checkpoint, ResumedTaskCountsItsSavedProgress) {
  EXPECT_DOUBLE_EQ(checkpoint::execution_time(20, {0, 60, 90}), 110);
  EXPECT_DOUBLE_EQ(checkpoint::remaining_run_time(100, {0, 60, 90}), 40);
  EXPECT_DOUBLE_EQ(checkpoint::remaining_run_time(100, {0, 160, 200}), 10);
  EXPECT_EQ(checkpoint::run_times_by_finish({{0, 5, 30}, {1, 6, 10}, {2, 7, 20}}),
            (std::vector<double>{6, 7, 5}));
}

TEST(Checkpoint, ChunkRecordsAreForwardAndBackwardCompatible) {
  SimulatedCluster cluster;
  ClusterState& cluster_state = cluster.controller(0).cluster_state;
  cluster.submit(test_job("run-1", 3));
  cluster.controller(0).sync(cluster.now);
  simulation::Json old_value = {{"d", "1"}, {"r", "0"}, {"a", {{1, "m1", 77, 0}}}};
  auto change = state::decode("o/c/run-1/0", &old_value, cluster_state);
  ASSERT_TRUE(change.has_value());
  auto& record = std::get<ChunkRecord>(change->value);
  EXPECT_LT(record.placements.at(0).placed_after_s, 0);
  EXPECT_TRUE(record.checkpoints.empty() && record.finishes.empty());
  EXPECT_EQ(state::encode_value(*change, cluster_state),
            old_value);  // it is encoded as an earlier version wrote it
  record.placements[0].placed_after_s = 12.7;
  record.checkpoints[2] = {3.9, 31.2, 60.1};
  record.finishes = {{0, 41.26, 55.5}};
  simulation::Json new_value = state::encode_value(*change, cluster_state);
  EXPECT_EQ(new_value.dump(),
            R"({"a":[[1,"m1",77,0,12]],"d":"1","r":"0","s":[[2,3.0,31.0,61.0]],"t":[[0,41.3,55.0]]})");
  // The fields that an earlier version reads are the ones that it writes itself.
  for (const char* key : {"d", "r"}) EXPECT_EQ(new_value.at(key), old_value.at(key));
  auto decoded = state::decode("o/c/run-1/0", &new_value, cluster_state);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_DOUBLE_EQ(std::get<ChunkRecord>(decoded->value).checkpoints.at(2).low, 3);
  for (const char* invalid :
       {R"({"a":[],"s":[[1]],"t":"x"})", R"({"a":[],"s":[["a","b","c","d"]],"t":[null]})"}) {
    simulation::Json value = simulation::Json::parse(invalid);
    auto read = state::decode("o/c/run-1/0", &value, cluster_state);
    ASSERT_TRUE(read.has_value()) << invalid;
    EXPECT_TRUE(std::get<ChunkRecord>(read->value).checkpoints.empty()) << invalid;
  }
}

TEST(Checkpoint, RecordOverTheSizeLimitDropsCheckpointsAndKeepsPlacements) {
  SimulatedCluster cluster;
  ClusterState& cluster_state = cluster.controller(0).cluster_state;
  cluster_state.settings.max_value_kb = 4;
  cluster.submit(test_job("run-1", 64));
  cluster.controller(0).sync(cluster.now);
  ChunkRecord record;
  for (TaskNumber task = 0; task < 64; ++task) {
    record.placements.push_back(
        {task, cluster_state.intern_machine("market-north.host-" + std::to_string(1000 + task)), 1ULL << 50,
         false, 99});
    record.checkpoints[task] = {10000, 20000, 30000};
  }
  simulation::Json value =
      state::encode_value({ChunkKey{cluster_state.find_job("run-1"), 0}, record}, cluster_state);
  EXPECT_LE(value.dump().size(), 4096U);
  EXPECT_EQ(value.at("a").size(), 64U);
}

}  // namespace
}  // namespace oxbowmill
