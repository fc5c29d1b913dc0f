// The liveness of every agent of this controller's partitions. Owns it and the statistics of how suspicions
// ended; the only place where an agent's liveness changes. Not thread-safe.
#pragma once

#include <vector>

#include "oxbowmill/reconciliation/agent_liveness.h"
#include "oxbowmill/reconciliation/reconciliation_counts.h"

namespace oxbowmill::reconciliation {

/// No report of the machine is awaited: it never was up, or it is being deleted.
[[nodiscard]] bool may_be_silent(const Machine& machine);

/// Liveness by machine, with the bookkeeping and the log lines of its changes.
class LivenessTable {
 public:
  /// `state` outlives this object.
  explicit LivenessTable(const ClusterState& state) : state_(state) {}

  /// Of this machine; `none` for one that was never seen.
  [[nodiscard]] AgentLiveness of(MachineIndex machine_index) const {
    return machine_index.value < liveness_.size() ? liveness_[machine_index.value] : AgentLiveness::none;
  }
  /// The machine has a new liveness other than `none`; the change is counted in `counts`, its partition's.
  void set(MachineIndex machine_index, AgentLiveness liveness, ReconciliationCounts& counts);
  /// The machine is another owner's now, perhaps without a record: its change is not counted.
  void forget(MachineIndex machine_index);
  /// Forgets all machines outside the partitions that `owns` accepts.
  template <class Owns>
  void forget_unless(const Owns& owns) {
    for (std::uint32_t i = 0; i < liveness_.size(); ++i) {
      const Machine& machine = state_.machine(MachineIndex{i});
      bool owned = machine.revision != 0 && owns(machine.record.partition);
      if (!owned) liveness_[i] = AgentLiveness::none;
    }
  }
  /// How suspicions have ended so far.
  [[nodiscard]] const SuspicionStatistics& statistics() const { return statistics_; }

 private:
  const ClusterState& state_;
  std::vector<AgentLiveness> liveness_;  // by machine
  SuspicionStatistics statistics_;
};

}  // namespace oxbowmill::reconciliation
