// Builds the status updates that this controller publishes to its peers, and applies the updates that it
// receives. Peers transports them. Event loop thread only.
#pragma once

#include "oxbowmill/reconciliation/reconciler.h"
#include "oxbowmill/service/peers.h"
#include "oxbowmill/state/store.h"

namespace oxbowmill::service {

/// Builds this controller's updates and applies those of its peers. Owns the highest revision that this
/// controller has committed.
class PeerStatusExchange {
 public:
  /// `reconciler` is null if reconciliation is off. `clock` returns the steady time in seconds.
  PeerStatusExchange(const ClusterState& state, Scheduler& scheduler, const state::Store& store,
                     reconciliation::Reconciler* reconciler, std::function<double()> clock);
  /// Handles the commit of one of this controller's transactions at this revision.
  void on_committed(Revision revision) { last_committed_ = std::max(last_committed_, revision); }
  /// Builds an update with this controller's current status.
  PeerUpdate make_update() const;
  /// Passes a peer's reconciliations and suspected machines to reconciliation. Does nothing if that is off.
  void on_update(const PeerUpdate& update);
  /// Handles a peer's report that it cannot reach the machines of this zone.
  void on_unreachable_zone(const std::string& zone);

 private:
  const ClusterState& state_;
  Scheduler& scheduler_;
  const state::Store& store_;
  reconciliation::Reconciler* reconciler_;
  std::function<double()> clock_;
  Revision last_committed_ = 0;
};

}  // namespace oxbowmill::service
