// Acquires and renews this process's controller lease, and revokes the leases of the process before it. It
// decides when to call the state service; what the lease permits is ControllerLease's. For the event loop's
// thread.
#pragma once

#include <functional>
#include <set>

#include "oxbowmill/lease/controller_lease.h"
#include "oxbowmill/state/store.h"

namespace oxbowmill::service {

/// Keeps one ControllerLease alive.
class LeaseKeeper {
 public:
  /// `clock`: steady time in seconds. The referenced objects must outlive the keeper, and the store must not
  /// call back once the keeper is gone.
  LeaseKeeper(state::Store& store, ControllerLease& lease, const ClusterState& state,
              std::function<double()> clock);
  /// Acquires or renews when that is due; called every cycle.
  void maintain();
  /// Once, when the replica is complete: revokes leases that an earlier process of this controller left
  /// behind. Returns the partitions it owned under them; empty from the second call on.
  std::set<std::uint32_t> revoke_previous_leases();
  /// Called when a new lease is requested: what was registered under the last one is gone.
  std::function<void()> on_acquiring;

 private:
  void acquire();
  void renew();
  double renewal_interval_s() const;
  bool is_from_previous_process(const OwnershipRecord& record) const;

  state::Store& store_;
  ControllerLease& lease_;
  const ClusterState& state_;
  std::function<double()> clock_;
  double next_attempt_at_ = 0;  // of an acquisition or a renewal
  bool renewing_ = false;
  bool previous_leases_revoked_ = false;
};

}  // namespace oxbowmill::service
