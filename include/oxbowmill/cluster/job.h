// A job as this controller knows it: the durable facts and the owner's working state. Plain data with
// functions that concern one job only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "oxbowmill/checkpoint/saved_progress.h"
#include "oxbowmill/cluster/placement.h"
#include "oxbowmill/cluster/records.h"

namespace oxbowmill {

struct Settings;

/// Why tasks of a job have not started.
enum class PendingReason : std::uint8_t {
  none,                 ///< nothing prevents the start
  queue_order,          ///< other jobs come first, or no scheduling cycle has considered it yet
  quota,                ///< its team has reached its quota
  no_capacity,          ///< no suitable machine has free capacity
  message_limit,        ///< machines have capacity, but hold as many tasks as their messages can list
  awaiting_spot,        ///< spot machines are expected, and whole on-demand machines are kept free for gangs
  capacity_coming,      ///< tasks are leaving their machines, or machines are booting
  awaiting_leader,      ///< the leader gets a moment to request machines that have the image
  write_budget,         ///< few writes are available, so tasks are placed in larger batches
  transaction_pending,  ///< a transaction of the job is in flight, or its outcome is unknown
  error_backoff,        ///< backing off after errors of its tasks
  previous_attempt,     ///< the gang's previous attempt has not ended
  agent_silent,         ///< an earlier owner placed it on a machine that has not reported
  start_unconfirmed,    ///< it is placed, but no report has shown its start yet
  image_fetch,          ///< its image is being fetched
  gang_members,         ///< it waits for the other members of its gang
  stopping,             ///< it was told to stop
};

/// State of a gang as a whole.
enum class GangState : std::uint8_t {
  idle,       ///< no member is placed
  unknown,    ///< the state of a member is not known
  gathering,  ///< members wait for one another
  running,    ///< all members run
  stopping,   ///< the attempt has failed, and all members have to end
};

/// Whether the task's bit is set; false for tasks beyond the end of the bitmap.
inline bool has_task_bit(const std::vector<std::uint64_t>& bits, TaskNumber task) {
  return task / tasks_per_chunk < bits.size() &&
         (bits[task / tasks_per_chunk] >> (task % tasks_per_chunk) & 1) != 0;
}
/// The bit of a task within the word of its chunk.
inline std::uint64_t task_bit(TaskNumber task) {
  return 1ULL << (task % tasks_per_chunk);
}

/// What the latest chunk record says about finished tasks. Its placements are in Job::placements.
struct Chunk {
  Revision revision = no_record;                   ///< revision of the record
  std::uint64_t done = 0;                          ///< bit per task: has finished
  std::uint64_t restarted = 0;                     ///< bit per task: was restarted as slow (at most once)
  std::vector<checkpoint::FinishedTask> finishes;  ///< run times of finished tasks
};

/// One job. Times are of the steady clock.
struct Job {
  JobSpec spec;                     ///< as submitted; only `ref` is set until the job's record is read
  JobPhase phase = JobPhase::open;  ///< as recorded; an open job becomes cancelled when its record is removed
  Revision revision = no_record;    ///< revision of its record
  std::unordered_map<std::uint32_t, Chunk> chunks;  ///< by position in the job
  std::map<TaskNumber, Placement> placements;       ///< tasks that may be on machines
  std::vector<std::uint64_t> done_or_placed;        ///< bit per task, one word per chunk
  /// Bit per task: has started at some time, as far as this owner knows. If such a task is pending again,
  /// it is repeated; the job does not count as one that never started.
  std::vector<std::uint64_t> ever_started;
  double machine_fraction = 1;           ///< fraction of a machine that one task takes up
  std::uint32_t done_count = 0;          ///< number of done tasks
  std::uint32_t pending_scan_chunk = 0;  ///< chunks before this one have no pending task

  // Working state of the owner.
  bool write_in_flight = false;     ///< a transaction that concerns it is in flight
  Seconds write_backoff_until = 0;  ///< no transactions until then, after one was refused or unanswered
  Seconds done_marks_due_at = time_not_set;  ///< when postponed done marks are written; below 0: none
  bool done_marks_urgent = false;            ///< other work waits for the done marks: they are not postponed
  Seconds placement_backoff_until = 0;       ///< no placements until then, after errors of its tasks
  Seconds last_placement_at = long_ago;      ///< when tasks of the job were last placed
  std::uint32_t error_count = 0;             ///< consecutive errors of its tasks
  Attempt broken_attempt = 0;  ///< attempt in which a gang member reported that it lost its peers
  /// Since when no machines have been found for the other members of a partly placed gang; below 0: not the
  /// case.
  Seconds unschedulable_since = time_not_set;
  Seconds waiting_since = 0;  ///< since when it has waited, by this controller's steady clock
  PendingReason pending_reason = PendingReason::queue_order;  ///< why its pending tasks have no machine
  Seconds pending_reason_logged_at = long_ago;                ///< when `pending_reason` was last logged
  std::vector<double> finished_run_times;  ///< in seconds, in order of finishing; for slow-task detection
  double slow_baseline_s = time_not_set;   ///< run time above which a task is slow; below 0: unknown
  std::map<TaskNumber, checkpoint::SavedProgress> checkpoints;  ///< saved progress; a gang's is under task 0
  Attempt checkpoint_attempt = 0;  ///< for a gang: the attempt whose progress is already in `checkpoints`
  std::map<TaskNumber, checkpoint::FinishedTask> unrecorded_finishes;  ///< not in a durable record yet

  /// Whether its tasks start, run and restart together.
  bool is_gang() const { return spec.shape == JobShape::gang; }
  /// Saved progress that the task resumes from, zero if none is known. All members of a gang share one.
  checkpoint::SavedProgress checkpoint_of(TaskNumber task) const {
    auto it = checkpoints.find(is_gang() ? 0 : task);
    return it == checkpoints.end() ? checkpoint::SavedProgress() : it->second;
  }
  /// Mean run time that its pending tasks still need, by the user's estimate.
  Seconds remaining_s() const;
  /// Whether it is done or cancelled.
  bool is_final() const { return phase != JobPhase::open; }
  /// Whether the task has started at some time, as far as this owner knows.
  bool has_started(TaskNumber task) const { return has_task_bit(ever_started, task); }
  /// Records that the task has started. Has no effect before the job's record is read.
  void mark_started(TaskNumber task);
  /// Number of tasks that are neither done nor placed; 0 for a final job.
  std::uint32_t pending_count() const {
    return phase == JobPhase::open ? spec.tasks - done_count - static_cast<std::uint32_t>(placements.size())
                                   : 0;
  }
  /// The lowest-numbered pending tasks, at most `max_count`. Advances `pending_scan_chunk`.
  std::vector<TaskNumber> pending_tasks(std::size_t max_count);
  /// Takes over the specification when the job's record is first read. Keeps chunks and placements that were
  /// read before it.
  void set_spec(const JobSpec& new_spec);
  /// Applies a chunk record. `done_or_placed_bits` has a bit for each of its done and placed tasks.
  void update_chunk(std::uint32_t position, const ChunkRecord& record, Revision new_revision,
                    std::uint64_t done_or_placed_bits);
  /// Estimates what a task can resume from after it has left its machine without finishing. Has no effect
  /// unless progress is estimated, the job saves checkpoints and the task was seen running.
  void record_termination(const Placement& placement, const Settings& settings, Seconds now);
  /// After a failover: rebuilds what the earlier owner knew of finished and started tasks from the durable
  /// records.
  void restore_progress();
};

}  // namespace oxbowmill
