// What the service reports about machines; set once by whoever owns them. No state.
#pragma once

#include <functional>
#include <vector>

#include "oxbowmill/cluster/records.h"
#include "oxbowmill/market/calls.h"

namespace oxbowmill::market {

/// A machine that was bid for is there; the record names its market and bid.
using DeliveryHandler = std::function<void(const HostUpdate&, const MachineRecord&)>;
/// Machines are no longer held; `confirmed`: the market said so, otherwise it was not known to have answered.
using ReturnHandler = std::function<void(const std::vector<MachineIndex>&, bool confirmed)>;
/// Machines cost more than was agreed: they are to be drained and returned.
using OverpricedHandler = std::function<void(const std::vector<MachineIndex>&)>;

}  // namespace oxbowmill::market
