// The jobs that found no machines in this scheduling cycle. Owns their list; created for each cycle. No I/O.
#pragma once

#include <vector>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

/// Avoids selections that are known to fail: free capacity only shrinks within a cycle, so a job with the
/// same constraints that needs as much as or more than a job that found no machines finds none either.
class FailedSelections {
 public:
  /// Notes that the job found no machines for that many tasks.
  void add(const Job& job, std::size_t tasks, bool avoid_whole_machines, bool may_preempt);
  /// Whether the job would find no machines, as a noted failure shows.
  bool covers(const Job& job, std::size_t tasks, bool avoid_whole_machines, bool may_preempt) const;

 private:
  struct Failure {
    const JobSpec* spec = nullptr;
    std::size_t task_count = 0;
    bool avoid_whole_machines = false, may_preempt = false;
  };
  std::vector<Failure> failures_;
};

}  // namespace oxbowmill
