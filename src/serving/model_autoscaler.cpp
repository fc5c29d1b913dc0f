#include "oxbowmill/serving/model_autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace oxbowmill::serving {

namespace {

constexpr double cycle_interval_s = 0.25;
constexpr double cooling_delay_s = 2;  // between the decision to cool and the first stop
constexpr std::uint32_t max_failed_attempts = 5;
constexpr double long_running_s = 60;  // a try that has lasted so long is not in vain
constexpr std::size_t retained_cold_starts = 9;
const std::string replicas_field = "replicas", job_field = "job";

std::string cold_start_key(std::size_t i) {
  return "start" + std::to_string(i);
}

std::vector<double> cold_starts_of(const DecisionRecord& record) {
  std::vector<double> out;
  for (std::size_t i = 0; i < retained_cold_starts; ++i) {
    auto it = record.counts.find(cold_start_key(i));
    if (it != record.counts.end()) out.push_back(static_cast<double>(it->second) / 1000);
  }
  return out;
}

/// The epoch's number goes round the places: the oldest start is forgotten.
void record_cold_start(DecisionRecord& r, double seconds) {
  r.counts[cold_start_key(r.epoch % retained_cold_starts)] =
      static_cast<std::uint64_t>(std::max(0.0, seconds) * 1000);
}

}  // namespace

const decisions::DecisionKind& decision_kind() {
  static const decisions::DecisionKind kind = {"model",
                                               {{"", cold},
                                                {cold, cold},
                                                {cold, warming},
                                                {warming, ready},
                                                {warming, cooling},
                                                {ready, ready},
                                                {ready, cooling},
                                                {cooling, ready},
                                                {cooling, cold}}};
  return kind;
}

double idle_timeout(const std::vector<double>& cold_starts, const ModelSpec& terms) {
  if (cold_starts.empty()) return terms.idle_floor_s;
  std::vector<double> s = cold_starts;
  std::sort(s.begin(), s.end());
  std::size_t n = s.size();
  double median = n % 2 == 1 ? s[n / 2] : (s[n / 2 - 1] + s[n / 2]) / 2;
  return std::max(median * terms.idle_factor, terms.idle_floor_s);
}

std::uint32_t replicas_for(std::uint32_t calls, const ModelSpec& terms) {
  auto wanted = static_cast<std::uint32_t>(std::ceil(calls / terms.calls_per_replica));
  return std::clamp(wanted, terms.min_replicas, std::max(terms.min_replicas, terms.max_replicas));
}

ModelAutoscaler::ModelAutoscaler(ClusterState& model, decisions::DecisionLog& decision_log,
                                 const Scheduler& scheduler, Settings settings)
    : state_(model), decision_log_(decision_log), scheduler_(scheduler) {
  for (ModelSpec& model_spec : settings.models) {
    ModelState model_state;
    if (!model_spec.job_class.empty())
      model_state.job_class = model.names.classes.intern(model_spec.job_class);
    if (!model_spec.image.empty()) model_state.image = model.names.images.intern(model_spec.image);
    for (const std::string& c : model_spec.call_classes)
      model_state.call_classes.push_back(model.names.classes.intern(c));
    model_state.spec = std::move(model_spec);
    models_.push_back(std::move(model_state));
  }
}

bool ModelAutoscaler::is_service_job(const ModelState& model_state, const JobSpec& spec) const {
  return spec.shape == JobShape::service &&
         (!model_state.job_class.valid() || spec.job_class == model_state.job_class) &&
         (!model_state.image.valid() || spec.image == model_state.image);
}

bool ModelAutoscaler::is_call_job(const ModelState& model_state, const JobSpec& spec) const {
  return spec.shape != JobShape::service &&
         std::find(model_state.call_classes.begin(), model_state.call_classes.end(), spec.job_class) !=
             model_state.call_classes.end();
}

