// The guarantee that every job starts (docs/start-deadlines.md).
#include <gtest/gtest.h>

#include "oxbowmill/scheduling/pending_reason.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

using simulation::SimulatedCluster;
using simulation::test_job;

TEST(StartDeadline, UrgencyGrowsWithAgeAndImageFetchTime) {
  struct Case {
    const char* description;
    double age_s, image_gb, begin_within_s;
    StartDeadline start_deadline;
  };
  const Case cases[] = {
      {"new", 0, 0, 240, StartDeadline::relaxed},
      {"two fifths are left", 143, 0, 240, StartDeadline::not_preemptible},
      {"just not yet", 141, 0, 240, StartDeadline::relaxed},
      {"a quarter is left", 179, 0, 240, StartDeadline::urgent},
      {"an eighth is left", 210, 0, 240, StartDeadline::critical},
      {"a long fetch is counted in, slower than the type says, and shared", 110, 30, 240,
       StartDeadline::urgent},
      {"too late", 1000, 0, 240, StartDeadline::critical},
      {"nothing promised", 1000, 0, 0, StartDeadline::relaxed},
  };
  for (const Case& test_case : cases) {
    SimulatedCluster cluster;
    ClusterState& cluster_state = cluster.controller(0).cluster_state;
    cluster_state.settings.operator_settings.start_deadline_s = test_case.begin_within_s;
    cluster_state.catalog[0].fetch_gb_per_s = 1;
    JobSpec s = test_job("run-1", 1);
    s.image_gb = test_case.image_gb;
    s.submitted_at = cluster.now;
    EXPECT_EQ(start_deadline_of(cluster_state, s, cluster.now + test_case.age_s), test_case.start_deadline)
        << test_case.description;
  }
}

/// Jobs waiting without any usable machine, in the order in which the partition's owner would place them at
/// `at_s`.
std::vector<std::string> start_order(SimulatedCluster& cluster, double at_s, std::size_t machines = 4) {
  for (std::size_t i = 0; i < machines; ++i) {
    std::string name = "m" + std::to_string(i);
    cluster.add_machine(name);
    cluster.silenced_workers.insert(name);
  }
  cluster.controller(0).sync(cluster.now);
  std::vector<std::string> out;
  for (const WaitingJob& w :
       waiting_order(cluster.controller(0).cluster_state, PartitionIndex{1}, {at_s, at_s}))
    out.push_back(cluster.controller(0).cluster_state.job(w.job).spec.ref);
  return out;
}

TEST(StartDeadline, PendingReasonIsReported) {
  struct Case {
    PendingReason reason;
    std::uint32_t tasks;  // that have not started
    JobSpec job;
    std::function<void(SimulatedCluster&)> setup;
  };
  JobSpec gang = test_job("run-1", 2, 4);
  gang.shape = JobShape::gang;
  auto placed = [](SimulatedCluster& cluster) {
    cluster.controller(0).sync(cluster.now);
    cluster.controller(0).run_cycle(cluster.now);
  };
  const Case cases[] = {
      {PendingReason::none, 0, test_job("run-1", 2), [](SimulatedCluster& cluster) { cluster.run(3); }},
      {PendingReason::quota, 3, test_job("run-1", 11), [](SimulatedCluster& cluster) { cluster.run(3); }},
      {PendingReason::no_capacity, 1, test_job("run-1", 5),
       [](SimulatedCluster& cluster) {
         cluster.silenced_workers.insert("m2");
         cluster.run(30);
       }},
      {PendingReason::start_unconfirmed, 2, test_job("run-1", 2), placed},
      {PendingReason::start_unconfirmed, 2, test_job("run-1", 2),
       [&](SimulatedCluster& cluster) {
         placed(cluster);
         for (const char* m : {"m1", "m2"}) cluster.exchange_report(m, 0, true);
       }},
      {PendingReason::image_fetch, 2, test_job("run-1", 2),
       [](SimulatedCluster& cluster) {
         for (const char* m : {"m1", "m2"}) cluster.worker(m).first_phase = TaskPhase::fetching;
         cluster.run(3);
       }},
      {PendingReason::gang_members, 2, gang,
       [](SimulatedCluster& cluster) {
         for (const char* m : {"m1", "m2"}) cluster.worker(m).first_phase = TaskPhase::gathering;
         cluster.run(3);
       }},
      {PendingReason::agent_silent, 2, test_job("run-1", 2),
       [](SimulatedCluster& cluster) {
         cluster.run(3);
         cluster.fail_over(0, 1, 4);
         cluster.controller(1).run_cycle(cluster.now);
       }},
      {PendingReason::transaction_pending, 2, test_job("run-1", 2),
       [](SimulatedCluster& cluster) {
         cluster.controller(0).write_outcome = simulation::WriteOutcome::not_arrived;
         cluster.run(1);
       }},
      {PendingReason::error_backoff, 1, test_job("run-1", 1),
       [](SimulatedCluster& cluster) {
         cluster.run(2);
         for (int i = 0; i < 4; ++i) {
           std::string at = cluster.machines_of_task("run-1", 0).at(0);
           cluster.worker(at).finish("run-1/0", EndCause::no_such);
           cluster.run(i < 3 ? 5 : 2);
         }
       }},
  };
  for (const Case& test_case : cases) {
    SimulatedCluster cluster;
    cluster.controller(0).cluster_state.settings.operator_settings.release_to_pool_s = 1000;
    for (const char* m : {"m1", "m2"}) cluster.add_machine(m);
    cluster.run(2);
    cluster.submit(test_case.job);
    test_case.setup(cluster);
    std::size_t owner = test_case.reason == PendingReason::agent_silent ? 1 : 0;
    ClusterState& m = cluster.controller(owner).cluster_state;
    PendingStatus w = pending_status_of(m, m.job(m.find_job("run-1")), cluster.now);
    EXPECT_STREQ(name_of(w.reason), name_of(test_case.reason));
    EXPECT_EQ(w.tasks, test_case.tasks) << name_of(test_case.reason);
  }
}

