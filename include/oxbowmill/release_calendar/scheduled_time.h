// Appointed times in a place's own time: weekly or dated, holidays left out, with a window. Instants are
// seconds since the epoch (UTC). Source of the zones: the system's tz database, by libhowardhinnant-date.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oxbowmill::release_calendar {

struct ScheduledTime {
  std::string zone = "UTC";              // of the tz database
  std::vector<unsigned> weekdays;        // 0 Sunday to 6; empty: dated
  std::string date;                      // "2026-12-24", if dated
  unsigned second_of_day = 0;            // local
  double window_s = 0;                   // it may begin so long after; 0: at any time after
  std::set<std::string> excluded_dates;  // local dates that are passed over
};

/// The appointed instants in [from, to), in order. A local time that a clock change skips is the first
/// instant after the gap; one that comes twice is the later of both: never early.
std::vector<double> occurrences(const ScheduledTime& scheduled, double from, double to);
/// Whether it may begin at `now`, the time of day at its earliest, of something known since `since`.
bool is_open(const ScheduledTime& scheduled, double since, double now);
/// The next instant at or after `now`; none within two years.
std::optional<double> next_occurrence(const ScheduledTime& scheduled, double now);
/// What is wrong with it (zone, date, weekday), or empty.
std::string validation_error(const ScheduledTime& scheduled);

}  // namespace oxbowmill::release_calendar
