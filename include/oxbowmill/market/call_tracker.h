// Calls to markets that have no answer yet: at most one for each bid, and one of each kind for each market.
// Owns the numbers of calls; used on the controller's thread only.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/market/calls.h"

namespace oxbowmill::market {

/// Numbers the calls and remembers those without an answer.
class CallTracker {
 public:
  /// Numbers the call, remembers it and appends it to `calls`. `now`: seconds, steady clock.
  void send(Call call, Seconds now, std::vector<Call>& calls);
  /// Forgets an answered call and says when it was sent; nothing if it belongs to an earlier leadership,
  /// whose answers say nothing that the next status call does not say.
  [[nodiscard]] std::optional<Seconds> complete(const Call& call);
  /// Whether a call about the bid is without an answer.
  bool has_bid_call(const std::string& bid_name) const { return bids_with_call_.count(bid_name) != 0; }
  /// Whether a call of this kind, about no single bid, is without an answer.
  bool has_market_call(MarketIndex market, CallKind kind) const;
  /// Forgets all calls; their numbers are not used again.
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
