#include "oxbowmill/scheduling/partition_ownership.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace oxbowmill {

bool PartitionOwnership::owns(PartitionIndex partition) const {
  const Ownership& ownership = state_.ownership(partition);
  return ownership.revision != 0 && controller_lease_.lease_id() != 0 &&
         ownership.record.lease_id == controller_lease_.lease_id() &&
         ownership.record.controller == state_.settings.controller_name &&
         applied_revision_ >= ownership.revision;
}

bool PartitionOwnership::owns_any() const {
  for (std::uint32_t p = 0; p < state_.partition_count(); ++p) {
    if (owns(PartitionIndex{p})) return true;
  }
  return false;
}

Guard PartitionOwnership::guard(PartitionIndex partition) const {
  return {OwnershipKey{partition}, state_.ownership(partition).revision};
}

void PartitionOwnership::detect_failovers(Seconds now) {
  for (std::uint32_t p = 0; p < state_.partition_count(); ++p) {
    PartitionIndex partition{p};
    if (!owns(partition)) continue;
    Revision& failover_revision = failover_revisions_[p];
    if (failover_revision == state_.ownership(partition).revision) continue;
    failover_revision = state_.ownership(partition).revision;
    state_.failover(partition, now);
    SPDLOG_INFO("failover: acquired partition partition={} revision={} machines={} jobs={}",
                state_.names.partitions.name(partition), failover_revision,
                state_.machines_of(partition).size(), state_.live_jobs(partition).size());
  }
}

Seconds PartitionOwnership::exclusively_owned_since(const Machine& machine) const {
  Seconds after_read_only_period =
      machine.in_partition_since + state_.settings.read_only_period_s() * (1 + 2 * Settings::clock_drift);
  // A machine that was moved here may still be answered by its previous owner, whose lease continues.
  if (!machine.inherited) return after_read_only_period;
  // After a failover, the earlier owner's read-only period can be cut short once every controller has
  // reacquired a lease: every earlier answer to this agent on behalf of the partition was given under a lease
  // that has ended since, and under which its holder answers nothing more (docs/reconciliation.md, "Safety").
  Seconds reacquired_since = state_.all_leases_reacquired_since();
  return reacquired_since < 0
             ? after_read_only_period
             : std::min(after_read_only_period, std::max(machine.in_partition_since, reacquired_since));
}

Seconds PartitionOwnership::proven_empty_at(const Machine& machine) const {
  bool unreconciled = machine.state == MachineState::unreconciled ||
                      (machine.state == MachineState::deleting && machine.inherited);
  Seconds from = unreconciled ? exclusively_owned_since(machine) : machine.in_partition_since;
  return std::max(machine.last_answered_report_at, from) + state_.settings.lease_expiry_s();
}

}  // namespace oxbowmill
