// Saved progress of tasks, as far as it can be known: agents report phases, never seconds. Bounds from how
// long a task was seen running, from its checkpoint interval and from how fast machines may be
// (docs/checkpoints.md). Pure arithmetic. Progress is in seconds of a task's run time at its type's nominal
// speed.
#pragma once

#include <cstdint>
#include <vector>

namespace oxbowmill::checkpoint {

/// What is assumed of machines.
struct Settings {
  bool enabled = false;      ///< whether progress is estimated at all
  double min_speed = 0.125;  ///< of a type's speed, for any machine that runs tasks at all
  double max_speed = 1.25;   ///< of a type's speed
};

/// What a task can resume from. `low` is never above the truth while machines keep within the settings'
/// speeds.
struct SavedProgress {
  double low = 0;     ///< lower bound
  double likely = 0;  ///< estimate
  double high = 0;    ///< upper bound
  /// Whether there may be any.
  bool any() const { return high > 0; }
};

/// How long an attempt ran, in seconds.
struct RunTimeBounds {
  double min_s = 0;  ///< between the first and the last report that showed it running
  double max_s = 0;  ///< at the most
};

/// The attempt ended without saving: the multiples of `checkpoint_interval_s` that it had passed remain.
SavedProgress after_loss(const SavedProgress& before, const RunTimeBounds& run_time,
                         double checkpoint_interval_s, const Settings& settings);
/// The attempt was stopped and reported its progress as stored.
SavedProgress after_store(const SavedProgress& before, const RunTimeBounds& run_time,
                          double checkpoint_interval_s, const Settings& settings);
/// Two statements on the same task: a lower bound never falls, and no bound is left below it.
SavedProgress merged(const SavedProgress& a, const SavedProgress& b);

/// Run time still needed, by the owner's estimate, in seconds.
double remaining_run_time(double estimate_s, const SavedProgress& saved);
/// Execution time, for slow-task detection, of a task that finished `elapsed_s` after its last start: a
/// resumed one counts with what was saved before, at its most, or the median falls and healthy tasks are
/// flagged.
double execution_time(double elapsed_s, const SavedProgress& before);

/// How long a finished task ran.
struct FinishedTask {
  std::uint32_t task = 0;    ///< position in its job
  double run_s = 0;          ///< execution time
  double finished_at_s = 0;  ///< seconds from the job's submission
};
/// Execution times in order of finishing, as slow-task detection needs them.
std::vector<double> run_times_by_finish(std::vector<FinishedTask> finishes);

}  // namespace oxbowmill::checkpoint
