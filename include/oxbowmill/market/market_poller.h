// Polls markets with requests that concern no single bid: quotes while machines are needed, and lists of
// charges while there are open or settled bids. Owns the list of kinds that quotes are requested for; used on
// the controller's thread only.
#pragma once

#include <vector>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/market/bid_book.h"
#include "oxbowmill/market/call_tracker.h"
#include "oxbowmill/market/charge_guard.h"
#include "oxbowmill/market/market_registry.h"

namespace oxbowmill::market {

/// Requests quotes and lists of charges when they are due.
class MarketPoller {
 public:
  /// All arguments must outlive this object.
  MarketPoller(const ClusterState& state, const MarketRegistry& markets, const BidBook& bids,
               const ChargeGuard& charges, CallTracker& call_tracker)
      : state_(state), markets_(markets), bids_(bids), charges_(charges), call_tracker_(call_tracker) {}

  /// Adds the kinds of machines that could serve the demands to those that quotes are requested for.
  void on_demand(const std::vector<UnmetDemand>& unmet_demands, Seconds now);
  /// Whether planning should wait because no market has a valid quote yet and one may still arrive in time.
  bool awaits_first_quotes(Seconds now) const;
  /// Appends the requests that are due.
  void poll(Seconds now, std::vector<Call>& calls);

 private:
  void add_wanted_kinds(const UnmetDemand& unmet_demand);
  void request_quotes(MarketClient& client, bool has_demand, Seconds now, std::vector<Call>& calls);
  void request_charges(MarketClient& client, Seconds now, std::vector<Call>& calls);

  const ClusterState& state_;
  const MarketRegistry& markets_;
  const BidBook& bids_;
  const ChargeGuard& charges_;
  CallTracker& call_tracker_;
  std::vector<MachineKind> wanted_kinds_;  // kinds that quotes are requested for
  Seconds last_demand_at_ = never;         // time of the latest unmet demand
  Seconds demand_since_ = 0;               // start of the current period of unmet demand
};

}  // namespace oxbowmill::market
