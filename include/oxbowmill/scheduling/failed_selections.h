// Which jobs found no machines in this scheduling cycle. Owns that list; made anew for each cycle. Pure.
#pragma once

#include <vector>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

/// Free capacity only shrinks within a cycle, so a job that asks for as much or more of the same as one that
/// found nothing need not look again.
class FailedSelections {
 public:
  /// The job found no machines for that many tasks.
  void add(const Job& job, std::size_t tasks, bool avoid_whole_machines, bool preempting);
  /// The job would find no machines either.
  bool covers(const Job& job, std::size_t tasks, bool avoid_whole_machines, bool preempting) const;

 private:
  struct Failure {
    const JobSpec* spec = nullptr;
    std::size_t task_count = 0;
    bool avoid_whole_machines = false, preempting = false;
  };
  std::vector<Failure> failures_;
};

}  // namespace oxbowmill
