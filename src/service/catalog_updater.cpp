#include "oxbowmill/service/catalog_updater.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/service/transaction_body.h"

namespace oxbowmill::service {

using wire::Json;

namespace {
constexpr double fetch_interval_s = 60;
constexpr double first_fetch_interval_s = 2;  // while no catalog is known

void log_unreadable(const char* source) {
  SPDLOG_ERROR("unreadable catalog source={}", source);
}
}  // namespace

CatalogUpdater::CatalogUpdater(CloudClient& cloud_client, state::Store& store, ClusterState& state,
                               const Scheduler& scheduler, std::function<double()> clock)
    : cloud_client_(cloud_client),
      store_(store),
      state_(state),
      scheduler_(scheduler),
      clock_(std::move(clock)) {}

void CatalogUpdater::run_cycle() {
  if (clock_() < next_fetch_at_) return;
  // Only the leader needs current prices; the other controllers need only the machine types.
  bool is_needed = !state_.catalog_known() || scheduler_.is_leader();
  next_fetch_at_ = clock_() + (state_.catalog_known() ? fetch_interval_s : first_fetch_interval_s);
  if (is_needed) cloud_client_.fetch_catalog([this](const Json& body) { on_cloud_catalog(body); });
}

void CatalogUpdater::on_cloud_catalog(const Json& body) {
  auto entries = wire::read_catalog(body);
  if (!entries) return log_unreadable("cloud");
  apply(*entries);
  if (!is_stored_) store_copy(*entries);
}

void CatalogUpdater::on_stored_catalog(const Json& body) {
  is_stored_ = true;
  auto entries = wire::read_catalog(body);
  if (!entries) return log_unreadable("state_service");
  // The copy may be out of date, so it does not replace a catalog that came from the cloud.
  if (!state_.catalog_known()) apply(*entries);
}

void CatalogUpdater::apply(const std::vector<wire::CatalogEntry>& entries) {
  for (const wire::CatalogEntry& entry : entries) {
    TypeIndex type_index = state_.names.types.intern(entry.name);
    if (state_.catalog.size() < state_.names.types.size()) state_.catalog.resize(state_.names.types.size());
    MachineType type = entry.type;
    for (const std::string& zone_name : entry.zones) {
      ZoneIndex zone = state_.names.zones.find(zone_name);
      if (zone.valid()) type.zones.push_back(zone);
    }
    state_.catalog[type_index.value] = std::move(type);
  }
}

void CatalogUpdater::store_copy(const std::vector<wire::CatalogEntry>& entries) {
  // With the copy, controllers that start during an outage of the cloud can check submissions.
  is_stored_ = true;
  TransactionBody body;
  body.put(state::catalog_key, wire::write_catalog(entries));
  store_.commit(body.json(), Urgency::other, [this](const state::StoreResponse& response) {
    if (response.status != 200) is_stored_ = false;
  });
}

}  // namespace oxbowmill::service
