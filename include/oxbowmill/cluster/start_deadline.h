// The start deadline of jobs: by when the last task has to be sent out, and what changes as it comes near
// (docs/start-deadlines.md). Pure functions. Times in seconds.
#pragma once

#include <cstdint>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

/// How pressing it is that a task of a job is sent out that has not started yet.
enum class StartDeadline : std::uint8_t {
  relaxed,          ///< ordered by priority, deadline and age as usual
  not_preemptible,  ///< not preempted before it has started
  urgent,           ///< first within its priority as well
  critical,         ///< before other priorities as well, as far as `start_deadline_share` goes
};
/// Name for logs.
const char* name_of(StartDeadline deadline);

/// Time for fetching the job's image on the slowest allowed type, on a slow machine, beside another image
/// where tasks share a machine.
Seconds longest_image_fetch_s(const ClusterState& state, const JobSpec& spec);
/// Seconds until a task of this job has to be sent out so that it runs in time, its image's fetch included.
/// Below 0: it is too late. Infinite where operators set no start deadline.
Seconds start_deadline_slack(const ClusterState& state, const JobSpec& spec, double wall);
/// How pressing it is, by the slack alone.
StartDeadline start_deadline_of(const ClusterState& state, const JobSpec& spec, double wall);
/// Whether a pending task of the job has never started.
bool awaits_first_start(const Job& job);
/// Whether the task may be preempted: it has started, or its job has time enough to start again.
bool is_preemptible(const ClusterState& state, const Job& job, const Placement& placement, Clock clock);

}  // namespace oxbowmill
