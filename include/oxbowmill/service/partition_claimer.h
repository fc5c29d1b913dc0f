// Registers this controller in the state service and acquires unowned partitions. Event loop thread only.
#pragma once

#include <functional>
#include <set>
#include <unordered_map>

#include "oxbowmill/service/state_replica.h"

namespace oxbowmill::service {

/// Competes with the other controllers for partitions without an owner. The state service lets only one
/// controller acquire a partition; staggered attempts spread the partitions and avoid refused writes.
class PartitionClaimer {
 public:
  /// `clock` returns the steady time in seconds. The referenced objects must outlive the claimer, and the
  /// store must not call it back after its destruction.
  PartitionClaimer(state::Store& store, StateReplica& replica, ClusterState& state,
                   const ControllerLease& lease, std::function<double()> clock);
  /// Starts the startup period, during which it is not known which other controllers are live.
  void start() { started_at_ = clock_(); }
  /// Makes due registration and acquisition attempts; called every cycle while the replica is live.
  void run_cycle();
  /// Has this controller registered again without delay; called when a new lease is requested.
  void reset_registration() { next_registration_at_ = 0; }
  /// Adds partitions that the earlier process of this controller owned. The first attempt to acquire them is
  /// not delayed by the staggering.
  void add_previously_owned(const std::set<std::uint32_t>& partitions) {
    previously_owned_.insert(partitions.begin(), partitions.end());
  }

 private:
  using CommitHandler = std::function<void(const state::StoreResponse&)>;
  void register_controller(double now);
  void try_acquire(PartitionIndex partition, const std::vector<std::string>& live, double now);
  /// The number of controllers that should try to acquire the partition before this one.
  std::size_t turn_of(PartitionIndex partition, const std::vector<std::string>& live, double now);
  std::vector<std::string> live_controllers() const;
  /// Writes the registration or ownership record at the key, attached to the controller's lease.
  void put_own_record(const Key& key, const CommitHandler& on_response);

  state::Store& store_;
  StateReplica& replica_;
  ClusterState& state_;
  const ControllerLease& lease_;
  std::function<double()> clock_;
  std::unordered_map<std::uint32_t, double> next_attempt_at_;  // by partition without an owner
  std::set<std::uint32_t> previously_owned_;                   // without an attempt by this process yet
  double next_registration_at_ = 0;
  double started_at_ = 0;
};

}  // namespace oxbowmill::service
