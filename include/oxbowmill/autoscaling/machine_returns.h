// Returns of machines that are no longer needed or usable: mark, delete (or release to their market), remove
// the record. Owns the set of machines that are being drained. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "oxbowmill/autoscaling/deletion_tracker.h"
#include "oxbowmill/autoscaling/machine_moves.h"
#include "oxbowmill/autoscaling/warm_machines.h"

namespace oxbowmill::autoscaling {

/// Decides which machines go, and carries the deletion through.
class MachineReturns {
 public:
  /// All outlive this object.
  MachineReturns(const Environment& environment, DeletionTracker& deletions,
                 const WarmMachines& warm_machines)
      : environment_(environment), deletions_(deletions), warm_machines_(warm_machines) {}

  /// From now on no partition gets these machines; they are returned once their work has ended.
  void drain(const std::vector<MachineIndex>& machines) {
    draining_.insert(machines.begin(), machines.end());
  }
  /// The machine is being drained.
  bool is_draining(MachineIndex machine_index) const { return draining_.count(machine_index) != 0; }
  /// Forgets what is being drained: this controller is not the leader.
  void clear_draining() { draining_.clear(); }
  /// Asks the owners of machines being drained to stop the work there and to hand them over.
  void request_handovers(MachineMoves& moves) const;
  /// One cycle of marks, deletions, releases and removals.
  void run_cycle(Seconds now, Effects& out);

 private:
  /// A cycle's decisions.
  struct Plan {
    std::vector<MachineIndex> to_mark;               // as to be deleted
    std::vector<MachineIndex> to_delete;             // at the cloud
    std::vector<MachineIndex> to_release;            // to their market
    std::vector<MachineIndex> to_remove;             // their records
    std::map<MachineKind, double> retained_by_kind;  // idle machines counted against the warm target
  };
  Plan plan_cycle(Seconds now) const;
  /// The next step for a machine that is marked.
  void plan_marked(MachineIndex machine_index, const Machine& machine, Plan& plan) const;
  bool should_mark(MachineIndex machine_index, const Machine& machine, Plan& plan, Seconds now) const;
  bool is_unusable(MachineIndex machine_index, const Machine& machine, Seconds now) const;
  bool is_boot_overdue(const Machine& machine, Seconds now) const;
  bool is_past_retention(const Machine& machine, Seconds now) const;
  void write_marks(const std::vector<MachineIndex>& machines, Effects& out);
  void write_removals(const std::vector<MachineIndex>& machines, Effects& out);

  const Environment& environment_;
  DeletionTracker& deletions_;
  const WarmMachines& warm_machines_;
  std::set<MachineIndex> draining_;
};

}  // namespace oxbowmill::autoscaling
