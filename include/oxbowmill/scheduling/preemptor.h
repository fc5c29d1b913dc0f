// Stops tasks of lower priority for those of higher. Owns nothing but references; pure.
#pragma once

#include "oxbowmill/scheduling/free_capacity.h"
#include "oxbowmill/scheduling/gang_controller.h"

namespace oxbowmill {

/// From the stop of a task that has saved its progress to a start in its place. Seconds.
constexpr double stop_duration_s = 1.5;

/// Decides which tasks may be stopped for a job, and stops them.
class Preemptor {
 public:
  /// Both must outlive this object.
  Preemptor(ClusterState& state, GangController& gangs) : state_(state), gangs_(gangs) {}

  /// Operators allow that tasks are stopped for this job.
  bool may_preempt_for(const Job& job) const;
  /// Adds to the candidate's free capacity what may be stopped there for the job.
  void add_preemptible_capacity(const Job& job, CandidateMachine& candidate, Clock clock) const;
  /// Stops as many tasks on the selected machines as the job's tasks need there.
  void preempt_for(const Job& job, const Selection& selection, Clock clock);

 private:
  bool may_preempt(const Job& victim, const Placement& placement, const Job& job, Clock clock) const;
  void preempt_on(MachineIndex machine_index, const Job& job, const Resources& needed, Clock clock);

  ClusterState& state_;
  GangController& gangs_;
};

}  // namespace oxbowmill
