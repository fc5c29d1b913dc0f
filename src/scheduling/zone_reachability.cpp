#include "oxbowmill/scheduling/zone_reachability.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace oxbowmill {

namespace {
constexpr std::uint32_t min_machines_for_unreachable = 4;  // fewer machines prove nothing about their zone
constexpr double unreachable_duration_s = 20;              // after the last check that found the zone silent
constexpr double peer_report_duration_s = 3;               // how long another controller's report is valid
}  // namespace

bool ZoneReachability::is_unreachable(ZoneIndex zone, Seconds now) const {
  return zone.valid() && zone.value < zones_.size() &&
         (zones_[zone.value].unreachable_until > now || zones_[zone.value].reported_unreachable_until > now);
}

std::vector<ZoneIndex> ZoneReachability::unreachable_zones(Seconds now) const {
  std::vector<ZoneIndex> unreachable;
  for (std::uint32_t z = 0; z < zones_.size(); ++z) {
    if (zones_[z].unreachable_until > now) unreachable.push_back(ZoneIndex{z});
  }
  return unreachable;
}

void ZoneReachability::on_peer_report(ZoneIndex zone, Seconds now) {
  zones_.resize(state_.names.zones.size());
  if (zone.valid() && zone.value < zones_.size())
    zones_[zone.value].reported_unreachable_until = now + peer_report_duration_s;
}

void ZoneReachability::begin_check() {
  zones_.resize(state_.names.zones.size());
  for (Zone& zone : zones_) zone.reported_count = zone.expected_count = 0;
}

void ZoneReachability::count_machine(ZoneIndex zone, bool reported) {
  ++zones_[zone.value].expected_count;
  zones_[zone.value].reported_count += reported ? 1 : 0;
}

void ZoneReachability::end_check(Seconds now) {
  // A controller that gets reports from no zone is disconnected itself, so no zone counts as silent then.
  bool any_reported =
      std::any_of(zones_.begin(), zones_.end(), [](const Zone& zone) { return zone.reported_count > 0; });
  for (std::uint32_t z = 0; z < zones_.size(); ++z) {
    Zone& zone = zones_[z];
    bool silent = any_reported && zone.expected_count >= min_machines_for_unreachable &&
                  zone.reported_count * 4 < zone.expected_count;
    if (silent && zone.unreachable_until < now)
      SPDLOG_INFO("zone unreachable zone={} reported={} expected={}", state_.names.zones.name(ZoneIndex{z}),
                  zone.reported_count, zone.expected_count);
    if (silent) zone.unreachable_until = now + unreachable_duration_s;
    if (zone.reported_count * 2 > zone.expected_count) zone.unreachable_until = long_ago;
  }
}

}  // namespace oxbowmill
