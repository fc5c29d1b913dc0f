#include "oxbowmill/market/extra_machines.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace oxbowmill::market {

namespace {
using MachinesByPartition = std::map<PartitionIndex, std::uint32_t>;

/// Late machines of all bids by partition. Deliveries fill the partitions of a bid in order, so the last ones
/// lack machines.
MachinesByPartition late_machines(const std::map<std::string, Bid>& bids, Seconds now) {
  MachinesByPartition late;
  for (const auto& [name, bid] : bids) {
    if (!is_delivery_late(bid, now)) continue;
    std::uint32_t missing = missing_machines(bid);
    for (auto it = bid.record.machines.rbegin(); it != bid.record.machines.rend() && missing > 0; ++it) {
      std::uint32_t machines = std::min(missing, it->second);
      late[it->first] += machines;
      missing -= machines;
    }
  }
  return late;
}

/// Number of extra machines that may still be bought for each partition. Late machines use up this allowance;
/// those that exceed it remain in `late`.
MachinesByPartition remaining_allowance(const std::vector<Demand>& demands, const Settings& settings,
                                        MachinesByPartition& late) {
  MachinesByPartition wanted, allowances;
  for (const Demand& demand : demands) wanted[demand.partition] += demand.machines;
  for (const auto& [partition, machines] : wanted) {
    auto allowance = static_cast<std::uint32_t>(std::ceil(settings.extra_fraction * machines));
    std::uint32_t& late_in_partition = late[partition];
    std::uint32_t covered = std::min(late_in_partition, allowance);
    allowances[partition] = allowance - covered;
    late_in_partition -= covered;
  }
  return allowances;
}
}  // namespace

void limit_extra_machines(std::vector<Demand>& demands, const std::map<std::string, Bid>& bids,
                          const Settings& settings, Seconds now) {
  MachinesByPartition late = late_machines(bids, now);
  MachinesByPartition allowances = remaining_allowance(demands, settings, late);
  for (Demand& demand : demands) {
    std::uint32_t& allowance = allowances[demand.partition];
    demand.extra_machines = std::min(demand.extra_machines, allowance);
    allowance -= demand.extra_machines;
  }
  for (auto demand = demands.rbegin(); demand != demands.rend(); ++demand) {
    std::uint32_t& waiting = late[demand->partition];
    std::uint32_t deferred = std::min(waiting, demand->machines);
    demand->machines -= deferred;
    waiting -= deferred;
  }
}

}  // namespace oxbowmill::market