void ModelAutoscaler::find_service_job(ModelState& model_state) const {
  // Every controller finds the same one: by age as accepted, then by id.
  model_state.service_job = {};
  for (std::uint32_t p = 1; p < state_.partition_count(); ++p) {
    for (JobIndex job_index : state_.live_jobs(PartitionIndex{p})) {
      const Job& job = state_.job(job_index);
      if (job.phase != JobPhase::open || !is_service_job(model_state, job.spec)) continue;
      const JobSpec* best =
          model_state.service_job.valid() ? &state_.job(model_state.service_job).spec : nullptr;
      if (best == nullptr ||
          std::tie(job.spec.submitted_at, job.spec.ref) < std::tie(best->submitted_at, best->ref))
        model_state.service_job = job_index;
    }
  }
}

bool ModelAutoscaler::fails_repeatedly(JobIndex job_index, const Job& job, Seconds now) {
  // A call that fails for ever must not keep a model warm for ever: it counts again once a try of it lasts or
  // gets something done. By the tables alone, so that it is seen of other owners' calls too.
  CallAttempts& call_attempts = call_attempts_[job_index];
  if (job.done_count != call_attempts.tasks_done)
    call_attempts = {job.done_count, 0, call_attempts.last_attempt, now};
  Attempt latest = 0;
  for (const auto& [task, p] : job.placements) latest = std::max(latest, p.attempt);
  if (latest > call_attempts.last_attempt) {
    call_attempts.last_attempt = latest;
    call_attempts.since = now;
    ++call_attempts.attempts;
  }
  if (latest == call_attempts.last_attempt && latest != 0 && now - call_attempts.since > long_running_s)
    call_attempts.attempts = std::min(call_attempts.attempts, 1U);
  return call_attempts.attempts > max_failed_attempts;
}

std::uint32_t ModelAutoscaler::count_calls(const ModelState& model_state, Clock clock) {
  std::uint32_t n = 0;
  for (std::uint32_t p = 1; p < state_.partition_count(); ++p) {
    for (JobIndex ji : state_.live_jobs(PartitionIndex{p})) {
      const Job& j = state_.job(ji);
      if (j.phase == JobPhase::open && is_call_job(model_state, j.spec) &&
          !fails_repeatedly(ji, j, clock.now))
        ++n;
    }
  }
  return n;
}

void ModelAutoscaler::set_reason(ModelState& model_state, const std::string& why) {
  if (model_state.reason == why) return;
  model_state.reason = why;
  SPDLOG_INFO("model {}: {}", model_state.spec.name, why);
}

const std::string& ModelAutoscaler::pending_reason(const std::string& model) const {
  static const std::string nothing;
  auto it = std::find_if(models_.begin(), models_.end(),
                         [&](const ModelState& model_state) { return model_state.spec.name == model; });
  return it == models_.end() ? nothing : it->reason;
}

bool ModelAutoscaler::write_decision(ModelState& model_state, DecisionRecord next, const std::string& state,
                                     std::uint32_t replicas, Clock clock, Effects& out,
                                     const std::string& why) {
  // Whose replicas these are stands in the record: another standing job's epoch begins from cold.
  next.state = state;
  next.counts[replicas_field] = replicas;
  next.reason = why;
  PartitionIndex by = state_.job(model_state.service_job).spec.partition;
  return decision_log_.change(decision_kind(), model_state.spec.name, std::move(next), by, clock, out,
                              true) == decisions::ChangeResult::sent;
}

