// Specification of a release by the operators: editions of one source revision that publish only when all of
// them have rendered. It is read from the calendar file and stored as text in the shared records
// (docs/release-calendar.md). Owns no state.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/error.h"
#include "oxbowmill/release_calendar/scheduled_time.h"

namespace oxbowmill::release_calendar {

/// A stored release spec cannot be read: it is not a JSON object, or a field is missing or invalid.
class ReleaseSpecError : public Error {
 public:
  /// `reason`: what is wrong, with the name of the field if one is at fault.
  explicit ReleaseSpecError(const std::string& reason);
};

/// Selects jobs: one by its id, or `count` jobs by class and image if their ids are not known in advance.
struct JobMatcher {
  std::string ref;          ///< id of the job; empty: selected by class and image
  std::string job_class;    ///< class of the jobs; unused if `ref` is set
  std::string image;        ///< image of the jobs; unused if `ref` is set
  std::uint32_t count = 1;  ///< number of jobs of that class and image
};

/// One of a release's editions.
struct Edition {
  std::string name;                     ///< unique in its release
  std::vector<JobMatcher> render_jobs;  ///< must all be done before any edition publishes
  JobMatcher publish_job;               ///< exactly one job
};

/// One release, as the operators specify it.
struct ReleaseSpec {
  std::string name;               ///< unique in the calendar
  std::string revision;           ///< revision of the source
  std::vector<Edition> editions;  ///< two or more
  std::optional<ScheduledTime>
      publish_time;  ///< nothing publishes before; none: as soon as all have rendered
};

/// The operators' calendar file.
struct ReleaseCalendar {
  std::uint64_t version =
      0;  ///< raised with every change; controllers with different files use the highest; 0: no file
  std::vector<ReleaseSpec> releases;  ///< all releases in the file
  /// Whether there is no file.
  [[nodiscard]] bool empty() const { return version == 0; }
};

/// The spec as text, as records store it.
std::string to_text(const ReleaseSpec& release_spec);
/// Parses the text of a record. Throws ReleaseSpecError.
ReleaseSpec parse_release_spec(const std::string& text);
/// Like parse_release_spec, but returns none if the text cannot be read.
std::optional<ReleaseSpec> from_text(const std::string& text);
/// The first invalid field and why, as "field: reason"; empty if the spec is valid.
std::string validation_error(const ReleaseSpec& release_spec);

}  // namespace oxbowmill::release_calendar
