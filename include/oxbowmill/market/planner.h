// Assigns offers to demands. Pure functions; docs/markets-design.md compares the methods that were
// considered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "oxbowmill/market/ledger.h"
#include "oxbowmill/market/offer.h"
#include "oxbowmill/market/pricing.h"

namespace oxbowmill::market {

/// Machines of one offer that are assigned to one demand.
struct Award {
  std::size_t demand_index = 0;  ///< index of the demand
  std::size_t offer_index = 0;   ///< index of the offer
  std::uint32_t machines = 0;    ///< number of machines of the offer
  bool is_extra = false;         ///< in addition to the demand, to replace machines that may not come in time
};

/// Result of planning.
struct Plan {
  std::vector<Award> awards;               ///< in the order of service; awards of extra machines last
  double cost = 0;                         ///< expected cost in the currency, including the cost of lateness
  std::vector<std::uint32_t> unmet_units;  ///< by demand: units without machines
};

/// Assigns offers to demands. `reference_price`: the cloud's lowest posted price of a machine, in the
/// currency per hour. Priorities are served in their order; for each of them the expected cost is minimised
/// over the remaining offers and money. Afterwards, machines of unproven markets that are not expected in
/// time are bought again within the allowed extra machines, because a machine that turns out not to be needed
/// costs only the seconds until it is returned, while a missing one costs the deadline.
Plan make_plan(const std::vector<Demand>& demands, const std::vector<Offer>& offers, const Ledger& ledger,
               double reference_price, const Settings& settings);

}  // namespace oxbowmill::market
