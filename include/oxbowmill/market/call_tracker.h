// Outstanding calls to markets: callers keep at most one for each bid, and one of each kind for each market.
// Assigns the ids of calls; used on the controller's thread only.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/market/calls.h"

namespace oxbowmill::market {

/// Assigns ids to calls and tracks the outstanding ones.
class CallTracker {
 public:
  /// Assigns an id to the call, marks it as outstanding and appends it to `calls`. `now`: steady clock.
  void send(Call call, Seconds now, std::vector<Call>& calls);
  /// Ends an answered call and returns the time at which it was sent; empty if the call belongs to an earlier
  /// leadership. Such an answer is ignored because the next status call returns the same information.
  [[nodiscard]] std::optional<Seconds> complete(const Call& call);
  /// Whether a call about the bid is outstanding.
  bool has_bid_call(const std::string& bid_name) const { return bids_with_call_.count(bid_name) != 0; }
  /// Whether a call of this kind that concerns no single bid is outstanding.
  bool has_market_call(MarketIndex market, CallKind kind) const;
  /// Drops all outstanding calls; their ids are not reused.
  void clear();

 private:
  struct MarketCall {
    std::uint32_t market;
    CallKind kind;
    bool operator<(const MarketCall& other) const {
      return market != other.market ? market < other.market : kind < other.kind;
    }
  };
  std::uint64_t last_call_id_ = 0;
  std::map<std::uint64_t, Seconds> sent_at_;  // by call id
  std::set<std::string> bids_with_call_;
  std::set<MarketCall> markets_with_call_;
};

}  // namespace oxbowmill::market
