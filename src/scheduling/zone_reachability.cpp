// Which zones the scheduler's machines can be heard from.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill {

namespace {
constexpr std::uint32_t min_machines_for_unreachable = 4;  // machines that speak for their zone
constexpr double unreachable_duration_s =
    20;  // a zone out of reach counts so for this long after the last sign of it
constexpr double peer_report_duration_s = 3;  // another owner's word counts so long
}  // namespace

bool Scheduler::is_unreachable(ZoneIndex zone, Seconds now) const {
  return zone.valid() && zone.value < zone_reachability_.size() &&
         (zone_reachability_[zone.value].unreachable_until > now ||
          zone_reachability_[zone.value].reported_unreachable_until > now);
}

std::vector<ZoneIndex> Scheduler::unreachable_zones(Seconds now) const {
  std::vector<ZoneIndex> out;
  for (std::uint32_t z = 0; z < zone_reachability_.size(); ++z) {
    if (zone_reachability_[z].unreachable_until > now) out.push_back(ZoneIndex{z});
  }
  return out;
}

void Scheduler::on_peer_zone_report(ZoneIndex zone, Seconds now) {
  zone_reachability_.resize(state_.names.zones.size());
  if (zone.valid() && zone.value < zone_reachability_.size())
    zone_reachability_[zone.value].reported_unreachable_until = now + peer_report_duration_s;
}

void Scheduler::begin_zone_check() {
  zone_reachability_.resize(state_.names.zones.size());
  for (ZoneReachability& z : zone_reachability_) z.reported = z.expected = 0;
}

void Scheduler::end_zone_check(Seconds now) {
  // One that hears no zone at all has lost the network itself.
  bool any = std::any_of(zone_reachability_.begin(), zone_reachability_.end(),
                         [](const ZoneReachability& z) { return z.reported > 0; });
  for (std::uint32_t i = 0; i < zone_reachability_.size(); ++i) {
    ZoneReachability& zone = zone_reachability_[i];
    bool silent = any && zone.expected >= min_machines_for_unreachable && zone.reported * 4 < zone.expected;
    if (silent && zone.unreachable_until < now)
      SPDLOG_INFO("zone {}: out of reach", state_.names.zones.name(ZoneIndex{i}));
    if (silent) zone.unreachable_until = now + unreachable_duration_s;
    if (zone.reported * 2 > zone.expected) zone.unreachable_until = -1e9;
  }
}

}  // namespace oxbowmill
