// Accounts for money: the amounts paid in the current spending window and the worst-case cost of open bids,
// both checked against the spending limits. Owns the reservations of open bids. Amounts are millionths of the
// currency. Used on the controller's thread only.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "oxbowmill/market/bid.h"
#include "oxbowmill/market/settings.h"

namespace oxbowmill::market {

/// Enforces the operators' spending limits.
class Ledger {
 public:
  /// `settings` must outlive this object.
  explicit Ledger(const Settings& settings) : settings_(settings) {}

  /// Loads the stored record; spending of an earlier window is dropped. `wall`: seconds since the epoch.
  void load(const LedgerRecord& record, double wall);
  /// Reserves the worst-case cost of a bid. The reservation is made before the bid's record is written and is
  /// released when the bid's final cost is durable. `starved`: the bid has the priority `starved`.
  void reserve(const std::string& bid_name, const BidRecord& record, bool starved = false) {
    reservations_[bid_name] = {record, starved};
  }
  /// Releases the reservation of a bid.
  void release(const std::string& bid_name) { reservations_.erase(bid_name); }
  /// Releases all reservations.
  void clear() { reservations_.clear(); }

  /// Amounts that count against a spending limit, in millionths.
  struct Usage {
    MoneyAmount per_hour = 0;   ///< sum of the price limits of all machines of open bids
    MoneyAmount in_window = 0;  ///< amount paid plus the worst-case cost of open bids
  };
  /// Usage of all partitions together.
  Usage usage() const;
  /// Usage of one partition.
  Usage usage(PartitionIndex partition) const;
  /// Sum of the price limits of all machines reserved with the priority `starved`, in millionths per hour.
  MoneyAmount starved_per_hour() const;
  /// Which spending limit the bid would exceed, as a text for logs; empty if it exceeds none.
  [[nodiscard]] std::optional<std::string> rejection_reason(const BidRecord& record) const;
  /// Number of machines at `limit` (millionths per machine and hour), each paid for at most `max_paid_s`
  /// seconds, that the spending limits still allow for the partition.
  std::uint32_t affordable_machines(PartitionIndex partition, MoneyAmount limit, double max_paid_s) const;
  /// The ledger record after a bid has ended at the cost `charged` (millionths), which is split among its
  /// partitions in proportion to their machines.
  LedgerRecord after_settlement(const BidRecord& record, MoneyAmount charged, double wall) const;
  /// Number of the spending window that contains `wall` (seconds since the epoch).
  std::int64_t window_number(double wall) const;

 private:
  struct Reservation {
    BidRecord record;
    bool starved = false;
    MoneyAmount per_hour() const { return record.price_limit * static_cast<MoneyAmount>(record.count()); }
  };
  const SpendingLimit* team_limit(PartitionIndex partition) const;

  const Settings& settings_;
  LedgerRecord spent_;
  std::map<std::string, Reservation> reservations_;  // by bid name
};

}  // namespace oxbowmill::market
