// Which jobs belong to a release: by the matchers of its spec, and by the job ids that were bound to a round.
// Pure functions of the spec, the release's state and the name tables.
#pragma once

#include "oxbowmill/cluster/cluster_state.h"
#include "oxbowmill/release_calendar/release_state.h"

namespace oxbowmill::release_calendar {

/// What the jobs of a matcher do in a release.
enum class JobRole : std::uint8_t {
  render,   ///< must be done before any edition publishes
  publish,  ///< waits for the decision
};

/// The jobs that one matcher of an edition asks for. Refers to the spec, which must outlive it.
struct RequiredJobs {
  const Edition& edition;            ///< the edition that needs them
  const JobMatcher& matcher;         ///< names them
  JobRole role = JobRole::render;    ///< what they do
  std::size_t render_job_index = 0;  ///< of the matcher in Edition::render_jobs; unused for `publish`

  /// Name of the decision record's note with the ids of the jobs that were found. Stored data.
  [[nodiscard]] std::string bound_field() const;
};

/// The render jobs that an edition requires, in the order of its spec.
std::vector<RequiredJobs> render_jobs_of(const Edition& edition);
/// The publishing job that an edition requires.
RequiredJobs publish_job_of(const Edition& edition);

/// Whether the matcher names this job.
bool matches(const Names& names, const JobMatcher& matcher, const JobSpec& spec);
/// Whether any edition of the release publishes by this job.
bool is_publishing_job(const Names& names, const ReleaseSpec& release_spec, const JobSpec& spec);

/// The ids bound to `required` in the current round; null if there are none.
const std::set<std::string>* bound_jobs_of(const ReleaseState& release, const RequiredJobs& required);
/// Whether this id is bound to `required` in the current round.
bool is_bound(const ReleaseState& release, const RequiredJobs& required, const std::string& ref);
/// The known ids of the jobs: named by the spec, or bound in the current round.
std::vector<std::string> known_jobs_of(const ReleaseState& release, const RequiredJobs& required);

}  // namespace oxbowmill::release_calendar
