#include "oxbowmill/scheduling/slow_task_detector.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "oxbowmill/scheduling/selection_query.h"

namespace oxbowmill {

namespace {

constexpr std::size_t min_jobs_to_block = 2;  // slow tasks of a single job may be caused by the job itself

bool had_restart(const Job& job, TaskNumber task) {
  auto chunk = job.chunks.find(task / tasks_per_chunk);
  return chunk != job.chunks.end() && (chunk->second.restarted >> (task % tasks_per_chunk) & 1) != 0;
}

}  // namespace

std::size_t finishes_needed(std::uint32_t tasks, double ratio) {
  // The subtrahend absorbs rounding errors, which could make 100 x 0.75 need 76 finishes.
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(tasks * ratio - 1e-9)));
}

double slow_baseline(const std::vector<double>& finished, std::uint32_t tasks,
                     const OperatorSettings& operator_settings) {
  std::size_t needed_count = finishes_needed(tasks, operator_settings.finished_ratio);
  if (finished.size() < needed_count) return -1;
  std::vector<double> earliest(finished.begin(),
                               finished.begin() + static_cast<std::ptrdiff_t>(needed_count));
  std::sort(earliest.begin(), earliest.end());
  double median = needed_count % 2 == 1 ? earliest[needed_count / 2]
                                        : (earliest[needed_count / 2 - 1] + earliest[needed_count / 2]) / 2;
  return std::max(median * operator_settings.slow_multiplier, operator_settings.baseline_floor_s);
}

void SlowTaskDetector::check_partition(PartitionIndex partition, Seconds now) {
  TasksByMachine slow_tasks;
  for (JobIndex job_index : state_.live_jobs(partition)) find_slow_tasks(job_index, now, slow_tasks);
  for (auto& [machine_index, tasks] : slow_tasks) {
    std::set<JobIndex> jobs;
    for (TaskId id : tasks) jobs.insert(id.job);
    if (jobs.size() < min_jobs_to_block) continue;
    block(machine_index, jobs.size(), now);
    if (state_.settings.operator_settings.restart_slow) request_restarts(partition, tasks, now);
  }
}

void SlowTaskDetector::find_slow_tasks(JobIndex job_index, Seconds now, TasksByMachine& slow_tasks) {
  Job& job = state_.job(job_index);
  if (job.spec.shape != JobShape::array || job.phase != JobPhase::open || job.placements.empty()) return;
  if (job.slow_baseline_s < 0) {
    job.slow_baseline_s =
        slow_baseline(job.finished_run_times, job.spec.tasks, state_.settings.operator_settings);
    if (job.slow_baseline_s < 0) return;
  }
  for (auto& [task, placement] : job.placements) {
    if (placement.state != PlacementState::reported || had_restart(job, task) || placement.restarting ||
        placement.restart_requested)
      continue;
    if (is_slow(now - placement.started_at, job.slow_baseline_s))
      slow_tasks[placement.machine].push_back({job_index, task});
  }
}

void SlowTaskDetector::block(MachineIndex machine_index, std::size_t job_count, Seconds now) {
  Machine& machine = state_.edit_machine(machine_index);
  if (machine.blocked_until < now) {
    SPDLOG_INFO("machine blocked for slow tasks machine={} jobs={}",
                state_.names.machines.name(machine_index), job_count);
  }
  machine.blocked_until =
      std::max(machine.blocked_until, now + state_.settings.operator_settings.slow_block_s);
}

void SlowTaskDetector::request_restarts(PartitionIndex partition, const std::vector<TaskId>& tasks,
                                        Seconds now) {
  capacity_.refresh(now);
  FreeCapacity& free_capacity = capacity_.free_capacity(partition);
  for (TaskId id : tasks) {
    Job& job = state_.job(id.job);
    // Without free capacity elsewhere the task continues.
    Selection elsewhere = free_capacity.select(selection_query_for(state_, capacity_, zones_, job, now),
                                               {id.task}, tasks_by_zone(state_, job));
    if (elsewhere.assignments.empty()) continue;
    free_capacity.take(elsewhere.machines.front().machine, job.spec.task_resources);
    // The task is stopped once its restart mark is durable.
    state_.edit_placement(id)->restart_requested = true;
    state_.dirty_jobs.insert(id.job);
  }
}

}  // namespace oxbowmill
