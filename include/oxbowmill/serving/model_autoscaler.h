// Scales the replicas of models with their calls, down to zero and up again. One decision record with an
// epoch covers each round from cold to cold, so that simultaneous calls at several controllers lead to one
// cold start. See docs/model-serving.md.
//
// ModelAutoscaler owns the times that its controller has observed of each model; the decision record holds
// what has to survive a failover. It does no I/O: its inputs are the cluster state and the time, its outputs
// are changes of records, and placement asks it through PlacementConstraints. Used on the controller's loop
// only.
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

  /// Runs one cycle, only while this controller has full authority. It decides for the models whose service
  /// job is in a partition that it owns.
  void run_cycle(Clock clock, Effects& out);

  /// Limits replicas to the decided number, and withholds calls until a replica is ready.
  void constrain(JobIndex job_index, PlacementLimits& limits) const override;
  /// Replicas of the partition's service jobs that exceed the decided number.
  [[nodiscard]] std::vector<TaskId> tasks_to_preempt(PartitionIndex partition) const override;
  /// Last logged status of the model, for logs and tests; empty if there is none.
  [[nodiscard]] const std::string& pending_reason(const std::string& model) const;

 private:
  /// A model and what this controller has observed of it.
  struct ModelState {
    static constexpr Seconds never = -1;
    ModelSpec spec;
    ClassIndex job_class;  // invalid: any
    ImageIndex image;      // invalid: any
    std::vector<ClassIndex> call_classes;
    JobIndex service_job;  // oldest open service job of the model; invalid: none
    Seconds last_wanted_at = never;
    Seconds cooling_since = never;    // when this controller first saw the state `cooling`
    bool stops_sent = false;          // stops may have been sent, so that cooling cannot be cancelled
    Seconds surplus_since = never;    // since when fewer replicas would be enough
    Revision ownership_revision = 0;  // ownership under which the times were observed; 0: not owner
    std::string pending_reason;
  };
  /// Inputs of one cycle for one model, and the record that it writes.
  struct CycleContext {
    const Job& service_job;
    DecisionRecord record;  // the current record, to be changed into the next one
    std::uint32_t calls = 0;
    std::uint32_t wanted_replicas = 0;
    bool needs_replicas = false;  // there are calls, or the spec has a minimum number of replicas
    Clock clock;
    Effects& out;
  };

  [[nodiscard]] bool is_service_job(const ModelState& model, const JobSpec& spec) const;
  /// The model's open service job that was submitted first, then by id, so that all controllers find the same
  /// one.
  [[nodiscard]] JobIndex find_service_job(const ModelState& model) const;
  void reconcile(ModelState& model, Clock clock, Effects& out);
  void on_ownership_acquired(ModelState& model, Revision ownership_revision, Seconds now) const;
  void end_round_of_former_job(const ModelState& model, CycleContext context);
  void advance_cold(ModelState& model, CycleContext context);
  void advance_warming(ModelState& model, CycleContext context);
  void advance_ready(ModelState& model, CycleContext context);
  void advance_cooling(ModelState& model, CycleContext context);
  [[nodiscard]] bool is_idle(const ModelState& model, const CycleContext& context) const;
  void write_decision(const ModelState& model, CycleContext context, ModelStatus status,
                      std::uint32_t replicas, const std::string& reason);
  void set_pending_reason(ModelState& model, const std::string& reason) const;

  /// Number of tasks of the job that the decision allows on machines at the same time.
  [[nodiscard]] std::uint32_t max_tasks(const Decision* decision, const JobSpec& spec, bool is_replica) const;
  /// Number of the service job's placed replicas that may stay.
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
