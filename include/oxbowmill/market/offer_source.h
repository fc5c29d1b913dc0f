// Common interface of the sources from which machines can be bought: the platform's cloud at its posted
// prices, and markets that quote prices and hold auctions. Called on the controller's thread only.
#pragma once

#include <map>
#include <vector>

#include "oxbowmill/market/planner.h"

namespace oxbowmill::market {

/// Result of one plan: bids to be made, and tasks to be served by the cloud.
struct Purchases {
  /// Machines of one offer at one price limit; each draft becomes a bid.
  struct BidDraft {
    Offer offer;                                   ///< the quote that the bid refers to
    BidPriority priority = BidPriority::standard;  ///< priority of the work that it serves
    double limit = 0;                              ///< highest price per machine and hour, in the currency
    std::map<PartitionIndex, std::uint32_t> machines;  ///< number of machines by partition
  };
  std::vector<BidDraft> drafts;            ///< in the order of the first award of each draft
  std::vector<std::uint32_t> cloud_tasks;  ///< by unmet demand: tasks to request from the cloud
};

/// A source of offers.
class OfferSource {
 public:
  virtual ~OfferSource() = default;
  /// Appends the offers that can be bought at `now` (steady clock).
  virtual void append_offers(Seconds now, std::vector<Offer>& out) const = 0;
  /// Adds the award of one of this source's offers to the purchases. `reference_price` is the cloud's lowest
  /// posted price of a machine, in the currency per hour.
  virtual void add_purchase(const Award& award, const Offer& offer, const Demand& demand,
                            const std::vector<UnmetDemand>& unmet_demands, double reference_price,
                            Purchases& out) const = 0;
};

}  // namespace oxbowmill::market
