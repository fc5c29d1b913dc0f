// Determines which jobs belong to a release: those that its spec matches and those whose ids are bound to a
// round. Pure functions of the spec, the release's state and the name tables.
#pragma once

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/release_calendar/release_state.h"

namespace oxbowmill::release_calendar {

/// Role of the jobs of a matcher in a release.
enum class JobRole : std::uint8_t {
  render,   ///< renders an edition; must be done before any edition publishes
  publish,  ///< publishes an edition; withheld until the release is decided
};

/// Jobs that one matcher of an edition requires. Refers to the spec, which must outlive this object.
struct RequiredJobs {
  const Edition& edition;            ///< edition that requires the jobs
  const JobMatcher& matcher;         ///< selects the jobs
  JobRole role = JobRole::render;    ///< role of the jobs
  std::size_t render_job_index = 0;  ///< index of the matcher in Edition::render_jobs; unused for `publish`

  /// Name of the note in the decision record that holds the ids of the bound jobs. Stored data.
  [[nodiscard]] std::string bound_field() const;
};

/// Render jobs that an edition requires, in the order of its spec.
std::vector<RequiredJobs> render_jobs_of(const Edition& edition);
/// Publishing job that an edition requires.
RequiredJobs publish_job_of(const Edition& edition);

/// Whether the matcher selects this job.
bool matches(const Names& names, const JobMatcher& matcher, const JobSpec& spec);
/// Whether this is the publishing job of an edition of the release.
bool is_publishing_job(const Names& names, const ReleaseSpec& release_spec, const JobSpec& spec);

/// Ids bound to `required` in the current round; null if there are none.
const std::set<std::string>* bound_jobs_of(const ReleaseState& release, const RequiredJobs& required);
/// Whether this id is bound to `required` in the current round.
bool is_bound(const ReleaseState& release, const RequiredJobs& required, const std::string& ref);
/// Known ids of the required jobs: the id that the spec names, or those bound in the current round.
std::vector<std::string> known_jobs_of(const ReleaseState& release, const RequiredJobs& required);

}  // namespace oxbowmill::release_calendar
