#include "oxbowmill/serving/model_autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "oxbowmill/decisions/open_jobs.h"

namespace oxbowmill::serving {

namespace {

constexpr double cycle_interval_s = 0.25;
constexpr double cooling_delay_s = 2;  // from the decision to cool down to the first stop

bool has_running_replica(const Job& job) {
  return std::any_of(job.placements.begin(), job.placements.end(), [](const auto& entry) {
    return entry.second.state == PlacementState::reported && entry.second.phase == TaskPhase::running;
  });
}

bool has_stopping_replica(const Job& job) {
  return std::any_of(job.placements.begin(), job.placements.end(),
                     [](const auto& entry) { return entry.second.state >= PlacementState::stopping; });
}

}  // namespace

ModelAutoscaler::ModelAutoscaler(ClusterState& state, decisions::DecisionLog& decision_log,
                                 const Scheduler& scheduler, Settings settings)
    : state_(state), decision_log_(decision_log), scheduler_(scheduler), call_counter_(state) {
  for (ModelSpec& spec : settings.models) {
    ModelState model;
    if (!spec.job_class.empty()) model.job_class = state.names.classes.intern(spec.job_class);
    if (!spec.image.empty()) model.image = state.names.images.intern(spec.image);
    for (const std::string& call_class : spec.call_classes)
      model.call_classes.push_back(state.names.classes.intern(call_class));
    model.spec = std::move(spec);
    models_.push_back(std::move(model));
  }
}

void ModelAutoscaler::run_cycle(Clock clock, Effects& out) {
  if (clock.now < next_cycle_at_) return;
  next_cycle_at_ = clock.now + cycle_interval_s;
  for (ModelState& model : models_) reconcile(model, clock, out);
  call_counter_.forget_finished();
}

bool ModelAutoscaler::is_service_job(const ModelState& model, const JobSpec& spec) const {
  return spec.shape == JobShape::service && (!model.job_class.valid() || spec.job_class == model.job_class) &&
         (!model.image.valid() || spec.image == model.image);
}

JobIndex ModelAutoscaler::find_service_job(const ModelState& model) const {
  JobIndex oldest;
  decisions::for_each_open_job(state_, [&](JobIndex job_index, const Job& job) {
    if (!is_service_job(model, job.spec)) return;
    const JobSpec* best = oldest.valid() ? &state_.job(oldest).spec : nullptr;
    if (best == nullptr ||
        std::tie(job.spec.submitted_at, job.spec.ref) < std::tie(best->submitted_at, best->ref))
      oldest = job_index;
  });
  return oldest;
}

void ModelAutoscaler::reconcile(ModelState& model, Clock clock, Effects& out) {
  model.service_job = find_service_job(model);
  if (!model.service_job.valid()) return set_pending_reason(model, "no service job, calls wait");
  const Job& job = state_.job(model.service_job);
  const PartitionIndex partition = job.spec.partition;
  if (!scheduler_.owns(partition)) {
    model.ownership_revision = 0;
    return;
  }
  const Revision ownership_revision = state_.ownership(partition).revision;
  if (model.ownership_revision != ownership_revision)
    on_ownership_acquired(model, ownership_revision, clock.now);
  const std::uint32_t calls = call_counter_.count(model.call_classes, clock.now);
  const bool needs_replicas = calls > 0 || model.spec.min_replicas > 0;
  if (needs_replicas) model.last_wanted_at = clock.now;
  if (decision_log_.has_pending_change(decision_kind(), model.spec.name)) return;
  const Decision* decision = decision_log_.find(decision_kind(), model.spec.name);
  const std::uint32_t max_replicas =
      std::min(std::max(model.spec.max_replicas, model.spec.min_replicas), job.spec.tasks);
  CycleContext context{job,
                       decision == nullptr ? DecisionRecord() : decision->record,
                       calls,
                       std::min(replicas_for(calls, model.spec), max_replicas),
                       needs_replicas,
                       clock,
                       out};
  if (decision == nullptr) {
    write_service_job(context.record, job.spec.ref);
    return write_decision(model, std::move(context), ModelStatus::cold, 0, "known");
  }
  const ModelStatus status = status_of(context.record);
  if (service_job_of(context.record) != job.spec.ref && status != ModelStatus::cold)
    return end_round_of_former_job(model, std::move(context));
  switch (status) {
    case ModelStatus::cold:
      return advance_cold(model, std::move(context));
    case ModelStatus::warming:
      return advance_warming(model, std::move(context));
    case ModelStatus::ready:
      return advance_ready(model, std::move(context));
    case ModelStatus::cooling:
      return advance_cooling(model, std::move(context));
    case ModelStatus::none:
    case ModelStatus::unknown:
      return;
  }
}

void ModelAutoscaler::on_ownership_acquired(ModelState& model, Revision ownership_revision,
                                            Seconds now) const {
  // The new owner continues from the record. It assumes the safe case of what it cannot know: that stops have
  // been sent, so that cooling is not cancelled, and that the last call was just now, so that cooling does
  // not start early.
  model.ownership_revision = ownership_revision;
  model.last_wanted_at = now;
  model.cooling_since = ModelState::never;
  model.surplus_since = ModelState::never;
  model.stops_sent = true;
}

void ModelAutoscaler::end_round_of_former_job(const ModelState& model, CycleContext context) {
  // The replicas are stopped like those of any cancelled job. The round ends when all of them are gone.
  if (status_of(context.record) != ModelStatus::cooling)
    return write_decision(model, std::move(context), ModelStatus::cooling, 0, "its standing job is over");
  const JobIndex former_index = state_.find_job(service_job_of(context.record).value_or(""));
  const Job* former = former_index.valid() ? state_.known_job(former_index) : nullptr;
  if (former == nullptr || former->placements.empty()) {
    write_decision(model, std::move(context), ModelStatus::cold, 0,
                   "all replicas of its former standing job are gone");
  }
}

void ModelAutoscaler::advance_cold(ModelState& model, CycleContext context) {
  if (!context.needs_replicas) return set_pending_reason(model, "cold");
  ++context.record.epoch;
  write_service_job(context.record, context.service_job.spec.ref);
  const std::string reason = context.calls > 0 ? std::to_string(context.calls) + " calls wait"
                                               : "at least " + std::to_string(model.spec.min_replicas);
  write_decision(model, std::move(context), ModelStatus::warming, 1, reason);
}

void ModelAutoscaler::advance_warming(ModelState& model, CycleContext context) {
  if (has_running_replica(context.service_job)) {
    record_cold_start(context.record, context.clock.wall - context.record.changed_at);
    const std::uint32_t replicas = std::max(1U, context.wanted_replicas);
    return write_decision(model, std::move(context), ModelStatus::ready, replicas, "a replica runs");
  }
  set_pending_reason(model, "warming up, calls wait for the first replica");
  // The calls were cancelled, so the cold start has no further use.
  if (is_idle(model, context))
    write_decision(model, std::move(context), ModelStatus::cooling, 0, "its calls have gone");
}

void ModelAutoscaler::advance_ready(ModelState& model, CycleContext context) {
  const auto replicas = replicas_of(context.record).value_or(0);
  const double idle_s = idle_timeout(cold_starts_of(context.record), model.spec);
  const Seconds now = context.clock.now;
  set_pending_reason(model, "serving");
  if (is_idle(model, context)) {
    model.cooling_since = ModelState::never;
    model.stops_sent = false;
    return write_decision(model, std::move(context), ModelStatus::cooling, 0,
                          "idle for " + std::to_string(static_cast<int>(idle_s)) + " s");
  }
  const std::uint32_t wanted = std::max(1U, context.wanted_replicas);
  if (wanted >= replicas) model.surplus_since = ModelState::never;
  if (wanted < replicas && model.surplus_since < 0) model.surplus_since = now;
  const bool scales_in = wanted < replicas && now - model.surplus_since > idle_s;
  if (wanted > replicas || scales_in) {
    model.surplus_since = ModelState::never;
    const std::string reason = std::to_string(context.calls) + " calls";
    write_decision(model, std::move(context), ModelStatus::ready, wanted, reason);
  }
}

void ModelAutoscaler::advance_cooling(ModelState& model, CycleContext context) {
  const Job& job = context.service_job;
  const Seconds now = context.clock.now;
  if (model.cooling_since < 0) model.cooling_since = now;
  const bool may_have_stopped = model.stops_sent || has_stopping_replica(job);
  if (context.calls > 0 && !may_have_stopped && !job.placements.empty()) {
    // Cooling is cancelled before the first stop: the replicas keep running in the same epoch.
    const std::uint32_t replicas = std::max(1U, context.wanted_replicas);
    return write_decision(model, std::move(context), ModelStatus::ready, replicas,
                          "a call came while it cooled");
  }
  if (now - model.cooling_since > cooling_delay_s) model.stops_sent = true;
  set_pending_reason(model, "cooling down");
  if (job.placements.empty())
    write_decision(model, std::move(context), ModelStatus::cold, 0, "all its replicas are gone");
}

bool ModelAutoscaler::is_idle(const ModelState& model, const CycleContext& context) const {
  return !context.needs_replicas &&
         context.clock.now - model.last_wanted_at > idle_timeout(cold_starts_of(context.record), model.spec);
}

void ModelAutoscaler::write_decision(const ModelState& model, CycleContext context, ModelStatus status,
                                     std::uint32_t replicas, const std::string& reason) {
  DecisionRecord& next = context.record;
  next.state = model_status_names.stored_name(status);
  write_replicas(next, replicas);
  next.reason = reason;
  decision_log_.change(decision_kind(), model.spec.name, std::move(next), context.service_job.spec.partition,
                       context.clock, context.out, /*urgent=*/true);
}

void ModelAutoscaler::set_pending_reason(ModelState& model, const std::string& reason) const {
  if (model.pending_reason == reason) return;
  model.pending_reason = reason;
  SPDLOG_INFO("model status changed model={} status=\"{}\"", model.spec.name, reason);
}

const std::string& ModelAutoscaler::pending_reason(const std::string& model) const {
  static const std::string no_reason;
  auto found = std::find_if(models_.begin(), models_.end(),
                            [&](const ModelState& candidate) { return candidate.spec.name == model; });
  return found == models_.end() ? no_reason : found->pending_reason;
}

std::uint32_t ModelAutoscaler::max_tasks(const Decision* decision, const JobSpec& spec,
                                         bool is_replica) const {
  if (decision == nullptr) return 0;
  const DecisionRecord& record = decision->record;
  const ModelStatus status = status_of(record);
  const std::optional<std::uint32_t> replicas = replicas_of(record);
  const bool is_decided_job = replicas && service_job_of(record) == spec.ref;
  if (is_replica && is_decided_job && status == ModelStatus::warming) return 1;
  if (is_replica && is_decided_job && status == ModelStatus::ready) return *replicas;
  return !is_replica && status == ModelStatus::ready ? PlacementLimits::unlimited : 0;
}

void ModelAutoscaler::constrain(JobIndex job_index, PlacementLimits& limits) const {
  const JobSpec& spec = state_.job(job_index).spec;
  for (const ModelState& model : models_) {
    const bool is_replica = is_service_job(model, spec);
    if (!is_replica && !is_call_job(model.call_classes, spec)) continue;
    const Decision* decision = decision_log_.find(decision_kind(), model.spec.name);
    const std::uint32_t allowed_tasks = max_tasks(decision, spec, is_replica);
    limits.max_tasks = std::min(limits.max_tasks, allowed_tasks);
    // The guard rejects a placement, or a delayed duplicate of one, if the decision has changed meanwhile.
    // Calls need no guard: a call that starts while the last replica stops is served in the next epoch.
    if (is_replica && decision != nullptr && allowed_tasks > 0)
      limits.guards.push_back({DecisionKey{decision_kind().key(model.spec.name)}, decision->revision});
  }
}

std::uint32_t ModelAutoscaler::replicas_to_keep(const ModelState& model, const DecisionRecord& record,
                                                std::size_t placed) const {
  const auto placed_count = static_cast<std::uint32_t>(placed);
  const ModelStatus status = status_of(record);
  if (status == ModelStatus::cooling && model.stops_sent) return 0;
  if (status == ModelStatus::ready) return std::min(placed_count, replicas_of(record).value_or(placed_count));
  return placed_count;
}

std::vector<TaskId> ModelAutoscaler::tasks_to_preempt(PartitionIndex partition) const {
  std::vector<TaskId> tasks;
  for (const ModelState& model : models_) {
    if (!model.service_job.valid() || state_.job(model.service_job).spec.partition != partition) continue;
    const Decision* decision = decision_log_.find(decision_kind(), model.spec.name);
    // A pending change may cancel the cooling, so nothing is stopped before its outcome is known.
    if (decision == nullptr || decision_log_.has_pending_change(decision_kind(), model.spec.name)) continue;
    const Job& job = state_.job(model.service_job);
    const std::uint32_t keep_count = replicas_to_keep(model, decision->record, job.placements.size());
    // Stop the tasks with the highest numbers first, because the first replica has served longest.
    std::size_t remaining = job.placements.size();
    for (auto it = job.placements.rbegin(); it != job.placements.rend() && remaining > keep_count;
         ++it, --remaining)
      tasks.push_back({model.service_job, it->first});
  }
  return tasks;
}

}  // namespace oxbowmill::serving
