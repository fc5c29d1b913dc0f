#include "oxbowmill/lease/controller_lease.h"

#include <algorithm>
#include <tuple>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

void ControllerLease::on_granted(std::uint64_t id, Seconds sent_at) {
  lease_id_ = id;
  renewal_sent_at_ = sent_at;
  state_ = LeaseState::active;
}

Authority ControllerLease::authority(Seconds now) const {
  if (state_ != LeaseState::active) return Authority::none;
  Seconds age = (now - std::min(renewal_sent_at_, watch_sent_at_)) * (1 + 2 * Settings::clock_drift);
  if (age < duration_s_) return Authority::full;
  return age < duration_s_ + read_only_period_s_ ? Authority::read_only : Authority::none;
}

namespace {

std::size_t partitions_owned(const ClusterState& state, const std::string& controller) {
  std::size_t count = 0;
  for (std::uint32_t i = 0; i < state.partition_count(); ++i) {
    const Ownership& ownership = state.ownership(PartitionIndex{i});
    if (ownership.revision != no_record && ownership.record.controller == controller) ++count;
  }
  return count;
}

/// Sort key of a controller among those that may acquire a partition; the lowest goes first.
struct Candidate {
  std::size_t owned_partition_count = 0;  // partitions that it owns
  std::size_t rotated_position = 0;       // position among the candidates, rotated by the partition's index
  std::string name;
  bool operator<(const Candidate& other) const {
    return std::tie(owned_partition_count, rotated_position, name) <
           std::tie(other.owned_partition_count, other.rotated_position, other.name);
  }
};

}  // namespace

bool needs_registration(const ClusterState& state, const ControllerLease& lease,
                        const std::string& own_name) {
  auto it = state.controllers().find(own_name);
  return lease.lease_id() != no_lease &&
         (it == state.controllers().end() || it->second.record.lease_id != lease.lease_id());
}

std::size_t acquisition_turn(const ClusterState& state, PartitionIndex partition, const std::string& own_name,
                             const std::vector<std::string>& candidates) {
  std::vector<Candidate> order;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    // Among controllers that own equally many, each partition prefers a different one, so that partitions are
    // spread at the start.
    std::size_t rotated_position =
        (i + candidates.size() - partition.value % candidates.size()) % candidates.size();
    order.push_back({partitions_owned(state, candidates[i]), rotated_position, candidates[i]});
  }
  std::sort(order.begin(), order.end());
  auto own = std::find_if(order.begin(), order.end(),
                          [&own_name](const Candidate& candidate) { return candidate.name == own_name; });
  return static_cast<std::size_t>(own - order.begin());
}

}  // namespace oxbowmill
