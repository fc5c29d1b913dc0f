#include <algorithm>
#include <ctime>

#include "sections.h"

namespace oxbowmill::config {

namespace {

/// Reads "06:30" or "06:30:15" as seconds since midnight.
unsigned read_time_of_day(yaml::Map& map, const std::string& key) {
  std::string text = map.text(key);
  std::tm parsed_time{};
  for (const char* format : {"%H:%M:%S", "%H:%M"}) {
    parsed_time = {};
    const char* end = strptime(text.c_str(), format, &parsed_time);
    if (end != nullptr && *end == 0)
      return static_cast<unsigned>(parsed_time.tm_hour * 3600 + parsed_time.tm_min * 60 + parsed_time.tm_sec);
  }
  map.fail(key, "not a time of day, HH:MM or HH:MM:SS");
}

release_calendar::ScheduledTime read_publish_time(yaml::Map map) {
  static const std::vector<std::string> days = {"sun", "mon", "tue", "wed", "thu", "fri", "sat"};
  release_calendar::ScheduledTime schedule;
  schedule.zone = map.text("zone");
  schedule.second_of_day = read_time_of_day(map, "at");
  std::vector<std::string> weekly, holidays;
  map.get("weekly", weekly).get("date", schedule.date).get("holidays", holidays);
  for (const std::string& day : weekly) {
    auto day_position = std::find(days.begin(), days.end(), day);
    if (day_position == days.end()) map.fail("weekly", "not a day of the week: " + day);
    schedule.weekdays.push_back(static_cast<unsigned>(day_position - days.begin()));
  }
  schedule.excluded_dates.insert(holidays.begin(), holidays.end());
  map.number("window_s", schedule.window_s, 0, 7 * 86400);
  map.reject_unknown_keys();
  if (std::string error_text = release_calendar::validation_error(schedule); !error_text.empty()) {
    std::size_t colon = error_text.find(": ");
    if (colon == std::string::npos) map.fail("weekly", error_text);
    map.fail(error_text.substr(0, colon), error_text.substr(colon + 2));
  }
  return schedule;
}

release_calendar::JobMatcher read_matcher(const yaml::Map& parent, const std::string& key,
                                          const YAML::Node& yaml_node) {
  release_calendar::JobMatcher matcher;
  if (yaml_node.IsScalar()) {
    matcher.ref = yaml_node.as<std::string>();
    return matcher;
  }
  yaml::Map map = parent.child(key, yaml_node);
  matcher.job_class = map.text("class");
  matcher.image = map.text("image");
  map.get("count", matcher.count);
  map.reject_unknown_keys();
  return matcher;
}

release_calendar::Edition read_edition(const std::string& name, yaml::Map entry) {
  release_calendar::Edition edition;
  edition.name = name;
  auto renders = entry.take("render");
  if (!renders || !renders->IsSequence()) entry.fail("render", "missing or not a list");
  for (std::size_t i = 0; i < renders->size(); ++i)
    edition.render_jobs.push_back(read_matcher(entry, "render[" + std::to_string(i) + "]", (*renders)[i]));
  auto publish = entry.take("publish");
  if (!publish) entry.fail("publish", "missing");
  edition.publish_job = read_matcher(entry, "publish", *publish);
  entry.reject_unknown_keys();
  return edition;
}

std::vector<release_calendar::Edition> read_editions(yaml::Map& release) {
  auto node = release.take("editions");
  if (!node || !node->IsMap()) release.fail("editions", "missing or not a map");
  yaml::Map map = release.child("editions", *node);
  std::vector<release_calendar::Edition> editions;
  for (const std::string& name : map.keys())
    editions.push_back(read_edition(name, map.child(name, *map.take(name))));
  map.reject_unknown_keys();
  return editions;
}

release_calendar::ReleaseSpec read_release(yaml::Map& entry) {
  release_calendar::ReleaseSpec release;
  release.name = entry.text("name");
  release.revision = entry.text("revision");
  release.editions = read_editions(entry);
  if (auto when = entry.take("when")) release.publish_time = read_publish_time(entry.child("when", *when));
  entry.reject_unknown_keys();
  if (std::string error_text = release_calendar::validation_error(release); !error_text.empty()) {
    std::size_t colon = error_text.find(": ");
    entry.fail(error_text.substr(0, colon), error_text.substr(colon + 2));
  }
  return release;
}

}  // namespace

release_calendar::ReleaseCalendar read_calendar(yaml::Map map) {
  release_calendar::ReleaseCalendar calendar;
  map.get("version", calendar.version);
  if (calendar.version == 0)
    map.fail("version",
             "missing or 0: controllers with different files follow the one with the higher version");
  auto list = map.take("releases");
  if (list && !list->IsSequence()) map.fail("releases", "not a list");
  for (std::size_t i = 0; list && i < list->size(); ++i) {
    yaml::Map entry = map.child("releases[" + std::to_string(i) + "]", (*list)[i]);
    release_calendar::ReleaseSpec release = read_release(entry);
    bool is_duplicate = std::any_of(
        calendar.releases.begin(), calendar.releases.end(),
        [&release](const release_calendar::ReleaseSpec& other) { return other.name == release.name; });
    if (is_duplicate) entry.fail("name", "named twice");
    calendar.releases.push_back(std::move(release));
  }
  map.reject_unknown_keys();
  return calendar;
}

}  // namespace oxbowmill::config
