#include "oxbowmill/service/peer_status_exchange.h"

#include <algorithm>

namespace oxbowmill::service {

using reconciliation::PartitionPhase;
using reconciliation::PartitionStatus;

namespace {
// The state service counts as responding for this long after its last response.
constexpr double state_service_response_valid_s = 1.5;
constexpr std::size_t max_suspects = 200;  // keeps updates small when a whole zone is silent
}  // namespace

PeerStatusExchange::PeerStatusExchange(const ClusterState& state, Scheduler& scheduler,
                                       const state::Store& store, reconciliation::Reconciler* reconciler,
                                       std::function<double()> clock)
    : state_(state),
      scheduler_(scheduler),
      store_(store),
      reconciler_(reconciler),
      clock_(std::move(clock)) {}

PeerUpdate PeerStatusExchange::make_update() const {
  PeerUpdate update;
  update.controller = state_.settings.controller_name;
  update.revision = std::max(last_committed_, scheduler_.applied_revision());
  update.state_service_ok = clock_() - store_.last_success_at() < state_service_response_valid_s;
  for (ZoneIndex zone : scheduler_.unreachable_zones(clock_()))
    update.unreachable_zones.push_back(state_.names.zones.name(zone));
  if (reconciler_ == nullptr) return update;
  for (const PartitionStatus& status : reconciler_->partition_statuses()) {
    update.reconciliations.push_back({state_.names.partitions.name(status.partition),
                                      status.ownership_revision, static_cast<std::uint32_t>(status.phase),
                                      status.expected, status.reported});
  }
  for (MachineIndex machine : reconciler_->suspects(max_suspects))
    update.suspected_machines.push_back(state_.names.machines.name(machine));
  return update;
}

void PeerStatusExchange::on_update(const PeerUpdate& update) {
  if (reconciler_ == nullptr) return;
  for (const ReconciliationStatus& status : update.reconciliations) {
    // Ignores phases that only newer versions know.
    if (status.phase > static_cast<std::uint32_t>(PartitionPhase::serving)) continue;
    reconciler_->on_peer_status({state_.names.partitions.find(status.partition), status.ownership_revision,
                                 static_cast<PartitionPhase>(status.phase), status.expected, status.reported},
                                clock_());
  }
  for (const std::string& machine : update.suspected_machines)
    reconciler_->on_peer_suspect(state_.find_recorded(machine), clock_());
}

void PeerStatusExchange::on_unreachable_zone(const std::string& zone) {
  scheduler_.on_peer_zone_report(state_.names.zones.find(zone), clock_());
}

}  // namespace oxbowmill::service
