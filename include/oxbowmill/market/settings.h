// Operators' settings of markets and spending (section `markets:` of the configuration file). Plain data,
// constant once loaded.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::market {

/// Time of an event that has not happened; earlier than any time of the steady clock.
constexpr Seconds never = -1e9;
/// Converts between rates, which are per hour, and times, which are in seconds.
constexpr double seconds_per_hour = 3600;

/// One unit of the currency as a `MoneyAmount`, which counts millionths.
constexpr MoneyAmount currency_unit = 1'000'000;
/// Quotes and limits above this (in the currency per hour) are treated as errors, so that sums cannot
/// overflow.
constexpr double max_rate = 1e6;

/// Converts an amount of the currency to millionths, rounded to the nearest.
MoneyAmount to_money_amount(double amount);
/// Converts millionths to an amount of the currency.
inline double to_currency(MoneyAmount amount) {
  return static_cast<double>(amount) / static_cast<double>(currency_unit);
}

/// Limits on spending, in millionths; 0: unlimited.
struct SpendingLimit {
  MoneyAmount per_hour = 0;    ///< limit on the sum of the price limits of all machines of open bids
  MoneyAmount per_window = 0;  ///< limit on the paid amount plus the worst-case cost of open bids
};

/// Settings of one market.
struct MarketSettings {
  std::string name;           ///< name; machine names begin with it and a dot
  MarketIndex index;          ///< index of the name
  std::string address;        ///< "IPv4:port"
  double requests_per_s = 4;  ///< highest rate of requests to it
  bool paused = false;        ///< no new bids; open bids are still tracked and machines returned
  bool reinstate = false;     ///< ignore a stored suspension of the market
};

/// Settings of the bidding service.
struct Settings {
  std::vector<MarketSettings> markets;  ///< empty: bidding is disabled
  SpendingLimit total_limit;            ///< limit for all partitions together; required if there are markets
  std::map<PartitionIndex, SpendingLimit> team_limits;  ///< additional limits by partition
  double window_s = 86400;                              ///< length of a spending window
  double max_paid_s = 1800;          ///< longest time that a machine is paid for; then it is returned
  double quote_interval_s = 4;       ///< time between requests for quotes while machines are needed
  double answer_timeout_s = 3;       ///< a call without an answer is given up after this
  double delivery_tolerance_s = 60;  ///< accepted delay after a promised delivery; also the assumed slack of
                                     ///< demands without a deadline
  double extra_fraction = 0.5;       ///< fraction of a demand that may be bought in addition, to replace late
                                     ///< machines
  double trial_fraction = 0.3;       ///< largest fraction of a plan's machines for an unproven market
  double limit_factor = 1.5;         ///< price limits are at most this multiple of the cloud's lowest price
  double starvation_threshold_s = 600;  ///< best-effort work that waited longer is served before other
                                        ///< work beyond guarantees
  double starvation_fraction = 0.1;     ///< fraction of the total hourly limit for such starved work

  /// Whether bidding is enabled.
  bool enabled() const { return !markets.empty(); }
};

}  // namespace oxbowmill::market
