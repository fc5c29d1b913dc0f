#include "oxbowmill/release_calendar/scheduled_time.h"

#include <date/tz.h>

#include <algorithm>
#include <cmath>
#include <ctime>

namespace oxbowmill::release_calendar {

namespace {

constexpr double seconds_per_day = 86400;
constexpr double search_horizon_s = 2 * 366 * seconds_per_day;
constexpr double fortnight_s = 14 * seconds_per_day;
constexpr int tm_year_base = 1900;  // std::tm counts years from here
constexpr unsigned last_weekday = 6;

const date::time_zone& find_zone(const std::string& name) {
  try {
    return *date::locate_zone(name);
  } catch (const std::exception& error) {
    throw TimeZoneError(name, error.what());
  }
}

std::optional<date::local_days> parse_date(const std::string& text) {
  std::tm parsed_time{};
  const char* end = strptime(text.c_str(), "%Y-%m-%d", &parsed_time);
  if (end == nullptr || *end != 0) return std::nullopt;
  date::year_month_day day{date::year(parsed_time.tm_year + tm_year_base),
                           date::month(static_cast<unsigned>(parsed_time.tm_mon + 1)),
                           date::day(static_cast<unsigned>(parsed_time.tm_mday))};
  if (!day.ok()) return std::nullopt;
  return date::local_days(day);
}

double to_instant(const date::time_zone& zone, date::local_days day, unsigned second_of_day) {
  // `latest` selects the later of two equal local times, and the end of the gap for a skipped local time.
  auto instant =
      zone.to_sys(date::local_seconds(day) + std::chrono::seconds(second_of_day), date::choose::latest);
  return static_cast<double>(instant.time_since_epoch().count());
}

}  // namespace

TimeZoneError::TimeZoneError(const std::string& zone, const std::string& reason)
    : Error("time zone " + zone + ": " + reason) {}

std::vector<double> occurrences(const ScheduledTime& scheduled, double from, double to) {
  std::vector<double> instants;
  const date::time_zone& zone = find_zone(scheduled.zone);
  auto add_instant = [&](date::local_days day) {
    if (scheduled.excluded_dates.count(date::format("%F", day)) != 0) return;
    double instant = to_instant(zone, day, scheduled.second_of_day);
    if (instant >= from && instant < to) instants.push_back(instant);
  };
  if (scheduled.weekdays.empty()) {
    if (auto day = parse_date(scheduled.date)) add_instant(*day);
    return instants;
  }
  // One day more at both ends covers the local days of the span at any offset from UTC.
  auto first = date::local_days(date::days(static_cast<int>(std::floor(from / seconds_per_day)) - 1));
  auto last = date::local_days(date::days(static_cast<int>(std::floor(to / seconds_per_day)) + 1));
  for (auto day = first; day <= last; day += date::days(1)) {
    unsigned weekday = date::weekday(day).c_encoding();
    if (std::find(scheduled.weekdays.begin(), scheduled.weekdays.end(), weekday) != scheduled.weekdays.end())
      add_instant(day);
  }
  return instants;
}

bool allows_start(const ScheduledTime& scheduled, double known_since, double now) {
  if (now < known_since) return false;
  // Without a window every instant since `known_since` allows the start; with a window, only an instant whose
  // window is still open.
  double from = scheduled.window_s > 0 ? std::max(known_since - scheduled.window_s, now - scheduled.window_s)
                                       : known_since;
  for (double instant : occurrences(scheduled, from, now + 1)) {
    if (instant <= now && (scheduled.window_s <= 0 || now < instant + scheduled.window_s)) return true;
  }
  return false;
}

std::optional<double> next_occurrence(const ScheduledTime& scheduled, double now) {
  // The short span is enough for a weekly schedule unless excluded dates remove all of its instants.
  for (double span_s : {fortnight_s, search_horizon_s}) {
    auto instants = occurrences(scheduled, now, now + span_s);
    if (!instants.empty()) return instants.front();
  }
  return std::nullopt;
}

std::string validation_error(const ScheduledTime& scheduled) {
  try {
    find_zone(scheduled.zone);
  } catch (const TimeZoneError&) {
    return "zone: no such time zone '" + scheduled.zone + "'";
  }
  if (scheduled.weekdays.empty() == scheduled.date.empty())
    return "exactly one of weekly and date must be given";
  for (unsigned weekday : scheduled.weekdays) {
    if (weekday > last_weekday)
      return "weekly: " + std::to_string(weekday) + " is not a day from 0 (Sunday) to 6";
  }
  if (!scheduled.date.empty() && !parse_date(scheduled.date))
    return "date: '" + scheduled.date + "' is not a date as YYYY-MM-DD";
  for (const std::string& excluded_date : scheduled.excluded_dates) {
    if (!parse_date(excluded_date)) return "holidays: '" + excluded_date + "' is not a date as YYYY-MM-DD";
  }
  if (scheduled.second_of_day >= seconds_per_day) return "at: not a time of day";
  return "";
}

}  // namespace oxbowmill::release_calendar
