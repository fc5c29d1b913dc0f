// What offers are worth to demands. Pure functions.
#pragma once

#include "oxbowmill/market/offer.h"

namespace oxbowmill::market {

/// Costs and limits for one demand and one offer, in the currency. `reference` is the platform's ordinary
/// price of a machine, per hour.
struct Pricing {
  /// Expected cost of one machine of the offer for the demand: money, and the cost of lateness.
  static double expected_cost(const Demand& demand, const Offer& offer, double reference,
                              const Settings& settings);
  /// Chance that a machine of the offer is there in time, or not much later; 0 to 1.
  static double on_time_probability(const Demand& demand, const Offer& offer, const Settings& settings);
  /// Cost of leaving one unit of the demand unserved.
  static double unserved_cost(const Demand& demand, double reference);
  /// Machines of the offer that make one unit; 0: not allowed.
  static double machines_per_unit(const Demand& demand, const Offer& offer);
  /// Most that is bid for it per machine and hour; below the quote: too expensive for this demand.
  static double bid_limit(const Demand& demand, const Offer& offer, double reference,
                          const Settings& settings);
};

}  // namespace oxbowmill::market
