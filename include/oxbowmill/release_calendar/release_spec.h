// What operators say of a release: paired editions of one source revision, whose publishing waits for all of
// them. Written in the calendar file, kept in the controllers' shared state; docs/release-calendar.md.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/release_calendar/scheduled_time.h"

namespace oxbowmill::release_calendar {

/// Names jobs: one by its id, or so many by class and image where ids are not known ahead.
struct JobMatcher {
  std::string ref;
  std::string job_class, image;
  std::uint32_t count = 1;
};

struct Edition {
  std::string name;
  std::vector<JobMatcher> render_jobs;
  JobMatcher publish_job;
};

struct ReleaseSpec {
  std::string name;
  std::string revision;  // of the source
  std::vector<Edition> editions;
  std::optional<ScheduledTime> publish_time;  // nothing publishes before; none: as soon as all is rendered
};

struct ReleaseCalendar {
  std::uint64_t version = 0;  // controllers whose files differ agree on the newer one
  std::vector<ReleaseSpec> releases;
  bool empty() const { return version == 0; }
};

/// As it stands in a record. Throws nothing: text that cannot be read gives none.
std::string to_text(const ReleaseSpec& terms);
std::optional<ReleaseSpec> from_text(const std::string& text);
/// What is wrong with the terms, or empty.
std::string validation_error(const ReleaseSpec& terms);

}  // namespace oxbowmill::release_calendar
