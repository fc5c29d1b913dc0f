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

ScaleEvaluator::ScaleEvaluator(const ScaleSettings& settings, double began)
    : settings_(settings),
      began_(began),
      invariants_(settings.cancel_timeout_s, std::vector<double>(settings.teams, settings.team_gpus)),
      waits_(settings.classes.size()) {
  invariants_.set_fault_free_from(began + settings.fault_free_from_s());
  // The protocol's deadline of a cancellation also applies to start commands that are still on their way.
  invariants_.set_start_tolerance(settings.cancel_timeout_s);
}

InvariantChecker::MachinePlacement ScaleEvaluator::place_of(const std::string& machine) const {
  return {scale_zone_name(scale_machine_number(machine) % settings_.zones), false, "std"};
}

void ScaleEvaluator::on_submitted(const ScaleEvent& event) {
  ScaleJob job = scale_job(settings_, event.job);
  InvariantChecker::JobTerms terms;
  terms.team = job.team;
  terms.tasks = job.job_class->tasks;
  terms.gpus = job.job_class->resources.gpus;
  terms.spot = false;
  terms.gang = job.job_class->shape == JobShape::gang;
  invariants_.on_submit(event.job, terms);
  Job& known = jobs_[event.job];
  known.submitted = event.at;
  known.class_index = static_cast<std::size_t>(job.job_class - settings_.classes.data());
  known.measured = event.at >= began_ + settings_.warm_up_s;
  known.task_ran.resize(job.job_class->tasks);
  if (known.measured) ++waits_[known.class_index].jobs;
}

void ScaleEvaluator::on_task_runs(const ScaleEvent& event) {
  auto found = jobs_.find(event.job);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  if (event.task >= job.task_ran.size() || job.task_ran[event.task]) return;
  job.task_ran[event.task] = true;
  ++job.ran_count;
  if (!job.measured) return;
  ClassWaits& waits = waits_[job.class_index];
  if (job.ran_count == 1) waits.first_s.add(event.at - job.submitted);
  if (job.ran_count != job.task_ran.size()) return;
  waits.all_s.add(event.at - job.submitted);
  ++waits.begun;
}

void ScaleEvaluator::on_task_left(const ScaleEvent& event) {
  --running_;
  std::string id = event.job + "/" + std::to_string(event.task);
  bool done = completed_.erase(id) != 0;
  auto job = jobs_.find(event.job);
  bool unwanted = job != jobs_.end() && job->second.withdrawn;
  if (!done && !unwanted && event.at >= began_ + settings_.warm_up_s) ++lost_;
}

void ScaleEvaluator::add(const ScaleEvent& event) {
  switch (event.kind) {
    case ScaleEventKind::task_starts:
      invariants_.on_task_start(event.job, event.task, event.machine, place_of(event.machine), event.at);
      if (event.at >= began_ + settings_.warm_up_s) ++starts_;
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
      if (event.at >= began_ + settings_.warm_up_s) submit_ms_.add(event.value);
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
      bool warm = event.at >= began_ + settings_.warm_up_s;
      if (!warm || !counter.known) counter.first = event.value;
      if (warm) counter.highest = std::max(counter.highest, event.value);
      counter.last = event.value;
      counter.known = true;
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
