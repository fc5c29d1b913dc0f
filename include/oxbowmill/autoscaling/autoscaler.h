// The leader's autoscaler: which machines each partition gets, scale-out requests and returns. A façade: each
// concern has a class of its own that owns its state (see the headers included here); this one owns those
// classes, connects them and fixes the order of a cycle. Events and the time go in, effects come out. Not
// thread-safe and not re-entrant: called from the controller's event loop only.
#pragma once

#include "oxbowmill/autoscaling/cloud_inventory.h"
#include "oxbowmill/autoscaling/demand_reconciler.h"

namespace oxbowmill {

/// Assigns machines to partitions; acts only while this controller is the leader.
class Autoscaler {
 public:
  /// Registers itself with the scheduler for machines without a record. Both arguments outlive it.
  Autoscaler(ClusterState& state, Scheduler& scheduler);
  Autoscaler(const Autoscaler&) = delete;
  Autoscaler& operator=(const Autoscaler&) = delete;

  /// One cycle, at most every `demand_interval_s`.
  void run_cycle(Clock clock, Effects& out);
  /// Takes the cloud's answer to a scale-out request. `answered`: it was definite; an empty list then is a
  /// refusal.
  void on_scale_out_result(const std::string& request, bool answered,
                           const std::vector<std::string>& machines, Seconds now);
  /// Takes the answer to deletions or to releases to a market; unconfirmed ones are sent again.
  void on_deleted(const std::vector<MachineIndex>& machines, bool confirmed);
  /// Takes the cloud's complete list of machines.
  void on_listed(const std::vector<ListedMachine>& machines, Seconds now);
  /// The list that was asked for did not arrive.
  void on_list_failed() { inventory_.on_list_failed(); }
  /// From now on unmet demand goes to the source first, and the cloud gets what it leaves.
  void set_source(MachineSource* source) { environment_.source = source; }
  /// From now on scale-outs and returns need its admission.
  void set_recovery_admission(RecoveryAdmission* recovery_admission) {
    environment_.recovery_admission = recovery_admission;
  }
  /// Queues a machine that a market delivered for its record.
  void adopt(const std::string& name, const std::string& address, const MachineRecord& record);
  /// From now on no partition gets these machines; they are returned once their work has ended.
  void drain(const std::vector<MachineIndex>& machines) { returns_.drain(machines); }

 private:
  autoscaling::Environment environment_;
  autoscaling::DeletionTracker deletions_;
  autoscaling::ScaleOutRequests requests_;
  autoscaling::MachineAdoption adoption_;
  autoscaling::CloudInventory inventory_;
  autoscaling::MachineMoves moves_;
  autoscaling::WarmMachines warm_machines_;
  autoscaling::MachineReturns returns_;
  autoscaling::CandidateFinder candidates_;
  autoscaling::ScaleOutPlanner planner_;
  autoscaling::DemandReconciler demand_;
  Seconds next_cycle_at_ = 0;
};

}  // namespace oxbowmill
