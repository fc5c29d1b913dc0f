#include "oxbowmill/release_calendar/scheduled_time.h"

#include <date/tz.h>

#include <algorithm>
#include <cmath>
#include <ctime>

namespace oxbowmill::release_calendar {

namespace {

constexpr double day_s = 86400;
constexpr double search_horizon_s = 2 * 366 * day_s;

std::optional<date::local_days> parse_date(const std::string& text) {
  std::tm parsed_time{};
  const char* end = strptime(text.c_str(), "%Y-%m-%d", &parsed_time);
  if (end == nullptr || *end != 0) return std::nullopt;
  date::year_month_day d{date::year(parsed_time.tm_year + 1900),
                         date::month(static_cast<unsigned>(parsed_time.tm_mon + 1)),
                         date::day(static_cast<unsigned>(parsed_time.tm_mday))};
  if (!d.ok()) return std::nullopt;
  return date::local_days(d);
}

double to_seconds(const date::time_zone& zone, date::local_days day, unsigned second) {
  // `latest`: of a time that comes twice the second one, and of one that is skipped the end of the gap.
  auto at = zone.to_sys(date::local_seconds(day) + std::chrono::seconds(second), date::choose::latest);
  return static_cast<double>(at.time_since_epoch().count());
}

}  // namespace

std::vector<double> occurrences(const ScheduledTime& scheduled, double from, double to) {
  std::vector<double> out;
  const date::time_zone& zone = *date::locate_zone(scheduled.zone);
  auto add = [&](date::local_days day) {
    if (scheduled.excluded_dates.count(date::format("%F", day)) != 0) return;
    double t = to_seconds(zone, day, scheduled.second_of_day);
    if (t >= from && t < to) out.push_back(t);
  };
  if (scheduled.weekdays.empty()) {
    if (auto day = parse_date(scheduled.date)) add(*day);
    return out;
  }
  // Local days that may hold instants of the span, whatever the zone's distance from UTC.
  auto first = date::local_days(date::days(static_cast<int>(std::floor(from / day_s)) - 1));
  auto last = date::local_days(date::days(static_cast<int>(std::floor(to / day_s)) + 1));
  for (auto day = first; day <= last; day += date::days(1)) {
    unsigned weekday = date::weekday(day).c_encoding();
    if (std::find(scheduled.weekdays.begin(), scheduled.weekdays.end(), weekday) != scheduled.weekdays.end())
      add(day);
  }
  return out;
}

bool is_open(const ScheduledTime& scheduled, double since, double now) {
  if (now < since) return false;
  // Without a window any instant that has passed since it is known will do; with one, only the last counts.
  double from =
      scheduled.window_s > 0 ? std::max(since - scheduled.window_s, now - scheduled.window_s) : since;
  for (double t : occurrences(scheduled, from, now + 1)) {
    if (t <= now && (scheduled.window_s <= 0 || now < t + scheduled.window_s)) return true;
  }
  return false;
}

std::optional<double> next_occurrence(const ScheduledTime& scheduled, double now) {
  // A fortnight holds the next of a weekly one unless holidays are in the way.
  for (double span : {14 * day_s, search_horizon_s}) {
    auto all = occurrences(scheduled, now, now + span);
    if (!all.empty()) return all.front();
  }
  return std::nullopt;
}

std::string validation_error(const ScheduledTime& scheduled) {
  try {
    date::locate_zone(scheduled.zone);
  } catch (const std::exception&) {
    return "zone: no such time zone";
  }
  if (scheduled.weekdays.empty() == scheduled.date.empty()) return "either weekly or date";
  for (unsigned w : scheduled.weekdays) {
    if (w > 6) return "weekly: no such day";
  }
  if (!scheduled.date.empty() && !parse_date(scheduled.date)) return "date: not YYYY-MM-DD";
  for (const std::string& h : scheduled.excluded_dates) {
    if (!parse_date(h)) return "holidays: not YYYY-MM-DD";
  }
  if (scheduled.second_of_day >= day_s) return "at: not a time of day";
  return "";
}

}  // namespace oxbowmill::release_calendar
