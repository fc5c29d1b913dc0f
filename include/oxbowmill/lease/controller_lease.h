// Who may act: the node's hold on the state service, and how long its word counts.
#pragma once

#include <string>
#include <vector>

#include "oxbowmill/cluster/settings.h"

namespace oxbowmill {

enum class LeaseState : std::uint8_t { none, acquiring, active, lost };
enum class Authority : std::uint8_t {
  none,       // answer nothing on behalf of the controllers
  read_only,  // keep tasks alive, order nothing
  full,
};

/// Times a hold from when its last successful renewal was *sent*, and the view of the state from when the
/// last answered watch was sent: a node that hears nothing new must stop acting as surely as one that
/// cannot renew.
class ControllerLease {
 public:
  explicit ControllerLease(const Settings& settings)
      : duration_s_(settings.operator_settings.controller_lease_s),
        read_only_period_s_(settings.read_only_period_s()) {}

  void on_acquiring() { set_state(LeaseState::acquiring); }
  void on_acquire_failed() { set_state(LeaseState::none); }
  void on_granted(std::uint64_t id, Seconds sent_at);
  void on_renewed(Seconds sent_at) { renewal_sent_at_ = std::max(renewal_sent_at_, sent_at); }
  void on_lost() { set_state(LeaseState::lost); }
  void on_watch_answered(Seconds sent_at) { watch_sent_at_ = std::max(watch_sent_at_, sent_at); }

  Authority authority(Seconds now) const;
  LeaseState state() const { return state_; }
  std::uint64_t lease_id() const { return state_ == LeaseState::active ? lease_id_ : 0; }
  Seconds renewal_sent_at() const { return renewal_sent_at_; }

 private:
  void set_state(LeaseState s) { state_ = s; }
  double duration_s_, read_only_period_s_;
  LeaseState state_ = LeaseState::none;
  std::uint64_t lease_id_ = 0;
  Seconds renewal_sent_at_ = -1e9, watch_sent_at_ = -1e9;
};

class ClusterState;

/// The node is to write its key: the tables do not show it under its present hold. (Once written is not
/// enough: a late copy of an earlier process's goes with that one's hold, and takes the key along.)
bool needs_registration(const ClusterState& model, const ControllerLease& lease, const std::string& own_name);

/// How many live nodes should try to claim an ownerless part before this one: those that hold fewer parts
/// first. While a node is young it cannot tell a dead node from one that is only starting, so it counts `all`
/// nodes.
std::size_t acquisition_turn(const ClusterState& model, PartitionIndex partition, const std::string& own_name,
                             const std::vector<std::string>& all);

}  // namespace oxbowmill
