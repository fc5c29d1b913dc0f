// The promise that every job begins: by when its last task has to be sent out, and what that changes. Pure;
// docs/start-deadlines.md weighs the ways. Times in seconds.
#pragma once

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

/// How pressing it is that a task of a job is sent out that has not begun yet.
enum class StartDeadline : std::uint8_t {
  relaxed,          // its turn comes by rank, deadline and age as ever
  not_preemptible,  // not stopped for others before it has begun
  urgent,           // first in its rank as well
  critical,         // before other ranks as well, as far as `start_deadline_share` goes
};
const char* name_of(StartDeadline p);

/// The job's image on the slowest allowed type, at a slow machine, beside another image where tasks share
/// one.
Seconds longest_image_fetch_s(const ClusterState& model, const JobSpec& spec);
/// Seconds until a task of this job has to be sent out so that it runs in time, its image's fetch included.
/// Below 0: it is too late. Infinite where operators promise nothing.
Seconds start_deadline_slack(const ClusterState& model, const JobSpec& spec, double wall);
/// By the slack alone.
StartDeadline start_deadline_of(const ClusterState& model, const JobSpec& spec, double wall);
/// The job waits for room with a task that has never begun.
bool awaits_first_start(const Job& job);
/// The task may be stopped to make room for others: it has begun, or its job has time enough to begin again.
bool is_preemptible(const ClusterState& model, const Job& job, const Placement& placement, Clock clock);

}  // namespace oxbowmill
