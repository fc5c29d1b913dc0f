#include "oxbowmill/market/delivery_deadlines.h"

#include <algorithm>

namespace oxbowmill::market {

namespace {
// A delivery is late, or overdue, when this fraction of comparable deliveries would have been made.
constexpr double late_probability = 0.8;
constexpr double overdue_probability = 0.95;
}  // namespace

void set_delivery_deadlines(Bid& bid, const MarketClient* client, const Settings& settings) {
  Seconds promised = bid.due_at - bid.first_sent_at;
  Seconds late = promised, overdue = promised;
  if (client != nullptr) {
    Reputation reputation = client->reputation(bid.record.kind());
    Seconds longest = promised + settings.delivery_tolerance_s;
    late = std::max(promised, std::min(reputation.delay_quantile(promised, late_probability), longest));
    overdue = std::max(promised, std::min(reputation.delay_quantile(promised, overdue_probability), longest));
  }
  bid.late_after = bid.first_sent_at + late + settings.answer_timeout_s / 2;
  bid.abandon_at = bid.first_sent_at + overdue + settings.answer_timeout_s;
}

}  // namespace oxbowmill::market
