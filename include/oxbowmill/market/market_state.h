// The states of the connection to one market and the transitions between them. No state of its own; safe to
// call from any thread.
#pragma once

#include <cstdint>

namespace oxbowmill::market {

/// State of the connection to a market; `MarketClient::set_state` is the one place that changes it.
enum class MarketState : std::uint8_t {
  untried,       ///< no answer received yet
  trading,       ///< answers; bids may be sent
  throttled,     ///< asked for a pause
  unresponsive,  ///< several calls in a row got no answer; no new bids until one does
  probing,       ///< one call is out to see whether it answers again
  suspended,     ///< broke an agreement about money: no new bids until an operator reinstates it
};

/// The state's name in logs.
const char* name_of(MarketState state);

/// Whether `to` is an allowed successor of `from`.
[[nodiscard]] bool may_follow(MarketState from, MarketState to);

}  // namespace oxbowmill::market
