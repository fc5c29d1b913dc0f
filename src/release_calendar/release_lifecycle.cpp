#include "oxbowmill/release_calendar/release_lifecycle.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "oxbowmill/decisions/open_jobs.h"

namespace oxbowmill::release_calendar {

namespace {

/// Adds the known publishing jobs of the active revision, which is being abandoned: none of them may run
/// alone later. Jobs of a withdrawn release are not added, because they are not withheld any more.
void add_known_publish_jobs(const ReleaseState& release, std::set<std::string>& refs) {
  for (const Edition& edition : release.active_spec->editions) {
    if (!edition.publish_job.ref.empty()) refs.insert(edition.publish_job.ref);
    const std::set<std::string>* bound = bound_jobs_of(release, publish_job_of(edition));
    if (bound != nullptr) refs.insert(bound->begin(), bound->end());
  }
}

/// Whether the desired spec needs a new epoch, rather than a change within the active one.
bool needs_new_epoch(const ReleaseState& release) {
  return release.status == ReleaseStatus::none || !release.active_spec ||
         release.active_spec->revision != release.desired_spec->revision ||
         release.status == ReleaseStatus::withdrawn;
}

void set_pending_reason(ReleaseState& release, const std::string& name, const std::string& reason) {
  if (release.pending_reason == reason) return;
  release.pending_reason = reason;
  SPDLOG_INFO("release pending reason changed release={} reason=\"{}\"", name, reason);
}

}  // namespace

void ReleaseLifecycle::reconcile(const std::string& name, ReleaseState& release, Clock clock,
                                 double earliest_time, Effects& out) {
  const Step step{name, clock, earliest_time, out};
  if (apply_desired_spec(release, step)) return;
  if (!release.active_spec || release.status == ReleaseStatus::withdrawn) return;
  if (release.status != ReleaseStatus::published && bind_jobs(release, step)) return;
  if (release.is_undecided()) {
    advance_undecided(release, step);
  } else if (release.status == ReleaseStatus::decided) {
    advance_decided(release, step);
  }
}

bool ReleaseLifecycle::apply_desired_spec(const ReleaseState& release, const Step& step) {
  const bool is_decided = release.status == ReleaseStatus::decided;
  if (!release.desired_spec) {
    if (release.is_undecided() || release.status == ReleaseStatus::published) {
      DecisionRecord next = current_record(step.name);
      next.state = stored_name(ReleaseStatus::withdrawn);
      next.reason = "taken out by the operators";
      write_decision(step, std::move(next), WriteUrgency::urgent);
      return true;
    }
    return !is_decided;
  }
  // A decided round is completed before another one begins.
  if (is_decided) return false;
  const bool is_new_epoch = needs_new_epoch(release);
  const bool is_spec_changed =
      !is_new_epoch && to_text(*release.active_spec) != to_text(*release.desired_spec);
  if (!is_new_epoch && (!is_spec_changed || release.status == ReleaseStatus::published)) return false;
  begin_round(release, is_new_epoch, step);
  return true;
}

void ReleaseLifecycle::begin_round(const ReleaseState& release, bool is_new_epoch, const Step& step) {
  DecisionRecord next = current_record(step.name);
  next.state = stored_name(ReleaseStatus::rendering);
  std::set<std::string> withheld = release.withheld_jobs;
  if (is_new_epoch) {
    if (release.is_undecided() && release.active_spec) add_known_publish_jobs(release, withheld);
    ++next.epoch;
    next.notes.clear();
  }
  // Publishing jobs that the new spec names by id belong to the new round.
  for (const Edition& edition : release.desired_spec->editions) withheld.erase(edition.publish_job.ref);
  write_withheld_jobs(next, withheld);
  write_spec(next, *release.desired_spec);
  next.reason = "revision " + release.desired_spec->revision;
  write_decision(step, std::move(next), WriteUrgency::urgent);
}

bool ReleaseLifecycle::bind_jobs(const ReleaseState& release, const Step& step) {
  std::map<std::string, std::set<std::string>> bound_jobs = release.bound_jobs;
  bool has_new_job = false;
  for (const Edition& edition : release.active_spec->editions) {
    std::vector<RequiredJobs> all_required = render_jobs_of(edition);
    all_required.push_back(publish_job_of(edition));
    for (const RequiredJobs& required : all_required) {
      if (!required.matcher.ref.empty()) continue;
      if (bind_matching_jobs(release, required, bound_jobs[required.bound_field()], step.clock.now))
        has_new_job = true;
    }
  }
  if (!has_new_job) return false;
  DecisionRecord next = current_record(step.name);
  for (const auto& [bound_field, refs] : bound_jobs) write_bound_jobs(next, bound_field, refs);
  next.reason = "jobs written down";
  // The new job may replace the cancelled one. A decided release stays decided: the job is a publishing job
  // that was submitted after the decision.
  if (release.status == ReleaseStatus::broken) next.state = stored_name(ReleaseStatus::rendering);
  return write_decision(step, std::move(next), WriteUrgency::urgent);
}

bool ReleaseLifecycle::bind_matching_jobs(const ReleaseState& release, const RequiredJobs& required,
                                          std::set<std::string>& bound, Seconds now) {
  bool has_new_job = false;
  decisions::for_each_open_job(state_, [&](JobIndex, const Job& job) {
    const std::string& ref = job.spec.ref;
    if (!matches(state_.names, required.matcher, job.spec) || bound.count(ref) != 0) return;
    if (release.withheld_jobs.count(ref) != 0) return;
    // A new job replaces a cancelled one.
    auto cancelled_job = std::find_if(bound.begin(), bound.end(), [&](const std::string& bound_ref) {
      return final_phases_.phase_of(bound_ref, now) == JobPhase::cancelled;
    });
    if (bound.size() >= required.matcher.count && cancelled_job == bound.end()) return;
    if (cancelled_job != bound.end()) bound.erase(cancelled_job);
    bound.insert(ref);
    has_new_job = true;
  });
  return has_new_job;
}

void ReleaseLifecycle::advance_undecided(ReleaseState& release, const Step& step) {
  DecisionRecord next = current_record(step.name);
  if (auto missing = find_missing_requirement(release, JobRole::render, step.clock.now)) {
    set_pending_reason(release, step.name, "waiting for " + missing->description);
    if (missing->is_cancelled != (release.status == ReleaseStatus::broken)) {
      next.state = stored_name(missing->is_cancelled ? ReleaseStatus::broken : ReleaseStatus::rendering);
      next.reason = missing->description;
      write_decision(step, std::move(next), WriteUrgency::deferrable);
    }
    return;
  }
  const std::optional<ScheduledTime>& publish_time = release.active_spec->publish_time;
  if (publish_time && !allows_start(*publish_time, next.changed_at, step.earliest_time))
    return set_pending_reason(release, step.name, "all editions have rendered, publish time not reached");
  if (release.status == ReleaseStatus::broken) {
    next.state = stored_name(ReleaseStatus::rendering);
    write_decision(step, std::move(next), WriteUrgency::urgent);
    return;
  }
  next.state = stored_name(ReleaseStatus::decided);
  next.reason = "all editions of revision " + release.active_spec->revision + " have rendered";
  set_pending_reason(release, step.name, next.reason);
  write_decision(step, std::move(next), WriteUrgency::urgent);
}

void ReleaseLifecycle::advance_decided(ReleaseState& release, const Step& step) {
  auto missing = find_missing_requirement(release, JobRole::publish, step.clock.now);
  if (missing) set_pending_reason(release, step.name, "publishing, waiting for " + missing->description);
  // Users may cancel a publishing job; the release does not wait for a cancelled one.
  if (missing && !missing->is_cancelled) return;
  DecisionRecord next = current_record(step.name);
  next.state = stored_name(ReleaseStatus::published);
  if (missing) next.reason = missing->description;
  write_decision(step, std::move(next), WriteUrgency::deferrable);
}

std::optional<ReleaseLifecycle::MissingRequirement> ReleaseLifecycle::find_missing_requirement(
    const ReleaseState& release, JobRole role, Seconds now) {
  std::optional<MissingRequirement> first_missing;
  auto check = [&](const RequiredJobs& required) {
    const std::vector<std::string> refs = known_jobs_of(release, required);
    // Look up every phase, even after a missing job was found: each lookup may send a query.
    for (const std::string& ref : refs) {
      auto phase = final_phases_.phase_of(ref, now);
      if (phase == JobPhase::done) continue;
      MissingRequirement missing{ref + " of edition " + required.edition.name, phase == JobPhase::cancelled};
      if (missing.is_cancelled) missing.description += ", which was cancelled";
      if (!first_missing || (missing.is_cancelled && !first_missing->is_cancelled))
        first_missing = std::move(missing);
    }
    if (refs.size() < required.matcher.count && !first_missing) {
      first_missing =
          MissingRequirement{std::to_string(required.matcher.count - refs.size()) + " more " +
                                 required.matcher.job_class + " of edition " + required.edition.name,
                             false};
    }
  };
  for (const Edition& edition : release.active_spec->editions) {
    if (role == JobRole::publish) {
      check(publish_job_of(edition));
    } else {
      for (const RequiredJobs& required : render_jobs_of(edition)) check(required);
    }
  }
  return first_missing;
}

DecisionRecord ReleaseLifecycle::current_record(const std::string& name) const {
  const Decision* decision = decision_log_.find(decision_kind(), name);
  if (decision == nullptr) return {};
  DecisionRecord record = decision->record;
  record.reason.clear();
  return record;
}

bool ReleaseLifecycle::write_decision(const Step& step, DecisionRecord next, WriteUrgency urgency) {
  return decision_log_.change(decision_kind(), step.name, std::move(next), idle_pool, step.clock, step.out,
                              urgency == WriteUrgency::urgent) == decisions::ChangeResult::sent;
}

}  // namespace oxbowmill::release_calendar
