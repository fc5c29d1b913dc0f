// Decides which machines are suspected, and which suspects are deleted before the proof that they are lost.
// Owns only the time from which silence counts. Not thread-safe.
#pragma once

#include <optional>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/reconciliation/liveness_table.h"
#include "oxbowmill/reconciliation/zone_reports.h"

namespace oxbowmill::reconciliation {

/// Updates the liveness of the machines of owned partitions by their silence. Times are of the steady clock.
class SuspicionDetector {
 public:
  /// All outlive this object. Deletions take from `return_budget`.
  SuspicionDetector(const ClusterState& state, const Scheduler& scheduler, const Settings& settings,
                    LivenessTable& liveness, TokenBucket& return_budget)
      : state_(state),
        scheduler_(scheduler),
        settings_(settings),
        liveness_(liveness),
        return_budget_(return_budget) {}

  /// Silence before `now` was this controller's own fault, whichever machine it is of.
  void ignore_silence_before(Seconds now) { silence_counted_from_ = now; }
  /// Updates all machines of the partition, whose report statistics and counts are given.
  void update(PartitionIndex partition, const ZoneReports& zones, ReconciliationCounts& counts, Seconds now);

 private:
  /// A machine whose silence means nothing.
  void update_silent(MachineIndex machine_index, const Machine& machine, ReconciliationCounts& counts);
  /// A machine that was handed over, adopted or booted since the last cycle.
  void update_new(MachineIndex machine_index, const Machine& machine, ReconciliationCounts& counts);
  [[nodiscard]] Seconds silent_since(const Machine& machine, const ZoneReports::Zone& zone) const;
  /// Silence after which the machine is suspected; none: for now no silence is long enough.
  [[nodiscard]] std::optional<Seconds> silence_limit_s(const Machine& machine,
                                                       const ZoneReports::Zone& zone) const;
  [[nodiscard]] bool is_deletion_worthwhile(MachineIndex machine_index, Seconds silent_s, Seconds now) const;

  const ClusterState& state_;
  const Scheduler& scheduler_;
  const Settings& settings_;
  LivenessTable& liveness_;
  TokenBucket& return_budget_;
  Seconds silence_counted_from_ = -1e9;  // long ago
};

}  // namespace oxbowmill::reconciliation
