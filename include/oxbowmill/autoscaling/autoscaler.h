// Facade of the leader's autoscaler, which assigns machines to partitions, requests machines from the cloud
// and returns those that are not needed. Each concern is a class that owns its own state; the facade owns
// these classes, connects them and fixes the order of the steps of a cycle. It performs no I/O: it takes
// events and the current time, and produces effects. Not thread-safe and not re-entrant; called from the
// controller's event loop only.
#pragma once

#include "oxbowmill/autoscaling/cloud_inventory.h"
#include "oxbowmill/autoscaling/demand_reconciler.h"

namespace oxbowmill {

/// Decides which machines each partition gets. Acts only while this controller is the leader.
class Autoscaler {
 public:
  /// Sets the scheduler's `on_unregistered` callback, which adopts machines that report without having a
  /// record. Both arguments must outlive this object.
  Autoscaler(ClusterState& state, Scheduler& scheduler);
  Autoscaler(const Autoscaler&) = delete;
  Autoscaler& operator=(const Autoscaler&) = delete;

  /// Runs a cycle, unless the last one was less than `demand_interval_s` ago.
  void run_cycle(Clock clock, Effects& out);
  /// Handles the result of a scale-out request. `answered`: the cloud gave a definite answer, in which case
  /// an empty list of machines is a refusal.
  void on_scale_out_result(const std::string& request, bool answered,
                           const std::vector<std::string>& machines, Seconds now);
  /// Handles the result of deletions, or of releases to a market. Unconfirmed ones are sent again.
  void on_deleted(const std::vector<MachineIndex>& machines, bool confirmed);
  /// Handles the complete list of machines from the cloud.
  void on_listed(const std::vector<ListedMachine>& machines, Seconds now);
  /// Handles the failure of a request for the list of machines.
  void on_list_failed() { inventory_.on_list_failed(); }
  /// Sets the source that unmet demand is offered to first; the cloud gets only what the source leaves.
  void set_source(MachineSource* source) { environment_.source = source; }
  /// Sets the admission control for scale-outs and returns.
  void set_recovery_admission(RecoveryAdmission* recovery_admission) {
    environment_.recovery_admission = recovery_admission;
  }
  /// Queues a machine that a market delivered for adoption, which writes its record.
  void adopt(const std::string& name, const std::string& address, const MachineRecord& record);
  /// Excludes these machines from assignment to partitions; they are returned once their work has ended.
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
