// Owners of partitions, and controllers that hold a lease. Owns both tables; only durable records change
// them. Not thread-safe.
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
  Revision revision = no_record;  ///< revision of the record, the lowest fencing token of this owner
  Seconds since = 0;              ///< when this controller learned of it
};

/// A controller that holds a lease.
struct LiveController {
  OwnershipRecord record;  ///< registration of the controller
  Seconds since = 0;       ///< when this process learned of the controller's present lease
};

/// Owners of partitions and live controllers.
class OwnershipTable {
 public:
  /// Starts without owners, for partitions with indices below `partition_count`.
  explicit OwnershipTable(std::size_t partition_count) : ownerships_(partition_count) {}

  /// The partition's owner; its revision is `no_record` if there is none.
  const Ownership& ownership(PartitionIndex partition) const { return ownerships_[partition.value]; }
  /// Live controllers by name.
  const std::map<std::string, LiveController>& controllers() const { return controllers_; }
  /// Sets the partition's owner; null: it no longer has one.
  void set_owner(PartitionIndex partition, const OwnershipRecord* record, Revision revision, Seconds now);
  /// Sets a controller's registration; null: its lease has ended.
  void set_controller(const std::string& name, const OwnershipRecord* record, Seconds now);
  /// Time by which this process had learned of the present lease of each of these controllers. Empty if one
  /// of them holds no lease.
  [[nodiscard]] std::optional<Seconds> all_live_since(const std::vector<std::string>& names) const;

 private:
  std::vector<Ownership> ownerships_;
  std::map<std::string, LiveController> controllers_;
};

}  // namespace oxbowmill
