// The durable side of bids: the worst case of each is committed before it is sent and freed when its end is
// durable. Owns the ledger, the revision of the present leadership and the names of bids; used on the
// controller's thread only. Outcomes of transactions of an earlier leadership are ignored.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/market/bid_book.h"
#include "oxbowmill/market/charge_guard.h"
#include "oxbowmill/market/ledger.h"
#include "oxbowmill/market/market_registry.h"
#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::market {

/// Writes bids, their ends and what is known of markets.
class BidAccounting {
 public:
  /// All of them must outlive it, and it must outlive the scheduler's pending transactions.
  BidAccounting(const ClusterState& state, Scheduler& scheduler, const MarketRegistry& markets, BidBook& bids,
                ChargeGuard& charges, const Settings& settings)
      : state_(state),
        scheduler_(scheduler),
        markets_(markets),
        bids_(bids),
        charges_(charges),
        settings_(settings),
        ledger_(settings) {}

  /// The leader's ownership of the idle pool that all state belongs to; 0: not leading.
  Revision leadership_revision() const { return leadership_revision_; }
  /// Begins a leadership.
  void begin_leadership(Revision revision) { leadership_revision_ = revision; }
  /// Ends it; the ledger's reservations are forgotten.
  void end_leadership();
  /// Loads what was spent, as stored. `wall`: seconds since the epoch.
  void load_ledger(double wall) { ledger_.load(state_.accounting.ledger.record, wall); }
  /// Adopts stored bids that are not known: an earlier leader's, or one whose transaction was given up and
  /// applied late. They may have been sent.
  void adopt_records(Clock clock);
  /// Reserves a draft's worst case and queues its record; nothing happens if a spending limit forbids it.
  void commit(const Purchases::BidDraft& draft, Clock clock, Effects& out);
  /// Queues the ends of bids that are over and the records of markets that changed; one transaction at a
  /// time.
  void settle(Clock clock, Effects& out);
  /// What was spent and what open bids may cost.
  const Ledger& ledger() const { return ledger_; }

 private:
  /// One transaction that ends bids and updates markets.
  struct Settlement {
    Transaction transaction;
    LedgerRecord ledger;               // after all these bids
    std::vector<std::string> bids;     // that it ends
    std::vector<MarketIndex> markets;  // whose records it writes
  };
  BidRecord make_record(const Purchases::BidDraft& draft, Clock clock) const;
  void log_created(const Bid& bid, double limit) const;
  void queue_commit(const Bid& bid, Effects& out);
  void on_commit_outcome(const std::string& bid_name);
  void add_finished_bids(Settlement& settlement, double wall);
  void add_changed_markets(Settlement& settlement) const;
  void on_settlement_outcome(const std::vector<std::string>& bid_names,
                             const std::vector<MarketIndex>& markets);

  const ClusterState& state_;
  Scheduler& scheduler_;
  const MarketRegistry& markets_;
  BidBook& bids_;
  ChargeGuard& charges_;
  const Settings& settings_;
  Ledger ledger_;
  Revision leadership_revision_ = 0;
  std::uint64_t last_bid_number_ = 0;
  bool settling_ = false;  // a settlement's outcome is not known yet
};

}  // namespace oxbowmill::market
