// Authority of a controller, which depends on its lease of the state service. ControllerLease owns the
// times of one controller's lease; the functions derive from the cluster state whether to write the
// controller's registration and which controller should acquire a partition first. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "oxbowmill/cluster/control_records.h"
#include "oxbowmill/cluster/settings.h"

namespace oxbowmill {

/// State of a controller's lease.
enum class LeaseState : std::uint8_t {
  none,       ///< no lease was requested, or the request failed
  acquiring,  ///< a lease was requested
  active,     ///< the lease was granted and can be renewed
  lost,       ///< the state service reported that the lease has ended
};
/// What a controller may do.
enum class Authority : std::uint8_t {
  none,       ///< nothing, not even answer agents' reports
  read_only,  ///< keep tasks alive, but send no commands
  full,       ///< everything
};

/// Derives a controller's authority from when its last successful renewal was *sent* and from when the last
/// answered watch was sent: a controller that learns of no changes must stop acting just like one that cannot
/// renew its lease. Times are of the steady clock.
class ControllerLease {
 public:
  /// Takes the duration and the read-only period from the present settings.
  explicit ControllerLease(const Settings& settings)
      : duration_s_(settings.operator_settings.controller_lease_s),
        read_only_period_s_(settings.read_only_period_s()) {}

  /// A lease has been requested.
  void on_acquiring() { state_ = LeaseState::acquiring; }
  /// The request for a lease has failed.
  void on_acquire_failed() { state_ = LeaseState::none; }
  /// The lease `id` was granted in response to a request that was sent at `sent_at`.
  void on_granted(std::uint64_t id, Seconds sent_at);
  /// A renewal that was sent at `sent_at` has succeeded.
  void on_renewed(Seconds sent_at) { renewal_sent_at_ = std::max(renewal_sent_at_, sent_at); }
  /// The state service has reported that the lease has ended.
  void on_lost() { state_ = LeaseState::lost; }
  /// A watch that was sent at `sent_at` has been answered.
  void on_watch_answered(Seconds sent_at) { watch_sent_at_ = std::max(watch_sent_at_, sent_at); }

  /// What the controller may do at the time `now`.
  Authority authority(Seconds now) const;
  /// State of the lease.
  LeaseState state() const { return state_; }
  /// Id of the active lease; `no_lease` if none is active.
  std::uint64_t lease_id() const { return state_ == LeaseState::active ? lease_id_ : no_lease; }
  /// When the last granted request or successful renewal was sent.
  Seconds renewal_sent_at() const { return renewal_sent_at_; }

 private:
  double duration_s_;
  double read_only_period_s_;
  LeaseState state_ = LeaseState::none;
  std::uint64_t lease_id_ = no_lease;
  Seconds renewal_sent_at_ = long_ago;
  Seconds watch_sent_at_ = long_ago;
};

class ClusterState;

/// Whether the controller has to write its registration, because the cluster state does not show one under
/// its present lease. It is not enough that the registration was written once: a late copy of an earlier
/// process's registration may overwrite it, and the key is then deleted when the earlier lease ends.
bool needs_registration(const ClusterState& state, const ControllerLease& lease, const std::string& own_name);

/// How many of the `candidates` should try to acquire a partition without an owner before this one;
/// controllers that own fewer partitions go first. The candidates are the live controllers, or every
/// configured one while this controller has just started and cannot tell a dead controller from one that is
/// still starting.
std::size_t acquisition_turn(const ClusterState& state, PartitionIndex partition, const std::string& own_name,
                             const std::vector<std::string>& candidates);

}  // namespace oxbowmill
