// Bounds on the saved progress of tasks (docs/checkpoints.md). Agents report phases and never amounts of
// progress, so the bounds are derived from how long a task was seen running, from its checkpoint interval and
// from the range of machine speeds. Progress is measured in seconds of run time at the nominal speed of the
// machine type. Pure arithmetic.
#pragma once

#include <cstdint>
#include <vector>

namespace oxbowmill::checkpoint {

/// Whether progress is estimated, and the range of machine speeds that the bounds assume.
struct Settings {
  bool enabled = false;      ///< whether progress is estimated at all
  double min_speed = 0.125;  ///< lowest speed of a machine that runs tasks at all, relative to its type's
  double max_speed = 1.25;   ///< highest speed of a machine, relative to its type's
};

/// Saved progress that a task can resume from, in seconds. `low` never exceeds the true value while machine
/// speeds stay within the range of the settings.
struct SavedProgress {
  double low = 0;     ///< lower bound
  double likely = 0;  ///< estimate
  double high = 0;    ///< upper bound
  /// Whether any progress may have been saved.
  bool may_be_nonzero() const { return high > 0; }
};

/// Bounds on how long an attempt ran, in seconds.
struct RunTimeBounds {
  double min_s = 0;  ///< lower bound, from the reports that showed it running
  double max_s = 0;  ///< upper bound
};

/// Progress after an attempt that did not save when it ended: it keeps the last multiple of
/// `checkpoint_interval_s` that it passed. Zero if the interval is 0 (the task never saves).
SavedProgress progress_after_unsaved_end(const SavedProgress& before, const RunTimeBounds& run_time,
                                         double checkpoint_interval_s, const Settings& settings);
/// Progress after an attempt that was stopped and whose agent reported its progress as saved. Zero if
/// `checkpoint_interval_s` is 0 (the task never saves).
SavedProgress progress_after_saved_stop(const SavedProgress& before, const RunTimeBounds& run_time,
                                        double checkpoint_interval_s, const Settings& settings);
/// Combines two statements about the same task: takes the greater of each bound, so that a lower bound never
/// decreases, and keeps `low` <= `likely` <= `high`.
SavedProgress merge(const SavedProgress& a, const SavedProgress& b);

/// Run time that the task still needs, in seconds, if its whole run time is the user's estimate `estimate_s`.
double remaining_run_time(double estimate_s, const SavedProgress& saved);
/// Execution time in seconds, for slow-task detection, of a task that finished `elapsed_s` after its last
/// start. It includes the upper bound of the progress saved before: without that, resumed tasks would lower
/// the median, and healthy tasks would be flagged as slow.
double execution_time(double elapsed_s, const SavedProgress& before);

/// Run time of a finished task.
struct FinishedTask {
  std::uint32_t task = 0;    ///< position in its job
  double run_s = 0;          ///< execution time, in seconds
  double finished_at_s = 0;  ///< seconds from the job's submission to the task's end
};
/// Execution times in seconds, in the order in which the tasks finished, as slow-task detection needs them.
std::vector<double> run_times_by_finish(std::vector<FinishedTask> finishes);

}  // namespace oxbowmill::checkpoint
