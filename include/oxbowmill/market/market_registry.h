// Owns the clients of all configured markets for the lifetime of the bidding service; used on the
// controller's thread only.
#pragma once

#include <memory>
#include <vector>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/market/market_client.h"

namespace oxbowmill::market {

class BidBook;

/// Finds the client of each configured market by its index.
class MarketRegistry {
 public:
  /// `settings` must outlive this object.
  explicit MarketRegistry(const Settings& settings);

  /// Client of the market; null if the market is not configured.
  MarketClient* find(MarketIndex market) const;
  /// Client of a configured market. Throws std::out_of_range if the index is above all configured ones.
  MarketClient& at(MarketIndex market) const { return *by_index_.at(market.value); }
  /// All clients, in the order of their market indices.
  const std::vector<MarketClient*>& clients() const { return configured_; }

  /// Loads the stored records of the markets at the start of a leadership.
  void load_records(const ClusterState& state);
  /// Resets the data that belongs to one leadership: overdue machines and the position in the lists of
  /// charges.
  void end_leadership();
  /// Recomputes for each market the number of machines that are overdue now.
  void update_overdue_machines(const BidBook& bids, Seconds now);
  /// Appends the current offers of all markets.
  void append_offers(Seconds now, std::vector<Offer>& out) const;

 private:
  std::vector<std::unique_ptr<MarketClient>> by_index_;  // null: not configured
  std::vector<MarketClient*> configured_;
};

}  // namespace oxbowmill::market
