// Values offers for demands. Pure functions.
#pragma once

#include "oxbowmill/market/offer.h"

namespace oxbowmill::market {

/// Expected costs and price limits for a demand and an offer, in the currency. `reference_price` is the
/// cloud's lowest posted price of a machine, per hour.
struct Pricing {
  /// Expected cost of one machine of the offer for the demand: its price and the cost of lateness.
  static double expected_cost(const Demand& demand, const Offer& offer, double reference_price,
                              const Settings& settings);
  /// Probability that a machine of the offer is delivered in time, with partial credit for a delivery that is
  /// not much later; 0 to 1.
  static double on_time_probability(const Demand& demand, const Offer& offer, const Settings& settings);
  /// Cost of leaving one unit of the demand unserved.
  static double unserved_cost(const Demand& demand, double reference_price);
  /// Machines of the offer that hold the tasks of one unit; 0: the demand cannot use the offer.
  static double machines_per_unit(const Demand& demand, const Offer& offer);
  /// Highest price to bid per machine and hour. A value below the quoted price means that the offer is too
  /// expensive for the demand.
  static double bid_limit(const Demand& demand, const Offer& offer, double reference_price,
                          const Settings& settings);
};

}  // namespace oxbowmill::market
