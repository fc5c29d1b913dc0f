// Turns demands into awards: who gets how many machines of which offer. Pure functions;
// docs/markets-design.md compares the methods that were considered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "oxbowmill/market/ledger.h"
#include "oxbowmill/market/offer.h"
#include "oxbowmill/market/pricing.h"

namespace oxbowmill::market {

/// Machines of one offer for one demand.
struct Award {
  std::size_t demand = 0;      ///< index of the demand
  std::size_t offer = 0;       ///< index of the offer
  std::uint32_t machines = 0;  ///< of the offer's type
  bool is_extra = false;       ///< beyond the demand, since not all of it is expected in time
};

/// The result of planning.
struct Plan {
  std::vector<Award> awards;         ///< in order of service
  double cost = 0;                   ///< expected, lateness included, in the currency; what is minimised
  std::vector<std::uint32_t> unmet;  ///< by demand: units that got nothing
};

/// Deals out offers. `reference`: the platform's ordinary price of a machine, in the currency per hour.
/// Priorities are served in their order; within one the cost is least for the offers and the money that are
/// left. What is not expected in time is then bought again elsewhere, within the allowed extras: a machine
/// that turns out not to be needed costs the seconds until it is returned, a missing one the deadline.
Plan make_plan(const std::vector<Demand>& demands, const std::vector<Offer>& offers, const Ledger& ledger,
               double reference, const Settings& settings);

}  // namespace oxbowmill::market
