// The index of free capacity: the same choices as a full scan makes, and what it costs.
#include "oxbowmill/core/free_capacity.h"

#include <gtest/gtest.h>

#include <random>

#include "full_scan.h"
#include "oxbowmill/lab/cluster.h"

namespace oxbowmill {
namespace {

using lab::Cluster;
using lab::test_job;

/// A partition's machines at random, as the index and as a full scan see them.
class RandomFleet {
 public:
  explicit RandomFleet(std::uint32_t seed)
      : random_(seed), model_(lab::test_settings("n"), lab::test_names()), index_(model_) {
    model_.names.types.intern("big");
    model_.names.images.intern("img-2");
    model_.names.zones.intern("c");
    MachineType small = lab::test_catalog().front(), big = small;
    small.fetch_gb_per_s = 0.5;
    big.fetch_gb_per_s = 1;
    big.room = {96, 8, 512};
    model_.catalog = {small, big};
    std::uint32_t machines = 1 + pick(40);
    for (std::uint32_t i = 0; i < machines; ++i) add_machine(i);
  }

  JobSpec job() {
    JobSpec spec = test_job("run", 1 + pick(12));
    spec.shape = static_cast<Shape>(pick(3));
    spec.need = {static_cast<double>(1 + pick(16)), pick(3) == 0 ? 0.5 : static_cast<double>(pick(5)),
                 static_cast<double>(8 * (1 + pick(8)))};
    spec.spot = pick(2) == 0;
    spec.one_zone = pick(4) == 0;
    spec.scatter = !spec.one_zone && pick(4) == 0;
    spec.image = ImageIndex{pick(2)};
    spec.image_gb = 4 + pick(10);
    if (pick(4) == 0) spec.zone = ZoneIndex{pick(3)};
    if (pick(3) == 0) spec.types = {TypeIndex{pick(2)}};
    return spec;
  }
  SelectionQuery query(const JobSpec& spec) {
    SelectionQuery query;
    query.spec = &spec;
    query.pressed = pick(3) == 0;
    query.spare_whole = pick(3) == 0;
    query.unreachable = {pick(8) == 0, pick(8) == 0, pick(8) == 0};
    query.fetch_backlog_s = [this](MachineIndex m) { return backlog_[m.v]; };
    return query;
  }
  /// Both place the job, and the room that it takes is gone for the next one.
  void place_and_compare(const JobSpec& spec) {
    SelectionQuery query = this->query(spec);
    std::vector<TaskNo> tasks(spec.tasks);
    for (TaskNo t = 0; t < spec.tasks; ++t) tasks[t] = t;
    std::vector<std::uint32_t> by_zone(3);
    if (pick(4) == 0) by_zone[pick(3)] = 1;
    Selection selection = index_.select(query, tasks, by_zone);
    auto expected = full_scan::select(query, model_, tasks, by_zone, nodes_);
    std::vector<std::pair<TaskNo, MachineIndex>> chosen;
    for (const Choice& c : selection.choices) {
      chosen.emplace_back(c.task, selection.nodes[c.node].machine);
      index_.take(chosen.back().second, spec.need);
    }
    ASSERT_EQ(chosen, expected);
  }
  std::uint32_t pick(std::uint32_t n) {
    return std::uniform_int_distribution<std::uint32_t>(0, n - 1)(random_);
  }

