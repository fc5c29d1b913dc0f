// Iteration over the open jobs of all partitions. Owns no state.
#pragma once

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill::decisions {

/// Calls `visit(job_index, job)` for each open job, in order of partition and then of job index. `visit`
/// must not add or remove jobs.
template <class Visit>
void for_each_open_job(const ClusterState& state, Visit&& visit) {
  for (std::uint32_t partition = 1; partition < state.partition_count(); ++partition) {
    for (JobIndex job_index : state.live_jobs(PartitionIndex{partition})) {
      const Job& job = state.job(job_index);
      if (job.phase == JobPhase::open) visit(job_index, job);
    }
  }
}

}  // namespace oxbowmill::decisions
