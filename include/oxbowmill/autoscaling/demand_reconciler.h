// Matches waiting jobs with machines and determines the demand that no machine can serve. Owns the rate at
// which ending tasks free capacity; the working state of a cycle is in `Cycle`. Not thread-safe.
#pragma once

#include <optional>
#include <vector>

#include "oxbowmill/autoscaling/candidate_finder.h"
#include "oxbowmill/autoscaling/scale_out_planner.h"

namespace oxbowmill {

/// Interval of the leader's demand reconciliation.
constexpr Seconds demand_interval_s = 0.25;

}  // namespace oxbowmill

namespace oxbowmill::autoscaling {

/// Assigns available machines to waiting jobs in demand order, and requests machines for the rest.
class DemandReconciler {
 public:
  /// All arguments must outlive this object.
  DemandReconciler(const Environment& environment, const CandidateFinder& candidates, MachineMoves& moves,
                   ScaleOutPlanner& planner, WarmMachines& warm_machines)
      : environment_(environment),
        candidates_(candidates),
        moves_(moves),
        planner_(planner),
        warm_machines_(warm_machines) {}

  /// Runs a cycle; called every `demand_interval_s`. Returns the idle machines that no job needs.
  std::vector<CandidateMachine> reconcile(Clock clock, Effects& out);

 private:
  /// A partition's candidates and remaining quota in a cycle.
  struct PartitionDemand {
    std::vector<CandidateMachine> candidates;
    Resources remaining_quota;
    bool has_whole_machine_gangs = false;
    FailedSelections failed_selections;  // demands that found no capacity in this cycle
  };
  /// Working state of a cycle.
  struct Cycle {
    Clock clock;
    /// Machines' worth of capacity that ending tasks are expected to free within the scale-out delay, less
    /// the demand of the jobs served so far.
    double expected_freed_machines = 0;
    std::vector<CandidateMachine> idle_machines;  // of the pool, not yet assigned
    std::vector<PartitionDemand> partitions;      // by partition index; the idle pool's entry is unused
    std::vector<UnmetDemand> unmet_demands;       // for the machine source
  };
  /// A waiting job and its tasks that have no machine yet.
  struct JobDemand {
    JobIndex index;
    Job* job = nullptr;
    bool guaranteed = false;              // within its team's guarantee
    bool is_start_deadline_near = false;  // urgent or critical
    bool may_preempt = false;             // machines of other partitions may be drained for it
    bool avoid_whole_machines = false;    // leaves whole machines to gangs and waits for spot capacity
    std::vector<TaskNumber> tasks;
    std::vector<std::uint32_t> tasks_by_zone;
  };

  Cycle begin_cycle(Clock clock);
  void update_freed_rate();
  /// Empty if the quota or durable decisions leave no task to serve, or not all pending tasks of a gang.
  std::optional<JobDemand> demand_of(const WaitingJob& waiting, bool guaranteed, Cycle& cycle) const;
  /// Assigns existing and expected machines to the job's tasks. Tasks that get none remain in `demand.tasks`.
  void assign_machines(JobDemand& demand, Cycle& cycle);
  /// Assigns tasks to the candidates as far as they fit, and removes them from `demand.tasks`.
  std::vector<TaskAssignment> select(JobDemand& demand, std::vector<CandidateMachine>& candidates) const;
  /// Assigns tasks to the partition's candidates together with idle and preemptible machines, and moves the
  /// idle and preemptible machines that were used to the partition.
  void select_with_moves(JobDemand& demand, const std::vector<CandidateMachine>& preemptible, Cycle& cycle);
  /// Whether to request machines for the job: it has waited for the scale-out delay, or has a reason not to
  /// wait, and reconciliation admits it.
  bool should_scale_out(const JobDemand& demand, const Cycle& cycle) const;
  void scale_out(const JobDemand& demand, Cycle& cycle);
  UnmetDemand unmet_demand(const JobDemand& demand, Clock clock) const;
  void serve_unmet_demand(Cycle& cycle, Effects& out);

  const Environment& environment_;
  const CandidateFinder& candidates_;
  MachineMoves& moves_;
  ScaleOutPlanner& planner_;
  WarmMachines& warm_machines_;
  double freed_machines_per_s_ = 0;  // capacity that ending tasks free, decaying average
  double last_freed_machines_ = 0;   // the cluster state's total at the last cycle
};

}  // namespace oxbowmill::autoscaling
