// Processes deliveries under bids: checks new machines and assigns them to partitions, returns machines that
// do not match the bid, and updates the market's reputation. Stateless apart from the bids; used on the
// controller's thread only.
#pragma once

#include <string>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/market/bid_book.h"
#include "oxbowmill/market/charge_guard.h"
#include "oxbowmill/market/machine_callbacks.h"
#include "oxbowmill/market/market_registry.h"
#include "oxbowmill/market/return_queue.h"

namespace oxbowmill::market {

/// Checks and adopts delivered machines.
class DeliveryIntake {
 public:
  /// All arguments must outlive this object; `on_delivered` may be set later.
  DeliveryIntake(const ClusterState& state, const MarketRegistry& markets, BidBook& bids,
                 ChargeGuard& charges, ReturnQueue& returns, const DeliveryHandler& on_delivered)
      : state_(state),
        markets_(markets),
        bids_(bids),
        charges_(charges),
        returns_(returns),
        on_delivered_(on_delivered) {}

  /// Processes the machines of an update that are new. Disputes the bid if a machine does not belong to it.
  void adopt_hosts(Bid& bid, const BidUpdate& update, Seconds now);
  /// Counts delivered and missing machines in the market's reputation; once for each bid, when its deliveries
  /// end.
  void evaluate(Bid& bid);

 private:
  void adopt_host(Bid& bid, const HostUpdate& host, Seconds now);
  const std::string* other_bid_of(const Bid& bid, const std::string& host, MachineIndex machine) const;

  const ClusterState& state_;
  const MarketRegistry& markets_;
  BidBook& bids_;
  ChargeGuard& charges_;
  ReturnQueue& returns_;
  const DeliveryHandler& on_delivered_;
};

}  // namespace oxbowmill::market
