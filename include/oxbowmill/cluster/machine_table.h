// Table of the machines that this controller knows. Owns the machines, the sets of machines by partition
// and the list of machines that have changed since that list was last taken. Not thread-safe. Adding a
// machine invalidates references to machines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "oxbowmill/cluster/machine.h"

namespace oxbowmill {

/// The known machines, and the list of those that may have changed.
class MachineTable {
 public:
  /// Starts empty, for partitions with indices below `partition_count`.
  explicit MachineTable(std::size_t partition_count)
      : by_partition_(partition_count), requested_by_(partition_count) {}

  /// Adds empty machines up to and including this index.
  void add(MachineIndex machine_index);
  /// Number of indices in use, including machines without a record.
  std::uint32_t size() const { return static_cast<std::uint32_t>(machines_.size()); }
  /// A machine, for reading. The index must have been added.
  const Machine& at(MachineIndex machine_index) const { return machines_[machine_index.value]; }
  /// A machine, for modification; marks it as changed. The index must have been added.
  Machine& edit(MachineIndex machine_index) {
    mark_changed(machine_index);
    return machines_[machine_index.value];
  }
  /// Adds the machine to the list of changed machines, unless it is already there.
  void mark_changed(MachineIndex machine_index) {
    Machine& machine = machines_[machine_index.value];
    if (machine.marked_changed) return;
    machine.marked_changed = true;
    changed_.push_back(machine_index);
  }
  /// Machines changed since the last call, each once, in order of their first change.
  [[nodiscard]] std::vector<MachineIndex> take_changed();
  /// Whether the index is in use and the state service holds a record of the machine.
  bool is_recorded(MachineIndex machine_index) const;

  /// Machines of the partition.
  const std::set<MachineIndex>& in_partition(PartitionIndex partition) const {
    return by_partition_[partition.value];
  }
  /// Machines of other partitions that are to be handed over to this one.
  const std::set<MachineIndex>& requested_by(PartitionIndex partition) const {
    return requested_by_[partition.value];
  }
  /// Stores a new record of the machine and updates the sets by partition.
  void set_record(MachineIndex machine_index, const MachineRecord& record, Revision revision);
  /// Marks the machine as having no record and removes it from the sets by partition.
  void erase_record(MachineIndex machine_index);

 private:
  void remove_from_partitions(MachineIndex machine_index);

  std::vector<Machine> machines_;
  std::vector<std::set<MachineIndex>> by_partition_;
  std::vector<std::set<MachineIndex>> requested_by_;
  std::vector<MachineIndex> changed_;
};

}  // namespace oxbowmill
