// Acquires and renews the lease of this controller process, and revokes those of the previous one. Decides
// when to call the state service; ControllerLease decides what the lease permits. Event loop thread only.
#pragma once

#include <functional>
#include <set>

#include "oxbowmill/lease/controller_lease.h"
#include "oxbowmill/state/store.h"

namespace oxbowmill::service {

/// Acquires a ControllerLease and keeps it renewed.
class LeaseKeeper {
 public:
  /// `clock` returns the steady time in seconds. The referenced objects must outlive the keeper, and the
  /// store must not call it back after its destruction.
  LeaseKeeper(state::Store& store, ControllerLease& lease, const ClusterState& state,
              std::function<double()> clock);
  /// Acquires or renews the lease if that is due; called every cycle.
  void maintain();
  /// Revokes the leases that an earlier process of this controller left behind, and returns the partitions
  /// that it owned under them. Call it when the replica is complete; further calls do nothing.
  std::set<std::uint32_t> revoke_previous_leases();
  /// Called when a new lease is requested. The records written under the previous one are gone.
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
  bool is_renewal_in_flight_ = false;
  bool has_revoked_previous_leases_ = false;
};

}  // namespace oxbowmill::service
