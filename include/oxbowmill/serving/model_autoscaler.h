// Models that scale to zero and come back. The controllers agree on each round from cold to cold by one
// durable decision with an epoch, so that calls which come at many of them at once lead to one cold start.
// Pure: tables and the time in, changes of records out; placing asks through core's `PlacementConstraints`.
// docs/model-serving.md.
#pragma once

#include "oxbowmill/decisions/decision_log.h"
#include "oxbowmill/serving/model_spec.h"

namespace oxbowmill::serving {

// States of a model's decision. An epoch is one round from `warming` to `cold`.
inline const std::string cold = "cold";        // no replica
inline const std::string warming = "warming";  // the first replica is on its way, and no other
inline const std::string ready = "serving";    // one was reported running; calls may be placed
inline const std::string cooling = "cooling";  // idle: replicas are being stopped

const decisions::DecisionKind& decision_kind();

/// max(median of the cold starts seen x factor, floor), in the spirit of the detector's baseline.
double idle_timeout(const std::vector<double>& cold_starts, const ModelSpec& terms);
/// Replicas for so many calls.
std::uint32_t replicas_for(std::uint32_t calls, const ModelSpec& terms);

class ModelAutoscaler : public PlacementConstraints {
 public:
  ModelAutoscaler(ClusterState& model, decisions::DecisionLog& decision_log, const Scheduler& scheduler,
                  Settings settings);

  /// Under full authority. The owner of the part of a model's standing job decides.
  void run_cycle(Clock clock, Effects& out);

  // core's Counsel
  void constrain(JobIndex job_index, PlacementLimits& limits) const override;
  std::vector<TaskId> tasks_to_preempt(PartitionIndex partition) const override;
  /// Why calls of the model wait, for logs and tests.
  const std::string& pending_reason(const std::string& model) const;

 private:
  struct ModelState {
    ModelSpec spec;
    ClassIndex job_class;
    ImageIndex image;
    std::vector<ClassIndex> call_classes;
    JobIndex service_job;             // the oldest open one that it names; none: nobody serves
    Seconds last_busy_at = -1;        // last time that a call counted
    Seconds cooling_since = -1;       // as this node made it durable
    bool stops_sent = false;          // stops were sent in this cooling: it cannot be taken back
    Seconds surplus_since = -1;       // fewer replicas would do
    Revision ownership_revision = 0;  // under which the times above were taken
    std::string reason;
  };
  /// How often a call was tried without any of its tasks getting done.
  struct CallAttempts {
    std::uint32_t tasks_done = 0, attempts = 0;
    Attempt last_attempt = 0;
    Seconds since = 0;
  };
  void find_service_job(ModelState& model_state) const;
  std::uint32_t count_calls(const ModelState& model_state, Clock clock);
  bool fails_repeatedly(JobIndex job_index, const Job& job, Seconds now);
  void reconcile(ModelState& model_state, Clock clock, Effects& out);
  bool is_service_job(const ModelState& model_state, const JobSpec& spec) const;
  bool is_call_job(const ModelState& model_state, const JobSpec& spec) const;
  bool write_decision(ModelState& model_state, DecisionRecord next, const std::string& state,
                      std::uint32_t replicas, Clock clock, Effects& out, const std::string& why);
  void set_reason(ModelState& model_state, const std::string& why);

  ClusterState& state_;
  decisions::DecisionLog& decision_log_;
  const Scheduler& scheduler_;
  std::vector<ModelState> models_;
  std::map<JobIndex, CallAttempts> call_attempts_;
  Seconds next_cycle_at_ = 0;
};

}  // namespace oxbowmill::serving
