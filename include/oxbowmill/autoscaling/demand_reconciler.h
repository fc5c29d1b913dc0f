// Demand reconciliation: which waiting job gets which machine, and what is missing after all. Owns the rate
// at which tasks free capacity; a cycle's working state lives in `Cycle`. Not thread-safe.
#pragma once

#include <optional>
#include <vector>

#include "oxbowmill/autoscaling/candidate_finder.h"
#include "oxbowmill/autoscaling/scale_out_planner.h"

namespace oxbowmill {

/// Seconds between two demand reconciliations of the leader.
constexpr Seconds demand_interval_s = 0.25;

}  // namespace oxbowmill

namespace oxbowmill::autoscaling {

/// Serves waiting jobs from what there is, in demand order, and requests machines for the rest.
class DemandReconciler {
 public:
  /// All outlive this object.
  DemandReconciler(const Environment& environment, const CandidateFinder& candidates, MachineMoves& moves,
                   ScaleOutPlanner& planner, WarmMachines& warm_machines)
      : environment_(environment),
        candidates_(candidates),
        moves_(moves),
        planner_(planner),
        warm_machines_(warm_machines) {}

  /// One cycle, every `demand_interval_s`. Returns the idle machines that no job needs.
  std::vector<CandidateMachine> reconcile(Clock clock, Effects& out);

 private:
  /// A partition's side of a cycle.
  struct PartitionDemand {
    std::vector<CandidateMachine> candidates;
    Resources quota_left;
    bool has_whole_machine_gangs = false;
    FailedSelections failed;  // what found no capacity in this cycle
  };
  /// Working state of a cycle.
  struct Cycle {
    Clock clock;
    double freed_soon =
        0;  // machines' worth that tasks free within the scale-out delay, less the demand so far
    std::vector<CandidateMachine> idle;       // of the pool, not yet assigned
    std::vector<PartitionDemand> partitions;  // by partition; the idle pool's is unused
    std::vector<UnmetDemand> unmet;           // for the machine source
  };
  /// A waiting job and those of its tasks that have no machine yet.
  struct JobDemand {
    JobIndex index;
    Job* job = nullptr;
    bool guaranteed = false;            // within its team's guarantee
    bool deadline_pressing = false;     // its start deadline is near
    bool may_preempt = false;           // others' machines may be drained for it
    bool avoid_whole_machines = false;  // waits for spot machines and leaves whole ones to gangs
    std::vector<TaskNumber> tasks;
    std::vector<std::uint32_t> tasks_by_zone;
  };

  Cycle begin_cycle(Clock clock);
  void update_freed_rate();
  /// Nothing where quota, decisions or a gang's size leave no task to serve.
  std::optional<JobDemand> demand_of(const WaitingJob& waiting, bool guaranteed, Cycle& cycle) const;
  /// Takes machines that are there for the job's tasks; those without a machine remain in the demand.
  void assign_machines(JobDemand& demand, Cycle& cycle);
  /// Places tasks on the candidates as far as they fit.
  std::vector<TaskAssignment> select(JobDemand& demand, std::vector<CandidateMachine>& candidates) const;
  /// Places tasks on the partition's candidates together with idle and preemptible machines, and moves what
  /// was used of the latter to the partition.
  void select_with_moves(JobDemand& demand, const std::vector<CandidateMachine>& preemptible, Cycle& cycle);
  /// The job has waited enough, and nothing cheaper is in sight.
  bool should_scale_out(const JobDemand& demand, const Cycle& cycle) const;
  void scale_out(const JobDemand& demand, Cycle& cycle);
  UnmetDemand unmet_demand(const JobDemand& demand, Clock clock) const;
  void serve_unmet_demand(Cycle& cycle, Effects& out);

  const Environment& environment_;
  const CandidateFinder& candidates_;
  MachineMoves& moves_;
  ScaleOutPlanner& planner_;
  WarmMachines& warm_machines_;
  double freed_rate_ = 0;      // machines' worth of capacity that tasks free a second, decaying average
  double freed_observed_ = 0;  // the cluster state's total at the last cycle
};

}  // namespace oxbowmill::autoscaling
