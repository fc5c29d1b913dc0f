// The promise that every job begins: by when its last task has to be sent out, and what that changes. Pure;
// docs/begin.md weighs the ways. Times in seconds.
#pragma once

#include "oxbowmill/core/model.h"

namespace oxbowmill {

/// How pressing it is that a task of a job is sent out that has not begun yet.
enum class Promise : std::uint8_t {
  ample,       // its turn comes by rank, deadline and age as ever
  protected_,  // not stopped for others before it has begun
  pressing,    // first in its rank as well
  lifted,      // before other ranks as well, as far as `promise_share` goes
};
const char* name_of(Promise p);

/// The job's image on the slowest allowed type, at a slow machine, beside another image where tasks share
/// one.
Seconds longest_fetch(const Model& model, const JobSpec& spec);
/// Seconds until a task of this job has to be sent out so that it runs in time, its image's fetch included.
/// Below 0: it is too late. Infinite where operators promise nothing.
Seconds promise_slack(const Model& model, const JobSpec& spec, double wall);
/// By the slack alone.
Promise promise_of(const Model& model, const JobSpec& spec, double wall);
/// The job waits for room with a task that has never begun.
bool waits_to_begin(const Job& j);
/// The task may be stopped to make room for others: it has begun, or its job has time enough to begin again.
bool may_be_stopped(const Model& model, const Job& j, const Placement& p, Clock clock);

}  // namespace oxbowmill
