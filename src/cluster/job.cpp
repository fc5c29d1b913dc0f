#include "oxbowmill/cluster/job.h"

#include <algorithm>

#include "oxbowmill/cluster/message_size.h"
#include "oxbowmill/cluster/settings.h"

namespace oxbowmill {

namespace {
std::uint32_t count_tasks(std::uint64_t bits) {
  return static_cast<std::uint32_t>(__builtin_popcountll(bits));
}
}  // namespace

Seconds Job::remaining_s() const {
  if (checkpoints.empty() || spec.tasks == 0) return spec.estimate_s;
  if (is_gang()) return checkpoint::remaining_run_time(spec.estimate_s, checkpoint_of(0));
  double resumed_run_time = 0;
  std::uint32_t resumed_count = 0;
  for (const auto& [task, progress] : checkpoints) {
    bool pending = placements.count(task) == 0 && task / tasks_per_chunk < done_or_placed.size() &&
                   !has_task_bit(done_or_placed, task);
    if (!pending) continue;
    resumed_run_time += checkpoint::remaining_run_time(spec.estimate_s, progress);
    ++resumed_count;
  }
  std::uint32_t pending = std::max(pending_count(), resumed_count);
  return pending == 0 ? spec.estimate_s
                      : (resumed_run_time + (pending - resumed_count) * spec.estimate_s) / pending;
}

void Job::mark_started(TaskNumber task) {
  ever_started.resize(done_or_placed.size());
  if (task / tasks_per_chunk < ever_started.size()) ever_started[task / tasks_per_chunk] |= task_bit(task);
}

std::vector<TaskNumber> Job::pending_tasks(std::size_t max_count) {
  std::vector<TaskNumber> pending;
  for (std::uint32_t chunk = pending_scan_chunk; chunk < done_or_placed.size() && pending.size() < max_count;
       ++chunk) {
    std::uint64_t free = ~done_or_placed[chunk];
    if (free == 0 && chunk == pending_scan_chunk) pending_scan_chunk = chunk + 1;
    while (free != 0 && pending.size() < max_count) {
      TaskNumber task = chunk * tasks_per_chunk + static_cast<TaskNumber>(__builtin_ctzll(free));
      free &= free - 1;
      if (task < spec.tasks) pending.push_back(task);
    }
  }
  return pending;
}

void Job::set_spec(const JobSpec& new_spec) {
  spec = new_spec;
  spec.task_resources.message_bytes = static_cast<double>(task_message_bytes(spec.ref));
  done_or_placed.assign((spec.tasks + tasks_per_chunk - 1) / tasks_per_chunk, 0);
  for (const auto& [position, chunk] : chunks) {
    if (position < done_or_placed.size()) done_or_placed[position] = chunk.done;
  }
  for (const auto& [task, placement] : placements) {
    if (task < spec.tasks) done_or_placed[task / tasks_per_chunk] |= task_bit(task);
  }
}

void Job::update_chunk(std::uint32_t position, const ChunkRecord& record, Revision new_revision,
                       std::uint64_t done_or_placed_bits) {
  Chunk& chunk = chunks[position];
  done_count += count_tasks(record.done) - count_tasks(chunk.done);
  chunk = {new_revision, record.done, record.restarted, record.finishes};
  for (const auto& [task, progress] : record.checkpoints)
    checkpoints[task] = checkpoint::merge(checkpoints[task], progress);
  if (position < done_or_placed.size()) {
    done_or_placed[position] = done_or_placed_bits;
    pending_scan_chunk = std::min(pending_scan_chunk, position);
  }
}

void Job::record_termination(const Placement& placement, const Settings& settings, Seconds now) {
  if (!settings.progress.enabled || spec.checkpoint_interval_s <= 0 || placement.running_at < 0) return;
  // All members of a gang share one progress, which is decided by the first member that leaves an attempt:
  // once it has left without saving, progress that another member reports as saved is of no use (PROTOCOL,
  // "Gangs").
  if (is_gang() && checkpoint_attempt == placement.attempt) return;
  checkpoint_attempt = placement.attempt;
  checkpoint::RunTimeBounds run_time{placement.observed_run_s, now - placement.started_at};
  // After one member is lost, reports show the others as running for a while although they make no progress.
  if (is_gang() && !placement.checkpoint_saved)
    run_time.min_s =
        std::max(0.0, run_time.min_s - settings.gang_peer_timeout_s - settings.report_interval_s);
  checkpoint::SavedProgress before = checkpoint_of(placement.task);
  checkpoint::SavedProgress after =
      placement.checkpoint_saved ? checkpoint::progress_after_saved_stop(
                                       before, run_time, spec.checkpoint_interval_s, settings.progress)
                                 : checkpoint::progress_after_unsaved_end(
                                       before, run_time, spec.checkpoint_interval_s, settings.progress);
  checkpoints[is_gang() ? 0 : placement.task] = checkpoint::merge(before, after);
}

void Job::restore_progress() {
  std::vector<checkpoint::FinishedTask> finishes;
  for (const auto& [position, chunk] : chunks)
    finishes.insert(finishes.end(), chunk.finishes.begin(), chunk.finishes.end());
  finished_run_times = checkpoint::run_times_by_finish(std::move(finishes));
  slow_baseline_s = time_not_set;
  unrecorded_finishes.clear();
  // A task with saved progress has started. In a gang, all members have started.
  for (const auto& [first, progress] : checkpoints) {
    if (!progress.may_be_nonzero()) continue;
    TaskNumber end = is_gang() ? spec.tasks : first + 1;
    for (TaskNumber task = first; task < end; ++task) mark_started(task);
  }
}

}  // namespace oxbowmill
