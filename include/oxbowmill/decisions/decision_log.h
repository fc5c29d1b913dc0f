// Durable decisions: records with a named state. One controller at a time changes a record, each time in a
// single guarded transaction, and other work depends on the result. docs/decisions.md explains the reasons
// and the safety rules.
//
// DecisionLog owns the write budget and the set of changes whose outcome is not known; the records
// themselves are part of ClusterState. It does no I/O and passes changes to Effects. Used only on the
// controller's event loop; the callback for an outcome may run after the log was destroyed.
#pragma once

#include <memory>
#include <set>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/decisions/combined_constraints.h"
#include "oxbowmill/decisions/decision_kind.h"
#include "oxbowmill/decisions/lower_bound_clock.h"
#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::decisions {

/// Outcome of a request to change a record.
enum class ChangeResult : std::uint8_t {
  sent,                ///< queued; takes effect when the cluster state shows it
  in_flight,           ///< the outcome of an earlier change of the record is not known yet
  not_owner,           ///< this controller does not own the deciding partition
  rate_limited,        ///< the write budget of decisions is used up
  invalid_transition,  ///< the kind does not allow the change; a programming error, logged as one
};

/// Reads and changes decision records. No other code changes them.
class DecisionLog {
 public:
  /// `write_fraction`: fraction of the state service's write rate that all decisions together may use.
  DecisionLog(ClusterState& state, Scheduler& scheduler, double write_fraction);

  /// The record in the cluster state, or null if there is none.
  [[nodiscard]] const Decision* find(const DecisionKind& kind, const std::string& name) const;
  /// Whether a change of this record was sent whose outcome is not known yet.
  [[nodiscard]] bool has_pending_change(const DecisionKind& kind, const std::string& name) const {
    return pending_changes_->count(kind.key(name)) != 0;
  }
  /// Calls `visit(name, decision)` for each record of the kind, in order of their names.
  template <class Visit>
  void for_each(const DecisionKind& kind, Visit&& visit) const {
    const std::string prefix = kind.key("");
    for (auto it = state_.decisions.lower_bound(prefix);
         it != state_.decisions.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it)
      visit(it->first.substr(prefix.size()), it->second);
  }
  /// Requests that the record becomes `next`, whose epoch and version must not decrease. The transaction is
  /// guarded by the ownership of `partition` (invalid: any controller may write), by the revision of the
  /// record in the cluster state and by `additional_guards`. `urgent` means that work waits for the change,
  /// so that the write budget does not delay it.
  ChangeResult change(const DecisionKind& kind, const std::string& name, DecisionRecord next,
                      PartitionIndex partition, Clock clock, Effects& out, bool urgent = false,
                      std::vector<Guard> additional_guards = {});
  /// Number of changes sent since this log was created.
  [[nodiscard]] std::uint64_t changes_sent() const { return changes_sent_; }

 private:
  ClusterState& state_;
  Scheduler& scheduler_;
  TokenBucket write_budget_;
  // Shared with the callbacks for outcomes, which may run after this object is destroyed.
  std::shared_ptr<std::set<std::string>> pending_changes_;
  std::uint64_t changes_sent_ = 0;
};

}  // namespace oxbowmill::decisions
