// Which controller may act: its lease of the state service, and how long it counts. ControllerLease owns the
// times of one controller's lease; the functions derive from the cluster state who should acquire what. Not
// thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "oxbowmill/cluster/control_records.h"
#include "oxbowmill/cluster/settings.h"

namespace oxbowmill {

/// Where a controller's lease is.
enum class LeaseState : std::uint8_t {
  none,       ///< none was requested, or the request failed
  acquiring,  ///< requested
  active,     ///< granted; renewals count from here
  lost,       ///< the state service said that it has ended
};
/// What a controller may do at present.
enum class Authority : std::uint8_t {
  none,       ///< answer nothing on behalf of the controllers
  read_only,  ///< keep tasks alive, order nothing
  full,       ///< everything
};

/// Times a lease from when its last successful renewal was *sent*, and the view of the state from when the
/// last answered watch was sent: a controller that hears nothing new must stop acting as surely as one that
/// cannot renew. Times are of the steady clock.
class ControllerLease {
 public:
  /// Duration and read-only period are the settings' at this time.
  explicit ControllerLease(const Settings& settings)
      : duration_s_(settings.operator_settings.controller_lease_s),
        read_only_period_s_(settings.read_only_period_s()) {}

  /// A lease was requested.
  void on_acquiring() { state_ = LeaseState::acquiring; }
  /// The request failed.
  void on_acquire_failed() { state_ = LeaseState::none; }
  /// The lease was granted in answer to a request sent then.
  void on_granted(std::uint64_t id, Seconds sent_at);
  /// A renewal sent then has succeeded.
  void on_renewed(Seconds sent_at) { renewal_sent_at_ = std::max(renewal_sent_at_, sent_at); }
  /// The state service said that the lease has ended.
  void on_lost() { state_ = LeaseState::lost; }
  /// A watch sent then was answered.
  void on_watch_answered(Seconds sent_at) { watch_sent_at_ = std::max(watch_sent_at_, sent_at); }

  /// What the controller may do now.
  Authority authority(Seconds now) const;
  /// Where the lease is.
  LeaseState state() const { return state_; }
  /// The active lease; `no_lease` where there is none.
  std::uint64_t lease_id() const { return state_ == LeaseState::active ? lease_id_ : no_lease; }
  /// When the last successful renewal was sent.
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

/// Whether the controller has to write its registration: the state does not show it under its present lease.
/// (That it was written once is not enough: a late copy of an earlier process's registration ends with that
/// one's lease, and takes the key along.)
bool needs_registration(const ClusterState& state, const ControllerLease& lease, const std::string& own_name);

/// How many live controllers should try to acquire a partition without owner before this one: those that own
/// fewer partitions first. While a controller is young it cannot tell a dead one from one that is only
/// starting, so it counts `all` of them.
std::size_t acquisition_turn(const ClusterState& state, PartitionIndex partition, const std::string& own_name,
                             const std::vector<std::string>& all);

}  // namespace oxbowmill
