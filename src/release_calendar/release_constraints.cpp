#include "oxbowmill/release_calendar/release_constraints.h"

#include <algorithm>

namespace oxbowmill::release_calendar {

namespace {

// Once another edition has rendered, the remaining render jobs count as submitted this many seconds earlier,
// because the release waits for them.
constexpr double last_edition_boost_s = 60;

void withhold(PlacementLimits& limits) {
  limits.max_tasks = 0;
}

}  // namespace

void ReleaseConstraints::constrain(JobIndex job_index, PlacementLimits& limits) const {
  const JobSpec& spec = state_.job(job_index).spec;
  if (is_withheld_by_unwritten_spec(spec)) withhold(limits);
  decision_log_.for_each(spec_kind(), [&](const std::string& name, const Decision& spec_record) {
    const ReleaseState* release = find_current(name, spec_record);
    if (release == nullptr) {
      // A record has changed. Whether it withholds this job is known only when the next cycle has parsed it.
      withhold(limits);
      return;
    }
    constrain_by_release(name, *release, spec, limits);
  });
}

bool ReleaseConstraints::is_withheld_by_unwritten_spec(const JobSpec& spec) const {
  return std::any_of(calendar_.releases.begin(), calendar_.releases.end(),
                     [&](const ReleaseSpec& release_spec) {
                       const Decision* written = decision_log_.find(spec_kind(), release_spec.name);
                       return (written == nullptr || written->record.version < calendar_.version) &&
                              is_publishing_job(state_.names, release_spec, spec);
                     });
}

const ReleaseState* ReleaseConstraints::find_current(const std::string& name,
                                                     const Decision& spec_record) const {
  const ReleaseState* release = records_.find(name);
  const Decision* decision = decision_log_.find(decision_kind(), name);
  const Revision decision_revision = decision == nullptr ? 0 : decision->revision;
  const bool is_current = release != nullptr && release->spec_revision == spec_record.revision &&
                          release->decision_revision == decision_revision;
  return is_current ? release : nullptr;
}

void ReleaseConstraints::constrain_by_release(const std::string& name, const ReleaseState& release,
                                              const JobSpec& spec, PlacementLimits& limits) const {
  const bool is_withdrawn = release.status == ReleaseStatus::withdrawn;
  if (!release.is_readable) withhold(limits);
  // A publishing job of an abandoned revision stays withheld until the operators remove the release.
  if (release.withheld_jobs.count(spec.ref) != 0 && !is_withdrawn) withhold(limits);
  if (is_withheld_for_next_round(release, spec)) withhold(limits);
  if (release.status == ReleaseStatus::none || is_withdrawn || !release.active_spec) return;
  if (is_publishing_job(state_.names, *release.active_spec, spec)) {
    constrain_publishing_job(name, release, spec, limits);
  } else {
    constrain_render_job(release, spec, limits);
  }
}

bool ReleaseConstraints::is_withheld_for_next_round(const ReleaseState& release, const JobSpec& spec) const {
  if (!release.desired_spec) return false;
  const ReleaseSpec& desired = *release.desired_spec;
  if (release.active_spec && desired.revision == release.active_spec->revision) return false;
  if (is_publishing_job(state_.names, desired, spec)) return true;
  // Render jobs that are matched by class and image must be bound to their round before they run.
  for (const Edition& edition : desired.editions) {
    for (const JobMatcher& matcher : edition.render_jobs) {
      if (matcher.ref.empty() && matches(state_.names, matcher, spec)) return true;
    }
  }
  return false;
}

bool ReleaseConstraints::is_known_publishing_job(const ReleaseState& release, const JobSpec& spec) const {
  bool is_known = true;
  for (const Edition& edition : release.active_spec->editions) {
    if (!edition.publish_job.ref.empty() || !matches(state_.names, edition.publish_job, spec)) continue;
    is_known = is_bound(release, publish_job_of(edition), spec.ref);
  }
  return is_known;
}

void ReleaseConstraints::constrain_publishing_job(const std::string& name, const ReleaseState& release,
                                                  const JobSpec& spec, PlacementLimits& limits) const {
  if (release.status == ReleaseStatus::published) return;
  if (release.status != ReleaseStatus::decided || !is_known_publishing_job(release, spec))
    return withhold(limits);
  limits.guards.push_back({DecisionKey{decision_kind().key(name)}, release.decision_revision});
}

void ReleaseConstraints::constrain_render_job(const ReleaseState& release, const JobSpec& spec,
                                              PlacementLimits& limits) const {
  for (const Edition& edition : release.active_spec->editions) {
    for (const RequiredJobs& required : render_jobs_of(edition)) {
      if (!matches(state_.names, required.matcher, spec)) continue;
      const std::set<std::string>* bound = bound_jobs_of(release, required);
      const bool is_required =
          required.matcher.ref == spec.ref || (bound != nullptr && bound->count(spec.ref) != 0);
      // While the matcher lacks jobs this one may still be bound, so it is withheld; a surplus job is not.
      const bool is_complete = bound != nullptr && bound->size() >= required.matcher.count;
      if (!is_required && !is_complete && release.status != ReleaseStatus::published) withhold(limits);
      if (!is_required || release.status != ReleaseStatus::rendering) continue;
      if (has_other_rendered_edition(release, edition))
        limits.priority_boost_s = std::max(limits.priority_boost_s, last_edition_boost_s);
    }
  }
}

bool ReleaseConstraints::has_other_rendered_edition(const ReleaseState& release,
                                                    const Edition& edition) const {
  const std::vector<Edition>& editions = release.active_spec->editions;
  return std::any_of(editions.begin(), editions.end(), [&](const Edition& other) {
    return &other != &edition && has_rendered(release, other);
  });
}

bool ReleaseConstraints::has_rendered(const ReleaseState& release, const Edition& edition) const {
  for (const RequiredJobs& required : render_jobs_of(edition)) {
    for (const std::string& ref : known_jobs_of(release, required)) {
      if (!final_phases_.is_known_done(ref)) return false;
    }
  }
  return true;
}

}  // namespace oxbowmill::release_calendar
