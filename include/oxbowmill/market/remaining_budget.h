// Offers and money that are left while a plan serves one priority after the other. Plain data with one
// operation; copied for trials.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "oxbowmill/market/ledger.h"
#include "oxbowmill/market/offer.h"

namespace oxbowmill::market {

/// What a plan may still use.
class RemainingBudget {
 public:
  /// What a number of machines of one offer takes from it.
  struct Expense {
    std::size_t offer_index = 0;                   ///< index of the offer
    std::uint32_t machines = 0;                    ///< of the offer
    MoneyAmount limit = 0;                         ///< millionths per machine and hour
    double max_paid_s = 0;                         ///< each machine is paid for at most so long
    BidPriority priority = BidPriority::standard;  ///< of the demand
    PartitionIndex partition;                      ///< that pays
  };

  /// All of the offers, and what the ledger leaves under the spending limits. An unproven market gets at most
  /// `Settings::trial_fraction` of all demands.
  RemainingBudget(const std::vector<Demand>& demands, const std::vector<Offer>& offers, const Ledger& ledger,
                  const Settings& settings);

  /// Takes the expense off; false if it does not fit, and then it may have been taken off in part.
  bool reserve(const Expense& expense, const Offer& offer);
  /// Machines that are left of an offer.
  std::uint32_t machines_left(std::size_t offer_index) const { return offers_[offer_index]; }
  /// One above the highest number of a market that has offers.
  std::size_t market_count() const { return unproven_.size(); }
  /// Machines that may still be given to a market while it is unproven.
  std::uint32_t unproven_machines_left(std::size_t market) const { return unproven_[market]; }

 private:
  struct Money {
    MoneyAmount per_hour = unlimited, in_window = unlimited;
  };
  static constexpr MoneyAmount unlimited = -1;
  static MoneyAmount remaining(MoneyAmount limit, MoneyAmount used);
  static bool spend(MoneyAmount& left, MoneyAmount cost);
  bool reserve_money(const Expense& expense, const Offer& offer);

  std::vector<std::uint32_t> offers_;    // machines, by offer
  std::vector<std::uint32_t> unproven_;  // machines, by market
  Money total_;
  MoneyAmount starved_per_hour_ = unlimited;  // for work that starved
  std::map<PartitionIndex, Money> teams_;     // those with limits of their own
};

}  // namespace oxbowmill::market
