// Keeps the free capacity of every partition up to date as the cluster state changes and as blocks, waits and
// timeouts expire. Owns the index of each partition and its version. No I/O. Times in seconds of the steady
// clock.
#pragma once

#include <queue>

#include "oxbowmill/logged_count.h"
#include "oxbowmill/scheduling/free_capacity.h"

namespace oxbowmill {

/// The free capacity of all partitions.
class CapacityTracker {
 public:
  /// `state` must outlive this object.
  explicit CapacityTracker(ClusterState& state);

  /// Applies the changes since the last call and releases provisionally taken capacity.
  void refresh(Seconds now);
  /// The partition's free capacity, for changing it.
  FreeCapacity& free_capacity(PartitionIndex partition) { return partitions_[partition.value]; }
  /// The partition's free capacity, for reading.
  const FreeCapacity& free_capacity(PartitionIndex partition) const { return partitions_[partition.value]; }
  /// Version that rises whenever the capacity of a machine of the partition changes.
  std::uint64_t version(PartitionIndex partition) const { return versions_[partition.value]; }
  /// Seconds until the image fetches in progress on the machine end, if they run one after the other.
  Seconds fetch_backlog_s(MachineIndex machine, Seconds now) const;
  /// Compares the index with a full scan of all machines and throws std::logic_error if they differ. For
  /// tests, because of the cost of the scan.
  void require_consistent(Seconds now) const;

 private:
  /// What a machine offers, or no capacity if it offers nothing. Valid until `valid_until` unless the cluster
  /// state changes.
  struct CapacityEstimate {
    std::optional<MachineCapacity> capacity;
    Seconds valid_until = std::numeric_limits<double>::infinity();
  };
  CapacityEstimate estimate_capacity(MachineIndex machine, Seconds now) const;
  CapacityEstimate estimate_booting_capacity(MachineIndex machine, Seconds now) const;
  void add_tasks(const Machine& machine, MachineCapacity& capacity) const;
  void update(MachineIndex machine, Seconds now);
  bool is_message_limited(PartitionIndex partition, MachineIndex machine) const;
  /// Clears all indexes and marks every machine as changed if the catalog's capacities have changed, because
  /// the group of a machine depends on the capacity of its type.
  void refresh_type_capacities();

  ClusterState& state_;
  std::vector<FreeCapacity> partitions_;
  std::vector<std::uint64_t> versions_;
  std::vector<PartitionIndex> indexed_partitions_;  // by machine: partition whose index holds it
  struct Recheck {
    Seconds due_at = 0;
    MachineIndex machine;
    friend bool operator>(const Recheck& a, const Recheck& b) { return a.due_at > b.due_at; }
  };
  std::priority_queue<Recheck, std::vector<Recheck>, std::greater<>> rechecks_;
  std::vector<Seconds> recheck_at_;  // by machine: earliest recheck that is queued
  std::vector<Resources> type_capacities_;
  LoggedCount message_limited_;  // machines whose messages became full
};

}  // namespace oxbowmill
