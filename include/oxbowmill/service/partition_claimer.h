// Registers this controller in the state service and acquires the partitions that nobody owns. For the event
// loop's thread.
#pragma once

#include <functional>
#include <set>
#include <unordered_map>

#include "oxbowmill/service/state_replica.h"

namespace oxbowmill::service {

/// Competes with the other controllers for partitions without an owner. The state service decides; staggered
/// attempts only spread the partitions and avoid refused writes.
class PartitionClaimer {
 public:
  /// `clock`: steady time in seconds. The referenced objects must outlive the claimer, and the store must not
  /// call back once it is gone.
  PartitionClaimer(state::Store& store, StateReplica& replica, ClusterState& state,
                   const ControllerLease& lease, std::function<double()> clock);
  /// The process is about to serve: the startup period counts from here.
  void start() { started_at_ = clock_(); }
  /// Registration and acquisition attempts that are due; called every cycle while the replica is live.
  void run_cycle();
  /// A new lease is requested, so that this controller has to be registered again without delay.
  void reset_registration() { next_registration_at_ = 0; }
  /// These partitions were owned by the earlier process of this controller: they are acquired without
  /// stagger.
  void add_previously_owned(const std::set<std::uint32_t>& partitions) {
    previously_owned_.insert(partitions.begin(), partitions.end());
  }

 private:
  using CommitHandler = std::function<void(const state::StoreResponse&)>;
  void register_controller(double now);
  void try_acquire(PartitionIndex partition, const std::vector<std::string>& live, double now);
  std::size_t turn_of(PartitionIndex partition, const std::vector<std::string>& live, double now);
  std::vector<std::string> live_controllers() const;
  /// Writes the ownership record under the controller's lease.
  void put_own_record(const Key& key, const CommitHandler& on_response);

  state::Store& store_;
  StateReplica& replica_;
  ClusterState& state_;
  const ControllerLease& lease_;
  std::function<double()> clock_;
  std::unordered_map<std::uint32_t, double> attempt_at_;  // by unowned partition: when to try next
  std::set<std::uint32_t> previously_owned_;              // not yet tried by this process
  double next_registration_at_ = 0;
  double started_at_ = 0;
};

}  // namespace oxbowmill::service
