// What operators set for markets and for spending on them (`markets:` of the operators' file). Plain data,
// constant once loaded.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::market {

/// Earlier than any time of the steady clock: it has not happened.
constexpr Seconds never = -1e9;
/// Rates are for an hour, times are in seconds.
constexpr double seconds_per_hour = 3600;

/// One of the currency, in a `MoneyAmount`, which counts millionths.
constexpr MoneyAmount currency_unit = 1'000'000;
/// Quotes and limits above this (the currency per hour) are taken for errors, so that sums cannot overflow.
constexpr double max_rate = 1e6;

/// An amount of the currency in millionths, rounded to the nearest.
MoneyAmount to_money_amount(double amount);
/// Millionths as an amount of the currency.
inline double to_currency(MoneyAmount amount) {
  return static_cast<double>(amount) / static_cast<double>(currency_unit);
}

/// Most that may be spent, in millionths; 0: no limit of its own.
struct SpendingLimit {
  MoneyAmount per_hour = 0;    ///< sum of the limits of all machines that may be running
  MoneyAmount per_window = 0;  ///< paid in the window, and the worst case of what is open
};

/// One market.
struct MarketSettings {
  std::string name;           ///< the names of its machines begin with it and a dot
  MarketIndex index;          ///< of the name
  std::string address;        ///< "IPv4:port"
  double requests_per_s = 4;  ///< most requests a second to it
  bool paused = false;        ///< no new bids; open ones are followed and machines are returned
  bool reinstate = false;     ///< trade with it although it was suspended
};

/// All settings of bidding.
struct Settings {
  std::vector<MarketSettings> markets;                  ///< empty: there is no bidding
  SpendingLimit total_limit;                            ///< required if there are markets
  std::map<PartitionIndex, SpendingLimit> team_limits;  ///< narrower limits of partitions
  double window_s = 86400;                              ///< length of a spending window
  double max_paid_s = 1800;             ///< a machine is paid for at most so long, then it is returned
  double quote_interval_s = 4;          ///< between requests for quotes while something is needed
  double answer_timeout_s = 3;          ///< after this a call counts as not answered
  double delivery_tolerance_s = 60;     ///< beyond a promised delivery, and for demands without a deadline
  double extra_fraction = 0.5;          ///< of what is needed that may be bought beyond it, for late machines
  double trial_fraction = 0.3;          ///< of a plan's machines that an unproven market gets at most
  double limit_factor = 1.5;            ///< limits are at most this times the platform's ordinary price
  double starvation_threshold_s = 600;  ///< best-effort work that waited so long goes before other work
                                        ///< beyond guarantees
  double starvation_fraction = 0.1;     ///< of the hourly limit that such work may use

  /// Whether there is bidding.
  bool enabled() const { return !markets.empty(); }
};

}  // namespace oxbowmill::market
