// What this controller publishes about itself to its peers, and what it does with their updates. Transport is
// Peers'. For the event loop's thread.
#pragma once

#include "oxbowmill/reconciliation/reconciler.h"
#include "oxbowmill/service/peers.h"
#include "oxbowmill/state/store.h"

namespace oxbowmill::service {

/// Builds this controller's updates and applies those of its peers. Owns the highest revision of its own
/// commits.
class PeerStatusExchange {
 public:
  /// `reconciler`: null if reconciliation is switched off. `clock`: steady time in seconds.
  PeerStatusExchange(const ClusterState& state, Scheduler& scheduler, const state::Store& store,
                     reconciliation::Reconciler* reconciler, std::function<double()> clock);
  /// An own transaction was committed at this revision.
  void on_committed(Revision revision) { last_committed_ = std::max(last_committed_, revision); }
  /// This controller's status now.
  PeerUpdate make_update() const;
  /// A peer's status: its reconciliations and suspected machines; nothing if reconciliation is switched off.
  void on_update(const PeerUpdate& update);
  /// A peer cannot reach the machines of this zone.
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
