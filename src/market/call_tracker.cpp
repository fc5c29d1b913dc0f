#include "oxbowmill/market/call_tracker.h"

#include <utility>

namespace oxbowmill::market {

void CallTracker::send(Call call, Seconds now, std::vector<Call>& calls) {
  call.id = ++last_call_id_;
  sent_at_[call.id] = now;
  if (call.bid_name.empty()) {
    markets_with_call_.insert({call.market.value, call.kind});
  } else {
    bids_with_call_.insert(call.bid_name);
  }
  calls.push_back(std::move(call));
}

std::optional<Seconds> CallTracker::complete(const Call& call) {
  auto sent = sent_at_.find(call.id);
  if (sent == sent_at_.end()) return std::nullopt;
  Seconds sent_at = sent->second;
  sent_at_.erase(sent);
  if (call.bid_name.empty()) {
    markets_with_call_.erase({call.market.value, call.kind});
  } else {
    bids_with_call_.erase(call.bid_name);
  }
  return sent_at;
}

bool CallTracker::has_market_call(MarketIndex market, CallKind kind) const {
  return markets_with_call_.count({market.value, kind}) != 0;
}

void CallTracker::clear() {
  sent_at_.clear();
  bids_with_call_.clear();
  markets_with_call_.clear();
}

}  // namespace oxbowmill::market
