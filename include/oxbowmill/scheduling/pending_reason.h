// Why a job has not begun with all its tasks: for whoever reads the log. Stateless.
#pragma once

#include "oxbowmill/cluster/start_deadline.h"

namespace oxbowmill {

/// What the log calls the reason.
const char* name_of(PendingReason reason);

/// The tasks of a job that have not begun.
struct PendingStatus {
  std::uint32_t tasks = 0;                     ///< how many
  PendingReason reason = PendingReason::none;  ///< what the first of them waits for
};

/// How many tasks of the job have not begun and why.
PendingStatus pending_status_of(const ClusterState& model, const Job& job, Seconds now);

/// Logs each job of the partition that has waited for long to begin, and again from time to time.
void log_wait_reasons(ClusterState& state, PartitionIndex partition, Clock clock);

}  // namespace oxbowmill
