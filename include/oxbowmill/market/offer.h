// Input of the planner: offers of machines and groups of unmet demands. Plain data.
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

/// Lower bound on the run time that planning assumes for a task.
constexpr Seconds min_run_s = 60;

/// Machines that can be bought: a market's quote, or a kind of machine at the cloud's posted price. Prices
/// are in the currency per machine and hour.
struct Offer {
  MarketIndex market;               ///< market of the quote; invalid: the platform's cloud
  TypeIndex type;                   ///< machine type
  ZoneIndex zone;                   ///< zone of the machines
  bool spot = false;                ///< spot machines, which can be reclaimed
  std::uint32_t max_machines = 0;   ///< number of machines on offer
  double expected_price = 0;        ///< expected final price
  double quoted_price = 0;          ///< price that the market quotes
  double price_limit = 0;           ///< highest price to accept
  Seconds promised_delivery_s = 0;  ///< promised time from the bid to the delivery
  double delivered_fraction = 1;    ///< expected fraction of the requested machines that is delivered
  DeliveryDistribution delivery_distribution;  ///< delivery time of the machines that are delivered
  bool is_proven = true;                       ///< market with enough good evidence to supply a whole plan
  std::string quote_id;                        ///< the market's id of the quote
  Seconds quote_expires_at = 0;                ///< steady clock
};

/// A group of similar unmet demands, counted in units. One unit is a machine of the type that holds the most
/// tasks.
struct Demand {
  BidPriority priority = BidPriority::standard;  ///< position in the order of service
  PartitionIndex partition;                      ///< partition that gets the machines and pays for them
  bool spot = false;                             ///< spot machines are allowed
  ZoneIndex zone;                                ///< the only allowed zone; invalid: any
  std::vector<std::uint32_t> tasks_per_machine;  ///< tasks that a machine holds, by type; 0: type not allowed
  std::uint32_t machines = 0;                    ///< needed units
  std::uint32_t extra_machines = 0;              ///< units that may be bought in addition
  Seconds run_s = 0;                             ///< estimated run time of a task
  Seconds slack_s = 0;                           ///< time until a machine must be up to meet the deadline
  std::vector<std::size_t> unmet_demands;        ///< indices of the grouped demands, the most urgent first
};

/// Priority of an unmet demand: guaranteed work first, then starved best-effort work, then other work by job
/// priority. Best-effort work is starved after `starvation_threshold_s`.
BidPriority priority_of(const UnmetDemand& unmet_demand, const Settings& settings);

/// Groups similar unmet demands. Groups are ordered by their first demand.
std::vector<Demand> group_demands(const std::vector<UnmetDemand>& unmet_demands, const Settings& settings);

}  // namespace oxbowmill::market
