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
  void hold(const std::string& bid, const BidRecord& rec, bool starved = false) {
    held_[bid] = {rec, starved};
  }
  void release(const std::string& bid) { held_.erase(bid); }
  void clear() { held_.clear(); }

  struct Use {
    Money per_hour = 0, in_window = 0;
  };
  Use use() const;
  Use use(PartIndex part) const;
  /// Of what is held per hour, how much is for best-effort work that starved.
  Money for_starved() const;
  /// Why these machines may not be committed to; nothing when they may.
  std::optional<std::string> refusal(const BidRecord& rec) const;
  /// How many machines at this limit the part may still commit to.
  std::uint32_t room(PartIndex part, Money limit, double term_s) const;
  /// The record after a bid has ended at a cost, shared over its parts by their machines.
  LedgerRecord after(const BidRecord& rec, Money charged, double wall) const;
  std::int64_t window(double wall) const;

 private:
  const Ceiling* team(PartIndex part) const;
  const Settings& settings_;
  LedgerRecord paid_;
  struct Held {
    BidRecord rec;
    bool starved = false;
  };
  std::map<std::string, Held> held_;
};

}  // namespace oxbowmill::market
