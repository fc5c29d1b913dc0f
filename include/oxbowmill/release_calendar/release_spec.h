// What operators want of a release: paired editions of one source revision that publish only when all of them
// have rendered. Written in the calendar file and kept as text in the controllers' shared state;
// docs/release-calendar.md. Owns no state.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/error.h"
#include "oxbowmill/release_calendar/scheduled_time.h"

namespace oxbowmill::release_calendar {

/// A stored release spec that cannot be read: not JSON, a field is missing or invalid.
class ReleaseSpecError : public Error {
 public:
  /// `reason`: what is wrong, with the field's name where one is at fault.
  explicit ReleaseSpecError(const std::string& reason);
};

/// Names jobs: one by its id, or `count` by class and image where ids are not known in advance.
struct JobMatcher {
  std::string ref;          ///< id of the job; empty: by class and image
  std::string job_class;    ///< class of the jobs, unless `ref` is set
  std::string image;        ///< image of the jobs, unless `ref` is set
  std::uint32_t count = 1;  ///< number of jobs of that class and image
};

/// One of a release's editions.
struct Edition {
  std::string name;                     ///< unique in its release
  std::vector<JobMatcher> render_jobs;  ///< must all be done before any edition publishes
  JobMatcher publish_job;               ///< exactly one job
};

/// One release, as operators want it.
struct ReleaseSpec {
  std::string name;               ///< unique in the calendar
  std::string revision;           ///< of the source
  std::vector<Edition> editions;  ///< two or more
  std::optional<ScheduledTime>
      publish_time;  ///< nothing publishes before; none: as soon as all have rendered
};

/// The operators' calendar file.
struct ReleaseCalendar {
  std::uint64_t version = 0;  ///< raised with every change: controllers with different files use the newest
  std::vector<ReleaseSpec> releases;  ///< all releases that are wanted
  /// Whether there is no file.
  [[nodiscard]] bool empty() const { return version == 0; }
};

/// The text that records store.
std::string to_text(const ReleaseSpec& release_spec);
/// Reads the text of a record. Throws ReleaseSpecError.
ReleaseSpec parse_release_spec(const std::string& text);
/// Like parse_release_spec, but text that cannot be read gives none.
std::optional<ReleaseSpec> from_text(const std::string& text);
/// The first invalid field and why, as "field: reason"; empty if the spec is valid.
std::string validation_error(const ReleaseSpec& release_spec);

}  // namespace oxbowmill::release_calendar
