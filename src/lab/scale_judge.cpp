#include "oxbowmill/lab/scale_judge.h"

#include <algorithm>
#include <cmath>

#include "oxbowmill/lab/hollow_fleet.h"

namespace oxbowmill::lab {

double Spread::at(double share) const {
  if (values_.empty()) return 0;
  auto sorted = values_;
  std::sort(sorted.begin(), sorted.end());
  auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

ScaleJudge::ScaleJudge(const ScaleSettings& settings, double began)
    : settings_(settings),
      began_(began),
      rules_(settings.cancel_s, std::vector<double>(settings.teams, settings.team_gpus)),
      waits_(settings.classes.size()) {
  rules_.quiet_from(began + settings.quiet_from_s());
  // The protocol's own bound, for tasks that run on and for starts alike.
  rules_.starts_end_within(settings.cancel_s);
}

Rules::Place ScaleJudge::place_of(const std::string& machine) const {
  return {scale_zone_name(scale_machine_number(machine) % settings_.zones), false, "std"};
}

void ScaleJudge::submitted(const ScaleEvent& event) {
  ScaleJob job = scale_job(settings_, event.job);
  Rules::Terms terms;
  terms.team = job.team;
  terms.tasks = job.kind->tasks;
  terms.gpus = job.kind->need.gpus;
  terms.spot = false;
  terms.gang = job.kind->shape == Shape::gang;
  rules_.submits(event.job, terms);
  Job& known = jobs_[event.job];
  known.submitted = event.at;
  known.kind = static_cast<std::size_t>(job.kind - settings_.classes.data());
  known.measured = event.at >= began_ + settings_.warm_s;
  known.ran.resize(job.kind->tasks);
  if (known.measured) ++waits_[known.kind].jobs;
}

void ScaleJudge::runs(const ScaleEvent& event) {
  auto found = jobs_.find(event.job);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  if (event.task >= job.ran.size() || job.ran[event.task]) return;
  job.ran[event.task] = true;
  ++job.ran_count;
  if (!job.measured) return;
  ClassWaits& waits = waits_[job.kind];
  if (job.ran_count == 1) waits.first_s.add(event.at - job.submitted);
  if (job.ran_count != job.ran.size()) return;
  waits.all_s.add(event.at - job.submitted);
  ++waits.begun;
}

void ScaleJudge::left(const ScaleEvent& event) {
  --running_;
  std::string id = event.job + "/" + std::to_string(event.task);
  bool done = completed_.erase(id) != 0;
  auto job = jobs_.find(event.job);
  bool unwanted = job != jobs_.end() && job->second.withdrawn;
  if (!done && !unwanted && event.at >= began_ + settings_.warm_s) ++lost_;
}

void ScaleJudge::take(const ScaleEvent& event) {
  switch (event.kind) {
    case ScaleEventKind::task_starts:
      rules_.starts(event.job, event.task, event.machine, place_of(event.machine), event.at);
      if (event.at >= began_ + settings_.warm_s) ++starts_;
      most_running_ = std::max(most_running_, ++running_);
      break;
    case ScaleEventKind::task_runs:
      runs(event);
      break;
    case ScaleEventKind::task_leaves:
      rules_.leaves(event.job, event.task, event.machine, event.at);
      left(event);
      break;
    case ScaleEventKind::task_completes:
      rules_.completes(event.job, event.task);
      completed_[event.job + "/" + std::to_string(event.task)] = 1;
      break;
    case ScaleEventKind::job_submitted:
      submitted(event);
      break;
    case ScaleEventKind::job_accepted:
      if (event.at >= began_ + settings_.warm_s) submit_ms_.add(event.value);
      break;
    case ScaleEventKind::job_withdrawn:
      rules_.withdraws(event.job);
      jobs_[event.job].withdrawn = true;
      break;
    case ScaleEventKind::job_told:
      rules_.told(event.job, event.told, event.at);
      break;
    case ScaleEventKind::counter: {
      Counter& counter = counters_[event.job];
      bool warm = event.at >= began_ + settings_.warm_s;
      if (!warm || !counter.known) counter.first = event.value;
      if (warm) counter.highest = std::max(counter.highest, event.value);
      counter.last = event.value;
      counter.known = true;
      break;
    }
  }
}

double ScaleJudge::risen(const std::string& counter) const {
  auto found = counters_.find(counter);
  return found == counters_.end() ? 0 : found->second.last - found->second.first;
}

double ScaleJudge::highest(const std::string& counter) const {
  auto found = counters_.find(counter);
  return found == counters_.end() ? 0 : found->second.highest;
}

void ScaleJudge::check(double now) {
  rules_.check(now);
}

}  // namespace oxbowmill::lab
