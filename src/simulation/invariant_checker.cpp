#include "oxbowmill/simulation/invariant_checker.h"

#include <algorithm>

namespace oxbowmill::simulation {

namespace {
constexpr double max_unanswered_s = 75;
constexpr double max_startable_wait_s = 90;  // longest time that a job may wait although it could start
constexpr double rounding_tolerance = 1e-6;
}  // namespace

void InvariantChecker::record_violation(const std::string& rule, const std::string& job, double now) {
  violations_.push_back(rule + " " + job + " at " + std::to_string(now));
}

void InvariantChecker::on_submit(const std::string& job, const JobRequirements& requirements) {
  jobs_[job].requirements = requirements;
  jobs_[job].submitted = true;
}

void InvariantChecker::on_answer(const std::string& job, JobAnswer what, double now) {
  Job& job_state = jobs_[job];
  if (what == JobAnswer::no_answer) {
    ++refusals;
    if (job_state.accepted && job_state.unanswered_since < 0) job_state.unanswered_since = now;
    return;
  }
  ++answers;
  job_state.unanswered_since = -1;
  if (what == JobAnswer::not_found || what == JobAnswer::rejected) {
    if (job_state.accepted) record_violation("forgotten", job, now);
    return;
  }
  if (!job_state.submitted) record_violation("invented", job, now);
  if (job_state.submitted && !job_state.requirements.valid && !job_state.accepted)
    record_violation("accepted_unsound", job, now);
  job_state.accepted = true;
  if (job_state.final_answer != JobAnswer::open && what != job_state.final_answer)
    record_violation("went_back", job, now);
  if (what == JobAnswer::cancelled && !job_state.withdrawn) record_violation("went_back", job, now);
  if (what == JobAnswer::done && job_state.done.size() < job_state.requirements.tasks)
    record_violation("not_done", job, now);
  if (what == JobAnswer::open || job_state.final_answer != JobAnswer::open) return;
  job_state.final_answer = what;
  if (what != JobAnswer::cancelled) return;
  job_state.cancelled_at = now;
  cancelled_.insert(job);
}

std::size_t InvariantChecker::Job::running() const {
  return static_cast<std::size_t>(std::count_if(machines_by_task.begin(), machines_by_task.end(),
                                                [](const auto& t) { return !t.second.empty(); }));
}

/// Whether the job does not allow another task at this place, given where its tasks are.
bool InvariantChecker::is_misplaced(const Job& job_state, const MachinePlacement& place) const {
  const JobRequirements& requirements = job_state.requirements;
  if (place.spot && !requirements.spot) return true;
  if (!requirements.zone.empty() && requirements.zone != place.zone) return true;
  if (!requirements.types.empty() && requirements.types.count(place.type) == 0) return true;
  std::size_t here = 0, elsewhere = 0;
  for (const auto& [number, places] : job_state.machines_by_task) {
    for (const auto& [machine, p] : places) ++(p.zone == place.zone ? here : elsewhere);
  }
  return (requirements.single_zone && elsewhere > 0) ||
         (requirements.spread_zones && here + 1 > (requirements.tasks + 1) / 2);
}

void InvariantChecker::on_task_start(const std::string& job, std::uint32_t number, const std::string& machine,
                                     const MachinePlacement& place, double now) {
  Job& job_state = jobs_[job];
  any_task_started_ = true;
  job_state.waiting_since = -1;
  if (!job_state.machines_by_task[number].empty())
    record_violation("ran_twice", job + "/" + std::to_string(number), now);
  double since_cancelled_s = job_state.cancelled_at >= 0 ? now - job_state.cancelled_at : -1;
  if (since_cancelled_s >= 0) ++late_starts;
  bool is_late =
      since_cancelled_s >= 0 && since_cancelled_s > std::min(start_tolerance_s_, cancel_timeout_s_);
  if (is_late) {
    cancelled_.erase(job);  // reported once
    record_violation("ran_cancelled", job, now);
  }
  if (is_misplaced(job_state, place)) record_violation("wrong_place", job, now);
  job_state.machines_by_task[number][machine] = place;
  if (job_state.cancelled_at >= 0 && !is_late) cancelled_.insert(job);
  double& used = gpus_by_team_[job_state.requirements.team];
  used += job_state.requirements.gpus;
  gpus_by_machine_[machine] += job_state.requirements.gpus;
  update_free_capacity(machine, now);
  double quota_gpus = gpu_quota(job_state.requirements.team);
  if (quota_gpus > 0 && used > quota_gpus + rounding_tolerance) record_violation("quota", job, now);
}

void InvariantChecker::on_task_stop(const std::string& job, std::uint32_t number, const std::string& machine,
                                    double now) {
  Job& job_state = jobs_[job];
  if (job_state.machines_by_task[number].erase(machine) == 0) return;
  gpus_by_team_[job_state.requirements.team] -= job_state.requirements.gpus;
  gpus_by_machine_[machine] -= job_state.requirements.gpus;
  update_free_capacity(machine, now);
  job_state.waiting_since = -1;
  if (job_state.cancelled_at >= 0 && now - job_state.cancelled_at > cancel_timeout_s_ + rounding_tolerance &&
      cancelled_.count(job) != 0) {
    cancelled_.erase(job);
    record_violation("ran_cancelled", job, now);
  }
}

void InvariantChecker::on_stored(const std::string& job, bool is_stored, double now) {
  Job& j = jobs_[job];
  if (is_stored || !j.accepted || j.is_forgotten) return;
  j.is_forgotten = true;  // reported once
  record_violation("forgotten", job, now);
}

std::size_t InvariantChecker::missing_tasks(const Job& job_state) const {
  return job_state.requirements.gang ? job_state.requirements.tasks - job_state.running() : 1;
}

bool InvariantChecker::fits_quota(const Job& job_state) const {
  double quota_gpus = gpu_quota(job_state.requirements.team);
  auto used = gpus_by_team_.find(job_state.requirements.team);
  double wanted = static_cast<double>(missing_tasks(job_state)) * job_state.requirements.gpus;
  return quota_gpus <= 0 ||
         (used == gpus_by_team_.end() ? 0 : used->second) + wanted <= quota_gpus + rounding_tolerance;
}

/// Whether machines have had free capacity since then, without interruption, for the missing tasks of a gang
/// or one task of any other job.
bool InvariantChecker::has_capacity_since(const Job& job_state, double since) const {
  const JobRequirements& requirements = job_state.requirements;
  std::map<std::string, std::size_t> startable_tasks;  // by zone
  for (const auto& [name, machine] : usable_) {
    auto free = free_since_.find(name);
    if (is_misplaced(job_state, machine.place) || free == free_since_.end()) continue;
    std::uint32_t gpus = 0;
    for (const auto& [g, at] : free->second) gpus = at <= since ? std::max(gpus, g) : gpus;
    startable_tasks[machine.place.zone] +=
        static_cast<std::size_t>((gpus + rounding_tolerance) / requirements.gpus);
  }
  std::size_t all = 0, best = 0;
  for (const auto& [zone, n] : startable_tasks) {
    all += requirements.spread_zones ? std::min<std::size_t>(n, (requirements.tasks + 1) / 2) : n;
    best = std::max(best, n);
  }
  return (requirements.single_zone ? best : all) >= missing_tasks(job_state);
}

void InvariantChecker::update_free_capacity(const std::string& machine, double now) {
  auto m = usable_.find(machine);
  auto& since = free_since_[machine];
  double free = m == usable_.end() ? 0 : m->second.gpus - gpus_by_machine_[machine];
  since.erase(since.upper_bound(static_cast<std::uint32_t>(std::max(0.0, free) + rounding_tolerance)),
              since.end());
  for (std::uint32_t g = 1; g <= free + rounding_tolerance; ++g) since.try_emplace(g, now);
}

void InvariantChecker::set_usable_machines(std::map<std::string, UsableMachine> machines, double now) {
  std::swap(usable_, machines);
  for (const auto& [name, m] : machines) update_free_capacity(name, now);
  for (const auto& [name, m] : usable_) update_free_capacity(name, now);
}

void InvariantChecker::check(double now) {
  for (auto it = cancelled_.begin(); it != cancelled_.end();) {
    Job& j = jobs_[*it];
    bool deadline_passed = now - j.cancelled_at > cancel_timeout_s_ + rounding_tolerance;
    bool has_running_tasks = std::any_of(j.machines_by_task.begin(), j.machines_by_task.end(),
                                         [](const auto& t) { return !t.second.empty(); });
    if (deadline_passed && has_running_tasks) record_violation("ran_cancelled", *it, now);
    it = deadline_passed ? cancelled_.erase(it) : std::next(it);
  }
  if (now < fault_free_from_) return;
  for (auto& [name, j] : jobs_) {
    if (j.is_forgotten || j.unanswered_since < 0) continue;
    j.is_forgotten = now - std::max(j.unanswered_since, fault_free_from_) > max_unanswered_s;
    if (j.is_forgotten) record_violation("forgotten", name, now);
  }
  for (auto& [name, job_state] : jobs_) {
    bool is_waiting = job_state.accepted && !job_state.withdrawn && !job_state.is_abandoned &&
                      job_state.final_answer == JobAnswer::open &&
                      job_state.running() + job_state.done.size() < job_state.requirements.tasks;
    if (!is_waiting || !fits_quota(job_state)) {
      job_state.waiting_since = -1;
      continue;
    }
    if (job_state.waiting_since < 0) job_state.waiting_since = now;
    job_state.is_abandoned = now - job_state.waiting_since > max_startable_wait_s &&
                             has_capacity_since(job_state, now - max_startable_wait_s);
    if (job_state.is_abandoned) record_violation("left_waiting", name, now);
  }
}

void InvariantChecker::close() {
  if (!any_task_started_) violations_.emplace_back("nothing_ran");
}

}  // namespace oxbowmill::simulation
