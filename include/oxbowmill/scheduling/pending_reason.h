// Why tasks of a job have not started, for logs and status queries. Stateless functions.
#pragma once

#include "oxbowmill/cluster/start_deadline.h"

namespace oxbowmill {

/// Name of the reason in logs.
const char* name_of(PendingReason reason);

/// The tasks of a job that have not started.
struct PendingStatus {
  std::uint32_t tasks = 0;                     ///< number of tasks that have not started
  PendingReason reason = PendingReason::none;  ///< what tasks without a machine wait for; if there are none,
                                               ///< what the first placed task waits for
};

/// How many tasks of the job have not started and why. Empty if the job is not open or operators set no start
/// deadline.
PendingStatus pending_status_of(const ClusterState& state, const Job& job, Seconds now);

/// Logs every job of the partition that was submitted long ago and has tasks that have not started. The log
/// line of a job is repeated at an interval.
void log_wait_reasons(ClusterState& state, PartitionIndex partition, Clock clock);

}  // namespace oxbowmill
