// Who owns each partition, and which controllers hold a lease. Owns both tables; fed by durable records only.
// Not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/cluster/records.h"

namespace oxbowmill {

/// A partition's owner.
struct Ownership {
  OwnershipRecord record;         ///< valid while `revision` is not `no_record`
  Revision revision = no_record;  ///< of the record; fencing tokens of the owner start here
  Seconds since = 0;              ///< when this node learned of it
};

/// A live controller and since when this node has known of its present lease.
struct LiveController {
  OwnershipRecord record;  ///< its registration
  Seconds since = 0;       ///< when this node learned of its present lease
};

/// Owners and live controllers.
class OwnershipTable {
 public:
  /// For partitions with indices below `partition_count`.
  explicit OwnershipTable(std::size_t partition_count) : ownerships_(partition_count) {}

  /// The partition's owner; its revision is `no_record` where there is none.
  const Ownership& ownership(PartitionIndex partition) const { return ownerships_[partition.value]; }
  /// Live controllers by name.
  const std::map<std::string, LiveController>& controllers() const { return controllers_; }
  /// Takes over a partition's owner; null: it has none any longer.
  void set_owner(PartitionIndex partition, const OwnershipRecord* record, Revision revision, Seconds now);
  /// Takes over a controller's registration; null: its lease has ended.
  void set_controller(const std::string& name, const OwnershipRecord* record, Seconds now);
  /// When this node learned of the last of the present leases of these controllers; none if one is missing.
  [[nodiscard]] std::optional<Seconds> all_live_since(const std::vector<std::string>& names) const;

 private:
  std::vector<Ownership> ownerships_;
  std::map<std::string, LiveController> controllers_;
};

}  // namespace oxbowmill
