// Keeps the catalog of machine types in the cluster state up to date. The catalog comes from the cloud, or
// from the copy in the state service until the cloud has answered. Event loop thread only.
#pragma once

#include <functional>

#include "oxbowmill/scheduling/scheduler.h"
#include "oxbowmill/service/cloud_client.h"
#include "oxbowmill/state/store.h"

namespace oxbowmill::service {

/// Reads the catalog periodically. Owns the time of the next read and whether a copy is stored.
class CatalogUpdater {
 public:
  /// `clock` returns the steady time in seconds. The referenced objects must outlive the updater, and the
  /// store must not call it back after its destruction.
  CatalogUpdater(CloudClient& cloud_client, state::Store& store, ClusterState& state,
                 const Scheduler& scheduler, std::function<double()> clock);
  /// Reads the cloud's catalog if a read is due; called every cycle.
  void run_cycle();
  /// Handles the copy of the catalog that was read from the state service.
  void on_stored_catalog(const wire::Json& body);

 private:
  void on_cloud_catalog(const wire::Json& body);
  void apply(const std::vector<wire::CatalogEntry>& entries);
  void store_copy(const std::vector<wire::CatalogEntry>& entries);

  CloudClient& cloud_client_;
  state::Store& store_;
  ClusterState& state_;
  const Scheduler& scheduler_;
  std::function<double()> clock_;
  double next_fetch_at_ = 0;
  bool is_stored_ = false;
};

}  // namespace oxbowmill::service
