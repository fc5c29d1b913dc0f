// Decides which machines are suspected, and which of these are deleted before it is proved that they are
// lost. SuspicionDetector owns only the time from which silence counts. Not thread-safe.
#pragma once

#include <optional>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/reconciliation/liveness_table.h"
#include "oxbowmill/reconciliation/zone_reports.h"

namespace oxbowmill::reconciliation {

/// Updates the liveness of the machines in owned partitions from their silence. Times are of the steady
/// clock.
class SuspicionDetector {
 public:
  /// All arguments must outlive this object. Deletions are taken from `return_budget`.
  SuspicionDetector(const ClusterState& state, const Scheduler& scheduler, const Settings& settings,
                    LivenessTable& liveness, TokenBucket& return_budget)
      : state_(state),
        scheduler_(scheduler),
        settings_(settings),
        liveness_(liveness),
        return_budget_(return_budget) {}

  /// Ignores silence of all machines before `now`, because it may be this controller's own fault.
  void ignore_silence_before(Seconds now) { silence_counted_from_ = now; }
  /// Updates all machines of the partition. `zones` and `counts` belong to the partition.
  void update(PartitionIndex partition, const ZoneReports& zones, ReconciliationCounts& counts, Seconds now);

 private:
  /// Updates a machine that is not suspected whatever its silence, see `is_silence_expected`.
  void update_exempt(MachineIndex machine_index, const Machine& machine, ReconciliationCounts& counts);
  /// Updates a machine that was moved here, adopted or booted since the last cycle; leaves others unchanged.
  void update_new(MachineIndex machine_index, const Machine& machine, ReconciliationCounts& counts);
  [[nodiscard]] Seconds silent_since(const Machine& machine, const ZoneReports::Zone& zone) const;
  /// Silence after which the machine is suspected; none if it cannot be suspected yet.
  [[nodiscard]] std::optional<Seconds> silence_limit_s(const Machine& machine,
                                                       const ZoneReports::Zone& zone) const;
  [[nodiscard]] bool is_deletion_worthwhile(MachineIndex machine_index, Seconds silent_s, Seconds now) const;

  const ClusterState& state_;
  const Scheduler& scheduler_;
  const Settings& settings_;
  LivenessTable& liveness_;
  TokenBucket& return_budget_;
  Seconds silence_counted_from_ = long_ago;
};

}  // namespace oxbowmill::reconciliation
