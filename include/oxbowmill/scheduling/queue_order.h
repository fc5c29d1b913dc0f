// In which order waiting jobs get room.
#pragma once

#include "oxbowmill/cluster/start_deadline.h"

namespace oxbowmill {

/// A job that has to start by some time, for the choice below.
struct DueJob {
  double start_by = 0;  // seconds from now
  double machines = 0;  // machines' worth of room that it waits for
};

/// Which of these jobs to give up so that the fewest start late, when room comes free at `rate` machines a
/// second: in order of their times, the largest is given up whenever the next
/// would be late (Moore and Hodgson's rule). True: given up.
std::vector<bool> select_late_jobs(const std::vector<DueJob>& jobs, double rate);

struct WaitingJob {
  JobIndex job;
  StartDeadline start_deadline = StartDeadline::relaxed;
};

/// Waiting jobs of a part: those that are lifted by the promise that every job begins; then by rank, in it
/// first those for which that is pressing; then those that can still be in time, by the last moment at which
/// they must start; then the others, longest first; jobs without a deadline by age.
std::vector<WaitingJob> waiting_order(const ClusterState& model, PartitionIndex partition, Clock clock);

}  // namespace oxbowmill
