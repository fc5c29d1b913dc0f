// Reconciliation of a controller's partitions, from the takeover to ordinary service, and suspicions of
// single machines after it. Reports, the hints of peers and the time come in; what may be done goes out
// through `RecoveryAdmission`. Owns the phase and counts of each partition; other classes own agents'
// liveness, zone statistics, peers' hints and requested replacements. Does no input or output; not
// thread-safe. docs/reconciliation.md holds the reasons.
#pragma once

#include <functional>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/reconciliation/liveness_table.h"
#include "oxbowmill/reconciliation/partition_status.h"
#include "oxbowmill/reconciliation/peer_hints.h"
#include "oxbowmill/reconciliation/reconciliation_counts.h"
#include "oxbowmill/reconciliation/replacement_planner.h"
#include "oxbowmill/reconciliation/suspicion_detector.h"
#include "oxbowmill/reconciliation/zone_reports.h"
#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::reconciliation {

/// Reconciles the partitions of one controller. Times are of the steady clock.
class Reconciler : public RecoveryAdmission {
 public:
  /// Reads `model` and `scheduler`, which outlive this object.
  Reconciler(const ClusterState& model, const Scheduler& scheduler, Settings settings);
  Reconciler(const Reconciler&) = delete;
  Reconciler& operator=(const Reconciler&) = delete;

  /// Called after a partition's phase has changed; may be empty.
  std::function<void()> on_phase_change;
  /// A report of an agent. To be called before the scheduler judges it and after the scheduler has noticed
  /// takeovers, and only with full authority.
  void on_report(const WorkerReport& report, Seconds now);
  /// One cycle, after the scheduler's and before the autoscaler's, and only with full authority: a controller
  /// that may not act cannot know whose fault a silence is, and counts silence anew when it may.
  void run_cycle(Seconds now);

  /// Status of the partitions that are owned here, to be published to the other controllers as a hint.
  [[nodiscard]] std::vector<PartitionStatus> partition_statuses() const;
  /// Machines that are suspected here, at most `most`, to be published as a hint.
  [[nodiscard]] std::vector<MachineIndex> suspects(std::size_t most) const;
  /// A peer has published this status.
  void on_peer_status(const PartitionStatus& status, Seconds now) { peer_hints_.record_status(status, now); }
  /// A peer has published that it suspects this machine.
  void on_peer_suspect(MachineIndex machine_index, Seconds now) {
    peer_hints_.record_suspect(machine_index, now);
  }

  /// Suspected here or by a peer.
  bool suspected(MachineIndex machine_index) const override;
  /// Suspected here, and its deletion is expected to pay.
  bool marked_for_deletion(MachineIndex machine_index) const override;
  /// False while reports that are still awaited may show that the job needs no machine; never for guaranteed
  /// work.
  bool may_scale_out(PartitionIndex partition, JobIndex job, bool guaranteed, Seconds now) override;
  /// False before demand is known; then takes one return from the budget.
  bool may_return(MachineIndex machine_index, Seconds now) override;
  /// Machines to request ahead of proof: see `ReplacementPlanner`.
  std::vector<Replacement> replacements(Seconds now) const override;
  /// The replacement of this suspect was requested.
  void replacement_started(MachineIndex suspect) override;

  /// Phase of this partition here.
  [[nodiscard]] PartitionPhase phase(PartitionIndex partition) const {
    return partitions_.at(partition.value).phase;
  }
  /// Liveness of this machine's agent; `none` outside the owned partitions.
  [[nodiscard]] AgentLiveness agent_liveness(MachineIndex machine_index) const {
    return liveness_.of(machine_index);
  }
  /// How suspicions have ended so far.
  [[nodiscard]] const SuspicionStatistics& suspicion_statistics() const { return liveness_.statistics(); }
  /// The counts' name in this interface.
  using Counts = ReconciliationCounts;
  /// Counts of the partition's reconciliation that is under way or was last.
  [[nodiscard]] const Counts& counts(PartitionIndex partition) const {
    return partitions_.at(partition.value).counts;
  }
  /// When that reconciliation had settled all machines; negative: not yet.
  [[nodiscard]] Seconds reconciled_at(PartitionIndex partition) const {
    return partitions_.at(partition.value).reconciled_at;
  }

 private:
  struct PartitionState {
    PartitionPhase phase = PartitionPhase::not_owned;
    Revision ownership_revision = 0;  // of the ownership that is reconciled; 0: not owned
    Seconds since = 0;                // start of this reconciliation
    Seconds reconciled_at = -1;       // negative: not yet
    ZoneReports zones;
    Counts counts;
  };
  /// Machines of a takeover that are not settled yet.
  struct UnsettledMachines {
    std::uint32_t unreconciled = 0;  // record and report do not agree, or there is no report
    std::uint32_t awaited = 0;       // those of them that have not reported
  };

  void start_reconciliation(PartitionIndex partition, Seconds now);
  /// A partition that the scheduler does not own, perhaps because the takeover is not loaded yet.
  void update_unowned(PartitionIndex partition, Seconds now);
  /// The only place where a partition's phase changes.
  void set_phase(PartitionIndex partition, PartitionPhase phase, Seconds now);
  void advance_phase(PartitionIndex partition, Seconds now);
  [[nodiscard]] UnsettledMachines count_unsettled(PartitionIndex partition) const;
  /// Whether no machine was expected to report and none is recorded in any partition.
  [[nodiscard]] bool is_first_start(const PartitionState& partition_state) const;
  /// The partition's owner, here or elsewhere, has not yet enough reports, or nothing is known of it and it
  /// is too early.
  [[nodiscard]] bool still_awaiting_reports(PartitionIndex partition, Seconds now) const;

  const ClusterState& state_;
  const Scheduler& scheduler_;
  Settings settings_;
  std::vector<PartitionState> partitions_;
  LivenessTable liveness_;
  TokenBucket return_budget_;  // of returns while ramping down, and of deletions on suspicion
  SuspicionDetector suspicion_;
  PeerHints peer_hints_;
  ReplacementPlanner replacements_;
  Seconds last_cycle_at_ = -1e9;  // long ago
  Seconds first_cycle_at_ = -1;   // of this process; negative: none yet
};

}  // namespace oxbowmill::reconciliation
