// What the platform offers: machine types, and the kinds of machine that can be requested. Plain data.
#pragma once

#include <tuple>
#include <vector>

#include "oxbowmill/cluster/index.h"
#include "oxbowmill/cluster/resources.h"

namespace oxbowmill {

/// An entry of the cloud's catalogue.
struct MachineType {
  Resources capacity;            ///< of the whole machine
  double cache_gb = 0;           ///< size of the image cache
  double fetch_gb_per_s = 0;     ///< rate at which images are fetched
  double price = 0;              ///< on demand, per hour
  double spot_price = 0;         ///< as spot machine, per hour
  double boot_s = 0;             ///< from the request to the first report, typically
  std::vector<ZoneIndex> zones;  ///< where it is offered
};

/// A kind of machine that can be requested.
struct MachineKind {
  TypeIndex type;     ///< its type
  ZoneIndex zone;     ///< where it is
  bool spot = false;  ///< may be taken back by the cloud
  /// By type, zone and spot, in this order.
  friend bool operator<(const MachineKind& a, const MachineKind& b) {
    return std::tie(a.type, a.zone, a.spot) < std::tie(b.type, b.zone, b.spot);
  }
  /// Equal in all three.
  friend bool operator==(const MachineKind& a, const MachineKind& b) {
    return a.type == b.type && a.zone == b.zone && a.spot == b.spot;
  }
};

}  // namespace oxbowmill
