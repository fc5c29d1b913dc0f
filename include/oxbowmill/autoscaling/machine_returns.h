// Returns machines that are no longer needed or usable in three steps: mark the record, delete the machine at
// the cloud (or release it to its market), remove the record. Owns the set of machines that are being
// drained. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "oxbowmill/autoscaling/deletion_tracker.h"
#include "oxbowmill/autoscaling/machine_moves.h"
#include "oxbowmill/autoscaling/warm_machines.h"

namespace oxbowmill::autoscaling {

/// Decides which machines to return, and takes each through the steps of its deletion.
class MachineReturns {
 public:
  /// All arguments must outlive this object.
  MachineReturns(const Environment& environment, DeletionTracker& deletions,
                 const WarmMachines& warm_machines)
      : environment_(environment), deletions_(deletions), warm_machines_(warm_machines) {}

  /// Excludes these machines from assignment to partitions; they are returned once their work has ended.
  void drain(const std::vector<MachineIndex>& machines) {
    draining_.insert(machines.begin(), machines.end());
  }
  /// Whether the machine is being drained.
  bool is_draining(MachineIndex machine_index) const { return draining_.count(machine_index) != 0; }
  /// Clears the set of machines being drained; called when this controller is not the leader.
  void clear_draining() { draining_.clear(); }
  /// Asks the owners of machines being drained to stop the tasks there and to hand the machines over.
  void request_handovers(MachineMoves& moves) const;
  /// Runs a cycle of marks, deletions, releases and removals.
  void run_cycle(Seconds now, Effects& out);

 private:
  /// Decisions of a cycle.
  struct Plan {
    std::vector<MachineIndex> to_mark;               // for deletion
    std::vector<MachineIndex> to_delete;             // at the cloud
    std::vector<MachineIndex> to_release;            // to their market
    std::vector<MachineIndex> to_remove;             // their records
    std::map<MachineKind, double> retained_by_kind;  // idle machines counted against the warm target
  };
  Plan plan_cycle(Seconds now) const;
  /// Plans the next step for a machine that is marked for deletion.
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
