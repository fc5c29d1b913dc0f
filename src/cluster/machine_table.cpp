#include "oxbowmill/cluster/machine_table.h"

namespace oxbowmill {

void MachineTable::add(MachineIndex machine_index) {
  if (machine_index.value >= machines_.size()) machines_.resize(machine_index.value + 1);
}

std::vector<MachineIndex> MachineTable::take_changed() {
  std::vector<MachineIndex> changed;
  changed.swap(changed_);
  for (MachineIndex machine_index : changed) machines_[machine_index.value].marked_changed = false;
  return changed;
}

bool MachineTable::is_recorded(MachineIndex machine_index) const {
  return machine_index.valid() && machine_index.value < machines_.size() &&
         machines_[machine_index.value].is_recorded();
}

void MachineTable::set_record(MachineIndex machine_index, const MachineRecord& record, Revision revision) {
  remove_from_partitions(machine_index);
  Machine& machine = edit(machine_index);
  machine.record = record;
  machine.revision = revision;
  by_partition_[record.partition.value].insert(machine_index);
  bool is_requested = record.requested_by.valid() && record.requested_by != record.partition &&
                      record.mark == MachineMark::none;
  if (is_requested) requested_by_[record.requested_by.value].insert(machine_index);
}

void MachineTable::erase_record(MachineIndex machine_index) {
  remove_from_partitions(machine_index);
  edit(machine_index).revision = no_record;
}

void MachineTable::remove_from_partitions(MachineIndex machine_index) {
  const Machine& machine = at(machine_index);
  if (!machine.is_recorded()) return;
  by_partition_[machine.record.partition.value].erase(machine_index);
  if (machine.record.requested_by.valid())
    requested_by_[machine.record.requested_by.value].erase(machine_index);
}

}  // namespace oxbowmill
