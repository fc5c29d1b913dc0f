// A job as submitted by a user: its shape, resource needs and constraints. Plain data.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "oxbowmill/cluster/index.h"
#include "oxbowmill/cluster/resources.h"

namespace oxbowmill {

/// How the tasks of a job belong together.
enum class JobShape : std::uint8_t {
  array,    ///< independent tasks, each of which ends
  gang,     ///< tasks that start, run and restart together
  service,  ///< tasks that run until the job is cancelled
};
/// Scheduling priority, lowest first.
enum class Priority : std::uint8_t {
  low,         ///< preempted first
  normal,      ///< the default
  high,        ///< placed before normal
  production,  ///< placed before all others
};
/// Phase of a job's life cycle.
enum class JobPhase : std::uint8_t {
  open,       ///< tasks may be placed
  done,       ///< all tasks have finished
  cancelled,  ///< no task may start; running tasks are stopped
};
/// Phase of a task, as its agent reports it.
enum class TaskPhase : std::uint8_t {
  fetching,   ///< its image is being fetched
  gathering,  ///< a gang member waits for its peers
  running,    ///< its program runs
  saving,     ///< it was told to stop and is saving its progress
  ended,      ///< it has ended; EndCause says why
};
/// Why a task ended, as its agent reports it.
enum class EndCause : std::uint8_t {
  none,              ///< has not ended, or its end was never reported
  done,              ///< finished
  stopped,           ///< killed by a controller's command
  peers_lost,        ///< a gang member lost contact with its peers
  gang_incomplete,   ///< not all members of the gang arrived in time
  error,             ///< the program or its image failed
  no_capacity,       ///< start refused: not enough free resources
  attempt_conflict,  ///< start refused: another attempt is on the machine
  unknown_task,      ///< start refused: no such job or task
};

/// A job as submitted; it never changes afterwards.
struct JobSpec {
  std::string ref;                   ///< unique name that the user gave it
  ClassIndex job_class;              ///< job class named in the submission
  PartitionIndex partition;          ///< its team's partition; invalid while only its placements are known
  JobShape shape = JobShape::array;  ///< how its tasks belong together
  Priority priority = Priority::normal;  ///< scheduling priority
  std::uint32_t tasks = 0;               ///< number of tasks
  Resources task_resources;              ///< resources that one task needs
  ImageIndex image;                      ///< image that its tasks run
  double image_gb = 0;                   ///< size of the image, in GB
  std::vector<TypeIndex> types;          ///< machine types it may run on; empty: any
  ZoneIndex zone;                        ///< zone that it must run in; invalid: any
  bool single_zone = false;              ///< whether all tasks must run in one zone
  bool spread_zones = false;             ///< whether tasks are spread over zones
  bool spot = false;                     ///< whether it may run on spot machines
  double estimate_s = 0;                 ///< user's estimate of one task's run time, in seconds
  double checkpoint_interval_s = 0;      ///< tasks save progress at multiples of this run time; 0: never
  double flush_s = 0;                    ///< seconds that a stopped task is given to save its progress
  double deadline_s = time_not_set;      ///< seconds after the submission; below 0: none
  double submitted_at = 0;               ///< time of day of the submission
  /// Whether its tasks may run on machines of this type.
  bool allows(TypeIndex type) const {
    return types.empty() || std::find(types.begin(), types.end(), type) != types.end();
  }
};

/// Name used in logs and on the wire.
const char* name_of(JobPhase phase);
/// Name used in logs and on the wire.
const char* name_of(JobShape shape);
/// Name used in logs and on the wire.
const char* name_of(EndCause cause);

}  // namespace oxbowmill
