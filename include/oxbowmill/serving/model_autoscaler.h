// Models that scale to zero and come back. The controllers agree on each round from cold to cold by one
// durable decision with an epoch, so that simultaneous calls at several controllers lead to one cold start.
// docs/model-serving.md.
//
// ModelAutoscaler owns the times that its controller has observed of each model; what has to survive a
// failover is in the decision record. It does no I/O: cluster state and the time come in, changes of records
// go out, and placement asks it through PlacementConstraints. Used on the controller's loop only.
#pragma once

#include "oxbowmill/decisions/decision_log.h"
#include "oxbowmill/serving/call_counter.h"
#include "oxbowmill/serving/model_decision.h"
#include "oxbowmill/serving/model_spec.h"

namespace oxbowmill::serving {

/// Scales the replicas of all models in the operators' file.
class ModelAutoscaler : public PlacementConstraints {
 public:
  /// The references must outlive this object.
  ModelAutoscaler(ClusterState& state, decisions::DecisionLog& decision_log, const Scheduler& scheduler,
                  Settings settings);

  /// One cycle; only with full authority. The owner of the partition of a model's service job decides.
  void run_cycle(Clock clock, Effects& out);

  /// Limits replicas to the number that was decided on, and withholds calls until a replica is ready.
  void constrain(JobIndex job_index, PlacementLimits& limits) const override;
  /// The replicas of this partition's service jobs that are more than was decided on.
  [[nodiscard]] std::vector<TaskId> tasks_to_preempt(PartitionIndex partition) const override;
  /// Why calls of the model wait, for logs and tests; empty if there is nothing to say.
  [[nodiscard]] const std::string& pending_reason(const std::string& model) const;

 private:
  /// A model, and what this controller knows of it beside its record.
  struct ModelState {
    static constexpr Seconds never = -1;
    ModelSpec spec;
    ClassIndex job_class;  // invalid: any
    ImageIndex image;      // invalid: any
    std::vector<ClassIndex> call_classes;
    JobIndex service_job;  // the oldest open one that matches; invalid: none
    Seconds last_busy_at = never;
    Seconds cooling_since = never;    // when this controller saw the decision to cool down
    bool stops_sent = false;          // stops were sent in this cooling, which can no longer be cancelled
    Seconds surplus_since = never;    // since when fewer replicas would be enough
    Revision ownership_revision = 0;  // of the ownership under which the times were observed; 0: not owner
    std::string pending_reason;
  };
  /// What one cycle decides a model's next step from.
  struct Situation {
    const Job& service_job;
    DecisionRecord record;  // as it is now; becomes the next one
    std::uint32_t calls = 0;
    std::uint32_t wanted_replicas = 0;
    bool is_wanted = false;  // there are calls, or the spec asks for replicas in any case
    Clock clock;
    Effects& out;
  };

  [[nodiscard]] bool is_service_job(const ModelState& model, const JobSpec& spec) const;
  /// Every controller finds the same one: the first submitted, then by id.
  [[nodiscard]] JobIndex find_service_job(const ModelState& model) const;
  void reconcile(ModelState& model, Clock clock, Effects& out);
  void on_ownership_acquired(ModelState& model, Revision ownership_revision, Seconds now) const;
  void end_round_of_former_job(const ModelState& model, Situation situation);
  void advance_cold(ModelState& model, Situation situation);
  void advance_warming(ModelState& model, Situation situation);
  void advance_ready(ModelState& model, Situation situation);
  void advance_cooling(ModelState& model, Situation situation);
  [[nodiscard]] bool is_idle(const ModelState& model, const Situation& situation) const;
  void write_decision(const ModelState& model, Situation situation, ModelStatus status,
                      std::uint32_t replicas, const std::string& reason);
  void set_pending_reason(ModelState& model, const std::string& reason) const;

  /// How many tasks of the job the decision allows on machines.
  [[nodiscard]] std::uint32_t max_tasks(const Decision* decision, const JobSpec& spec, bool is_replica) const;
  /// How many of the service job's placed replicas may stay.
  [[nodiscard]] std::uint32_t replicas_to_keep(const ModelState& model, const DecisionRecord& record,
                                               std::size_t placed) const;

  ClusterState& state_;
  decisions::DecisionLog& decision_log_;
  const Scheduler& scheduler_;
  std::vector<ModelState> models_;
  CallCounter call_counter_;
  Seconds next_cycle_at_ = 0;
};

}  // namespace oxbowmill::serving
