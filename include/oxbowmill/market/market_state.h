// States of the connection to a market and the allowed transitions between them. Stateless; safe to call from
// any thread.
#pragma once

#include <cstdint>

namespace oxbowmill::market {

/// State of the connection to a market. Only `MarketClient::set_state` changes it.
enum class MarketState : std::uint8_t {
  untried,       ///< no answer received yet
  trading,       ///< the market answers; bids may be sent
  throttled,     ///< the market asked for a pause
  unresponsive,  ///< several consecutive calls failed; no new bids until one is answered
  probing,       ///< one call is outstanding to find out whether the market answers again
  suspended,     ///< overcharged or delivered wrongly; no new bids until an operator reinstates it
};

/// Name of the state in log lines.
const char* name_of(MarketState state);

/// Whether `to` is an allowed successor of `from`.
[[nodiscard]] bool may_follow(MarketState from, MarketState to);

}  // namespace oxbowmill::market
