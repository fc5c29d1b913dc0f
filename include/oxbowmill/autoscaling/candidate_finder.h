// Which machines could serve waiting work: those of a partition, idle ones of the pool, others' by
// preemption. Reads the cluster state and the autoscaler's other parts; owns nothing. Not thread-safe.
#pragma once

#include <vector>

#include "oxbowmill/autoscaling/machine_returns.h"
#include "oxbowmill/autoscaling/scale_out_requests.h"

namespace oxbowmill::autoscaling {

/// Lists candidate machines with their free capacity and the time until it is available.
class CandidateFinder {
 public:
  /// All outlive this object.
  CandidateFinder(const Environment& environment, const MachineAdoption& adoption,
                  const ScaleOutRequests& requests, const MachineMoves& moves, const MachineReturns& returns)
      : environment_(environment),
        adoption_(adoption),
        requests_(requests),
        moves_(moves),
        returns_(returns) {}

  /// Machines of the idle pool that can be assigned to a partition at once.
  std::vector<CandidateMachine> idle_candidates(Seconds now) const;
  /// What the partition has or will get: its machines, those to be handed over to it, adoptions, purchases
  /// and unanswered scale-outs.
  std::vector<CandidateMachine> partition_candidates(PartitionIndex partition, Seconds now) const;
  /// Machines of other partitions that may be drained for this job.
  std::vector<CandidateMachine> preemption_candidates(const Job& job, bool guaranteed, Clock clock) const;

 private:
  bool is_idle_machine_usable(MachineIndex machine_index, Seconds now) const;
  bool serves_partition(MachineIndex machine_index, PartitionIndex current, PartitionIndex partition,
                        Seconds now) const;
  bool may_be_drained(MachineIndex machine_index) const;
  /// All tasks on the machine may be preempted for the job. `beyond_guarantee`: their team uses more than its
  /// own guarantee.
  bool may_preempt_all(const Machine& machine, const Job& job, bool guaranteed, bool beyond_guarantee,
                       Clock clock) const;
  void add_recorded(PartitionIndex partition, Seconds now, std::vector<CandidateMachine>& candidates) const;
  /// A machine that nothing runs on yet.
  CandidateMachine empty_candidate(const MachineKind& kind, Seconds available_in_s) const;
  Seconds boot_wait(TypeIndex type, bool has_booted, Seconds age) const;

  const Environment& environment_;
  const MachineAdoption& adoption_;
  const ScaleOutRequests& requests_;
  const MachineMoves& moves_;
  const MachineReturns& returns_;
};

}  // namespace oxbowmill::autoscaling
