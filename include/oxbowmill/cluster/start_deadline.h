// Start deadline of jobs: by when the start command of the last task has to be sent, and how scheduling
// changes as that time comes near (docs/start-deadlines.md). Pure functions. Times in seconds.
#pragma once

#include <cstdint>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

/// How urgent it is to start the tasks of a job that have never started. Each level includes the effects of
/// the levels before it.
enum class StartUrgency : std::uint8_t {
  relaxed,          ///< ordered by priority, deadline and age as usual
  not_preemptible,  ///< tasks are not preempted before they have started
  urgent,           ///< the job goes first within its priority
  critical,         ///< it goes ahead of other priorities, within `start_deadline_share`
};
/// Name used in logs.
const char* name_of(StartUrgency urgency);

/// Seconds to fetch the job's image on the slowest allowed type, on a machine that is slower than its type,
/// and beside another image where tasks share a machine.
Seconds longest_image_fetch_s(const ClusterState& state, const JobSpec& spec);
/// Seconds that are left to send the start command of a task of this job so that it runs in time, allowing
/// for the fetch of its image. Below 0: it is too late. Infinite if operators set no start deadline.
Seconds start_deadline_slack(const ClusterState& state, const JobSpec& spec, double wall);
/// Urgency of the job's start, by its slack alone.
StartUrgency start_urgency_of(const ClusterState& state, const JobSpec& spec, double wall);
/// Whether any pending task of the job has never started.
bool awaits_first_start(const Job& job);
/// Whether the task may be preempted: it has started, or there is enough time to start it again.
bool is_preemptible(const ClusterState& state, const Job& job, const Placement& placement, Clock clock);

}  // namespace oxbowmill
