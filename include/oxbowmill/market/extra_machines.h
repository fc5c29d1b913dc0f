// How much may be bought again for machines that are late. No state.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "oxbowmill/market/bid.h"
#include "oxbowmill/market/planner.h"

namespace oxbowmill::market {

/// Reduces the demands for machines that are late but may still come: within `extra_fraction` of what a
/// partition needs they are bought again, beyond that the least urgent demands wait for a definite answer.
void limit_extra_machines(std::vector<Demand>& demands, const std::map<std::string, Bid>& bids,
                          const Settings& settings, Seconds now);

}  // namespace oxbowmill::market
