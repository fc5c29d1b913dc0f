// Durable records of what is spent on markets and of how markets behaved. Plain data.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

/// A bid on a market, durable before it is sent and until its last charge is known (docs/design.md, "Money").
struct BidRecord {
  MarketIndex market;           ///< market that it is made on
  TypeIndex type;               ///< type of machine
  ZoneIndex zone;               ///< zone of the machines
  bool spot = false;            ///< for spot machines
  MoneyAmount price_limit = 0;  ///< most per machine and hour
  double max_paid_s = 0;        ///< longest time that a machine is paid for, in seconds
  double send_before = 0;       ///< time of day after which it is no longer sent for the first time
  double delivery_s = 0;        ///< seconds from the bid to the promised delivery
  std::map<PartitionIndex, std::uint32_t> machines;  ///< number of machines by partition
  /// Kind of machine that it is for.
  MachineKind kind() const { return {type, zone, spot}; }
  /// Number of machines for all partitions together.
  std::uint32_t count() const {
    std::uint32_t total = 0;
    for (const auto& [partition, machine_count] : machines) total += machine_count;
    return total;
  }
};

/// What has been paid in the present window; the open bids' worst cases come on top.
struct LedgerRecord {
  std::int64_t window = 0;                      ///< number of the window since the epoch
  std::map<PartitionIndex, MoneyAmount> spent;  ///< by partition
};

/// Running means of what a market did, with the weight of evidence behind them. All weights decay.
struct Evidence {
  double delivered = 0;     ///< machines delivered
  double undelivered = 0;   ///< machines promised and not delivered
  double delay_weight = 0;  ///< weight behind the delay
  double delay_mean = 0;    ///< mean of the log of delay over promise
  double delay_m2 = 0;      ///< sum of squared deviations of it
  double drift_weight = 0;  ///< weight behind the drift
  double drift_mean = 0;    ///< mean of the log of price over quote
  double drift_m2 = 0;      ///< sum of squared deviations of it
};

/// What is known of a market.
struct MarketRecord {
  bool suspended = false;  ///< overcharged or broke the protocol: no new bids until an operator reopens it
  std::string reason;      ///< why it was suspended
  Evidence evidence;       ///< how it behaved
};

}  // namespace oxbowmill
