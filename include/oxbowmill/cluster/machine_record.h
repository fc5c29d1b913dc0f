// The durable record of a machine. Plain data.
#pragma once

#include <cstdint>
#include <string>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

/// Whether a machine's record marks it for deletion.
enum class MachineMark : std::uint8_t {
  none,      ///< in use
  deleting,  ///< a deletion may have been sent to the cloud
};

/// The record of a machine.
struct MachineRecord {
  PartitionIndex partition;              ///< partition that it belongs to
  TypeIndex type;                        ///< machine type
  ZoneIndex zone;                        ///< zone that it is in
  bool spot = false;                     ///< whether it is a spot machine
  MachineMark mark = MachineMark::none;  ///< whether it is marked for deletion
  /// Partition for which the leader asks the owner to drain the machine and hand it over; invalid: none.
  PartitionIndex requested_by;
  /// It had reported when it was registered, so its next owner need not wait for it to boot.
  bool has_booted = false;
  /// Market that delivered it; invalid: none. A market's statement that its machine is gone proves nothing.
  MarketIndex market = {};
  std::string bid = {};  ///< name of the bid that it was delivered for; empty: none
};

}  // namespace oxbowmill
