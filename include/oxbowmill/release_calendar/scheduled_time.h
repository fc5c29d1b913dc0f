// Scheduled times in the local time of a time zone: weekly or on one date, except on excluded dates, with an
// optional window. Instants are seconds since the epoch (UTC). libhowardhinnant-date reads the time zones
// from the system's tz database. Owns no state.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/error.h"

namespace oxbowmill::release_calendar {

/// The tz database does not have a time zone, or cannot be read.
class TimeZoneError : public Error {
 public:
  /// `zone`: the name that was looked up; `reason`: the error of the tz library.
  TimeZoneError(const std::string& zone, const std::string& reason);
};

/// Schedule of one or many instants, as operators write it.
struct ScheduledTime {
  std::string zone = "UTC";        ///< name in the tz database
  std::vector<unsigned> weekdays;  ///< 0 (Sunday) to 6; empty: on `date`
  std::string date;                ///< local date, as "2026-12-24"; empty: weekly
  unsigned second_of_day = 0;      ///< local time of day, in seconds
  double window_s = 0;             ///< seconds after the instant during which a start is allowed; 0: no end
  std::set<std::string> excluded_dates;  ///< local dates without an instant (holidays)
};

/// Scheduled instants in [from, to), ascending. A local time that a clock change skips means the first
/// instant after the gap; one that occurs twice means the later instant, so that nothing starts early. Throws
/// TimeZoneError.
std::vector<double> occurrences(const ScheduledTime& scheduled, double from, double to);
/// Whether something that has been known since `known_since` may start at `now`, a time of day that is not
/// ahead of the true one. Throws TimeZoneError.
bool allows_start(const ScheduledTime& scheduled, double known_since, double now);
/// The first instant at or after `now`; none if there is none within two years. Throws TimeZoneError.
std::optional<double> next_occurrence(const ScheduledTime& scheduled, double now);
/// The first invalid field and why, as "field: reason"; empty if the schedule is valid.
std::string validation_error(const ScheduledTime& scheduled);

}  // namespace oxbowmill::release_calendar
