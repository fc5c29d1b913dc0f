// Collects the marks of finished tasks while writes are scarce. Owns when the collected marks of each job are
// due. Pure; steady clock.
#pragma once

#include <set>
#include <utility>

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/scheduling/write_rate.h"

namespace oxbowmill {

/// The marks of tasks that have ended on this machine are needed: they are written with the next cycle.
void request_done_marks(ClusterState& state, MachineIndex machine_index);

/// A finished task's result is kept, so that a mark which is lost costs no work: the task finishes again as
/// soon as it has its image. A mark for each finish took most of the state service's writes. What a waiting
/// task, a machine that could be returned or the job's end depends on is written at once.
class DoneMarkCollector {
 public:
  /// Both must outlive this object.
  DoneMarkCollector(ClusterState& state, const WriteRate& write_rate)
      : state_(state), write_rate_(write_rate) {}

  /// Nothing but done marks (or what is left of a job that is over) is to be written, and nobody needs them
  /// yet.
  bool may_wait(JobIndex job_index, Seconds now);
  /// Marks the jobs dirty whose collected marks are due.
  void release_due(Seconds now);

 private:
  ClusterState& state_;
  const WriteRate& write_rate_;
  std::set<std::pair<Seconds, JobIndex>> due_;
};

}  // namespace oxbowmill
