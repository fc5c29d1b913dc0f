// Where machines can be bought, behind one interface: the platform's cloud at its posted price, and markets
// that quote prices and hold auctions. Interfaces only; they are called on the controller's thread.
#pragma once

#include <map>
#include <vector>

#include "oxbowmill/market/planner.h"

namespace oxbowmill::market {

/// What the awards of one plan amount to: bids to be made and tasks that the cloud is asked to serve.
struct Purchases {
  /// Machines of one offer at one limit; becomes a bid.
  struct BidDraft {
    Offer offer;                                       ///< the quote that it answers
    BidPriority priority = BidPriority::standard;      ///< of the work that it is for
    double limit = 0;                                  ///< most per machine and hour, in the currency
    std::map<PartitionIndex, std::uint32_t> machines;  ///< machines for each partition
  };
  std::vector<BidDraft> drafts;            ///< in the order of the first award that each came from
  std::vector<std::uint32_t> cloud_tasks;  ///< by unmet demand: tasks for which the cloud is asked
};

/// Something that offers machines and can be bought from.
class OfferSource {
 public:
  virtual ~OfferSource() = default;
  /// Appends what can be bought at `now` (seconds, steady clock).
  virtual void offers(Seconds now, std::vector<Offer>& out) const = 0;
  /// Adds an award of one of its offers to the purchases. `reference` is the platform's ordinary price of a
  /// machine, in the currency per hour.
  virtual void buy(const Award& award, const Offer& offer, const Demand& demand,
                   const std::vector<UnmetDemand>& unmet_demands, double reference, Purchases& out) const = 0;
};

}  // namespace oxbowmill::market
