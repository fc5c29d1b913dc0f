// Turns needs into bids: who gets how much of what is offered. See docs/markets-design.md for the ways
// weighed.
#pragma once

#include "oxbowmill/autoscaling/machine_source.h"
#include "oxbowmill/market/ledger.h"
#include "oxbowmill/market/reputation.h"

namespace oxbowmill::market {

/// Something that can be had: a market's quote, or a kind of machine at the platform's posted price.
struct Offer {
  MarketIndex market;  // none: the platform's cloud
  TypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  std::uint32_t max_machines = 0;
  double expected_price = 0;  // expected per machine and hour
  double quoted_price = 0;    // as the market says
  double price_limit = 0;     // most that would be paid per machine and hour
  Seconds promised_delivery_s = 0;
  double delivered_fraction = 1;               // expected to come
  DeliveryDistribution delivery_distribution;  // of what comes
  bool proven = true;                          // its share is known well enough to trust it with all
  std::string quote_id;                        // the market's name of it
  Seconds quote_expires_at = 0;
};

/// Needs that are alike to the planner, counted in machines of the reference type.
struct Demand {
  BidPriority priority = BidPriority::standard;
  PartitionIndex partition;
  bool spot = false;
  ZoneIndex zone;
  std::vector<std::uint32_t> per_machine;
  std::uint32_t machines = 0;
  std::uint32_t extra_machines = 0;  // that may be bought beyond them
  Seconds run_s = 0, slack_s = 0;
  std::vector<std::size_t> unmet_demands;  // which of the caller's, in order of urgency
};

struct Award {
  std::size_t demand = 0, offer = 0;
  std::uint32_t machines = 0;
  bool is_extra = false;  // beyond the demand, since not all of it is expected in time
};

struct Plan {
  std::vector<Award> awards;
  double cost = 0;                   // expected, with lateness priced; what the planner minimises
  std::vector<std::uint32_t> unmet;  // by demand: machines
};

/// The need's place in the order: guarantees, then ranks; best-effort work that starves goes before other
/// work beyond guarantees.
BidPriority priority_of(const UnmetDemand& unmet_demand, const Settings& settings);

struct Pricing {
  /// Expected cost of one machine of the offer for the demand: money, and what being late is worth.
  static double expected_cost(const Demand& demand, const Offer& offer, double reference,
                              const Settings& settings);
  /// Chance that a machine of it is there in time, or not much later.
  static double on_time_probability(const Demand& demand, const Offer& offer, const Settings& settings);
  /// Cost of leaving one machine's worth of it unserved.
  static double unserved_cost(const Demand& demand, double reference);
  /// The offer's machines that make one of the reference type; 0: not allowed.
  static double machines_per_unit(const Demand& demand, const Offer& offer);
  /// Most that is bid for it per machine and hour; below the quote: too dear for this demand.
  static double bid_limit(const Demand& demand, const Offer& offer, double reference,
                          const Settings& settings);
};

/// Groups needs that are alike; keeps their order.
std::vector<Demand> group_demands(const std::vector<UnmetDemand>& needs, const Settings& settings);

/// `reference`: the platform's ordinary price of a machine. Claims are served in their order; within one the
/// cost is least for the offers and the money that are left. What is expected not to come in time is bought
/// again elsewhere, within the stated spare, from what then remains: a machine that turns out not to be
/// needed costs the seconds until it goes back, and a late one the work.
Plan make_plan(const std::vector<Demand>& demands, const std::vector<Offer>& offers, const Ledger& ledger,
               double reference, const Settings& settings);

}  // namespace oxbowmill::market
