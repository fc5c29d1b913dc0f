// Choice of the zone in which all tasks of a single-zone job run. Stateless functions. Times in seconds.
#pragma once

#include <vector>

#include "oxbowmill/cluster/index.h"

namespace oxbowmill {

/// Zones to try for a single-zone job, in ascending order: the zone that holds some of its tasks, otherwise
/// every zone. Empty while two zones still hold tasks of earlier attempts, in which case the job waits.
/// `tasks_per_zone` counts the job's placed tasks.
[[nodiscard]] std::vector<ZoneIndex> single_zones_to_try(const std::vector<std::uint32_t>& tasks_per_zone);

/// Result of trying one zone for a single-zone job.
struct ZoneOutcome {
  std::size_t tasks = 0;     ///< number of tasks for which it has capacity
  Seconds last_start_s = 0;  ///< seconds until the last of them could run
};

/// Whether the tried zone takes more tasks than the best one so far, or as many and starts them sooner.
[[nodiscard]] bool is_better_zone(const ZoneOutcome& tried, const ZoneOutcome& best);

}  // namespace oxbowmill
