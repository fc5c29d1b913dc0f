#include "oxbowmill/cluster/start_deadline.h"

namespace oxbowmill {

namespace {
// Of the time within which a job is to begin, how much is left when it is no longer stopped, when it is first
// in its rank and when it goes before other ranks. What is put first costs others their deadlines, and where
// there is never room enough all would be put first in the end: so as late as room can still be gathered.
constexpr double not_preemptible_share = 0.4, urgent_share = 0.25, critical_share = 0.12;
// A machine may fetch a third slower than its type says; where several tasks fit, the fetch of another's
// image may share its rate for as long.
constexpr double slow_fetch_factor = 1.5, shared_fetch_factor = 1;

}  // namespace

Seconds longest_image_fetch_s(const ClusterState& model, const JobSpec& spec) {
  Seconds fetch = 0;
  for (std::uint32_t t = 0; t < model.catalog.size(); ++t) {
    const MachineType& type = model.catalog[t];
    if (!spec.allows(TypeIndex{t}) || type.fetch_gb_per_s <= 0) continue;
    bool shares = how_many_fit(spec.task_resources, type.capacity) > 1;
    fetch = std::max(fetch, (slow_fetch_factor + (shares ? shared_fetch_factor : 0)) * spec.image_gb /
                                type.fetch_gb_per_s);
  }
  return fetch;
}

const char* name_of(StartDeadline p) {
  static constexpr const char* names[] = {"ample", "protected", "pressing", "lifted"};
  return names[static_cast<int>(p)];
}

Seconds start_deadline_slack(const ClusterState& model, const JobSpec& spec, double wall) {
  const Settings& s = model.settings;
  if (s.operator_settings.start_deadline_s <= 0) return std::numeric_limits<double>::infinity();
  return spec.submitted_at + s.operator_settings.start_deadline_s - longest_image_fetch_s(model, spec) -
         2 * s.report_interval_s - wall;
}

StartDeadline start_deadline_of(const ClusterState& model, const JobSpec& spec, double wall) {
  Seconds slack = start_deadline_slack(model, spec, wall);
  double within = model.settings.operator_settings.start_deadline_s;
  return slack < critical_share * within          ? StartDeadline::critical
         : slack < urgent_share * within          ? StartDeadline::urgent
         : slack < not_preemptible_share * within ? StartDeadline::not_preemptible
                                                  : StartDeadline::relaxed;
}

bool awaits_first_start(const Job& job) {
  for (std::uint32_t word_index = 0; word_index < job.done_or_placed.size(); ++word_index) {
    std::uint32_t tasks = std::min<std::uint32_t>(64, job.spec.tasks - 64 * word_index);
    std::uint64_t all = tasks == 64 ? ~0ULL : (1ULL << tasks) - 1;
    std::uint64_t begun = word_index < job.ever_started.size() ? job.ever_started[word_index] : 0;
    if ((all & ~job.done_or_placed[word_index] & ~begun) != 0) return true;
  }
  return false;
}

bool is_preemptible(const ClusterState& model, const Job& job, const Placement& placement, Clock clock) {
  if (job.has_started(placement.task) || placement.has_started(clock.now)) return true;
  // Who is not its owner hears no reports: it has begun when it should have.
  if (clock.now - placement.known_at > counts_as_started_after_s + longest_image_fetch_s(model, job.spec) +
                                           2 * model.settings.report_interval_s)
    return true;
  return start_deadline_of(model, job.spec, clock.wall) == StartDeadline::relaxed;
}

}  // namespace oxbowmill
