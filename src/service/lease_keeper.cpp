#include "oxbowmill/service/lease_keeper.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/state/responses.h"

namespace oxbowmill::service {

using state::StoreResponse;

namespace {
constexpr double acquire_retry_s = 0.3;
constexpr double renew_retry_s = 0.2;
constexpr double renewals_per_lease = 4;
}  // namespace

LeaseKeeper::LeaseKeeper(state::Store& store, ControllerLease& lease, const ClusterState& state,
                         std::function<double()> clock)
    : store_(store), lease_(lease), state_(state), clock_(std::move(clock)) {}

double LeaseKeeper::renewal_interval_s() const {
  return state_.settings.operator_settings.controller_lease_s / renewals_per_lease;
}

void LeaseKeeper::maintain() {
  double now = clock_();
  bool needs_lease = lease_.state() == LeaseState::none || lease_.state() == LeaseState::lost;
  if (needs_lease) {
    if (now >= next_attempt_at_) acquire();
  } else if (lease_.state() == LeaseState::active && !is_renewal_in_flight_ && now >= next_attempt_at_) {
    renew();
  }
}

void LeaseKeeper::acquire() {
  lease_.on_acquiring();
  if (on_acquiring) on_acquiring();
  store_.acquire_lease(state_.settings.operator_settings.controller_lease_s,
                       [this](const StoreResponse& response) {
                         auto lease_id = state::read_lease_id(response.body);
                         if (response.status == 200 && lease_id) {
                           lease_.on_granted(*lease_id, response.sent_at);
                           next_attempt_at_ = response.sent_at + renewal_interval_s();
                         } else {
                           lease_.on_acquire_failed();
                           next_attempt_at_ = clock_() + acquire_retry_s;
                         }
                       });
}

void LeaseKeeper::renew() {
  is_renewal_in_flight_ = true;
  std::uint64_t lease_id = lease_.lease_id();
  store_.renew_lease(lease_id, [this, lease_id](const StoreResponse& response) {
    is_renewal_in_flight_ = false;
    if (response.status == 200) {
      lease_.on_renewed(response.sent_at);
      next_attempt_at_ = response.sent_at + renewal_interval_s();
    } else if (response.status == 404 && lease_.lease_id() == lease_id) {
      SPDLOG_INFO("controller lease lost lease={}", lease_id);
      lease_.on_lost();
    } else {
      next_attempt_at_ = clock_() + renew_retry_s;
    }
  });
}

bool LeaseKeeper::is_from_previous_process(const OwnershipRecord& record) const {
  return record.controller == state_.settings.controller_name && record.lease_id != 0 &&
         record.lease_id != lease_.lease_id();
}

std::set<std::uint32_t> LeaseKeeper::revoke_previous_leases() {
  // Only one process of a controller runs at a time, so the previous process has certainly ended and nobody
  // renews its lease. Revoking the lease frees its partitions at once instead of at the lease's expiry, which
  // after an outage of the state service is a whole lease duration away.
  std::set<std::uint32_t> partitions;
  if (has_revoked_previous_leases_) return partitions;
  has_revoked_previous_leases_ = true;
  std::set<std::uint64_t> leases;
  for (const auto& [name, controller] : state_.controllers()) {
    if (is_from_previous_process(controller.record)) leases.insert(controller.record.lease_id);
  }
  for (std::uint32_t partition = 0; partition < state_.partition_count(); ++partition) {
    const auto& ownership = state_.ownership(PartitionIndex{partition});
    if (ownership.revision == 0 || !is_from_previous_process(ownership.record)) continue;
    leases.insert(ownership.record.lease_id);
    partitions.insert(partition);
  }
  for (std::uint64_t lease_id : leases) {
    SPDLOG_INFO("revoking lease of previous process lease={}", lease_id);
    // Not retried, because the lease expires by itself if the call is lost.
    store_.end_lease(lease_id, [](const StoreResponse&) {});
  }
  return partitions;
}

}  // namespace oxbowmill::service
