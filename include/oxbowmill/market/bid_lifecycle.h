// State machine of bids from the first call to the definite end: decides each bid's next call and applies the
// answers. Owns no bids; used on the controller's thread only.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "oxbowmill/market/bid_book.h"
#include "oxbowmill/market/call_tracker.h"
#include "oxbowmill/market/charge_guard.h"
#include "oxbowmill/market/delivery_intake.h"
#include "oxbowmill/market/market_registry.h"

namespace oxbowmill::market {

/// Whether the spending limits leave enough money for all work within guarantees. If not, undecided bids for
/// other work are withdrawn.
enum class GuaranteeBudget : std::uint8_t { sufficient, exhausted };

/// Advances bids; `BidAccounting` writes their durable records.
class BidLifecycle {
 public:
  /// All arguments must outlive this object.
  BidLifecycle(const MarketRegistry& markets, BidBook& bids, CallTracker& call_tracker, ChargeGuard& charges,
               DeliveryIntake& deliveries, const Settings& settings)
      : markets_(markets),
        bids_(bids),
        call_tracker_(call_tracker),
        charges_(charges),
        deliveries_(deliveries),
        settings_(settings) {}

  /// Advances all bids and appends the calls that are due.
  void advance(GuaranteeBudget budget, Clock clock, std::vector<Call>& calls);
  /// Applies the answer to a call about one bid.
  void on_answer(const Call& call, const Answer& answer, Clock clock);

 private:
  void advance(Bid& bid, GuaranteeBudget budget, Clock clock, std::vector<Call>& calls);
  bool check_overdue(Bid& bid, Seconds now) const;
  void book_worst_case(Bid& bid);
  void submit(Bid& bid, const MarketClient& client, Clock clock, std::vector<Call>& calls);
  bool send(const Bid& bid, CallKind kind, Clock clock, std::vector<Call>& calls);
  void withdraw(Bid& bid, const std::string& reason) const;
  void on_not_found(Bid& bid, Seconds now) const;
  void on_rejected(Bid& bid, CallKind kind, Seconds now) const;
  void apply_update(Bid& bid, const BidUpdate& update, Clock clock);
  void on_won(Bid& bid, const BidUpdate& update);
  void decide_raise(Bid& bid, const BidUpdate& update) const;
  void finish(Bid& bid, MoneyAmount charged, const std::string& reason) const;
  Seconds final_deadline(const Bid& bid) const;

  const MarketRegistry& markets_;
  BidBook& bids_;
  CallTracker& call_tracker_;
  ChargeGuard& charges_;
  DeliveryIntake& deliveries_;
  const Settings& settings_;
};

}  // namespace oxbowmill::market