TEST(StartDeadline, AbandonedOrOutrankedJobsDoNotStarve) {
  // On a day of the fleet the largest arrays, given up so that the most deadlines are met, started after 377
  // s.
  SimulatedCluster cluster;
  JobSpec large = test_job("run-large", 4);
  large.deadline_s = 10;
  large.estimate_s = 50;
  cluster.submit(large);
  cluster.now += 100;
  JobSpec small = test_job("run-small", 1), high = test_job("run-high", 4, 4);
  small.deadline_s = 400;
  small.estimate_s = 60;  // both are given up while no capacity comes free, and the longest goes first
  high.priority = Priority::high;
  high.shape = JobShape::gang;
  cluster.submit(small);
  cluster.submit(high);
  double began = cluster.now - 100;
  using JobOrder = std::vector<std::string>;
  EXPECT_EQ(start_order(cluster, began + 120), (JobOrder{"run-high", "run-small", "run-large"}));
  EXPECT_EQ(start_order(cluster, began + 190, 0), (JobOrder{"run-high", "run-large", "run-small"}));
  EXPECT_EQ(start_order(cluster, began + 220, 0), (JobOrder{"run-large", "run-high", "run-small"}));
}

TEST(StartDeadline, UrgentJobsOvertakeOtherPrioritiesOnlyWithinTheirShare) {
  // Where there is never enough capacity, priorities must still count: in the end all jobs would be late.
  SimulatedCluster cluster;
  for (int i = 0; i < 6; ++i) {
    cluster.submit(test_job("run-low" + std::to_string(i), 4));  // one machine each
    cluster.now += 0.1;
  }
  double began = cluster.now;
  cluster.now += 150;
  JobSpec high = test_job("run-high", 1);
  high.priority = Priority::high;
  cluster.submit(high);
  auto order = start_order(cluster, began + 230, 8);
  auto at = std::find(order.begin(), order.end(), "run-high");
  EXPECT_EQ(at - order.begin(), 2);  // a quarter of the eight machines goes to urgent jobs first
}

TEST(StartDeadline, PreemptedTaskIsNotTreatedAsNeverStarted) {
  // A task that ran for 30 s and was preempted is repeated in its normal turn; otherwise every preemption
  // would put an old job ahead of all priorities.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 1));
  cluster.run(40);
  ASSERT_TRUE(cluster.worker("m1").has("run-1/0"));
  ClusterState& cluster_state = cluster.controller(0).cluster_state;
  Job& current_job = cluster_state.job(cluster_state.find_job("run-1"));
  EXPECT_FALSE(awaits_first_start(current_job));
  cluster.worker("m1").finish("run-1/0", EndCause::error);
  cluster.run(0.5);
  EXPECT_TRUE(current_job.has_started(0));
  EXPECT_FALSE(awaits_first_start(current_job));
  cluster.now += 1;
  cluster.controller(0).run_cycle(cluster.now);
  auto order = waiting_order(cluster_state, PartitionIndex{1}, {cluster.now + 300, cluster.now + 300});
  ASSERT_EQ(order.size(), 1U);
  EXPECT_EQ(order[0].start_deadline, StartDeadline::relaxed);
}

TEST(StartDeadline, UrgentTasksAreNotPreemptedBeforeTheyStart) {
  // 573 of 18,886 starts of a day were preempted again within 30 s, some tasks three times.
  struct Case {
    const char* description;
    double waited_s, ran_s;
    bool preempted;
  };
  const Case cases[] = {{"it has time to begin again", 5, 3, true},
                        {"it has not", 150, 3, false},
                        {"it has begun", 150, 34, true}};
  for (const Case& test_case : cases) {
    SimulatedCluster cluster;
    JobSpec low = test_job("run-low", 1, 4);
    low.priority = Priority::low;
    cluster.submit(low);
    cluster.run(test_case.waited_s);
    cluster.add_machine("m1");
    cluster.run(2);
    ASSERT_TRUE(cluster.worker("m1").has("run-low/0")) << test_case.description;
    cluster.run(test_case.ran_s);
    JobSpec high = test_job("run-high", 1, 4);
    high.priority = Priority::high;
    high.shape = JobShape::gang;
    cluster.submit(high);
    cluster.run(4);
    EXPECT_EQ(cluster.worker("m1").has("run-high/0"), test_case.preempted) << test_case.description;
  }
}

}  // namespace
}  // namespace oxbowmill
