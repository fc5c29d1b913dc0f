#include "oxbowmill/market/delivery_deadlines.h"

#include <algorithm>

namespace oxbowmill::market {

namespace {
// A delivery is late, or overdue, when this fraction of comparable deliveries would have been made.
constexpr double late_probability = 0.8;
constexpr double overdue_probability = 0.95;
}  // namespace

void set_delivery_deadlines(Bid& bid, const MarketClient* client, const Settings& settings) {
  Seconds promised_s = bid.due_at - bid.first_sent_at;
  Seconds late_s = promised_s, overdue_s = promised_s;
  if (client != nullptr) {
    Reputation reputation = client->reputation(bid.record.kind());
    Seconds longest_s = promised_s + settings.delivery_tolerance_s;
    late_s =
        std::max(promised_s, std::min(reputation.delay_quantile(promised_s, late_probability), longest_s));
    overdue_s =
        std::max(promised_s, std::min(reputation.delay_quantile(promised_s, overdue_probability), longest_s));
  }
  bid.late_after = bid.first_sent_at + late_s + settings.answer_timeout_s / 2;
  bid.abandon_at = bid.first_sent_at + overdue_s + settings.answer_timeout_s;
}

}  // namespace oxbowmill::market
