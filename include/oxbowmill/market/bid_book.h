// The bids of the present leadership and the machines that were delivered under them. Owns both; used on the
// controller's thread only.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "oxbowmill/autoscaling/machine_source.h"
#include "oxbowmill/market/bid.h"

namespace oxbowmill::market {

/// All bids that are not closed, and which bid each delivered machine belongs to.
class BidBook {
 public:
  /// All bids, by name.
  const std::map<std::string, Bid>& bids() const { return bids_; }
  /// All bids, to be followed.
  std::map<std::string, Bid>& bids() { return bids_; }
  /// The bid of this name; null: none.
  Bid* find(const std::string& name);
  /// The bid that a machine was delivered under; null: none, or it is closed.
  Bid* find_by_host(const std::string& host);
  /// Name of the bid that a machine was delivered under, which may be closed; null: none.
  const std::string* bid_name_of_host(const std::string& host) const;
  /// Adds a bid under its name.
  void add(Bid bid);
  /// Removes a bid; its machines stay known as its own.
  void remove(const std::string& name) { bids_.erase(name); }
  /// Notes that a machine was delivered under a bid.
  void set_host(const std::string& host, const std::string& bid_name) { bid_name_by_host_[host] = bid_name; }
  /// Whether any bid is on this market.
  bool has_bids_on(MarketIndex market) const;
  /// Machines for the partition that can still be counted on. A wait is `min_wait_s` at least.
  std::vector<MachineSource::ExpectedMachines> expected(PartitionIndex partition, Seconds now,
                                                        Seconds min_wait_s) const;
  /// Forgets everything.
  void clear();

 private:
  std::map<std::string, Bid> bids_;
  std::map<std::string, std::string> bid_name_by_host_;
};

}  // namespace oxbowmill::market
