// Accounting of capacity: how much of machines and of teams' quotas is used by placed tasks and reservations,
// and how much ended tasks have freed. CapacityUsage owns the sums by team. The sums by machine are fields of
// Machine that it keeps up to date. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "oxbowmill/cluster/job.h"
#include "oxbowmill/cluster/machine.h"

namespace oxbowmill {

/// Direction of a change of usage.
enum class UsageChange : std::int8_t {
  release = -1,  ///< capacity is given back
  acquire = 1,   ///< capacity is taken
};

/// Sums of the capacity and quota in use.
class CapacityUsage {
 public:
  /// Starts without usage, for partitions with indices below `partition_count`.
  explicit CapacityUsage(std::size_t partition_count) : by_team_(partition_count) {}

  /// Resources that the team's tasks and reservations use.
  const Resources& team_usage(PartitionIndex partition) const { return by_team_[partition.value]; }
  /// Capacity that ended tasks have freed since this controller started, measured in machines.
  double freed_machine_equivalents() const { return freed_machine_equivalents_; }
  /// Adds or removes the reservation for one task whose placement is being written.
  void update_reserved(Machine& machine, const JobSpec& spec, UsageChange change);
  /// Adds or removes the usage of one placed task. The team's sum does not change while the job's record is
  /// missing, because the team is not known.
  void update_used(Machine& machine, const Job& job, UsageChange change);

 private:
  std::vector<Resources> by_team_;
  double freed_machine_equivalents_ = 0;
};

}  // namespace oxbowmill
