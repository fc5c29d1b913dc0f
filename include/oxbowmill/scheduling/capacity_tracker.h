// Keeps the free capacity of every partition up to date from what changes in the cluster state and from what
// time alone brings about. Owns the index of each partition and its version. Pure. Seconds on the steady
// clock.
#pragma once

#include <queue>

#include "oxbowmill/scheduling/free_capacity.h"

namespace oxbowmill {

/// The free capacity of all partitions.
class CapacityTracker {
 public:
  /// `model` must outlive this object.
  explicit CapacityTracker(ClusterState& model);

  /// Applies what has changed since the last time, and releases what was taken provisionally.
  void refresh(Seconds now);
  /// The partition's free capacity, for taking from it.
  FreeCapacity& free_capacity(PartitionIndex partition) { return partitions_[partition.value]; }
  /// The partition's free capacity.
  const FreeCapacity& free_capacity(PartitionIndex partition) const { return partitions_[partition.value]; }
  /// Rises whenever a machine of the partition offers something else than before.
  std::uint64_t version(PartitionIndex partition) const { return versions_[partition.value]; }
  /// Seconds that the fetches under way on the machine still take, one after the other.
  Seconds fetch_backlog_s(MachineIndex machine, Seconds now) const;
  /// Throws std::logic_error where the index differs from a look at every machine. For tests: costs a full
  /// scan.
  void require_consistent(Seconds now) const;

 private:
  /// Nothing but time can change it before `until`.
  struct CapacityEstimate {
    std::optional<MachineCapacity> capacity;
    Seconds valid_until = std::numeric_limits<double>::infinity();
  };
  CapacityEstimate estimate_capacity(MachineIndex machine, Seconds now) const;
  CapacityEstimate estimate_booting_capacity(MachineIndex machine, Seconds now) const;
  void add_tasks(const Machine& machine, MachineCapacity& capacity) const;
  void update(MachineIndex machine, Seconds now);
  /// The capacities of machine types decide in which group a machine stands.
  void refresh_type_capacities();

  ClusterState& state_;
  std::vector<FreeCapacity> partitions_;
  std::vector<std::uint64_t> versions_;
  std::vector<PartitionIndex> indexed_partitions_;  // by machine: whose index has it
  struct Recheck {
    Seconds due_at = 0;
    MachineIndex machine;
    friend bool operator>(const Recheck& a, const Recheck& b) { return a.due_at > b.due_at; }
  };
  std::priority_queue<Recheck, std::vector<Recheck>, std::greater<>> rechecks_;
  std::vector<Seconds> recheck_at_;  // by machine: the earliest one that is queued
  std::vector<Resources> type_capacities_;
};

}  // namespace oxbowmill
