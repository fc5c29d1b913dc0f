#include "oxbowmill/reconciliation/zone_reports.h"

#include "oxbowmill/reconciliation/liveness_table.h"

namespace oxbowmill::reconciliation {

namespace {
constexpr std::uint32_t min_reports_due = 4;  // with fewer due, no machine of the zone is suspected
// A report is recent if it is at most this many report intervals plus this delay old.
constexpr double max_report_intervals = 1.6, report_delay_s = 0.5;
}  // namespace

void ZoneReports::start(std::size_t zone_count, Seconds now) {
  zones_.assign(zone_count, {});
  for (Zone& zone : zones_) zone.silence_counted_from = now;
}

void ZoneReports::update(const ClusterState& state, const Scheduler& scheduler, const Settings& settings,
                         PartitionIndex partition, PartitionPhase phase, Seconds now) {
  zones_.resize(state.names.zones.size());
  for (Zone& zone : zones_) zone.reports_due = zone.reported = 0;
  const double recent_s = max_report_intervals * state.settings.report_interval_s + report_delay_s;
  for (MachineIndex machine_index : state.machines_of(partition)) {
    const Machine& machine = state.machine(machine_index);
    if (is_silence_expected(machine) || machine.state == MachineState::lease_expired) continue;
    Zone& zone = zones_[machine.record.zone.value];
    ++zone.reports_due;
    zone.reported +=
        machine.last_answered_report_at >= 0 && now - machine.last_answered_report_at < recent_s ? 1 : 0;
  }
  for (std::uint32_t i = 0; i < zones_.size(); ++i) {
    Zone& zone = zones_[i];
    zone.has_enough_reports =
        zone.reports_due >= min_reports_due && zone.reported >= settings.reported_fraction * zone.reports_due;
    // No single machine is suspected while its zone as a whole is silent. While first reports are awaited,
    // silence counts from the takeover for all machines alike.
    if ((!zone.has_enough_reports && phase != PartitionPhase::awaiting_reports) ||
        scheduler.is_unreachable(ZoneIndex{i}, now))
      zone.silence_counted_from = now;
  }
}

}  // namespace oxbowmill::reconciliation
