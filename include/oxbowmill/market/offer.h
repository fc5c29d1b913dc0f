// What planning works on: offers of machines and groups of unmet demands. Plain data.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "oxbowmill/autoscaling/machine_source.h"
#include "oxbowmill/market/bid.h"
#include "oxbowmill/market/reputation.h"
#include "oxbowmill/market/settings.h"

namespace oxbowmill::market {

/// Shortest run time of a task that plans assume.
constexpr Seconds min_run_s = 60;

/// Machines that can be bought: a market's quote, or a kind of machine at the platform's posted price. Prices
/// are in the currency per machine and hour.
struct Offer {
  MarketIndex market;                          ///< invalid: the platform's cloud
  TypeIndex type;                              ///< of the machines
  ZoneIndex zone;                              ///< where they are
  bool spot = false;                           ///< may be taken away
  std::uint32_t max_machines = 0;              ///< how many there are
  double expected_price = 0;                   ///< expected final price
  double quoted_price = 0;                     ///< as the market states
  double price_limit = 0;                      ///< most that would be paid
  Seconds promised_delivery_s = 0;             ///< after the bid
  double delivered_fraction = 1;               ///< expected fraction of what is bid for that comes
  DeliveryDistribution delivery_distribution;  ///< of what comes
  bool proven = true;                          ///< reliable enough to be given all machines of a plan
  std::string quote_id;                        ///< the market's name of the quote
  Seconds quote_expires_at = 0;                ///< steady clock
};

/// Unmet demands that are alike to the planner, counted in units: machines of the type that holds most tasks.
struct Demand {
  BidPriority priority = BidPriority::standard;  ///< place in the order of service
  PartitionIndex partition;                      ///< that gets the machines and pays for them
  bool spot = false;                             ///< spot machines are allowed
  ZoneIndex zone;                                ///< the only allowed one; invalid: any
  std::vector<std::uint32_t> per_machine;        ///< by type: tasks that a machine holds; 0: not allowed
  std::uint32_t machines = 0;                    ///< units that are needed
  std::uint32_t extra_machines = 0;              ///< units that may be bought beyond them
  Seconds run_s = 0;                             ///< estimated run time of a task
  Seconds slack_s = 0;                           ///< until a machine must be up to be in time
  std::vector<std::size_t> unmet_demands;        ///< indices of the caller's, in order of urgency
};

/// The demand's place in the order of service: guarantees, then job priorities; best-effort work that has
/// waited long goes before other work beyond guarantees.
BidPriority priority_of(const UnmetDemand& unmet_demand, const Settings& settings);

/// Groups demands that are alike; keeps their order.
std::vector<Demand> group_demands(const std::vector<UnmetDemand>& unmet_demands, const Settings& settings);

}  // namespace oxbowmill::market
