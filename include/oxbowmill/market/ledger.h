// Money: what has been paid in the present window and what open bids may cost at worst, against the spending
// limits. Owns the reservations of open bids; amounts are millionths of the currency. Used on the
// controller's thread only.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "oxbowmill/market/bid.h"
#include "oxbowmill/market/settings.h"

namespace oxbowmill::market {

/// Keeps spending under the operators' limits.
class Ledger {
 public:
  /// The settings must outlive it.
  explicit Ledger(const Settings& settings) : settings_(settings) {}

  /// Adopts the stored record; spending of an earlier window no longer counts. `wall`: seconds since the
  /// epoch.
  void load(const LedgerRecord& record, double wall);
  /// Reserves a bid's worst case, from before its record is written until its end is durable. `starved`: for
  /// best-effort work that starved.
  void reserve(const std::string& bid_name, const BidRecord& record, bool starved = false) {
    reservations_[bid_name] = {record, starved};
  }
  /// Frees a bid's worst case.
  void release(const std::string& bid_name) { reservations_.erase(bid_name); }
  /// Frees all.
  void clear() { reservations_.clear(); }

  /// What counts against a spending limit.
  struct Usage {
    MoneyAmount per_hour = 0;   ///< sum of the limits of the machines of open bids
    MoneyAmount in_window = 0;  ///< paid, and the worst case of open bids
  };
  /// Of all partitions together.
  Usage usage() const;
  /// Of one partition.
  Usage usage(PartitionIndex partition) const;
  /// The hourly part of the reservations for best-effort work that starved.
  MoneyAmount starved_per_hour() const;
  /// Why a bid would exceed a limit; nothing if it does not.
  [[nodiscard]] std::optional<std::string> rejection_reason(const BidRecord& record) const;
  /// How many machines at `limit` (millionths per machine and hour), paid for at most `max_paid_s` seconds,
  /// the partition may still be committed to.
  std::uint32_t affordable_machines(PartitionIndex partition, MoneyAmount limit, double max_paid_s) const;
  /// The record after a bid has ended at a cost, which its partitions share by their machines.
  LedgerRecord after_settlement(const BidRecord& record, MoneyAmount charged, double wall) const;
  /// Number of the window that a time of day (seconds since the epoch) falls in.
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
  std::map<std::string, Reservation> reservations_;  // by name of the bid
};

}  // namespace oxbowmill::market
