// Why tasks of a job have not started, for logs and status queries. Stateless functions.
#pragma once

#include "oxbowmill/cluster/start_deadline.h"

namespace oxbowmill {

/// Name of the reason in logs.
const char* name_of(PendingReason reason);

/// The tasks of a job that have not started.
struct PendingStatus {
  std::uint32_t tasks = 0;                     ///< number of these tasks
  PendingReason reason = PendingReason::none;  ///< what tasks without a machine wait for; if there are none,
                                               ///< what the first placed task waits for
};

/// How many tasks of the job have not started and why. Empty if the job is not open or operators set no start
/// deadline.
PendingStatus pending_status_of(const ClusterState& state, const Job& job, Seconds now);

/// Logs every job of the partition that has had tasks waiting for a long time, repeatedly at an interval.
void log_wait_reasons(ClusterState& state, PartitionIndex partition, Clock clock);

}  // namespace oxbowmill
