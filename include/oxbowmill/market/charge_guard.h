// Checks what markets charge against what was agreed, for open bids and for settled ones; a market that
// charges more is suspended. Owns the costs of the bids settled in this leadership; used on the controller's
// thread only.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/market/bid_book.h"
#include "oxbowmill/market/machine_callbacks.h"
#include "oxbowmill/market/market_registry.h"

namespace oxbowmill::market {

/// Finds charges that break an agreement.
class ChargeGuard {
 public:
  /// All of them must outlive it; `on_overpriced` may be set later.
  ChargeGuard(const ClusterState& state, const MarketRegistry& markets, BidBook& bids,
              const OverpricedHandler& on_overpriced)
      : state_(state), markets_(markets), bids_(bids), on_overpriced_(on_overpriced) {}

  /// Disputes the bid if `charged` (millionths, so far) is more than it can cost by now.
  void check_charge(Bid& bid, MoneyAmount charged, Seconds now);
  /// Reads a market's list of charges. `leadership_revision` tells the bids of this leadership by their
  /// names.
  void on_charges(MarketClient& client, const Answer& answer, Revision leadership_revision, Seconds now);
  /// Suspends the bid's market and has the bid's machines returned. The reason is stored.
  void dispute(Bid& bid, const std::string& why);
  /// Remembers what a bid cost in the end (millionths).
  void on_settled(const Bid& bid);
  /// Whether any bid was settled in this leadership.
  bool has_settled_bids() const { return !settled_costs_.empty(); }
  /// Forgets the settled bids.
  void end_leadership() { settled_costs_.clear(); }

 private:
  void check_settled_charge(MarketClient& client, const ChargeUpdate& charge, Revision leadership_revision);

  const ClusterState& state_;
  const MarketRegistry& markets_;
  BidBook& bids_;
  const OverpricedHandler& on_overpriced_;
  std::map<std::string, MoneyAmount> settled_costs_;  // by name of the bid
};

}  // namespace oxbowmill::market
