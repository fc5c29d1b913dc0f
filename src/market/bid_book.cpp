#include "oxbowmill/market/bid_book.h"

#include <algorithm>
#include <utility>

namespace oxbowmill::market {

Bid* BidBook::find(const std::string& name) {
  auto it = bids_.find(name);
  return it == bids_.end() ? nullptr : &it->second;
}

Bid* BidBook::find_by_host(const std::string& host) {
  const std::string* name = bid_name_of_host(host);
  return name == nullptr ? nullptr : find(*name);
}

const std::string* BidBook::bid_name_of_host(const std::string& host) const {
  auto it = bid_name_by_host_.find(host);
  return it == bid_name_by_host_.end() ? nullptr : &it->second;
}

void BidBook::add(Bid bid) {
  std::string name = bid.name;
  bids_.emplace(std::move(name), std::move(bid));
}

bool BidBook::has_bids_on(MarketIndex market) const {
  return std::any_of(bids_.begin(), bids_.end(),
                     [market](const auto& entry) { return entry.second.record.market == market; });
}

std::vector<MachineSource::ExpectedMachines> BidBook::expected(PartitionIndex partition, Seconds now,
                                                               Seconds min_wait_s) const {
  std::vector<MachineSource::ExpectedMachines> out;
  for (const auto& [name, bid] : bids_) {
    std::uint32_t missing = missing_machines(bid);
    // Machines that are late or given up are not counted on, so that they are bought again and the demand
    // cannot wait forever.
    if (missing == 0 || is_delivery_late(bid, now)) continue;
    auto own = bid.record.machines.find(partition);
    if (own == bid.record.machines.end()) continue;
    // Delivered machines are assigned to the partitions in their order, so the machines of earlier partitions
    // are subtracted to find how many this partition has received.
    std::uint32_t before = 0;
    for (auto it = bid.record.machines.begin(); it != own; ++it) before += it->second;
    std::uint32_t received =
        bid.usable_machines > before ? std::min(bid.usable_machines - before, own->second) : 0;
    std::uint32_t share = std::min(missing, own->second - received);
    if (share > 0)
      out.push_back(
          {bid.record.type, bid.record.zone, bid.record.spot, share, std::max(bid.due_at - now, min_wait_s)});
  }
  return out;
}

void BidBook::clear() {
  bids_.clear();
  bid_name_by_host_.clear();
}

}  // namespace oxbowmill::market
