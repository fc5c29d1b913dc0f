// Tests of the index of free capacity: it makes the same choices as a full scan, at a cost that does not grow
// with the cluster.
#include "oxbowmill/scheduling/free_capacity.h"

#include <gtest/gtest.h>

#include <random>

#include "full_scan_placement.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

using simulation::SimulatedCluster;
using simulation::test_job;

/// Random machines of a partition, held both by the index and by a list for the full scan.
class RandomCluster {
 public:
  explicit RandomCluster(std::uint32_t seed)
      : random_(seed), state_(simulation::test_settings("n"), simulation::test_names()), index_(state_) {
    state_.names.types.intern("big");
    state_.names.images.intern("img-2");
    state_.names.zones.intern("c");
    MachineType small = simulation::test_catalog().front(), big = small;
    small.fetch_gb_per_s = 0.5;
    big.fetch_gb_per_s = 1;
    big.capacity = machine_capacity(96, 8, 512);
    state_.catalog = {small, big};
    std::uint32_t machines = 1 + random_below(40);
    for (std::uint32_t i = 0; i < machines; ++i) add_machine(i);
  }

  JobSpec random_job() {
    JobSpec spec = test_job("run", 1 + random_below(12));
    spec.shape = static_cast<JobShape>(random_below(3));
    spec.task_resources = {static_cast<double>(1 + random_below(16)),
                           random_below(3) == 0 ? 0.5 : static_cast<double>(random_below(5)),
                           static_cast<double>(8 * (1 + random_below(8)))};
    spec.spot = random_below(2) == 0;
    spec.single_zone = random_below(4) == 0;
    spec.spread_zones = !spec.single_zone && random_below(4) == 0;
    spec.image = ImageIndex{random_below(2)};
    spec.image_gb = 4 + random_below(10);
    if (random_below(4) == 0) spec.zone = ZoneIndex{random_below(3)};
    if (random_below(3) == 0) spec.types = {TypeIndex{random_below(2)}};
    return spec;
  }
  SelectionQuery random_query(const JobSpec& spec) {
    SelectionQuery query;
    query.spec = &spec;
    query.has_start_deadline = random_below(3) == 0;
    query.avoid_whole_machines = random_below(3) == 0;
    query.unreachable = {random_below(8) == 0, random_below(8) == 0, random_below(8) == 0};
    query.fetch_backlog_s = [this](MachineIndex machine_index) {
      return fetch_backlog_s_[machine_index.value];
    };
    return query;
  }
  /// Places the job with both and expects the same choice; the capacity that the job uses is taken in both.
  void place_and_compare(const JobSpec& spec) {
    SelectionQuery query = this->random_query(spec);
    std::vector<TaskNumber> tasks(spec.tasks);
    for (TaskNumber task = 0; task < spec.tasks; ++task) tasks[task] = task;
    std::vector<std::uint32_t> tasks_per_zone(3);
    if (random_below(4) == 0) tasks_per_zone[random_below(3)] = 1;
    Selection selection = index_.select(query, tasks, tasks_per_zone);
    auto expected = full_scan::select(query, state_, tasks, tasks_per_zone, candidates_);
    std::vector<std::pair<TaskNumber, MachineIndex>> chosen;
    for (const TaskAssignment& assignment : selection.assignments) {
      chosen.emplace_back(assignment.task, selection.machines[assignment.candidate].machine);
      index_.take(chosen.back().second, spec.task_resources);
    }
    ASSERT_EQ(chosen, expected);
  }
  std::uint32_t random_below(std::uint32_t n) {
    return std::uniform_int_distribution<std::uint32_t>(0, n - 1)(random_);
  }

 private:
  void add_machine(std::uint32_t i) {
    MachineIndex machine = state_.intern_machine("m" + std::to_string(i));
    Machine& current_machine = state_.edit_machine(machine);
    MachineCapacity capacity;
    CandidateMachine& candidate = capacity.candidate;
    candidate = {machine, TypeIndex{random_below(2)}, ZoneIndex{random_below(3)}, random_below(2) == 0, 0,
                 {}};
    candidate.free_capacity = state_.catalog[candidate.type.value].capacity;
    if (random_below(3) != 0)
      candidate.free_capacity -= {static_cast<double>(random_below(40)), static_cast<double>(random_below(5)),
                                  static_cast<double>(random_below(100))};
    candidate.long_running = random_below(4) == 0;
    for (std::uint32_t image = 0; image < 2; ++image) {
      if (random_below(3) == 0) capacity.images.push_back(ImageIndex{image});
    }
    current_machine.cached_images = capacity.images;
    fetch_backlog_s_.push_back(random_below(4) == 0 ? 1 + random_below(20) : 0);
    capacity.fetching_images = fetch_backlog_s_.back() > 0;
    candidates_.push_back(candidate);
    candidates_.back().fetch_backlog_s = fetch_backlog_s_.back();
    index_.update(machine, capacity);
  }
  std::mt19937 random_;
  ClusterState state_;
  FreeCapacity index_;
  std::vector<CandidateMachine> candidates_;
  std::vector<Seconds> fetch_backlog_s_;
};

TEST(FreeCapacity, MatchesFullScanOnTenThousandRandomClusters) {
  for (std::uint32_t seed = 1; seed <= 10000; ++seed) {
    RandomCluster cluster(seed);
    std::uint32_t jobs = 1 + cluster.random_below(12);
    for (std::uint32_t i = 0; i < jobs; ++i) {
      ASSERT_NO_FATAL_FAILURE(cluster.place_and_compare(cluster.random_job()))
          << "seed " << seed << ", job " << i;
    }
  }
}

