#include "oxbowmill/release_calendar/scheduled_time.h"

#include <date/tz.h>

#include <algorithm>
#include <cmath>
#include <ctime>

namespace oxbowmill::release_calendar {

namespace {

constexpr double day_s = 86400;
constexpr double search_horizon_s = 2 * 366 * day_s;
constexpr double fortnight_s = 14 * day_s;
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
  auto add = [&](date::local_days day) {
    if (scheduled.excluded_dates.count(date::format("%F", day)) != 0) return;
    double instant = to_instant(zone, day, scheduled.second_of_day);
    if (instant >= from && instant < to) instants.push_back(instant);
  };
  if (scheduled.weekdays.empty()) {
    if (auto day = parse_date(scheduled.date)) add(*day);
    return instants;
  }
  // One day more at both ends covers the local days of the span at any offset from UTC.
  auto first = date::local_days(date::days(static_cast<int>(std::floor(from / day_s)) - 1));
  auto last = date::local_days(date::days(static_cast<int>(std::floor(to / day_s)) + 1));
  for (auto day = first; day <= last; day += date::days(1)) {
    unsigned weekday = date::weekday(day).c_encoding();
    if (std::find(scheduled.weekdays.begin(), scheduled.weekdays.end(), weekday) != scheduled.weekdays.end())
      add(day);
  }
  return instants;
}

bool is_open(const ScheduledTime& scheduled, double since, double now) {
  if (now < since) return false;
  // Without a window every instant since `since` allows the start; with a window, only an instant whose
  // window is still open.
  double from =
      scheduled.window_s > 0 ? std::max(since - scheduled.window_s, now - scheduled.window_s) : since;
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
    return "zone: no such time zone";
  }
  if (scheduled.weekdays.empty() == scheduled.date.empty()) return "either weekly or date";
  for (unsigned weekday : scheduled.weekdays) {
    if (weekday > last_weekday) return "weekly: no such day";
  }
  if (!scheduled.date.empty() && !parse_date(scheduled.date)) return "date: not YYYY-MM-DD";
  for (const std::string& excluded_date : scheduled.excluded_dates) {
    if (!parse_date(excluded_date)) return "holidays: not YYYY-MM-DD";
  }
  if (scheduled.second_of_day >= day_s) return "at: not a time of day";
  return "";
}

}  // namespace oxbowmill::release_calendar
