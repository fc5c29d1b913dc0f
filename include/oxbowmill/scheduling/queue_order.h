// The order in which waiting jobs are placed. Stateless functions.
#pragma once

#include "oxbowmill/cluster/start_deadline.h"

namespace oxbowmill {

/// A job that has to start by some time, as input of `select_late_jobs`.
struct DueJob {
  double start_by_s = 0;       ///< seconds from now
  double machines_needed = 0;  ///< capacity that it waits for, in machines
};

/// Chooses the jobs to give up so that the fewest start late, while capacity becomes free at
/// `machines_per_s`. Moore-Hodgson algorithm: it adds the jobs by start time and gives up the largest one
/// whenever the added job would be late. Returns for each job whether it is given up.
std::vector<bool> select_late_jobs(const std::vector<DueJob>& jobs, double machines_per_s);

/// A job in the queue.
struct WaitingJob {
  JobIndex job;                                        ///< the job
  StartUrgency start_urgency = StartUrgency::relaxed;  ///< how urgent its start is
};

/// Waiting jobs of a partition in the order of placement. Jobs whose start deadline is critical come first,
/// the others follow by priority. Within a priority the order is: jobs whose start deadline is urgent; jobs
/// that can still meet their deadline, by the latest time at which they must start; jobs without a deadline,
/// by age; jobs that miss their deadline, longest first.
std::vector<WaitingJob> waiting_order(const ClusterState& state, PartitionIndex partition, Clock clock);

}  // namespace oxbowmill
