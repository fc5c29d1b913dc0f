// The choice of the one zone that all tasks of a single-zone job run in. Stateless; seconds.
#pragma once

#include <vector>

#include "oxbowmill/cluster/index.h"

namespace oxbowmill {

/// Zones to try for all tasks of a single-zone job, in ascending order: the one that holds some of its tasks,
/// else every zone. None while two zones still hold old attempts: the job waits. `by_zone`: the job's tasks
/// per zone.
[[nodiscard]] std::vector<ZoneIndex> single_zones_to_try(const std::vector<std::uint32_t>& by_zone);

/// What a zone offers to a single-zone job.
struct ZoneOutcome {
  std::size_t tasks = 0;   ///< for how many of the tasks it has capacity
  Seconds last_start = 0;  ///< when the last of them could run
};

/// The tried zone takes more tasks than the best one so far, or as many and starts them sooner.
[[nodiscard]] bool is_better_zone(const ZoneOutcome& tried, const ZoneOutcome& best);

}  // namespace oxbowmill
