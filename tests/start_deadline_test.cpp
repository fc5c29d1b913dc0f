// Tests of the start deadline (docs/start-deadlines.md), which guarantees that every job that can run starts.
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
    double age_s, image_gb, start_deadline_s;
    StartUrgency urgency;
  };
  const Case cases[] = {
      {"new job", 0, 0, 240, StartUrgency::relaxed},
      {"less than two fifths of the deadline are left", 143, 0, 240, StartUrgency::not_preemptible},
      {"slightly more than two fifths are left", 141, 0, 240, StartUrgency::relaxed},
      {"less than a quarter is left", 179, 0, 240, StartUrgency::urgent},
      {"less than an eighth is left", 210, 0, 240, StartUrgency::critical},
      {"a long image fetch counts, on a machine slower than its type and at a shared rate", 110, 30, 240,
       StartUrgency::urgent},
      {"the deadline has passed", 1000, 0, 240, StartUrgency::critical},
      {"operators set no start deadline", 1000, 0, 0, StartUrgency::relaxed},
  };
  for (const Case& test_case : cases) {
    SimulatedCluster cluster;
    ClusterState& cluster_state = cluster.controller(0).cluster_state;
    cluster_state.settings.operator_settings.start_deadline_s = test_case.start_deadline_s;
    cluster_state.catalog[0].fetch_gb_per_s = 1;
    JobSpec spec = test_job("run-1", 1);
    spec.image_gb = test_case.image_gb;
    spec.submitted_at = cluster.now;
    EXPECT_EQ(start_urgency_of(cluster_state, spec, cluster.now + test_case.age_s), test_case.urgency)
        << test_case.description;
  }
}

/// Names of the waiting jobs, in the order in which the partition's owner would place them at `at_s`. Adds
/// `machines` machines whose agents do not report, so that none of them can be used.
std::vector<std::string> start_order(SimulatedCluster& cluster, double at_s, std::size_t machines = 4) {
  for (std::size_t i = 0; i < machines; ++i) {
    std::string name = "m" + std::to_string(i);
    cluster.add_machine(name);
    cluster.silenced_agents.insert(name);
  }
  cluster.controller(0).sync(cluster.now);
  std::vector<std::string> order;
  for (const WaitingJob& waiting :
       waiting_order(cluster.controller(0).cluster_state, PartitionIndex{1}, {at_s, at_s}))
    order.push_back(cluster.controller(0).cluster_state.job(waiting.job).spec.ref);
  return order;
}

