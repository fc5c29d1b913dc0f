// Accounting of capacity: what placed tasks and reservations use of machines and of teams' quotas, and how
// much ended tasks have freed. Owns the sums by team; the sums by machine are fields of the machine, changed
// only here. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "oxbowmill/cluster/job.h"
#include "oxbowmill/cluster/machine.h"

namespace oxbowmill {

/// Whether capacity is taken or given back.
enum class UsageChange : std::int8_t {
  release = -1,  ///< given back
  acquire = 1,   ///< taken
};

/// Capacity and quota in use.
class CapacityUsage {
 public:
  /// For partitions with indices below `partition_count`.
  explicit CapacityUsage(std::size_t partition_count) : by_team_(partition_count) {}

  /// What the team's tasks and reservations use.
  const Resources& of_team(PartitionIndex partition) const { return by_team_[partition.value]; }
  /// Machines' worth of capacity that ended tasks have freed since this controller started.
  double freed_machines() const { return freed_machines_; }
  /// Books or cancels the reservation of one task's placement that is being written.
  void reserve(Machine& machine, const JobSpec& spec, UsageChange change);
  /// Books or releases a placed task. Its team is left out while the job's record is missing.
  void place(Machine& machine, const Job& job, UsageChange change);

 private:
  std::vector<Resources> by_team_;
  double freed_machines_ = 0;
};

}  // namespace oxbowmill
