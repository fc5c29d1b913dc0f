// Requests to markets that concern no single bid: quotes while machines are needed, and lists of charges
// while there are bids. Owns what quotes are asked for; used on the controller's thread only.
#pragma once

#include <vector>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/market/bid_book.h"
#include "oxbowmill/market/call_tracker.h"
#include "oxbowmill/market/charge_guard.h"
#include "oxbowmill/market/market_registry.h"

namespace oxbowmill::market {

/// Keeps quotes and charges up to date.
class MarketPoller {
 public:
  /// All of them must outlive it.
  MarketPoller(const ClusterState& state, const MarketRegistry& markets, const BidBook& bids,
               const ChargeGuard& charges, CallTracker& call_tracker)
      : state_(state), markets_(markets), bids_(bids), charges_(charges), call_tracker_(call_tracker) {}

  /// Notes which kinds of machines are needed now.
  void on_demand(const std::vector<UnmetDemand>& unmet_demands, Seconds now);
  /// Whether a plan should wait a little, since no market has quoted yet and one of them may.
  bool awaits_first_quotes(Seconds now) const;
  /// Appends the requests that are due.
  void poll(Seconds now, std::vector<Call>& calls);

 private:
  void add_wanted_kinds(const UnmetDemand& unmet_demand);
  void request_quotes(MarketClient& client, bool needed, Seconds now, std::vector<Call>& calls);
  void request_charges(MarketClient& client, Seconds now, std::vector<Call>& calls);

  const ClusterState& state_;
  const MarketRegistry& markets_;
  const BidBook& bids_;
  const ChargeGuard& charges_;
  CallTracker& call_tracker_;
  std::vector<MachineKind> wanted_kinds_;  // that quotes are requested for
  Seconds wanted_at_ = never;              // last time that something was needed
  Seconds wanted_since_ = 0;               // begin of the present demand
};

}  // namespace oxbowmill::market
