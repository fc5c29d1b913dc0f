// Durable records of bids. The worst-case cost of a bid is reserved and its record is written before the bid
// is sent; the reservation is released when the bid's final cost is durable. Owns the ledger, the revision of
// the current leadership and the numbering of bids; used on the controller's thread only. Outcomes of
// transactions of an earlier leadership are ignored.
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

/// Writes the records of bids, of the ledger and of markets.
class BidAccounting {
 public:
  /// All arguments must outlive this object, which must outlive the scheduler's pending transactions.
  BidAccounting(const ClusterState& state, Scheduler& scheduler, const MarketRegistry& markets, BidBook& bids,
                ChargeGuard& charges, const Settings& settings)
      : state_(state),
        scheduler_(scheduler),
        markets_(markets),
        bids_(bids),
        charges_(charges),
        settings_(settings),
        ledger_(settings) {}

  /// Revision of the leader's ownership of the idle pool, which identifies the leadership; 0: not the leader.
  Revision leadership_revision() const { return leadership_revision_; }
  /// Begins the leadership of this revision.
  void begin_leadership(Revision revision) { leadership_revision_ = revision; }
  /// Ends the leadership and clears the ledger's reservations.
  void end_leadership();
  /// Loads the stored spending. `wall`: seconds since the epoch.
  void load_ledger(double wall) { ledger_.load(state_.accounting.ledger.record, wall); }
  /// Adopts stored bids that are not in memory: bids of an earlier leader, or a bid whose transaction was
  /// given up and applied late. They may have been sent.
  void adopt_records(Clock clock);
  /// Creates a bid: reserves its worst-case cost and queues its record. Logs and does nothing if a spending
  /// limit would be exceeded.
  void commit(const Purchases::BidDraft& draft, Clock clock, Effects& out);
  /// Queues a transaction that closes ended bids and writes changed market records; one transaction at a
  /// time.
  void settle(Clock clock, Effects& out);
  /// Amounts that were spent and that open bids may cost.
  const Ledger& ledger() const { return ledger_; }

 private:
  /// One transaction that closes bids and updates market records.
  struct Settlement {
    Transaction transaction;
    LedgerRecord ledger;                 // record after the costs of all these bids
    std::vector<std::string> bid_names;  // names of the bids that it closes
    std::vector<MarketIndex> markets;    // markets whose records it writes
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
  bool settlement_pending_ = false;  // its transaction has no outcome yet
};

}  // namespace oxbowmill::market
