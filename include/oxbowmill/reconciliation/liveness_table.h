// Liveness of every agent in this controller's partitions. LivenessTable owns it, with the statistics on how
// suspicions ended, and is the only place where it changes. Not thread-safe.
#pragma once

#include <vector>

#include "oxbowmill/reconciliation/agent_liveness.h"
#include "oxbowmill/reconciliation/reconciliation_counts.h"

namespace oxbowmill::reconciliation {

/// Whether no report of the machine is expected: it has not booted and has no tasks, it is being deleted, or
/// the cloud lists it as failed.
[[nodiscard]] bool is_silence_expected(const Machine& machine);

/// Liveness by machine. Counts and logs its changes.
class LivenessTable {
 public:
  /// `state` must outlive this object.
  explicit LivenessTable(const ClusterState& state) : state_(state) {}

  /// Liveness of this machine's agent; `none` if the table has no entry for the machine.
  [[nodiscard]] AgentLiveness of(MachineIndex machine_index) const {
    return machine_index.value < liveness_.size() ? liveness_[machine_index.value] : AgentLiveness::none;
  }
  /// Sets a liveness other than `none` and counts the change in `counts`, which belong to the machine's
  /// partition.
  void set(MachineIndex machine_index, AgentLiveness liveness, ReconciliationCounts& counts);
  /// Resets the liveness to `none` without counting the change: another controller may own the machine now,
  /// or its record may be gone.
  void forget(MachineIndex machine_index);
  /// Resets all machines that have no record or whose partition `owns` does not accept.
  template <class Owns>
  void forget_unless_owned(const Owns& owns) {
    for (std::uint32_t i = 0; i < liveness_.size(); ++i) {
      const Machine& machine = state_.machine(MachineIndex{i});
      bool is_owned = machine.revision != 0 && owns(machine.record.partition);
      if (!is_owned) liveness_[i] = AgentLiveness::none;
    }
  }
  /// Statistics on how suspicions have ended so far.
  [[nodiscard]] const SuspicionStatistics& statistics() const { return statistics_; }

 private:
  const ClusterState& state_;
  std::vector<AgentLiveness> liveness_;  // by machine index
  SuspicionStatistics statistics_;
};

}  // namespace oxbowmill::reconciliation
