// Writes what has changed in jobs: placements, ends of tasks and ends of jobs. Owns which done marks are
// being collected. Pure.
#pragma once

#include <map>

#include "oxbowmill/scheduling/done_mark_collector.h"
#include "oxbowmill/scheduling/gang_controller.h"
#include "oxbowmill/scheduling/transaction_queue.h"

namespace oxbowmill {

/// Tasks that a cycle has planned to place, by job.
using PlannedTasks = std::map<JobIndex, std::vector<PlacedTask>>;

/// Turns the changed jobs of a cycle into transactions, one at a time for each job.
class JobWriter {
 public:
  /// All must outlive this object.
  JobWriter(ClusterState& state, const PartitionOwnership& ownership, TransactionQueue& transactions,
            GangController& gangs)
      : state_(state),
        ownership_(ownership),
        transactions_(transactions),
        gangs_(gangs),
        done_marks_(state, transactions.write_rate()) {}

  /// Writes every owned job that is dirty or has planned tasks; what cannot be written now stays dirty.
  void write_changed(PlannedTasks planned, Seconds now, Effects& out);

 private:
  void stop_restarting(Job& job, Seconds now);
  void write(JobIndex job_index, const std::vector<PlacedTask>& planned, Seconds now, Effects& out);

  ClusterState& state_;
  const PartitionOwnership& ownership_;
  TransactionQueue& transactions_;
  GangController& gangs_;
  DoneMarkCollector done_marks_;
};

}  // namespace oxbowmill
