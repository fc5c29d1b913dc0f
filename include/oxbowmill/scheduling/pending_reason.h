// Why a job has not begun with all its tasks: for whoever reads the log. Pure.
#pragma once

#include "oxbowmill/cluster/start_deadline.h"

namespace oxbowmill {

const char* name_of(PendingReason reason);

/// Of the tasks that have not begun: how many, and what the first of them waits for. Seconds.
struct PendingStatus {
  std::uint32_t tasks = 0;
  PendingReason reason = PendingReason::none;
};
PendingStatus pending_status_of(const ClusterState& model, const Job& job, Seconds now);

}  // namespace oxbowmill
