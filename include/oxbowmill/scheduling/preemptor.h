// Preempts tasks of lower priority for jobs of higher priority. Holds references only; no I/O.
#pragma once

#include "oxbowmill/scheduling/free_capacity.h"
#include "oxbowmill/scheduling/gang_controller.h"

namespace oxbowmill {

/// Seconds from stopping a task that has saved its progress to starting another one in its place.
constexpr double stop_duration_s = 1.5;

/// Decides which tasks may be preempted for a job, and preempts them.
class Preemptor {
 public:
  /// Both arguments must outlive this object.
  Preemptor(ClusterState& state, GangController& gangs) : state_(state), gangs_(gangs) {}

  /// Whether the operators' settings and the job's priority allow preemption for this job.
  bool may_preempt_for(const Job& job) const;
  /// Adds the capacity of tasks that may be preempted for the job to the candidate's free capacity, and sets
  /// its wait and acquisition cost.
  void add_preemptible_capacity(const Job& job, CandidateMachine& candidate, Clock clock) const;
  /// Preempts as many tasks on the selected machines as the job's tasks need there.
  void preempt_for(const Job& job, const Selection& selection, Clock clock);

 private:
  bool may_preempt(const Job& victim, const Placement& placement, const Job& job, Clock clock) const;
  void preempt_on(MachineIndex machine_index, const Job& job, const Resources& needed, Clock clock);

  ClusterState& state_;
  GangController& gangs_;
};

}  // namespace oxbowmill
