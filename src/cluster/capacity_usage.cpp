#include "oxbowmill/cluster/capacity_usage.h"

namespace oxbowmill {

namespace {
/// Change of an unsigned counter: adding the converted -1 subtracts one.
std::uint32_t count_change(UsageChange change) {
  return static_cast<std::uint32_t>(static_cast<int>(change));
}
}  // namespace

void CapacityUsage::update_reserved(Machine& machine, const JobSpec& spec, UsageChange change) {
  const Resources amount = static_cast<double>(change) * spec.task_resources;
  machine.reserved += amount;
  machine.reservations += count_change(change);
  by_team_[spec.partition.value] += without_message_bytes(amount);
  if (machine.reservations == 0) machine.reserved = {};  // prevents rounding errors from accumulating
}

void CapacityUsage::update_used(Machine& machine, const Job& job, UsageChange change) {
  const Resources amount = without_message_bytes(static_cast<double>(change) * job.spec.task_resources);
  machine.used += amount;
  if (job.spec.shape == JobShape::service) machine.long_running_tasks += count_change(change);
  if (job.spec.partition.valid()) by_team_[job.spec.partition.value] += amount;
  if (change == UsageChange::release) freed_machine_equivalents_ += job.machine_fraction;
}

}  // namespace oxbowmill
