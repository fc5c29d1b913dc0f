// Statistics of the reports of a partition's machines by zone: they show whether a machine's silence is its
// own or its zone's. Owns them for one partition. Not thread-safe.
#pragma once

#include <vector>

#include "oxbowmill/reconciliation/partition_status.h"
#include "oxbowmill/reconciliation/settings.h"
#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::reconciliation {

/// Report statistics of one partition's machines, by zone. Times are of the steady clock.
class ZoneReports {
 public:
  /// What is known of the partition's machines in one zone.
  struct Zone {
    std::uint32_t reports_due = 0;    ///< machines that should be reporting now
    std::uint32_t reported = 0;       ///< those of them that have reported recently
    bool has_enough_reports = false;  ///< so that a machine that does not report may be suspected
    std::uint32_t expected = 0;       ///< machines whose first reports are awaited since the takeover
    std::vector<double> first_report_delays_s;  ///< of the first reports, from the takeover, ascending
    Seconds silence_counted_from = 0;           ///< earlier silence is nobody's evidence
  };

  /// Begins anew at a takeover.
  void start(std::size_t zone_count, Seconds now);
  /// The first report of one more machine of the zone is awaited.
  void expect_first_report(ZoneIndex zone) { ++zones_[zone.value].expected; }
  /// A first report has come, so long after the takeover.
  void record_first_report(ZoneIndex zone, Seconds delay_s) {
    zones_[zone.value].first_report_delays_s.push_back(delay_s);
  }
  /// Counts the recent reports of the partition's machines.
  void update(const ClusterState& state, const Scheduler& scheduler, const Settings& settings,
              PartitionIndex partition, PartitionPhase phase, Seconds now);
  /// The zone's statistics as of the last update.
  [[nodiscard]] const Zone& zone(ZoneIndex zone) const { return zones_[zone.value]; }

 private:
  std::vector<Zone> zones_;  // by zone index
};

}  // namespace oxbowmill::reconciliation
