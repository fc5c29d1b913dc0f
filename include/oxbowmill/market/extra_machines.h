// Limits how many machines are bought again in place of late ones. Stateless.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "oxbowmill/market/bid.h"
#include "oxbowmill/market/planner.h"

namespace oxbowmill::market {

/// Limits the machines that are bought again for each partition, because late machines may still be
/// delivered: up to `extra_fraction` of the partition's demand is bought again. Late machines beyond that
/// reduce the least urgent demands, which wait for the market's definite answer.
void limit_extra_machines(std::vector<Demand>& demands, const std::map<std::string, Bid>& bids,
                          const Settings& settings, Seconds now);

}  // namespace oxbowmill::market
