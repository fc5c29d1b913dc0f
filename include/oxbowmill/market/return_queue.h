// Machines on their way back to their markets, until each market has confirmed their return. Owns the queue;
// used on the controller's thread only.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/market/bid_book.h"
#include "oxbowmill/market/call_tracker.h"
#include "oxbowmill/market/machine_callbacks.h"
#include "oxbowmill/market/market_registry.h"

namespace oxbowmill::market {

/// Returns machines and repeats it until the market confirms.
class ReturnQueue {
 public:
  /// All of them must outlive it; `on_returned` may be set later.
  ReturnQueue(const ClusterState& state, const MarketRegistry& markets, BidBook& bids,
              CallTracker& call_tracker, const ReturnHandler& on_returned)
      : state_(state),
        markets_(markets),
        bids_(bids),
        call_tracker_(call_tracker),
        on_returned_(on_returned) {}

  /// Queues a machine; nothing changes if it is queued already. `machine` is invalid if it has no record.
  void add(const std::string& host, MachineIndex machine, Seconds now);
  /// Sends what is due, one call for each market at most.
  void send(Seconds now, std::vector<Call>& calls);
  /// Takes confirmed machines out of the queue and reports them.
  void on_answer(const Call& call, const Answer& answer, Seconds now);
  /// Empties the queue at the end of a leadership and reports its machines as not confirmed.
  void end_leadership();

 private:
  struct PendingReturn {
    MachineIndex machine;  // invalid: it never got a record
    Seconds next_at = 0;
    bool in_flight = false;
  };
  MarketIndex market_of(const std::string& host, const PendingReturn& pending) const;

  const ClusterState& state_;
  const MarketRegistry& markets_;
  BidBook& bids_;
  CallTracker& call_tracker_;
  const ReturnHandler& on_returned_;
  std::map<std::string, PendingReturn> pending_;  // by name of the machine
};

}  // namespace oxbowmill::market
