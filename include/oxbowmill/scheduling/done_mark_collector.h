// Postpones the durable done marks of finished tasks while few writes are available. Owns the due time of
// each job's postponed marks. No I/O; steady clock.
#pragma once

#include <set>
#include <utility>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/scheduling/write_rate.h"

namespace oxbowmill {

/// Makes the next cycle write the ends of all tasks that have ended on this machine.
void request_done_marks(ClusterState& state, MachineIndex machine_index);

/// Decides which done marks may be written later, together with others: one write per finished task took most
/// of the state service's writes. Postponing is safe because a finished task's result is kept: if a mark is
/// lost, the task finishes again as soon as it has its image. A mark is written at once if a waiting task, a
/// machine that could be returned or the end of the job depends on it.
class DoneMarkCollector {
 public:
  /// Both arguments must outlive this object.
  DoneMarkCollector(ClusterState& state, const WriteRate& write_rate)
      : state_(state), write_rate_(write_rate) {}

  /// Whether the job's write may be postponed: it consists only of done marks, or of records of a job that is
  /// over, and nothing depends on it yet. Sets the due time when it postpones a write.
  bool may_postpone(JobIndex job_index, Seconds now);
  /// Marks the jobs as dirty whose postponed marks are due.
  void mark_due_jobs_dirty(Seconds now);

 private:
  ClusterState& state_;
  const WriteRate& write_rate_;
  std::set<std::pair<Seconds, JobIndex>> due_;
};

}  // namespace oxbowmill
