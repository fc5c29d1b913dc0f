// Offers and money that remain while a plan serves one priority after the other. A value type that is copied
// to try a reservation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "oxbowmill/market/ledger.h"
#include "oxbowmill/market/offer.h"

namespace oxbowmill::market {

/// Machines and money that a plan may still use.
class RemainingBudget {
 public:
  /// A request for machines of one offer.
  struct Expense {
    std::size_t offer_index = 0;                   ///< index of the offer
    std::uint32_t machines = 0;                    ///< number of machines
    MoneyAmount limit = 0;                         ///< price limit, in millionths per machine and hour
    double max_paid_s = 0;                         ///< longest paid time of each machine, in seconds
    BidPriority priority = BidPriority::standard;  ///< priority of the demand
    PartitionIndex partition;                      ///< partition that pays
  };

  /// Starts with all machines of the offers and the money that the ledger leaves under the spending limits.
  /// All unproven offers of one market together get at most `Settings::trial_fraction` of the demanded units,
  /// but at least one machine.
  RemainingBudget(const std::vector<Demand>& demands, const std::vector<Offer>& offers, const Ledger& ledger,
                  const Settings& settings);

  /// Deducts the expense. Returns false if it does not fit; part of it may have been deducted then.
  bool reserve(const Expense& expense, const Offer& offer);
  /// Remaining machines of an offer.
  std::uint32_t machines_left(std::size_t offer_index) const { return machines_left_by_offer_[offer_index]; }
  /// One above the highest index of a market that has offers.
  std::size_t market_count() const { return unproven_machines_left_by_market_.size(); }
  /// Machines that may still be bought from a market while it is unproven.
  std::uint32_t unproven_machines_left(std::size_t market) const {
    return unproven_machines_left_by_market_[market];
  }

 private:
  struct RemainingMoney {
    MoneyAmount per_hour = unlimited, in_window = unlimited;
  };
  static constexpr MoneyAmount unlimited = -1;
  static MoneyAmount remaining(MoneyAmount limit, MoneyAmount used);
  static bool spend(MoneyAmount& available, MoneyAmount cost);
  bool reserve_money(const Expense& expense, const Offer& offer);

  std::vector<std::uint32_t> machines_left_by_offer_;            // remaining machines by offer
  std::vector<std::uint32_t> unproven_machines_left_by_market_;  // remaining machines by market
  RemainingMoney total_money_;
  MoneyAmount starved_per_hour_ = unlimited;             // for demands with the priority `starved`
  std::map<PartitionIndex, RemainingMoney> team_money_;  // only of partitions with limits of their own
};

}  // namespace oxbowmill::market