TEST(StartDeadline, PendingReasonIsReported) {
  struct Case {
    PendingReason reason;
    std::uint32_t tasks;  // number of tasks that have not started
    JobSpec job;
    std::function<void(SimulatedCluster&)> setup;
  };
  JobSpec gang = test_job("run-1", 2, 4);
  gang.shape = JobShape::gang;
  auto place_tasks = [](SimulatedCluster& cluster) {
    cluster.controller(0).sync(cluster.now);
    cluster.controller(0).run_cycle(cluster.now);
  };
  const Case cases[] = {
      {PendingReason::none, 0, test_job("run-1", 2), [](SimulatedCluster& cluster) { cluster.run(3); }},
      {PendingReason::quota, 3, test_job("run-1", 11), [](SimulatedCluster& cluster) { cluster.run(3); }},
      {PendingReason::no_capacity, 1, test_job("run-1", 5),
       [](SimulatedCluster& cluster) {
         cluster.silenced_agents.insert("m2");
         cluster.run(30);
       }},
      {PendingReason::start_unconfirmed, 2, test_job("run-1", 2), place_tasks},
      {PendingReason::start_unconfirmed, 2, test_job("run-1", 2),
       [&](SimulatedCluster& cluster) {
         place_tasks(cluster);
         for (const char* m : {"m1", "m2"}) cluster.exchange_report(m, 0, true);
       }},
      {PendingReason::image_fetch, 2, test_job("run-1", 2),
       [](SimulatedCluster& cluster) {
         for (const char* m : {"m1", "m2"}) cluster.agent(m).first_phase = TaskPhase::fetching;
         cluster.run(3);
       }},
      {PendingReason::gang_members, 2, gang,
       [](SimulatedCluster& cluster) {
         for (const char* m : {"m1", "m2"}) cluster.agent(m).first_phase = TaskPhase::gathering;
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
           std::string machine_name = cluster.machines_of_task("run-1", 0).at(0);
           cluster.agent(machine_name).finish("run-1/0", EndCause::unknown_task);
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
    ClusterState& cluster_state = cluster.controller(owner).cluster_state;
    PendingStatus status =
        pending_status_of(cluster_state, cluster_state.job(cluster_state.find_job("run-1")), cluster.now);
    EXPECT_STREQ(name_of(status.reason), name_of(test_case.reason));
    EXPECT_EQ(status.tasks, test_case.tasks) << name_of(test_case.reason);
  }
}

TEST(StartDeadline, JobsThatMissTheirDeadlineOrAreOutrankedDoNotStarve) {
  // Jobs that can no longer meet their deadline go last, so that as many deadlines as possible are met.
  // Without the start deadline, the largest arrays of a simulated day started only after 377 s.
  SimulatedCluster cluster;
  JobSpec large = test_job("run-large", 4);
  large.deadline_s = 10;
  large.estimate_s = 50;
  cluster.submit(large);
  cluster.now += 100;
  JobSpec small = test_job("run-small", 1), high = test_job("run-high", 4, 4);
  small.deadline_s = 400;
  small.estimate_s =
      60;  // no capacity becomes free, so both jobs miss their deadlines; the longer goes first
  high.priority = Priority::high;
  high.shape = JobShape::gang;
  cluster.submit(small);
  cluster.submit(high);
  double start = cluster.now - 100;
  using JobOrder = std::vector<std::string>;
  EXPECT_EQ(start_order(cluster, start + 120), (JobOrder{"run-high", "run-small", "run-large"}));
  EXPECT_EQ(start_order(cluster, start + 190, 0), (JobOrder{"run-high", "run-large", "run-small"}));
  EXPECT_EQ(start_order(cluster, start + 220, 0), (JobOrder{"run-large", "run-high", "run-small"}));
}

TEST(StartDeadline, UrgentJobsOvertakeOtherPrioritiesOnlyWithinTheirShare) {
  // Where there is never enough capacity, all jobs become late in the end, and priorities must still count.
  SimulatedCluster cluster;
  for (int i = 0; i < 6; ++i) {
    cluster.submit(test_job("run-low" + std::to_string(i), 4));  // each job fills one machine
    cluster.now += 0.1;
  }
  double start = cluster.now;
  cluster.now += 150;
  JobSpec high = test_job("run-high", 1);
  high.priority = Priority::high;
  cluster.submit(high);
  auto order = start_order(cluster, start + 230, 8);
  auto position = std::find(order.begin(), order.end(), "run-high");
  EXPECT_EQ(position - order.begin(), 2);  // a quarter of the eight machines goes to urgent jobs first
}

TEST(StartDeadline, PreemptedTaskIsNotTreatedAsNeverStarted) {
  // A task that ran for 30 s before it ended is repeated in the normal order. Otherwise every preemption
  // would put an old job ahead of all priorities.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(test_job("run-1", 1));
  cluster.run(40);
  ASSERT_TRUE(cluster.agent("m1").has("run-1/0"));
  ClusterState& cluster_state = cluster.controller(0).cluster_state;
  Job& current_job = cluster_state.job(cluster_state.find_job("run-1"));
  EXPECT_FALSE(awaits_first_start(current_job));
  cluster.agent("m1").finish("run-1/0", EndCause::error);
  cluster.run(0.5);
  EXPECT_TRUE(current_job.has_started(0));
  EXPECT_FALSE(awaits_first_start(current_job));
  cluster.now += 1;
  cluster.controller(0).run_cycle(cluster.now);
  auto order = waiting_order(cluster_state, PartitionIndex{1}, {cluster.now + 300, cluster.now + 300});
  ASSERT_EQ(order.size(), 1U);
  EXPECT_EQ(order[0].start_urgency, StartUrgency::relaxed);
}

TEST(StartDeadline, UrgentTasksAreNotPreemptedBeforeTheyStart) {
  // Without this rule, 573 of the 18,886 starts of a simulated day were preempted again within 30 s, some
  // tasks three times.
  struct Case {
    const char* description;
    double waited_s, ran_s;
    bool preempted;
  };
  const Case cases[] = {{"there is time to start the task again", 5, 3, true},
                        {"there is no time to start the task again", 150, 3, false},
                        {"the task has run long enough to count as started", 150, 34, true}};
  for (const Case& test_case : cases) {
    SimulatedCluster cluster;
    JobSpec low = test_job("run-low", 1, 4);
    low.priority = Priority::low;
    cluster.submit(low);
    cluster.run(test_case.waited_s);
    cluster.add_machine("m1");
    cluster.run(2);
    ASSERT_TRUE(cluster.agent("m1").has("run-low/0")) << test_case.description;
    cluster.run(test_case.ran_s);
    JobSpec high = test_job("run-high", 1, 4);
    high.priority = Priority::high;
    high.shape = JobShape::gang;
    cluster.submit(high);
    cluster.run(4);
    EXPECT_EQ(cluster.agent("m1").has("run-high/0"), test_case.preempted) << test_case.description;
  }
}

}  // namespace
}  // namespace oxbowmill
