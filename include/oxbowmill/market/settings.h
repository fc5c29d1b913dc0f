// What operators say of markets and of what they may cost (`markets:` of the operators' file).
#pragma once

#include <map>
#include <string>
#include <vector>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::market {

constexpr MoneyAmount currency_unit = 1'000'000;  // one of the currency, in Money
/// Quotes and limits above this an hour are taken for errors, so that sums cannot overflow.
constexpr double max_rate = 1e6;

MoneyAmount to_money_amount(double amount);
inline double to_currency(MoneyAmount m) {
  return static_cast<double>(m) / static_cast<double>(currency_unit);
}

/// Most that may be spent; 0: no limit of its own.
struct SpendingLimit {
  MoneyAmount per_hour = 0;    // sum of the limits of all machines that may be running
  MoneyAmount per_window = 0;  // paid in the window, and the worst case of what is open
};

struct MarketSettings {
  std::string name;
  MarketIndex index;
  std::string address;        // "IPv4:port"
  double requests_per_s = 4;  // requests a second to it
  bool paused = false;        // no new bids; open ones are followed and machines go back
  bool reinstate = false;     // trade though it was shut out
};

struct Settings {
  std::vector<MarketSettings> markets;  // empty: the subsystem is off
  SpendingLimit total_limit;            // required when there are markets
  std::map<PartitionIndex, SpendingLimit> team_limits;
  double window_s = 86400;
  double max_paid_s = 1800;          // a machine is paid for at most so long, then it goes back
  double quote_interval_s = 4;       // while something is needed
  double answer_timeout_s = 3;       // a market that has not answered by then gave no answer
  double delivery_tolerance_s = 60;  // beyond a promised delivery, and for needs without a deadline
  double extra_fraction =
      0.5;  // of what is needed may be bought beyond it, for what does not come or is in doubt
  double trial_fraction = 0.3;  // of a plan's machines an unproven market gets at most
  double limit_factor = 1.5;    // limits are at most this times the platform's ordinary price
  double starvation_threshold_s =
      600;  // best-effort work that waited so long goes before other work beyond guarantees
  double starvation_fraction = 0.1;  // of the hourly ceiling, for such work

  bool enabled() const { return !markets.empty(); }
};

}  // namespace oxbowmill::market
