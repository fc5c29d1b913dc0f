#include "oxbowmill/scheduling/job_writer.h"

#include "oxbowmill/scheduling/job_transaction_builder.h"
#include "oxbowmill/scheduling/task_termination.h"

namespace oxbowmill {

void JobWriter::write_changed(PlannedTasks planned, Seconds now, Effects& out) {
  done_marks_.mark_due_jobs_dirty(now);
  auto dirty = std::move(state_.dirty_jobs);
  state_.dirty_jobs.clear();
  for (JobIndex job_index : dirty) planned.try_emplace(job_index);
  for (const auto& [job_index, tasks] : planned) {
    Job* job = state_.live_job(job_index);
    if (job == nullptr || !ownership_.owns(job->spec.partition)) continue;
    if (job->spec.shape == JobShape::gang) gangs_.check(*job, now);
    stop_restarting(*job, now);
    if (job->write_in_flight || now < job->write_backoff_until) {
      state_.dirty_jobs.insert(job_index);
      continue;
    }
    write(job_index, tasks, now, out);
  }
}

void JobWriter::stop_restarting(Job& job, Seconds now) {
  for (auto& [task, placement] : job.placements) {
    // The restart mark is durable, so the slow task may be stopped now.
    if (placement.restarting && placement.state == PlacementState::reported)
      stop_task(state_, placement, job.spec.flush_s, now);
  }
}

void JobWriter::write(JobIndex job_index, const std::vector<PlacedTask>& planned, Seconds now, Effects& out) {
  Job& job = state_.job(job_index);
  bool places = !planned.empty() && job.phase == JobPhase::open;
  if (!places && done_marks_.may_postpone(job_index, now)) return;
  job.done_marks_due_at = -1;
  job.done_marks_urgent = false;
  JobTransactionBuilder builder(state_, job_index, planned, now);
  if (!builder.collect_changes()) return;
  transactions_.queue_job(out, builder.build(ownership_.guard(job.spec.partition)));
}

}  // namespace oxbowmill
