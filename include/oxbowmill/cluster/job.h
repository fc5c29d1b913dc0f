// A job as this controller knows it: the durable facts and the owner's working state. Plain data with queries
// that concern one job only.
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

/// What keeps a job from starting.
enum class PendingReason : std::uint8_t {
  none,                 ///< nothing
  queue_order,          ///< others come first, or no cycle has considered it yet
  quota,                ///< its team is at its limit
  no_capacity,          ///< no machine that fits has free capacity
  awaiting_spot,        ///< spot machines are coming, and whole on-demand ones are left to gangs
  capacity_coming,      ///< tasks are leaving, or machines are coming
  awaiting_leader,      ///< the leader is given a moment to request machines with the image
  write_budget,         ///< few writes are available: it is placed in larger batches
  transaction_pending,  ///< one of its own is in flight, or its outcome unknown
  error_backoff,        ///< after errors
  previous_attempt,     ///< a gang's earlier attempt has not ended
  agent_silent,         ///< an earlier owner's placement, whose machine has not reported
  start_unconfirmed,    ///< a start order that no report has shown yet
  image_fetch,          ///< its image is being fetched
  gang_members,         ///< its other members
  stopping,             ///< it was told to stop
};

/// Where a gang as a whole is.
enum class GangState : std::uint8_t {
  idle,       ///< no member is placed
  unknown,    ///< a member's state is not known
  gathering,  ///< members wait for one another
  running,    ///< all members run
  stopping,   ///< the attempt is lost: all members have to end
};

/// Whether the task's bit is set; tasks beyond the bitmap have none.
inline bool has_task_bit(const std::vector<std::uint64_t>& bits, TaskNumber task) {
  return task / tasks_per_chunk < bits.size() &&
         (bits[task / tasks_per_chunk] >> (task % tasks_per_chunk) & 1) != 0;
}
/// The bit of a task within the word of its chunk.
inline std::uint64_t task_bit(TaskNumber task) {
  return 1ULL << (task % tasks_per_chunk);
}

/// What the latest chunk record says of done tasks; its placements are in Job::placements.
struct Chunk {
  Revision revision = no_record;                   ///< of the record
  std::uint64_t done = 0;                          ///< bit per task
  std::uint64_t restarted = 0;                     ///< bit per task: has had its one restart
  std::vector<checkpoint::FinishedTask> finishes;  ///< run times of its finished tasks
};

/// One job. Times are of the steady clock.
struct Job {
  JobSpec spec;                     ///< as submitted; only `ref` is set before the record came
  JobPhase phase = JobPhase::open;  ///< by the record; cancelled once the record is gone
  Revision revision = no_record;    ///< of its record
  std::unordered_map<std::uint32_t, Chunk> chunks;  ///< by position
  std::map<TaskNumber, Placement> placements;       ///< tasks possibly on machines
  std::vector<std::uint64_t> done_or_placed;        ///< bit per task, a word per chunk
  /// Bit per task: has started at some time, as far as this owner saw. A task that had and is pending again
  /// is a repetition, not a job that never started.
  std::vector<std::uint64_t> ever_started;
  double machine_fraction = 1;   ///< of a machine that one task takes up
  std::uint32_t done_count = 0;  ///< number of done tasks
  std::uint32_t scan_from = 0;   ///< words of `done_or_placed` before this one have no free bit

  // Working state of the owner.
  bool writing = false;                   ///< a transaction about it is in flight
  Seconds write_backoff_until = 0;        ///< back-off after a refused or unanswered transaction
  Seconds done_marks_due = time_not_set;  ///< postponed done marks are written by then; below 0: none
  bool done_marks_urgent = false;         ///< somebody needs them: they are no longer postponed
  Seconds placement_backoff_until = 0;    ///< back-off after errors
  Seconds last_placement_at = long_ago;   ///< when tasks of it were last placed
  std::uint32_t error_count = 0;          ///< consecutive errors of its tasks
  Attempt broken_attempt = 0;             ///< attempt of a gang whose member reported its peers lost
  /// Since when a partly placed gang has no place for its other members; below 0: it has.
  Seconds unschedulable_since = time_not_set;
  Seconds first_seen = 0;  ///< since when it waits, by the clock of this node
  PendingReason pending_reason = PendingReason::queue_order;  ///< why its pending tasks have no machine
  Seconds pending_reason_logged_at = long_ago;                ///< when that was last logged
  std::vector<double> finished_run_times;  ///< for slow-task detection, in order of finishing
  double slow_baseline_s = time_not_set;   ///< run time from which on a task is slow; below 0: unknown
  std::map<TaskNumber, checkpoint::SavedProgress> checkpoints;  ///< what tasks resume from; of a gang under 0
  Attempt checkpoint_attempt = 0;  ///< of a gang: attempt whose progress is already in `checkpoints`
  std::map<TaskNumber, checkpoint::FinishedTask> unrecorded_finishes;  ///< not in a durable record yet

  /// Whether its tasks run together.
  bool is_gang() const { return spec.shape == JobShape::gang; }
  /// What the task resumes from; a gang has one progress for all members.
  checkpoint::SavedProgress checkpoint_of(TaskNumber task) const {
    auto it = checkpoints.find(is_gang() ? 0 : task);
    return it == checkpoints.end() ? checkpoint::SavedProgress() : it->second;
  }
  /// Mean run time that its pending tasks still need, by the owner's estimate.
  Seconds remaining_s() const;
  /// Whether it is done or cancelled.
  bool is_final() const { return phase != JobPhase::open; }
  /// Whether the task has started at some time, as far as this owner saw.
  bool has_started(TaskNumber task) const { return has_task_bit(ever_started, task); }
  /// Records that the task has started. Without effect before the job's record has come.
  void mark_started(TaskNumber task);
  /// Number of tasks that are neither done nor placed; 0 for a final job.
  std::uint32_t pending_count() const {
    return phase == JobPhase::open ? spec.tasks - done_count - static_cast<std::uint32_t>(placements.size())
                                   : 0;
  }
  /// The lowest pending tasks, up to `most`. Advances `scan_from`.
  std::vector<TaskNumber> pending_tasks(std::size_t most);
  /// Takes over what the first sight of its record says, beside chunks and placements that came earlier.
  void adopt_spec(const JobSpec& new_spec);
  /// Merges the content of a chunk record; `busy` has a bit for each of its done and placed tasks.
  void update_chunk(std::uint32_t position, const ChunkRecord& record, Revision new_revision,
                    std::uint64_t busy);
  /// A task has left its machine without finishing: works out what it can resume from. Only where
  /// checkpoints are enabled and the job takes them.
  void record_termination(const Placement& placement, const Settings& settings, Seconds now);
  /// Failover: rebuilds what an earlier owner knew of finished and started tasks from the durable records.
  void restore_progress();
};

}  // namespace oxbowmill
