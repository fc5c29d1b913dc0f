// What a user submits: a job's shape, needs and constraints. Plain data.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "oxbowmill/cluster/index.h"
#include "oxbowmill/cluster/resources.h"

namespace oxbowmill {

/// How a job's tasks belong together.
enum class JobShape : std::uint8_t {
  array,    ///< independent tasks, each of which ends
  gang,     ///< tasks that start, run and restart together
  service,  ///< tasks that run until the job is cancelled
};
/// Scheduling priority, lowest first.
enum class Priority : std::uint8_t {
  low,         ///< preempted first
  normal,      ///< the default
  high,        ///< before normal
  production,  ///< before all others
};
/// Where a job is in its life.
enum class JobPhase : std::uint8_t {
  open,       ///< tasks may be placed
  done,       ///< all tasks have finished
  cancelled,  ///< nothing may start; what runs is stopped
};
/// What an agent reports a task to be doing.
enum class TaskPhase : std::uint8_t {
  fetching,   ///< its image is being fetched
  gathering,  ///< a gang's member waits for its peers
  running,    ///< its program runs
  saving,     ///< it was told to stop and saves its progress
  ended,      ///< it is over; the cause says how
};
/// Why a task ended, as its agent reports it.
enum class EndCause : std::uint8_t {
  none,         ///< has not ended, or was never reported
  done,         ///< finished
  stopped,      ///< by a kill of ours
  peers_lost,   ///< a gang's member lost contact with its peers
  incomplete,   ///< a gang did not gather in time
  error,        ///< the program or its image failed
  no_capacity,  ///< start refused: free resources did not suffice
  busy,         ///< start refused: another attempt is on the machine
  no_such,      ///< start refused: no such job or task
};

/// A job as submitted; it never changes afterwards.
struct JobSpec {
  std::string ref;                       ///< the user's name of it, unique
  ClassIndex job_class;                  ///< class that the submission names
  PartitionIndex partition;              ///< its team's; invalid while only placements of it are known
  JobShape shape = JobShape::array;      ///< how its tasks belong together
  Priority priority = Priority::normal;  ///< scheduling priority
  std::uint32_t tasks = 0;               ///< number of tasks
  Resources task_resources;              ///< need of one task
  ImageIndex image;                      ///< image that its tasks run
  double image_gb = 0;                   ///< size of the image
  std::vector<TypeIndex> types;          ///< machine types it may run on; empty: any
  ZoneIndex zone;                        ///< zone that it must run in; invalid: any
  bool single_zone = false;              ///< all tasks in one zone
  bool spread_zones = false;             ///< tasks spread over zones
  bool spot = false;                     ///< may run on spot machines
  double estimate_s = 0;                 ///< owner's estimate of one task's run time
  double checkpoint_interval_s = 0;      ///< tasks save progress at multiples of it; 0: never
  double flush_s = 0;                    ///< time that a stopped task is given to save
  double deadline_s = time_not_set;      ///< after submission; below 0: none
  double submitted_at = 0;               ///< time of day
  /// Whether its tasks may run on the type.
  bool allows(TypeIndex type) const {
    return types.empty() || std::find(types.begin(), types.end(), type) != types.end();
  }
};

/// Name as written to logs and to the wire.
const char* name_of(JobPhase phase);
/// Name as written to logs and to the wire.
const char* name_of(JobShape shape);
/// Name as written to logs and to the wire.
const char* name_of(EndCause cause);

}  // namespace oxbowmill
