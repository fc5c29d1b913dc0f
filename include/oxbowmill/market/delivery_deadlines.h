// Computes when the missing machines of a bid count as late and as overdue. Stateless.
#pragma once

#include "oxbowmill/market/bid.h"
#include "oxbowmill/market/market_client.h"

namespace oxbowmill::market {

/// Sets `late_after` and `abandon_at` from the promised delivery time and the market's observed delays.
/// `client` is null if the market is not configured; then only the promise counts.
void set_delivery_deadlines(Bid& bid, const MarketClient* client, const Settings& settings);

}  // namespace oxbowmill::market
