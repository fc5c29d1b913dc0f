// When a bid's machines count as late and as overdue. No state.
#pragma once

#include "oxbowmill/market/bid.h"
#include "oxbowmill/market/market_client.h"

namespace oxbowmill::market {

/// Sets `late_after` and `abandon_at` from the promised delivery and the market's record of delays; `client`
/// is null if the market is not configured.
void set_delivery_deadlines(Bid& bid, const MarketClient* client, const Settings& settings);

}  // namespace oxbowmill::market
