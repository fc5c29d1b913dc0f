#include "oxbowmill/scheduling/single_zone.h"

namespace oxbowmill {

std::vector<ZoneIndex> single_zones_to_try(const std::vector<std::uint32_t>& tasks_per_zone) {
  std::vector<ZoneIndex> all_zones;
  ZoneIndex fixed;
  for (std::uint32_t zone_number = 0; zone_number < tasks_per_zone.size(); ++zone_number) {
    all_zones.push_back(ZoneIndex{zone_number});
    if (tasks_per_zone[zone_number] == 0) continue;
    if (fixed.valid()) return {};
    fixed = ZoneIndex{zone_number};
  }
  if (fixed.valid()) return {fixed};
  return all_zones;
}

bool is_better_zone(const ZoneOutcome& tried, const ZoneOutcome& best) {
  return tried.tasks > best.tasks || (tried.tasks == best.tasks && tried.last_start_s < best.last_start_s);
}

}  // namespace oxbowmill
