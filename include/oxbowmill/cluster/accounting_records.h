// Durable records of bids, of the money spent on markets and of how markets behaved. Plain data.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

/// A bid on a market. Its record is written before the bid is sent and kept until its last charge is known
/// (docs/design.md, "Money").
struct BidRecord {
  MarketIndex market;           ///< market on which the bid is made
  TypeIndex type;               ///< machine type
  ZoneIndex zone;               ///< zone of the machines
  bool spot = false;            ///< whether it is for spot machines
  MoneyAmount price_limit = 0;  ///< highest price per machine and hour, in millionths of the currency
  double max_paid_s = 0;        ///< longest time that one machine is paid for, in seconds
  double send_before = 0;       ///< time of day after which it must not be sent for the first time
  double delivery_s = 0;        ///< promised time from the bid to the delivery, in seconds
  std::map<PartitionIndex, std::uint32_t> machines;  ///< number of machines by partition
  /// Kind of machine that the bid is for.
  MachineKind kind() const { return {type, zone, spot}; }
  /// Number of machines over all partitions.
  std::uint32_t count() const {
    std::uint32_t total = 0;
    for (const auto& [partition, machine_count] : machines) total += machine_count;
    return total;
  }
};

/// Money paid in the current budget window. The worst-case cost of open bids comes on top of it.
struct LedgerRecord {
  std::int64_t window = 0;                      ///< number of the window, counted from the epoch
  std::map<PartitionIndex, MoneyAmount> spent;  ///< amount paid, by partition
};

/// Running statistics of a market's behaviour, each with the weight of the samples behind it. The weights of
/// old samples decay.
struct MarketEvidence {
  double delivered = 0;     ///< machines delivered, with decay
  double undelivered = 0;   ///< machines promised and not delivered, with decay
  double delay_weight = 0;  ///< weight of the delay samples
  double delay_mean = 0;    ///< mean of log(actual / promised time to delivery)
  double delay_m2 = 0;      ///< sum of squared deviations from `delay_mean`
  double drift_weight = 0;  ///< weight of the price samples
  double drift_mean = 0;    ///< mean of log(paid / quoted price)
  double drift_m2 = 0;      ///< sum of squared deviations from `drift_mean`
};

/// Suspension and observed behaviour of a market.
struct MarketRecord {
  bool suspended = false;  ///< no new bids until an operator reopens it: it overcharged or broke the protocol
  std::string reason;      ///< why it was suspended, for people
  MarketEvidence evidence;  ///< observed behaviour
};

}  // namespace oxbowmill
