#include "oxbowmill/lease/controller_lease.h"

#include <algorithm>
#include <tuple>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

void ControllerLease::on_granted(std::uint64_t id, Seconds sent_at) {
  lease_id_ = id;
  renewal_sent_at_ = sent_at;
  set_state(LeaseState::active);
}

Authority ControllerLease::authority(Seconds now) const {
  if (state_ != LeaseState::active) return Authority::none;
  Seconds age = (now - std::min(renewal_sent_at_, watch_sent_at_)) * (1 + 2 * Settings::clock_drift);
  if (age < duration_s_) return Authority::full;
  return age < duration_s_ + read_only_period_s_ ? Authority::read_only : Authority::none;
}

namespace {
std::size_t partitions_owned(const ClusterState& model, const std::string& node) {
  std::size_t n = 0;
  for (std::uint32_t p = 0; p < model.partition_count(); ++p) {
    const Ownership& c = model.ownership(PartitionIndex{p});
    n += c.revision != 0 && c.record.controller == node ? 1 : 0;
  }
  return n;
}
}  // namespace

bool needs_registration(const ClusterState& model, const ControllerLease& lease,
                        const std::string& own_name) {
  auto it = model.controllers().find(own_name);
  return lease.lease_id() != 0 &&
         (it == model.controllers().end() || it->second.record.lease_id != lease.lease_id());
}

std::size_t acquisition_turn(const ClusterState& model, PartitionIndex partition, const std::string& own_name,
                             const std::vector<std::string>& all) {
  std::vector<std::tuple<std::size_t, std::size_t, std::string>> order;
  for (std::size_t i = 0; i < all.size(); ++i) {
    // Among equals each part prefers another node, so that they spread at the start.
    std::size_t rotated = (i + all.size() - partition.value % all.size()) % all.size();
    order.emplace_back(partitions_owned(model, all[i]), rotated, all[i]);
  }
  std::sort(order.begin(), order.end());
  auto mine = std::find_if(order.begin(), order.end(),
                           [&own_name](const auto& e) { return std::get<2>(e) == own_name; });
  return static_cast<std::size_t>(mine - order.begin());
}

}  // namespace oxbowmill
