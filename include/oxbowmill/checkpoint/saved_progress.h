// Saved progress of tasks, as far as it can be known: workers report phases, never seconds. Bounds from what
// was seen running, `save_every_s` and how fast machines may be. Pure arithmetic; docs/checkpoints.md.
// Seconds of a task's run time at the speed that its type has by name.
#pragma once

#include <cstdint>
#include <vector>

namespace oxbowmill::checkpoint {

struct Settings {
  bool enabled = false;
  double min_speed = 0.125;  // of a type's speed, that a machine which runs tasks at all is taken to have
  double max_speed = 1.25;
};

/// What a task can go on from. `low` is never above the truth while machines keep within the settings'
/// speeds.
struct SavedProgress {
  double low = 0, likely = 0, high = 0;
  bool any() const { return high > 0; }
};

/// How long an attempt ran: between the first and the last report that showed it running, and at the most.
struct RunTimeBounds {
  double min_s = 0, max_s = 0;
};

/// The attempt is gone without a save: what it had passed of the multiples of `save_every_s` remains.
SavedProgress after_loss(const SavedProgress& before, const RunTimeBounds& ran, double save_every_s,
                         const Settings& s);
/// It was stopped and reported its progress as stored.
SavedProgress after_store(const SavedProgress& before, const RunTimeBounds& ran, double save_every_s,
                          const Settings& s);
/// Two words on the same task: a lower bound never falls, and no bound is left below it.
SavedProgress merged(const SavedProgress& a, const SavedProgress& b);

/// Run time still needed, by the owner's estimate.
double remaining_run_time(double estimate_s, const SavedProgress& saved);
/// Execution time, for the detector, of a task that finished `elapsed_s` after its last start: a resumed one
/// counts with what was saved before, at its most, or the median falls and healthy tasks are flagged.
double execution_time(double elapsed_s, const SavedProgress& before);

/// A finished task's execution time, and when it finished (seconds since its job came).
struct FinishedTask {
  std::uint32_t task = 0;
  double run_s = 0, finished_at_s = 0;
};
/// Execution times in order of finishing, as the detector wants them.
std::vector<double> run_times_by_finish(std::vector<FinishedTask> finishes);

}  // namespace oxbowmill::checkpoint
