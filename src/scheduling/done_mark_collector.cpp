#include "oxbowmill/scheduling/done_mark_collector.h"

#include "oxbowmill/scheduling/gangs.h"

namespace oxbowmill {

namespace {

/// Done marks are postponed while this controller uses more than this fraction of the state service's write
/// limit.
constexpr double postponing_write_fraction = 0.15;

/// Counts of a job's placements whose end is not durable yet.
struct EndedTasks {
  std::size_t ended = 0;     // tasks that are off their machines
  std::size_t finished = 0;  // those among them that finished their work
  bool restart_requested = false;
};

EndedTasks count_ended(const Job& job) {
  EndedTasks count;
  for (const auto& [task, placement] : job.placements) {
    count.restart_requested =
        count.restart_requested || (placement.restart_requested && !placement.restarting);
    count.ended += is_off_machine(placement.state) ? 1 : 0;
    count.finished += placement.state == PlacementState::finished ? 1 : 0;
  }
  return count;
}

/// Whether the gang is being stopped and some member is still on its machine: no member can start before all
/// have left.
bool is_stopping_gang(const Job& job, const EndedTasks& count) {
  return job.spec.shape == JobShape::gang && gang_state(job) == GangState::stopping &&
         count.ended < job.placements.size();
}

/// Whether ends of other tasks have to be written later anyway and no placement waits for the present ones.
bool has_later_write(const Job& job, const EndedTasks& count) {
  if (job.is_final()) return count.ended < job.placements.size();
  return count.ended == count.finished && job.done_count + count.finished < job.spec.tasks &&
         job.spec.shape == JobShape::array;
}

}  // namespace

void request_done_marks(ClusterState& state, MachineIndex machine_index) {
  for (TaskId id : state.machine(machine_index).placed_tasks) {
    if (!is_off_machine(state.find_placement(id)->state)) continue;
    state.job(id.job).done_marks_urgent = true;
    state.dirty_jobs.insert(id.job);
  }
}

bool DoneMarkCollector::may_postpone(JobIndex job_index, Seconds now) {
  Job& job = state_.job(job_index);
  EndedTasks count = count_ended(job);
  if (count.restart_requested || count.ended == 0) return false;
  bool stopping_gang = is_stopping_gang(job, count);
  if (!stopping_gang && (!has_later_write(job, count) || job.done_marks_urgent)) return false;
  if (job.done_marks_due_at < 0) {
    if (!write_rate_.exceeds(postponing_write_fraction)) return false;
    job.done_marks_due_at = now + state_.settings.operator_settings.done_mark_delay_s;
    due_.emplace(job.done_marks_due_at, job_index);
  }
  return now < job.done_marks_due_at;
}

void DoneMarkCollector::mark_due_jobs_dirty(Seconds now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    if (state_.live_job(due_.begin()->second) != nullptr) state_.dirty_jobs.insert(due_.begin()->second);
    due_.erase(due_.begin());
  }
}

}  // namespace oxbowmill
