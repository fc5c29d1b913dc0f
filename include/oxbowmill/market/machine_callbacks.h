// Callbacks by which the bidding service reports changes of machines to the autoscaler. Types only.
#pragma once

#include <functional>
#include <vector>

#include "oxbowmill/cluster/records.h"
#include "oxbowmill/market/calls.h"

namespace oxbowmill::market {

/// Called for a delivered machine; the record names its market and bid.
using DeliveryHandler = std::function<void(const HostUpdate&, const MachineRecord&)>;
/// Called for machines that are no longer held. `confirmed`: the market has confirmed the return; otherwise
/// its answer is unknown.
using ReturnHandler = std::function<void(const std::vector<MachineIndex>&, bool confirmed)>;
/// Called for machines of a disputed bid, which are to be drained and returned.
using DisputeHandler = std::function<void(const std::vector<MachineIndex>&)>;

}  // namespace oxbowmill::market
