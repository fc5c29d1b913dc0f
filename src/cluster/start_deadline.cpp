#include "oxbowmill/cluster/start_deadline.h"

#include <algorithm>
#include <limits>

namespace oxbowmill {

namespace {
// Fraction of the start deadline that is left when a job is no longer preempted, when it is first within its
// priority and when it goes before other priorities. What is put first costs others their deadlines, and
// where capacity never suffices all would be put first in the end: so as late as capacity can still be
// gathered.
constexpr double not_preemptible_share = 0.4;
constexpr double urgent_share = 0.25;
constexpr double critical_share = 0.12;
// A machine may fetch a third slower than its type says; where several tasks fit, the fetch of another's
// image may share its rate for as long.
constexpr double slow_fetch_factor = 1.5;
constexpr double shared_fetch_factor = 1;

}  // namespace

Seconds longest_image_fetch_s(const ClusterState& state, const JobSpec& spec) {
  Seconds fetch = 0;
  for (std::uint32_t i = 0; i < state.catalog.size(); ++i) {
    const MachineType& type = state.catalog[i];
    if (!spec.allows(TypeIndex{i}) || type.fetch_gb_per_s <= 0) continue;
    bool shares = how_many_fit(spec.task_resources, type.capacity) > 1;
    fetch = std::max(fetch, (slow_fetch_factor + (shares ? shared_fetch_factor : 0)) * spec.image_gb /
                                type.fetch_gb_per_s);
  }
  return fetch;
}

const char* name_of(StartDeadline deadline) {
  static constexpr const char* names[] = {"relaxed", "not_preemptible", "urgent", "critical"};
  return names[static_cast<int>(deadline)];
}

Seconds start_deadline_slack(const ClusterState& state, const JobSpec& spec, double wall) {
  const Settings& settings = state.settings;
  if (settings.operator_settings.start_deadline_s <= 0) return std::numeric_limits<double>::infinity();
  return spec.submitted_at + settings.operator_settings.start_deadline_s -
         longest_image_fetch_s(state, spec) - 2 * settings.report_interval_s - wall;
}

StartDeadline start_deadline_of(const ClusterState& state, const JobSpec& spec, double wall) {
  Seconds slack = start_deadline_slack(state, spec, wall);
  double deadline_s = state.settings.operator_settings.start_deadline_s;
  return slack < critical_share * deadline_s          ? StartDeadline::critical
         : slack < urgent_share * deadline_s          ? StartDeadline::urgent
         : slack < not_preemptible_share * deadline_s ? StartDeadline::not_preemptible
                                                      : StartDeadline::relaxed;
}

bool awaits_first_start(const Job& job) {
  for (std::uint32_t chunk = 0; chunk < job.done_or_placed.size(); ++chunk) {
    std::uint32_t tasks = std::min<std::uint32_t>(tasks_per_chunk, job.spec.tasks - tasks_per_chunk * chunk);
    std::uint64_t all = tasks == tasks_per_chunk ? ~0ULL : (1ULL << tasks) - 1;
    std::uint64_t started = chunk < job.ever_started.size() ? job.ever_started[chunk] : 0;
    if ((all & ~job.done_or_placed[chunk] & ~started) != 0) return true;
  }
  return false;
}

bool is_preemptible(const ClusterState& state, const Job& job, const Placement& placement, Clock clock) {
  if (job.has_started(placement.task) || placement.has_started(clock.now)) return true;
  // A controller that is not the owner gets no reports: the task counts as started when it should have.
  if (clock.now - placement.known_at > counts_as_started_after_s + longest_image_fetch_s(state, job.spec) +
                                           2 * state.settings.report_interval_s)
    return true;
  return start_deadline_of(state, job.spec, clock.wall) == StartDeadline::relaxed;
}

}  // namespace oxbowmill
