// Queue of machines that are being returned to their markets. A machine stays queued until its market
// confirms the return. Used on the controller's thread only.
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

/// Returns machines to their markets and retries until each return is confirmed.
class ReturnQueue {
 public:
  /// All arguments must outlive this object; `on_returned` may be set later.
  ReturnQueue(const ClusterState& state, const MarketRegistry& markets, BidBook& bids,
              CallTracker& call_tracker, const ReturnHandler& on_returned)
      : state_(state),
        markets_(markets),
        bids_(bids),
        call_tracker_(call_tracker),
        on_returned_(on_returned) {}

  /// Queues a machine; has no effect if it is already queued. `machine` is invalid if it has no record.
  void add(const std::string& host, MachineIndex machine, Seconds now);
  /// Sends the returns that are due, with at most one outstanding call for each market.
  void send(Seconds now, std::vector<Call>& calls);
  /// Removes confirmed machines from the queue and reports them; schedules a retry for the others.
  void on_answer(const Call& call, const Answer& answer, Seconds now);
  /// Clears the queue at the end of a leadership and reports its machines as unconfirmed.
  void end_leadership();

 private:
  struct PendingReturn {
    MachineIndex machine;  // invalid: the machine has no record
    Seconds next_attempt_at = 0;
    bool in_flight = false;
  };
  MarketIndex market_of(const std::string& host, const PendingReturn& pending) const;

  const ClusterState& state_;
  const MarketRegistry& markets_;
  BidBook& bids_;
  CallTracker& call_tracker_;
  const ReturnHandler& on_returned_;
  std::map<std::string, PendingReturn> pending_;  // by machine name
};

}  // namespace oxbowmill::market