 private:
  void add_machine(std::uint32_t i) {
    MachineIndex machine = model_.intern_machine("m" + std::to_string(i));
    Machine& m = model_.edit_machine(machine);
    MachineCapacity capacity;
    CandidateNode& node = capacity.node;
    node = {machine, TypeIndex{pick(2)}, ZoneIndex{pick(3)}, pick(2) == 0, 0, {}};
    node.room = model_.catalog[node.type.v].room;
    if (pick(3) != 0)
      node.room -=
          {static_cast<double>(pick(40)), static_cast<double>(pick(5)), static_cast<double>(pick(100))};
    node.lasting = pick(4) == 0;
    for (std::uint32_t image = 0; image < 2; ++image) {
      if (pick(3) == 0) capacity.images.push_back(ImageIndex{image});
    }
    m.images = capacity.images;
    backlog_.push_back(pick(4) == 0 ? 1 + pick(20) : 0);
    capacity.fetching = backlog_.back() > 0;
    nodes_.push_back(node);
    nodes_.back().fetching_s = backlog_.back();
    index_.update(machine, capacity);
  }
  std::mt19937 random_;
  Model model_;
  FreeCapacity index_;
  std::vector<CandidateNode> nodes_;
  std::vector<Seconds> backlog_;
};

TEST(FreeCapacity, ChoosesAsAFullScanDoesOnTenThousandFleets) {
  for (std::uint32_t seed = 1; seed <= 10000; ++seed) {
    RandomFleet fleet(seed);
    std::uint32_t jobs = 1 + fleet.pick(12);
    for (std::uint32_t i = 0; i < jobs; ++i) {
      ASSERT_NO_FATAL_FAILURE(fleet.place_and_compare(fleet.job())) << "seed " << seed << ", job " << i;
    }
  }
}

/// Machines of 4 GPUs in two zones, all free but for a few, and what a selection among them visits.
std::uint64_t visits_of(std::uint32_t machines, std::uint32_t free, std::uint32_t tasks, double gpus) {
  Model model(lab::test_settings("n"), lab::test_names());
  model.catalog = lab::test_catalog();
  FreeCapacity index(model);
  for (std::uint32_t i = 0; i < machines; ++i) {
    MachineIndex machine = model.intern_machine("m" + std::to_string(i));
    MachineCapacity capacity;
    double used = i < free ? 0 : 4;
    capacity.node = {machine, TypeIndex{0}, ZoneIndex{i % 2}, false, 0, {32 - 2 * used, 4 - used, 128}};
    index.update(machine, capacity);
  }
  JobSpec spec = test_job("run", tasks, gpus);
  SelectionQuery query;
  query.spec = &spec;
  std::vector<TaskNo> numbers(tasks);
  for (TaskNo t = 0; t < tasks; ++t) numbers[t] = t;
  std::uint64_t before = index.visits();
  index.select(query, numbers, {0, 0});
  return index.visits() - before;
}

TEST(FreeCapacity, VisitsOfATaskDoNotGrowWithTheFleet) {
  std::uint64_t small = visits_of(300, 100, 64, 1), large = visits_of(10000, 100, 64, 1);
  EXPECT_EQ(small, large);
  EXPECT_LE(large, 2 * 64U);
}

TEST(FreeCapacity, AFullFleetIsNotVisited) {
  EXPECT_EQ(visits_of(10000, 0, 64, 1), 0U);
}

TEST(FreeCapacity, WhatIsTakenProvisionallyComesBackWithTheNextUpdate) {
  Model model(lab::test_settings("n"), lab::test_names());
  model.catalog = lab::test_catalog();
  FreeCapacity index(model);
  MachineIndex machine = model.intern_machine("m");
  MachineCapacity capacity;
  capacity.node = {machine, TypeIndex{0}, ZoneIndex{0}, false, 0, {32, 4, 128}};
  index.update(machine, capacity);
  index.take(machine, {2, 4, 8});
  index.add_fetch(machine, 5);
  EXPECT_EQ(index.find(machine)->node.room.gpus, 0);
  EXPECT_EQ(index.take_provisional(), std::vector<MachineIndex>{machine});
  EXPECT_TRUE(index.update(machine, capacity));
  EXPECT_EQ(index.find(machine)->node.room.gpus, 4);
  EXPECT_FALSE(index.update(machine, capacity));
  EXPECT_TRUE(index.update(machine, std::nullopt));
  EXPECT_EQ(index.size(), 0U);
}

TEST(FreeCapacity, SchedulingCyclesInWhichNothingChangedVisitNoMachine) {
  Cluster c;
  for (int i = 0; i < 6; ++i) c.add_machine("m" + std::to_string(i));
  c.run(3);
  c.submit(test_job("run-1", 8));  // as many as the team's limit allows, which leaves room
  c.submit(test_job("run-2", 30, 4));
  c.run(5);
  std::uint64_t before = c.node(0).scheduler.visits();
  for (int i = 0; i < 20; ++i) c.node(0).pass(c.now);
  EXPECT_EQ(c.node(0).scheduler.visits(), before);
}

/// Machines that come back into the index, or leave it, without any report.
TEST(FreeCapacity, TimeAloneBringsMachinesBack) {
  Cluster c;
  c.add_machine("m1");
  c.run(3);
  Model& model = c.node(0).model;
  MachineIndex m1 = model.names.machines.find("m1");
  model.edit_machine(m1).blocked_until = c.now + 5;
  c.submit(test_job("run-1", 1));
  c.run(3);
  EXPECT_TRUE(c.placed("run-1", 0).empty());
  c.run(4);
  EXPECT_EQ(c.placed("run-1", 0), std::vector<std::string>{"m1"});
  // One that does not report any more gets nothing new, before it is known to be silent.
  c.silenced.insert("m1");
  c.run(model.settings.report_s * 2.5 + 2);
  c.submit(test_job("run-2", 1));
  c.run(1);
  EXPECT_TRUE(c.placed("run-2", 0).empty());
  c.silenced.erase("m1");
  c.run(2);
  EXPECT_EQ(c.placed("run-2", 0), std::vector<std::string>{"m1"});
}

TEST(FreeCapacity, ARoomInDoubtIsNotGivenTwice) {
  Cluster c;
  c.add_machine("m1");
  c.run(3);
  c.submit(test_job("run-1", 1, 4));
  c.node(0).sync(c.now);
  c.node(0).fate = lab::Fate::not_arrived;
  c.node(0).pass(c.now);
  c.node(0).fate = lab::Fate::answered;
  JobSpec second = test_job("run-2", 1, 4);
  second.part = PartIndex{1};
  c.submit(second);
  c.node(0).sync(c.now);
  c.node(0).pass(c.now);
  EXPECT_TRUE(c.placed("run-2", 0).empty());
}

}  // namespace
}  // namespace oxbowmill
