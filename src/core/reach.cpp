// Which zones the scheduler's machines can be heard from.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "oxbowmill/core/scheduler.h"

namespace oxbowmill {

namespace {
constexpr std::uint32_t least_for_dark = 4;  // machines that speak for their zone
constexpr double stays_dark_s = 20;  // a zone out of reach counts so for this long after the last sign of it
constexpr double told_dark_s = 3;    // another owner's word counts so long
}  // namespace

bool Scheduler::dark(ZoneIndex z, Seconds now) const {
  return z.valid() && z.v < zones_.size() && (zones_[z.v].dark_until > now || zones_[z.v].told_until > now);
}

std::vector<ZoneIndex> Scheduler::dark_zones(Seconds now) const {
  std::vector<ZoneIndex> out;
  for (std::uint32_t z = 0; z < zones_.size(); ++z) {
    if (zones_[z].dark_until > now) out.push_back(ZoneIndex{z});
  }
  return out;
}

void Scheduler::heard_of_dark(ZoneIndex z, Seconds now) {
  zones_.resize(model_.names.zones.size());
  if (z.valid() && z.v < zones_.size()) zones_[z.v].told_until = now + told_dark_s;
}

void Scheduler::begin_zone_check() {
  zones_.resize(model_.names.zones.size());
  for (ZoneSight& z : zones_) z.heard = z.due = 0;
}

void Scheduler::end_zone_check(Seconds now) {
  // One that hears no zone at all has lost the network itself.
  bool any = std::any_of(zones_.begin(), zones_.end(), [](const ZoneSight& z) { return z.heard > 0; });
  for (std::uint32_t i = 0; i < zones_.size(); ++i) {
    ZoneSight& z = zones_[i];
    bool silent = any && z.due >= least_for_dark && z.heard * 4 < z.due;
    if (silent && z.dark_until < now)
      SPDLOG_INFO("zone {}: out of reach", model_.names.zones.name(ZoneIndex{i}));
    if (silent) z.dark_until = now + stays_dark_s;
    if (z.heard * 2 > z.due) z.dark_until = -1e9;
  }
}

}  // namespace oxbowmill
