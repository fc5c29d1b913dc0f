// Machine types that the cloud offers, and the kinds of machine that can be requested. Plain data.
#pragma once

#include <tuple>
#include <vector>

#include "oxbowmill/cluster/index.h"
#include "oxbowmill/cluster/message_size.h"
#include "oxbowmill/cluster/resources.h"

namespace oxbowmill {

/// Resources of a whole machine with these amounts.
inline Resources machine_capacity(double cpus, double gpus, double memory_gb) {
  return {cpus, gpus, memory_gb, static_cast<double>(agent_message_list_bytes)};
}

/// An entry of the cloud's catalog.
struct MachineType {
  Resources capacity;            ///< resources of the whole machine, as machine_capacity() returns them
  double cache_gb = 0;           ///< size of the image cache, in GB
  double fetch_gb_per_s = 0;     ///< rate at which images are fetched, in GB/s
  double price = 0;              ///< price per hour on demand, in the currency
  double spot_price = 0;         ///< price per hour as a spot machine, in the currency
  double boot_s = 0;             ///< typical time from the request to the first report, in seconds
  std::vector<ZoneIndex> zones;  ///< zones in which it is offered
};

/// A kind of machine that can be requested.
struct MachineKind {
  TypeIndex type;     ///< machine type
  ZoneIndex zone;     ///< zone of the machine
  bool spot = false;  ///< whether it is a spot machine, which the cloud may take back
  /// Orders by type, then zone, then spot.
  friend bool operator<(const MachineKind& a, const MachineKind& b) {
    return std::tie(a.type, a.zone, a.spot) < std::tie(b.type, b.zone, b.spot);
  }
  /// Whether type, zone and spot are equal.
  friend bool operator==(const MachineKind& a, const MachineKind& b) {
    return a.type == b.type && a.zone == b.zone && a.spot == b.spot;
  }
};

}  // namespace oxbowmill