void ModelAutoscaler::reconcile(ModelState& model_state, Clock clock, Effects& out) {
  find_service_job(model_state);
  if (!model_state.service_job.valid())
    return set_reason(model_state, "no standing job serves it; calls wait");
  const Job& job = state_.job(model_state.service_job);
  PartitionIndex partition = job.spec.partition;
  if (!scheduler_.owns(partition)) {
    model_state.ownership_revision = 0;
    return;
  }
  if (model_state.ownership_revision != state_.ownership(partition).revision) {
    // A new owner goes on from the record. What it cannot know is taken to be so that nothing is undone or
    // begun twice: stops may have been sent, and the last call was a moment ago.
    model_state.ownership_revision = state_.ownership(partition).revision;
    model_state.last_busy_at = clock.now;
    model_state.cooling_since = -1;
    model_state.surplus_since = -1;
    model_state.stops_sent = true;
  }
  std::uint32_t calls = count_calls(model_state, clock);
  if (calls > 0 || model_state.spec.min_replicas > 0) model_state.last_busy_at = clock.now;
  if (decision_log_.has_pending_change(decision_kind(), model_state.spec.name)) return;
  const Decision* decision = decision_log_.find(decision_kind(), model_state.spec.name);
  DecisionRecord next = decision == nullptr ? DecisionRecord() : decision->record;
  std::uint32_t most =
      std::min(std::max(model_state.spec.max_replicas, model_state.spec.min_replicas), job.spec.tasks);
  std::uint32_t wanted = std::min(replicas_for(calls, model_state.spec), most);
  bool wants = calls > 0 || model_state.spec.min_replicas > 0;
  if (decision == nullptr) {
    next.notes[job_field] = job.spec.ref;
    write_decision(model_state, std::move(next), cold, 0, clock, out, "known");
    return;
  }
  bool of_this_job = next.notes[job_field] == job.spec.ref;
  std::string state = next.state;
  if (!of_this_job && state != cold) {
    // Its standing job is over. Its replicas are stopped as any cancelled job's; the round ends with them.
    JobIndex before = state_.find_job(next.notes[job_field]);
    const Job* old = before.valid() ? state_.known_job(before) : nullptr;
    bool gone = old == nullptr || old->placements.empty();
    if (state != cooling) {
      write_decision(model_state, std::move(next), cooling, 0, clock, out, "its standing job is over");
    } else if (gone) {
      write_decision(model_state, std::move(next), cold, 0, clock, out,
                     "all replicas of its former standing job are gone");
    }
    return;
  }
  if (state == cold) {
    if (!wants) return set_reason(model_state, "cold");
    ++next.epoch;
    next.notes[job_field] = job.spec.ref;
    write_decision(model_state, std::move(next), warming, 1, clock, out,
                   calls > 0 ? std::to_string(calls) + " calls wait"
                             : "at least " + std::to_string(model_state.spec.min_replicas));
  } else if (state == warming) {
    bool running = std::any_of(job.placements.begin(), job.placements.end(), [](const auto& p) {
      return p.second.state == PlacementState::reported && p.second.phase == TaskPhase::running;
    });
    if (running) {
      record_cold_start(next, clock.wall - next.changed_at);
      write_decision(model_state, std::move(next), ready, std::max(1U, wanted), clock, out, "a replica runs");
      return;
    }
    set_reason(model_state, "warms up: calls wait for its first replica");
    // Nobody wants it any more, and nothing has been fetched for: a cold start is not an end in itself.
    if (!wants && clock.now - model_state.last_busy_at > idle_timeout(cold_starts_of(next), model_state.spec))
      write_decision(model_state, std::move(next), cooling, 0, clock, out, "its calls have gone");
  } else if (state == ready) {
    auto now = static_cast<std::uint32_t>(next.counts[replicas_field]);
    double idle = idle_timeout(cold_starts_of(next), model_state.spec);
    set_reason(model_state, "serves");
    if (!wants && clock.now - model_state.last_busy_at > idle) {
      model_state.cooling_since = -1;
      model_state.stops_sent = false;
      write_decision(model_state, std::move(next), cooling, 0, clock, out,
                     "idle for " + std::to_string(static_cast<int>(idle)) + " s");
      return;
    }
    wanted = std::max(1U, wanted);
    if (wanted >= now) model_state.surplus_since = -1;
    if (wanted < now && model_state.surplus_since < 0) model_state.surplus_since = clock.now;
    bool fewer = wanted < now && clock.now - model_state.surplus_since > idle;
    if (wanted > now || fewer) {
      model_state.surplus_since = -1;
      write_decision(model_state, std::move(next), ready, wanted, clock, out,
                     std::to_string(calls) + " calls");
    }
  } else if (state == cooling) {
    if (model_state.cooling_since < 0) model_state.cooling_since = clock.now;
    bool stops_sent = model_state.stops_sent ||
                      std::any_of(job.placements.begin(), job.placements.end(),
                                  [](const auto& p) { return p.second.state >= PlacementState::stopping; });
    if (calls > 0 && !stops_sent && !job.placements.empty()) {
      // Taken back while no stop was sent: the replicas run on in the same epoch.
      write_decision(model_state, std::move(next), ready, std::max(1U, wanted), clock, out,
                     "a call came while it cooled");
      return;
    }
    if (clock.now - model_state.cooling_since > cooling_delay_s) model_state.stops_sent = true;
    set_reason(model_state, "cools down");
    if (job.placements.empty())
      write_decision(model_state, std::move(next), cold, 0, clock, out, "all its replicas are gone");
  }
}

