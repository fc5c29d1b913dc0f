// Saved progress of tasks, as far as it can be known: workers report phases, never seconds. Bounds from what
// was seen running, `save_every_s` and how fast machines may be. Pure arithmetic; docs/progress.md. Seconds
// of a task's run time at the speed that its type has by name.
#pragma once

#include <cstdint>
#include <vector>

namespace oxbowmill::progress {

struct Settings {
  bool enabled = false;
  double slowest = 0.125;  // of a type's speed, that a machine which runs tasks at all is taken to have
  double fastest = 1.25;
};

/// What a task can go on from. `low` is never above the truth while machines keep within the settings'
/// speeds.
struct Saved {
  double low = 0, likely = 0, high = 0;
  bool any() const { return high > 0; }
};

/// How long an attempt ran: between the first and the last report that showed it running, and at the most.
struct Ran {
  double least = 0, most = 0;
};

/// The attempt is gone without a save: what it had passed of the multiples of `save_every_s` remains.
Saved after_loss(const Saved& before, const Ran& ran, double save_every_s, const Settings& s);
/// It was stopped and reported its progress as stored.
Saved after_store(const Saved& before, const Ran& ran, double save_every_s, const Settings& s);
/// Two words on the same task: a lower bound never falls, and no bound is left below it.
Saved merged(const Saved& a, const Saved& b);

/// Run time still needed, by the owner's estimate.
double remaining(double estimate_s, const Saved& saved);
/// Execution time, for the detector, of a task that finished `elapsed_s` after its last start: a resumed one
/// counts with what was saved before, at its most, or the median falls and healthy tasks are flagged.
double execution_time(double elapsed_s, const Saved& before);

/// A finished task's execution time, and when it finished (seconds since its job came).
struct Finish {
  std::uint32_t task = 0;
  double run_s = 0, at_s = 0;
};
/// Execution times in order of finishing, as the detector wants them.
std::vector<double> in_order(std::vector<Finish> finishes);

}  // namespace oxbowmill::progress
