// Reconciles a controller's partitions from their takeover to normal operation, and suspects single silent
// machines afterwards. Its inputs are reports, hints of peers and the time; the scheduler and the autoscaler
// ask it through `RecoveryAdmission` what they may do. Reconciler owns the phase and the counts of each
// partition; its members own the liveness of agents, the zone statistics, the hints of peers and the
// requested replacements. It does no I/O. Not thread-safe. docs/reconciliation.md gives the reasons.
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
  /// `state` and `scheduler` must outlive this object.
  Reconciler(const ClusterState& state, const Scheduler& scheduler, Settings settings);
  Reconciler(const Reconciler&) = delete;
  Reconciler& operator=(const Reconciler&) = delete;

  /// Called after the phase of a partition has changed; may be empty.
  std::function<void()> on_phase_change;
  /// Handles an agent's report. To be called after the scheduler has noticed takeovers and before it handles
  /// the report, and only while this controller has full authority.
  void on_report(const AgentReport& report, Seconds now);
  /// Runs one cycle. To be called between the cycles of the scheduler and of the autoscaler, and only while
  /// this controller has full authority: without it, silence of an agent may be this controller's own fault,
  /// so silence is counted from the return of authority.
  void run_cycle(Seconds now);

  /// Status of the partitions that this controller owns, to be sent to its peers as a hint.
  [[nodiscard]] std::vector<PartitionStatus> partition_statuses() const;
  /// At most `max_count` machines that this controller suspects, to be sent to its peers as a hint.
  [[nodiscard]] std::vector<MachineIndex> suspects(std::size_t max_count) const;
  /// Handles the status that a peer has sent.
  void on_peer_status(const PartitionStatus& status, Seconds now) { peer_hints_.record_status(status, now); }
  /// Handles a peer's hint that it suspects this machine.
  void on_peer_suspect(MachineIndex machine_index, Seconds now) {
    peer_hints_.record_suspect(machine_index, now);
  }

  /// Whether this controller or a peer suspects the machine.
  bool is_suspected(MachineIndex machine_index) const override;
  /// Whether this controller suspects the machine and expects its deletion to be worthwhile.
  bool is_marked_for_deletion(MachineIndex machine_index) const override;
  /// False while awaited reports may still show that the job needs no machine. Always true for guaranteed
  /// work.
  bool may_scale_out(PartitionIndex partition, JobIndex job, bool guaranteed, Seconds now) override;
  /// False until demand is known; while returns ramp down, takes one return from the budget.
  bool may_return(MachineIndex machine_index, Seconds now) override;
  /// Replacements to request before a loss is proved, see `ReplacementPlanner`.
  std::vector<Replacement> replacements(Seconds now) const override;
  /// Records that the replacement of this suspected machine was requested.
  void replacement_started(MachineIndex suspect) override;

  /// Phase of this partition at this controller.
  [[nodiscard]] PartitionPhase phase(PartitionIndex partition) const {
    return partitions_.at(partition.value).phase;
  }
  /// Liveness of this machine's agent; `none` if this controller does not own its partition.
  [[nodiscard]] AgentLiveness agent_liveness(MachineIndex machine_index) const {
    return liveness_.of(machine_index);
  }
  /// Statistics on how suspicions have ended so far.
  [[nodiscard]] const SuspicionStatistics& suspicion_statistics() const { return liveness_.statistics(); }
  /// Counts of one reconciliation.
  using Counts = ReconciliationCounts;
  /// Counts of the partition's current or latest reconciliation.
  [[nodiscard]] const Counts& counts(PartitionIndex partition) const {
    return partitions_.at(partition.value).counts;
  }
  /// When that reconciliation had settled all machines; negative if it has not.
  [[nodiscard]] Seconds reconciled_at(PartitionIndex partition) const {
    return partitions_.at(partition.value).reconciled_at;
  }

 private:
  struct PartitionState {
    PartitionPhase phase = PartitionPhase::not_owned;
    Revision ownership_revision = 0;  // ownership that is reconciled; 0: not owned
    Seconds started_at = 0;
    Seconds reconciled_at = time_not_set;  // negative: not yet
    ZoneReports zones;
    Counts counts;
  };
  /// Numbers of inherited machines that are not settled yet.
  struct UnsettledMachines {
    // Without a report, suspected, or with a report that does not agree with the records.
    std::uint32_t unreconciled_machines = 0;
    std::uint32_t awaited_machines = 0;  // those of them that have not reported
  };

  void start_reconciliation(PartitionIndex partition, Seconds now);
  /// Updates a partition that the scheduler does not own, perhaps because it has not noticed the takeover
  /// yet.
  void update_unowned(PartitionIndex partition, Seconds now);
  /// Changes and logs the phase; the only place where it changes.
  void set_phase(PartitionIndex partition, PartitionPhase phase, Seconds now);
  void advance_phase(PartitionIndex partition, Seconds now);
  [[nodiscard]] UnsettledMachines count_unsettled(PartitionIndex partition) const;
  /// Whether no report was expected and no partition has a recorded machine.
  [[nodiscard]] bool is_first_start(const PartitionState& partition_state) const;
  /// Whether the partition's owner, this controller or a peer, still waits for reports. If nothing is known
  /// of the owner, whether first reports may still arrive.
  [[nodiscard]] bool still_awaiting_reports(PartitionIndex partition, Seconds now) const;

  const ClusterState& state_;
  const Scheduler& scheduler_;
  Settings settings_;
  std::vector<PartitionState> partitions_;
  LivenessTable liveness_;
  TokenBucket return_budget_;  // for returns while ramping down and for deletions of suspected machines
  SuspicionDetector suspicion_;
  PeerHints peer_hints_;
  ReplacementPlanner replacements_;
  Seconds last_cycle_at_ = long_ago;
  Seconds first_cycle_at_ = time_not_set;  // first cycle of this process
};

}  // namespace oxbowmill::reconciliation