void ModelAutoscaler::run_cycle(Clock clock, Effects& out) {
  if (clock.now < next_cycle_at_) return;
  next_cycle_at_ = clock.now + cycle_interval_s;
  for (ModelState& k : models_) reconcile(k, clock, out);
  for (auto it = call_attempts_.begin(); it != call_attempts_.end();) {
    it = state_.live_job(it->first) == nullptr ? call_attempts_.erase(it) : std::next(it);
  }
}

void ModelAutoscaler::constrain(JobIndex job_index, PlacementLimits& limits) const {
  const JobSpec& spec = state_.job(job_index).spec;
  for (const ModelState& model_state : models_) {
    bool replica = is_service_job(model_state, spec), call = is_call_job(model_state, spec);
    if (!replica && !call) continue;
    const Decision* decision = decision_log_.find(decision_kind(), model_state.spec.name);
    std::uint32_t most = 0;
    if (decision != nullptr) {
      const DecisionRecord& record = decision->record;
      auto job = record.notes.find(job_field);
      auto n = record.counts.find(replicas_field);
      bool ours = job != record.notes.end() && job->second == spec.ref && n != record.counts.end();
      if (replica && ours && (record.state == warming || record.state == ready)) {
        most = record.state == warming ? 1 : static_cast<std::uint32_t>(n->second);
      } else if (call && record.state == ready) {
        most = PlacementLimits::unlimited;
      }
    }
    if (limits.max_tasks > most) limits.max_tasks = most;
    // While a change of the record is under way nothing new is placed by what it may replace; the guard says
    // the same to a late copy of a placement. Calls need none: the replicas they wait for only ever grow or
    // go, and a call that starts as they go is served by the next epoch's.
    if (replica && decision != nullptr && most > 0)
      limits.guards.push_back({DecisionKey{decision_kind().key(model_state.spec.name)}, decision->revision});
  }
}

std::vector<TaskId> ModelAutoscaler::tasks_to_preempt(PartitionIndex partition) const {
  std::vector<TaskId> out;
  for (const ModelState& model_state : models_) {
    if (!model_state.service_job.valid() || state_.job(model_state.service_job).spec.partition != partition)
      continue;
    const Decision* decision = decision_log_.find(decision_kind(), model_state.spec.name);
    // A change under way may take the cooling back: no stop goes out beside it.
    if (decision == nullptr || decision_log_.has_pending_change(decision_kind(), model_state.spec.name))
      continue;
    const Job& job = state_.job(model_state.service_job);
    auto keep = static_cast<std::uint32_t>(job.placements.size());
    if (decision->record.state == cooling && model_state.stops_sent) keep = 0;
    auto n = decision->record.counts.find(replicas_field);
    if (decision->record.state == ready && n != decision->record.counts.end())
      keep = std::min(keep, static_cast<std::uint32_t>(n->second));
    // The latest tasks go first: the first replica is the one that has served longest.
    std::size_t left = job.placements.size();
    for (auto it = job.placements.rbegin(); it != job.placements.rend() && left > keep; ++it, --left)
      out.push_back({model_state.service_job, it->first});
  }
  return out;
}

}  // namespace oxbowmill::serving
