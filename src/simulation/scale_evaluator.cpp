#include "oxbowmill/simulation/scale_evaluator.h"

#include <algorithm>
#include <cmath>

#include "oxbowmill/simulation/agent_simulator.h"

namespace oxbowmill::simulation {

double Distribution::quantile(double share) const {
  if (values_.empty()) return 0;
  auto sorted = values_;
  std::sort(sorted.begin(), sorted.end());
  auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

ScaleEvaluator::ScaleEvaluator(const ScaleSettings& settings, double started_at)
    : settings_(settings),
      started_at_(started_at),
      invariants_(settings.cancel_timeout_s, std::vector<double>(settings.teams, settings.team_gpus)),
      waits_(settings.classes.size()) {
  invariants_.set_fault_free_from(started_at + settings.fault_free_from_s());
  // The protocol's deadline of a cancellation also applies to start commands that are still on their way.
  invariants_.set_start_tolerance(settings.cancel_timeout_s);
}

InvariantChecker::MachinePlacement ScaleEvaluator::placement_of(const std::string& machine) const {
  return {scale_zone_name(scale_machine_number(machine) % settings_.zones), false, "std"};
}

void ScaleEvaluator::on_submitted(const ScaleEvent& event) {
  ScaleJob job = scale_job(settings_, event.job);
  InvariantChecker::JobRequirements terms;
  terms.team = job.team;
  terms.tasks = job.job_class->tasks;
  terms.gpus = job.job_class->resources.gpus;
  terms.spot = false;
  terms.gang = job.job_class->shape == JobShape::gang;
  invariants_.on_submit(event.job, terms);
  Job& entry = jobs_[event.job];
  entry.submitted = event.at;
  entry.class_index = static_cast<std::size_t>(job.job_class - settings_.classes.data());
  entry.is_measured = event.at >= started_at_ + settings_.warm_up_s;
  entry.task_ran.resize(job.job_class->tasks);
  if (entry.is_measured) ++waits_[entry.class_index].jobs;
}

void ScaleEvaluator::on_task_runs(const ScaleEvent& event) {
  auto found = jobs_.find(event.job);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  if (event.task >= job.task_ran.size() || job.task_ran[event.task]) return;
  job.task_ran[event.task] = true;
  ++job.ran_count;
  if (!job.is_measured) return;
  ClassWaits& waits = waits_[job.class_index];
  if (job.ran_count == 1) waits.first_task_s.add(event.at - job.submitted);
  if (job.ran_count != job.task_ran.size()) return;
  waits.all_tasks_s.add(event.at - job.submitted);
  ++waits.fully_started;
}

void ScaleEvaluator::on_task_left(const ScaleEvent& event) {
  --running_;
  std::string id = event.job + "/" + std::to_string(event.task);
  bool completed = completed_.erase(id) != 0;
  auto job = jobs_.find(event.job);
  bool withdrawn_by_user = job != jobs_.end() && job->second.withdrawn;
  if (!completed && !withdrawn_by_user && event.at >= started_at_ + settings_.warm_up_s) ++lost_tasks_;
}

void ScaleEvaluator::add(const ScaleEvent& event) {
  switch (event.kind) {
    case ScaleEventKind::task_starts:
      invariants_.on_task_start(event.job, event.task, event.machine, placement_of(event.machine), event.at);
      if (event.at >= started_at_ + settings_.warm_up_s) ++starts_;
      max_running_ = std::max(max_running_, ++running_);
      break;
    case ScaleEventKind::task_runs:
      on_task_runs(event);
      break;
    case ScaleEventKind::task_leaves:
      invariants_.on_task_stop(event.job, event.task, event.machine, event.at);
      on_task_left(event);
      break;
    case ScaleEventKind::task_completes:
      invariants_.on_task_complete(event.job, event.task);
      completed_[event.job + "/" + std::to_string(event.task)] = 1;
      break;
    case ScaleEventKind::job_submitted:
      on_submitted(event);
      break;
    case ScaleEventKind::job_accepted:
      if (event.at >= started_at_ + settings_.warm_up_s) submit_ms_.add(event.value);
      break;
    case ScaleEventKind::job_withdrawn:
      invariants_.on_withdraw(event.job);
      jobs_[event.job].withdrawn = true;
      break;
    case ScaleEventKind::job_answered:
      invariants_.on_answer(event.job, event.answer, event.at);
      break;
    case ScaleEventKind::counter: {
      Counter& counter = counters_[event.job];
      bool warmed_up = event.at >= started_at_ + settings_.warm_up_s;
      if (!warmed_up || !counter.is_known) counter.first = event.value;
      if (warmed_up) counter.highest = std::max(counter.highest, event.value);
      counter.last = event.value;
      counter.is_known = true;
      break;
    }
  }
}

double ScaleEvaluator::increase_of(const std::string& counter) const {
  auto found = counters_.find(counter);
  return found == counters_.end() ? 0 : found->second.last - found->second.first;
}

double ScaleEvaluator::maximum_of(const std::string& counter) const {
  auto found = counters_.find(counter);
  return found == counters_.end() ? 0 : found->second.highest;
}

void ScaleEvaluator::check(double now) {
  invariants_.check(now);
}

}  // namespace oxbowmill::simulation
