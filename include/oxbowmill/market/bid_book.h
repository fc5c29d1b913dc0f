// In-memory table of the bids of the current leadership and of the machines that were delivered under them.
// Used on the controller's thread only.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "oxbowmill/autoscaling/machine_source.h"
#include "oxbowmill/market/bid.h"

namespace oxbowmill::market {

/// Holds all bids that are not closed, and the name of the bid of each delivered machine.
class BidBook {
 public:
  /// All bids that are not closed, by name.
  const std::map<std::string, Bid>& bids() const { return bids_; }
  /// The same, for updates.
  std::map<std::string, Bid>& bids() { return bids_; }
  /// The bid of this name; null if there is none.
  Bid* find(const std::string& name);
  /// The bid that a machine was delivered under; null if there is none or it is closed.
  Bid* find_by_host(const std::string& host);
  /// Name of the bid that a machine was delivered under; null if there is none. The bid may be closed.
  const std::string* bid_name_of_host(const std::string& host) const;
  /// Adds a bid under its name.
  void add(Bid bid);
  /// Removes a bid; its machines keep their association with its name.
  void remove(const std::string& name) { bids_.erase(name); }
  /// Records that a machine was delivered under a bid.
  void set_host(const std::string& host, const std::string& bid_name) { bid_name_by_host_[host] = bid_name; }
  /// Whether there is a bid on this market.
  bool has_bids_on(MarketIndex market) const;
  /// Missing machines for the partition that can still be counted on. Expected waits are at least
  /// `min_wait_s`.
  std::vector<MachineSource::ExpectedMachines> expected(PartitionIndex partition, Seconds now,
                                                        Seconds min_wait_s) const;
  /// Removes all bids and machines.
  void clear();

 private:
  std::map<std::string, Bid> bids_;
  std::map<std::string, std::string> bid_name_by_host_;
};

}  // namespace oxbowmill::market
