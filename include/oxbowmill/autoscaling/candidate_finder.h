// Finds the machines that could serve waiting work: the partition's own, idle ones of the pool, and those of
// other partitions whose tasks may be preempted. Reads the cluster state and the autoscaler's other parts;
// has no state of its own. Not thread-safe.
#pragma once

#include <vector>

#include "oxbowmill/autoscaling/machine_returns.h"
#include "oxbowmill/autoscaling/scale_out_requests.h"

namespace oxbowmill::autoscaling {

/// Lists candidate machines with their free capacity and the time until it is available.
class CandidateFinder {
 public:
  /// All arguments must outlive this object.
  CandidateFinder(const Environment& environment, const MachineAdoption& adoption,
                  const ScaleOutRequests& requests, const MachineMoves& moves, const MachineReturns& returns)
      : environment_(environment),
        adoption_(adoption),
        requests_(requests),
        moves_(moves),
        returns_(returns) {}

  /// Machines of the idle pool that can be assigned to a partition at once, including booted ones that are
  /// queued for adoption.
  std::vector<CandidateMachine> idle_candidates(Seconds now) const;
  /// Machines that the partition has or will get: recorded ones, those to be handed over to it, queued
  /// adoptions, purchases from markets and unanswered scale-out requests.
  std::vector<CandidateMachine> partition_candidates(PartitionIndex partition, Seconds now) const;
  /// Machines of other partitions that may be drained for this job. `guaranteed`: the job is within its
  /// team's guarantee.
  std::vector<CandidateMachine> preemption_candidates(const Job& job, bool guaranteed, Clock clock) const;

 private:
  bool is_idle_machine_usable(MachineIndex machine_index, Seconds now) const;
  bool serves_partition(MachineIndex machine_index, PartitionIndex current, PartitionIndex partition,
                        Seconds now) const;
  bool may_be_drained(MachineIndex machine_index) const;
  /// Whether the machine has tasks and all of them may be preempted for the job. `beyond_guarantee`: their
  /// team uses more than its own guarantee.
  bool may_preempt_all(const Machine& machine, const Job& job, bool guaranteed, bool beyond_guarantee,
                       Clock clock) const;
  void add_recorded_machines(PartitionIndex partition, Seconds now,
                             std::vector<CandidateMachine>& candidates) const;
  /// A candidate of this kind with its whole capacity free.
  CandidateMachine empty_candidate(const MachineKind& kind, Seconds available_in_s) const;
  Seconds remaining_boot_time(TypeIndex type, bool has_booted, Seconds age_s) const;

  const Environment& environment_;
  const MachineAdoption& adoption_;
  const ScaleOutRequests& requests_;
  const MachineMoves& moves_;
  const MachineReturns& returns_;
};

}  // namespace oxbowmill::autoscaling
