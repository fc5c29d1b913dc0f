// Statistics on the reports of a partition's machines, by zone. They show whether a single machine is silent
// or its whole zone. ZoneReports owns the statistics of one partition. Not thread-safe.
#pragma once

#include <vector>

#include "oxbowmill/reconciliation/partition_status.h"
#include "oxbowmill/reconciliation/settings.h"
#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::reconciliation {

/// Report statistics of one partition's machines, by zone. Times are of the steady clock.
class ZoneReports {
 public:
  /// Statistics on the partition's machines in one zone.
  struct Zone {
    std::uint32_t reports_due = 0;              ///< machines whose reports are expected now
    std::uint32_t reported = 0;                 ///< those of them that have reported recently
    bool has_enough_reports = false;            ///< whether a silent machine of the zone may be suspected
    std::uint32_t expected = 0;                 ///< machines whose first report was awaited at the takeover
    std::vector<double> first_report_delays_s;  ///< seconds from the takeover, ascending
    Seconds silence_counted_from = 0;           ///< earlier silence is ignored
  };

  /// Resets the statistics at a takeover.
  void start(std::size_t zone_count, Seconds now);
  /// Counts one more machine of the zone whose first report is awaited.
  void expect_first_report(ZoneIndex zone) { ++zones_[zone.value].expected; }
  /// Records that a first report arrived `delay_s` seconds after the takeover.
  void record_first_report(ZoneIndex zone, Seconds delay_s) {
    zones_[zone.value].first_report_delays_s.push_back(delay_s);
  }
  /// Updates all zones from the latest reports of the partition's machines.
  void update(const ClusterState& state, const Scheduler& scheduler, const Settings& settings,
              PartitionIndex partition, PartitionPhase phase, Seconds now);
  /// The zone's statistics as of the last update.
  [[nodiscard]] const Zone& zone(ZoneIndex zone) const { return zones_[zone.value]; }

 private:
  std::vector<Zone> zones_;  // by zone index
};

}  // namespace oxbowmill::reconciliation
