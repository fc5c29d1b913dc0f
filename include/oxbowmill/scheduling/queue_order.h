// In which order waiting jobs are placed. Stateless.
#pragma once

#include "oxbowmill/cluster/start_deadline.h"

namespace oxbowmill {

/// A job that has to start by some time, for the choice below.
struct DueJob {
  double start_by = 0;  ///< seconds from now
  double machines = 0;  ///< machines' worth of capacity that it waits for
};

/// Which of these jobs to give up so that the fewest start late, when capacity becomes free at `rate`
/// machines a second: in order of their times, the largest is given up whenever the next would be late (Moore
/// and Hodgson's rule). True: given up.
std::vector<bool> select_late_jobs(const std::vector<DueJob>& jobs, double rate);

/// A job in the queue.
struct WaitingJob {
  JobIndex job;                                         ///< that waits
  StartUrgency start_deadline = StartUrgency::relaxed;  ///< how pressing its start is
};

/// Waiting jobs of a partition: those whose start deadline is critical; then by priority, within it first
/// those whose start deadline is urgent; then those that can still be in time, by the last moment at which
/// they must start; then the others, longest first; jobs without a deadline by age.
std::vector<WaitingJob> waiting_order(const ClusterState& model, PartitionIndex partition, Clock clock);

}  // namespace oxbowmill
