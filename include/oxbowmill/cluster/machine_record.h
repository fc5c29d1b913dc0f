// The durable record of a machine. Plain data.
#pragma once

#include <cstdint>
#include <string>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

/// What the record says is to become of a machine.
enum class MachineMark : std::uint8_t {
  none,      ///< in use
  deleting,  ///< a delete may have been sent to the cloud
};

/// The record of a machine.
struct MachineRecord {
  PartitionIndex partition;              ///< partition that it belongs to
  TypeIndex type;                        ///< its type
  ZoneIndex zone;                        ///< where it is
  bool spot = false;                     ///< whether it is a spot machine
  MachineMark mark = MachineMark::none;  ///< marked for deletion
  /// The leader asks the owner to drain it and hand it over to this partition.
  PartitionIndex requested_by;
  /// Had reported when it was registered: its next owner need not wait for a boot.
  bool has_booted = false;
  /// Valid for a machine of a market. Such a market's statement that the machine is gone proves nothing.
  MarketIndex market = {};
  std::string bid = {};  ///< bid that it was delivered for; empty: none
};

}  // namespace oxbowmill