/// Returns how many machines a selection visits in a cluster of machines with 4 GPUs in two zones, of which
/// `free` are free and the others are full.
std::uint64_t count_visits(std::uint32_t machines, std::uint32_t free, std::uint32_t tasks, double gpus) {
  ClusterState state(simulation::test_settings("n"), simulation::test_names());
  state.catalog = simulation::test_catalog();
  FreeCapacity index(state);
  for (std::uint32_t i = 0; i < machines; ++i) {
    MachineIndex machine = state.intern_machine("m" + std::to_string(i));
    MachineCapacity capacity;
    double used = i < free ? 0 : 4;
    capacity.candidate = {machine, TypeIndex{0}, ZoneIndex{i % 2}, false, 0, {32 - 2 * used, 4 - used, 128}};
    index.update(machine, capacity);
  }
  JobSpec spec = test_job("run", tasks, gpus);
  SelectionQuery query;
  query.spec = &spec;
  std::vector<TaskNumber> numbers(tasks);
  for (TaskNumber task = 0; task < tasks; ++task) numbers[task] = task;
  std::uint64_t before = index.visits();
  index.select(query, numbers, {0, 0});
  return index.visits() - before;
}

TEST(FreeCapacity, VisitsPerTaskDoNotGrowWithTheCluster) {
  std::uint64_t small = count_visits(300, 100, 64, 1), large = count_visits(10000, 100, 64, 1);
  EXPECT_EQ(small, large);
  EXPECT_LE(large, 2 * 64U);
}

TEST(FreeCapacity, FullClusterIsNotVisited) {
  EXPECT_EQ(count_visits(10000, 0, 64, 1), 0U);
}

TEST(FreeCapacity, ProvisionalReservationsAreReleasedByTheNextUpdate) {
  ClusterState state(simulation::test_settings("n"), simulation::test_names());
  state.catalog = simulation::test_catalog();
  FreeCapacity index(state);
  MachineIndex machine = state.intern_machine("m");
  MachineCapacity capacity;
  capacity.candidate = {machine, TypeIndex{0}, ZoneIndex{0}, false, 0, {32, 4, 128}};
  index.update(machine, capacity);
  index.take(machine, {2, 4, 8});
  index.add_fetch(machine, 5);
  EXPECT_EQ(index.find(machine)->candidate.free_capacity.gpus, 0);
  EXPECT_EQ(index.take_provisional(), std::vector<MachineIndex>{machine});
  EXPECT_TRUE(index.update(machine, capacity));
  EXPECT_EQ(index.find(machine)->candidate.free_capacity.gpus, 4);
  EXPECT_FALSE(index.update(machine, capacity));
  EXPECT_TRUE(index.update(machine, std::nullopt));
  EXPECT_EQ(index.size(), 0U);
}

TEST(FreeCapacity, UnchangedSchedulingCyclesVisitNoMachine) {
  SimulatedCluster cluster;
  for (int i = 0; i < 6; ++i) cluster.add_machine("m" + std::to_string(i));
  cluster.run(3);
  cluster.submit(test_job("run-1", 8));  // uses up the team's quota and leaves free capacity
  cluster.submit(test_job("run-2", 30, 4));
  cluster.run(5);
  std::uint64_t before = cluster.controller(0).scheduler.visits();
  for (int i = 0; i < 20; ++i) cluster.controller(0).run_cycle(cluster.now);
  EXPECT_EQ(cluster.controller(0).scheduler.visits(), before);
}

/// A machine enters the index again, or leaves it, without any report.
TEST(FreeCapacity, MachinesBecomeAvailableByTimeAlone) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(3);
  ClusterState& state = cluster.controller(0).cluster_state;
  MachineIndex m1 = state.names.machines.find("m1");
  state.edit_machine(m1).blocked_until = cluster.now + 5;
  cluster.submit(test_job("run-1", 1));
  cluster.run(3);
  EXPECT_TRUE(cluster.machines_of_task("run-1", 0).empty());
  cluster.run(4);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  // A machine that no longer reports gets no new tasks, even before it counts as silent.
  cluster.silenced_agents.insert("m1");
  cluster.run(state.settings.report_interval_s * 2.5 + 2);
  cluster.submit(test_job("run-2", 1));
  cluster.run(1);
  EXPECT_TRUE(cluster.machines_of_task("run-2", 0).empty());
  cluster.silenced_agents.erase("m1");
  cluster.run(2);
  EXPECT_EQ(cluster.machines_of_task("run-2", 0), std::vector<std::string>{"m1"});
}

TEST(FreeCapacity, CapacityOfAnIndeterminatePlacementIsNotReused) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(3);
  cluster.submit(test_job("run-1", 1, 4));
  cluster.controller(0).sync(cluster.now);
  cluster.controller(0).write_outcome = simulation::WriteOutcome::not_arrived;
  cluster.controller(0).run_cycle(cluster.now);
  cluster.controller(0).write_outcome = simulation::WriteOutcome::answered;
  JobSpec second = test_job("run-2", 1, 4);
  second.partition = PartitionIndex{1};
  cluster.submit(second);
  cluster.controller(0).sync(cluster.now);
  cluster.controller(0).run_cycle(cluster.now);
  EXPECT_TRUE(cluster.machines_of_task("run-2", 0).empty());
}

}  // namespace
}  // namespace oxbowmill
