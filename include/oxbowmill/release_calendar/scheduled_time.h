// Scheduled times in the local time of a zone: weekly or on one date, without excluded dates, with an
// optional window. Instants are seconds since the epoch (UTC). The zones come from the system's tz database,
// read by libhowardhinnant-date. Owns no state.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/error.h"

namespace oxbowmill::release_calendar {

/// A time zone that the tz database does not have, or a database that cannot be read.
class TimeZoneError : public Error {
 public:
  /// `zone`: the name that was looked up; `reason`: what the tz library says of it.
  TimeZoneError(const std::string& zone, const std::string& reason);
};

/// One or many instants, as operators describe them.
struct ScheduledTime {
  std::string zone = "UTC";              ///< name in the tz database
  std::vector<unsigned> weekdays;        ///< 0 (Sunday) to 6; empty: on `date` only
  std::string date;                      ///< "2026-12-24"; empty: weekly
  unsigned second_of_day = 0;            ///< local time of day, in seconds
  double window_s = 0;                   ///< how long after the instant a start is allowed; 0: without end
  std::set<std::string> excluded_dates;  ///< local dates without an instant (holidays)
};

/// The scheduled instants in [from, to), in order. A local time that a clock change skips is the first
/// instant after the gap; one that comes twice is the later of both, so that nothing is early. Throws
/// TimeZoneError.
std::vector<double> occurrences(const ScheduledTime& scheduled, double from, double to);
/// Whether something that is known since `since` may start at `now`, a time of day that is not ahead of the
/// true one. Throws TimeZoneError.
bool is_open(const ScheduledTime& scheduled, double since, double now);
/// The next instant at or after `now`; none within two years. Throws TimeZoneError.
std::optional<double> next_occurrence(const ScheduledTime& scheduled, double now);
/// The first invalid field and why, as "field: reason"; empty if the schedule is valid.
std::string validation_error(const ScheduledTime& scheduled);

}  // namespace oxbowmill::release_calendar
