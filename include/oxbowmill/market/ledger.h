// Money: what has been paid in this window and what open bids may cost at worst, against the ceilings.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "oxbowmill/market/bid.h"
#include "oxbowmill/market/settings.h"

namespace oxbowmill::market {

class Ledger {
 public:
  explicit Ledger(const Settings& settings) : settings_(settings) {}

  /// What the durable record says; spending of an earlier window counts no more.
  void load(const LedgerRecord& rec, double wall);
  /// Takes a bid's worst case, from before its record is written until its end is durable.
  void reserve(const std::string& bid_id, const BidRecord& record, bool starved = false) {
    reservations_[bid_id] = {record, starved};
  }
  void release(const std::string& bid_id) { reservations_.erase(bid_id); }
  void clear() { reservations_.clear(); }

  struct Usage {
    MoneyAmount per_hour = 0, in_window = 0;
  };
  Usage usage() const;
  Usage usage(PartitionIndex partition) const;
  /// Of what is held per hour, how much is for best-effort work that starved.
  MoneyAmount starved_per_hour() const;
  /// Why these machines may not be committed to; nothing when they may.
  std::optional<std::string> rejection_reason(const BidRecord& record) const;
  /// How many machines at this limit the part may still commit to.
  std::uint32_t affordable_machines(PartitionIndex partition, MoneyAmount limit, double max_paid_s) const;
  /// The record after a bid has ended at a cost, shared over its parts by their machines.
  LedgerRecord after_settlement(const BidRecord& record, MoneyAmount charged, double wall) const;
  std::int64_t window_number(double wall) const;

 private:
  const SpendingLimit* team_limit(PartitionIndex partition) const;
  const Settings& settings_;
  LedgerRecord spent_;
  struct Reservation {
    BidRecord record;
    bool starved = false;
  };
  std::map<std::string, Reservation> reservations_;
};

}  // namespace oxbowmill::market
