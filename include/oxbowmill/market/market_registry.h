// The clients of all configured markets, by market index. Owns them for as long as the service lives; used on
// the controller's thread only.
#pragma once

#include <memory>
#include <vector>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/market/market_client.h"

namespace oxbowmill::market {

class BidBook;

/// Owns one client for each configured market.
class MarketRegistry {
 public:
  /// The settings must outlive it.
  explicit MarketRegistry(const Settings& settings);

  /// The market's client; null if the market is not configured.
  MarketClient* find(MarketIndex market) const;
  /// The client of a market that is configured; throws std::out_of_range if its index is beyond all of them.
  MarketClient& at(MarketIndex market) const { return *by_index_.at(market.value); }
  /// All clients, in the order of their markets.
  const std::vector<MarketClient*>& clients() const { return configured_; }

  /// Adopts the stored records at the beginning of a leadership.
  void load_records(const ClusterState& state);
  /// Forgets what belongs to one leadership only.
  void end_leadership();
  /// Counts the machines that are overdue now against their markets, in place of those counted before.
  void update_overdue_machines(const BidBook& bids, Seconds now);
  /// Appends what the markets offer.
  void offers(Seconds now, std::vector<Offer>& out) const;

 private:
  std::vector<std::unique_ptr<MarketClient>> by_index_;  // null: not configured
  std::vector<MarketClient*> configured_;
};

}  // namespace oxbowmill::market
