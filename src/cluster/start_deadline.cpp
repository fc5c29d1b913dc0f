#include "oxbowmill/cluster/start_deadline.h"

#include <algorithm>
#include <limits>

namespace oxbowmill {

namespace {
// Fractions of the start deadline. When the slack falls below the first, a job is no longer preempted; below
// the second, it goes first within its priority; below the third, it goes ahead of other priorities. Jobs
// that are put first cost others their deadlines, and where capacity never suffices all jobs would be put
// first in the end. The fractions are therefore so small that there is just enough time left to gather
// capacity.
constexpr double not_preemptible_share = 0.4;
constexpr double urgent_share = 0.25;
constexpr double critical_share = 0.12;
// A machine may fetch at two thirds of its type's rate. Where several tasks fit on a machine, the fetch of
// another image may share the rate for the duration of one fetch at the type's rate.
constexpr double slow_fetch_factor = 1.5;
constexpr double rate_sharing_factor = 1;

}  // namespace

Seconds longest_image_fetch_s(const ClusterState& state, const JobSpec& spec) {
  Seconds fetch = 0;
  for (std::uint32_t i = 0; i < state.catalog.size(); ++i) {
    const MachineType& type = state.catalog[i];
    if (!spec.allows(TypeIndex{i}) || type.fetch_gb_per_s <= 0) continue;
    bool is_rate_shared = how_many_fit(spec.task_resources, type.capacity) > 1;
    fetch = std::max(fetch, (slow_fetch_factor + (is_rate_shared ? rate_sharing_factor : 0)) * spec.image_gb /
                                type.fetch_gb_per_s);
  }
  return fetch;
}

const char* name_of(StartUrgency urgency) {
  static constexpr const char* names[] = {"relaxed", "not_preemptible", "urgent", "critical"};
  return names[static_cast<int>(urgency)];
}

Seconds start_deadline_slack(const ClusterState& state, const JobSpec& spec, double wall) {
  const Settings& settings = state.settings;
  if (settings.operator_settings.start_deadline_s <= 0) return std::numeric_limits<double>::infinity();
  return spec.submitted_at + settings.operator_settings.start_deadline_s -
         longest_image_fetch_s(state, spec) - 2 * settings.report_interval_s - wall;
}

StartUrgency start_urgency_of(const ClusterState& state, const JobSpec& spec, double wall) {
  Seconds slack = start_deadline_slack(state, spec, wall);
  double deadline_s = state.settings.operator_settings.start_deadline_s;
  return slack < critical_share * deadline_s          ? StartUrgency::critical
         : slack < urgent_share * deadline_s          ? StartUrgency::urgent
         : slack < not_preemptible_share * deadline_s ? StartUrgency::not_preemptible
                                                      : StartUrgency::relaxed;
}

bool awaits_first_start(const Job& job) {
  for (std::uint32_t chunk = 0; chunk < job.done_or_placed.size(); ++chunk) {
    std::uint32_t task_count =
        std::min<std::uint32_t>(tasks_per_chunk, job.spec.tasks - tasks_per_chunk * chunk);
    std::uint64_t all_tasks = task_count == tasks_per_chunk ? ~0ULL : (1ULL << task_count) - 1;
    std::uint64_t started = chunk < job.ever_started.size() ? job.ever_started[chunk] : 0;
    if ((all_tasks & ~job.done_or_placed[chunk] & ~started) != 0) return true;
  }
  return false;
}

bool is_preemptible(const ClusterState& state, const Job& job, const Placement& placement, Clock clock) {
  if (job.has_started(placement.task) || placement.has_started(clock.now)) return true;
  // A controller that is not the owner gets no reports, so the task counts as started once it should have
  // started.
  if (clock.now - placement.known_at > counts_as_started_after_s + longest_image_fetch_s(state, job.spec) +
                                           2 * state.settings.report_interval_s)
    return true;
  return start_urgency_of(state, job.spec, clock.wall) == StartUrgency::relaxed;
}

}  // namespace oxbowmill
