#include "oxbowmill/release_calendar/job_matching.h"

#include <algorithm>

namespace oxbowmill::release_calendar {

std::string RequiredJobs::bound_field() const {
  return edition.name + "/" + (role == JobRole::publish ? "p" : std::to_string(render_job_index));
}

std::vector<RequiredJobs> render_jobs_of(const Edition& edition) {
  std::vector<RequiredJobs> required;
  required.reserve(edition.render_jobs.size());
  for (std::size_t i = 0; i < edition.render_jobs.size(); ++i)
    required.push_back({edition, edition.render_jobs[i], JobRole::render, i});
  return required;
}

RequiredJobs publish_job_of(const Edition& edition) {
  return {edition, edition.publish_job, JobRole::publish, 0};
}

bool matches(const Names& names, const JobMatcher& matcher, const JobSpec& spec) {
  if (!matcher.ref.empty()) return matcher.ref == spec.ref;
  return spec.job_class.valid() && spec.image.valid() &&
         names.classes.name(spec.job_class) == matcher.job_class &&
         names.images.name(spec.image) == matcher.image;
}

bool is_publishing_job(const Names& names, const ReleaseSpec& release_spec, const JobSpec& spec) {
  return std::any_of(release_spec.editions.begin(), release_spec.editions.end(),
                     [&](const Edition& edition) { return matches(names, edition.publish_job, spec); });
}

const std::set<std::string>* bound_jobs_of(const ReleaseState& release, const RequiredJobs& required) {
  auto bound = release.bound_jobs.find(required.bound_field());
  return bound == release.bound_jobs.end() ? nullptr : &bound->second;
}

bool is_bound(const ReleaseState& release, const RequiredJobs& required, const std::string& ref) {
  const std::set<std::string>* bound = bound_jobs_of(release, required);
  return bound != nullptr && bound->count(ref) != 0;
}

std::vector<std::string> known_jobs_of(const ReleaseState& release, const RequiredJobs& required) {
  if (!required.matcher.ref.empty()) return {required.matcher.ref};
  const std::set<std::string>* bound = bound_jobs_of(release, required);
  if (bound == nullptr) return {};
  return {bound->begin(), bound->end()};
}

}  // namespace oxbowmill::release_calendar
