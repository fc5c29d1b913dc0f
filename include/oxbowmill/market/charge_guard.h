// Compares the charges of markets with the agreed prices, for open and for settled bids. A market that
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

/// Detects charges that exceed the agreed price.
class ChargeGuard {
 public:
  /// All arguments must outlive this object; `on_disputed` may be set later.
  ChargeGuard(const ClusterState& state, const MarketRegistry& markets, BidBook& bids,
              const DisputeHandler& on_disputed)
      : state_(state), markets_(markets), bids_(bids), on_disputed_(on_disputed) {}

  /// Disputes the bid if `charged` (total so far, in millionths) exceeds its highest possible cost at `now`.
  void check_charge(Bid& bid, MoneyAmount charged, Seconds now);
  /// Checks a market's list of charges. `leadership_revision` identifies the bids of this leadership by their
  /// name prefix.
  void on_charges(MarketClient& client, const Answer& answer, Revision leadership_revision, Seconds now);
  /// Suspends the bid's market and reports the bid's machines to `on_disputed`. The reason is stored with
  /// the market's record.
  void dispute(Bid& bid, const std::string& reason);
  /// Stores the final cost of a settled bid for later checks.
  void on_settled(const Bid& bid);
  /// Whether any bid was settled in this leadership.
  bool has_settled_bids() const { return !settled_costs_.empty(); }
  /// Discards the costs of settled bids.
  void end_leadership() { settled_costs_.clear(); }

 private:
  void check_settled_charge(MarketClient& client, const ChargeUpdate& charge, Revision leadership_revision);

  const ClusterState& state_;
  const MarketRegistry& markets_;
  BidBook& bids_;
  const DisputeHandler& on_disputed_;
  std::map<std::string, MoneyAmount> settled_costs_;  // by bid name
};

}  // namespace oxbowmill::market
