// Writes the changes of jobs: placements, ends of tasks and ends of jobs. Owns the collector of postponed
// done marks. No I/O: the transactions are queued as effects.
#pragma once

#include <map>

#include "oxbowmill/scheduling/done_mark_collector.h"
#include "oxbowmill/scheduling/gang_controller.h"
#include "oxbowmill/scheduling/transaction_queue.h"

namespace oxbowmill {

/// Tasks that a cycle has planned to place, by job.
using PlannedTasks = std::map<JobIndex, std::vector<PlacedTask>>;

/// Turns the changed jobs of a cycle into transactions; each job has at most one in flight.
class JobWriter {
 public:
  /// All arguments must outlive this object.
  JobWriter(ClusterState& state, const PartitionOwnership& ownership, TransactionQueue& transactions,
            GangController& gangs)
      : state_(state),
        ownership_(ownership),
        transactions_(transactions),
        gangs_(gangs),
        done_marks_(state, transactions.write_rate()) {}

  /// Queues a transaction for every owned job that is dirty or has planned tasks. A job that cannot be
  /// written now stays dirty or is marked as dirty again when its postponed done marks are due.
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
