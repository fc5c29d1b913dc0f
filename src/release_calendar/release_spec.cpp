#include "oxbowmill/release_calendar/release_spec.h"

#include <nlohmann/json.hpp>

namespace oxbowmill::release_calendar {

namespace {

using Json = nlohmann::json;

Json to_json(const JobMatcher& matcher) {
  if (!matcher.ref.empty()) return matcher.ref;
  return {{"class", matcher.job_class}, {"image", matcher.image}, {"count", matcher.count}};
}

JobMatcher matcher_from_json(const Json& json) {
  JobMatcher matcher;
  if (json.is_string()) {
    matcher.ref = json.get<std::string>();
  } else {
    matcher.job_class = json.at("class").get<std::string>();
    matcher.image = json.at("image").get<std::string>();
    matcher.count = json.value("count", 1U);
  }
  return matcher;
}

Json to_json(const Edition& edition) {
  Json renders = Json::array();
  for (const JobMatcher& matcher : edition.render_jobs) renders.push_back(to_json(matcher));
  return {{"name", edition.name}, {"render", renders}, {"publish", to_json(edition.publish_job)}};
}

Edition edition_from_json(const Json& json) {
  Edition edition;
  edition.name = json.at("name").get<std::string>();
  for (const Json& matcher_json : json.at("render"))
    edition.render_jobs.push_back(matcher_from_json(matcher_json));
  edition.publish_job = matcher_from_json(json.at("publish"));
  return edition;
}

Json to_json(const ScheduledTime& scheduled) {
  return {{"zone", scheduled.zone},       {"weekdays", scheduled.weekdays},
          {"date", scheduled.date},       {"at", scheduled.second_of_day},
          {"window", scheduled.window_s}, {"holidays", scheduled.excluded_dates}};
}

ScheduledTime scheduled_time_from_json(const Json& json) {
  ScheduledTime scheduled;
  scheduled.zone = json.at("zone").get<std::string>();
  scheduled.weekdays = json.at("weekdays").get<std::vector<unsigned>>();
  scheduled.date = json.at("date").get<std::string>();
  scheduled.second_of_day = json.at("at").get<unsigned>();
  scheduled.window_s = json.at("window").get<double>();
  scheduled.excluded_dates = json.at("holidays").get<std::set<std::string>>();
  return scheduled;
}

ReleaseSpec release_spec_from_json(const Json& json) {
  ReleaseSpec release_spec;
  release_spec.name = json.at("name").get<std::string>();
  release_spec.revision = json.at("revision").get<std::string>();
  for (const Json& edition_json : json.at("editions"))
    release_spec.editions.push_back(edition_from_json(edition_json));
  if (auto when_it = json.find("when"); when_it != json.end()) {
    ScheduledTime scheduled = scheduled_time_from_json(*when_it);
    if (std::string error_text = validation_error(scheduled); !error_text.empty())
      throw ReleaseSpecError("when: " + error_text);
    release_spec.publish_time = std::move(scheduled);
  }
  return release_spec;
}

// The rule that `is_usable_name` checks, for error messages.
const std::string name_rule = "must be 1 to 80 characters without spaces, tabs, line breaks, / and |";

/// Whether the name may be part of record keys and of notes, in which the excluded characters are separators.
bool is_usable_name(const std::string& name) {
  constexpr std::size_t max_length = 80;
  return !name.empty() && name.size() <= max_length && name.find_first_of(" /|\t\n") == std::string::npos;
}

std::string matcher_error(const Edition& edition, const JobMatcher& matcher) {
  bool by_class_and_image = !matcher.job_class.empty() && !matcher.image.empty();
  if (matcher.ref.empty() == !by_class_and_image)
    return "editions: " + edition.name + ": a job must have either an id or both class and image";
  if (matcher.count == 0) return "editions: " + edition.name + ": count: must be at least 1";
  return "";
}

/// What is wrong with the edition by itself, as "editions: reason"; empty if it is valid.
std::string edition_error(const Edition& edition) {
  if (edition.render_jobs.empty()) return "editions: " + edition.name + " has no render job";
  if (edition.publish_job.count != 1)
    return "editions: " + edition.name + " must have exactly one publishing job";
  if (std::string error_text = matcher_error(edition, edition.publish_job); !error_text.empty())
    return error_text;
  for (const JobMatcher& matcher : edition.render_jobs) {
    if (std::string error_text = matcher_error(edition, matcher); !error_text.empty()) return error_text;
  }
  return "";
}

}  // namespace

ReleaseSpecError::ReleaseSpecError(const std::string& reason) : Error("release spec: " + reason) {}

std::string to_text(const ReleaseSpec& release_spec) {
  Json json = {{"name", release_spec.name}, {"revision", release_spec.revision}, {"editions", Json::array()}};
  for (const Edition& edition : release_spec.editions) json["editions"].push_back(to_json(edition));
  if (release_spec.publish_time) json["when"] = to_json(*release_spec.publish_time);
  return json.dump();
}

ReleaseSpec parse_release_spec(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) throw ReleaseSpecError("the text is not a JSON object");
  try {
    ReleaseSpec release_spec = release_spec_from_json(json);
    if (std::string error_text = validation_error(release_spec); !error_text.empty())
      throw ReleaseSpecError(error_text);
    return release_spec;
  } catch (const Json::exception& error) {
    throw ReleaseSpecError(error.what());
  }
}

std::optional<ReleaseSpec> from_text(const std::string& text) {
  try {
    return parse_release_spec(text);
  } catch (const ReleaseSpecError&) {
    return std::nullopt;
  }
}

std::string validation_error(const ReleaseSpec& release_spec) {
  if (!is_usable_name(release_spec.name)) return "name: not usable as a release's name, " + name_rule;
  if (release_spec.revision.empty()) return "revision: missing";
  if (release_spec.editions.size() < 2) return "editions: a release pairs two or more editions";
  std::set<std::string> names;
  std::set<std::string> publish_jobs;
  for (const Edition& edition : release_spec.editions) {
    if (!is_usable_name(edition.name)) return "editions: an edition's name is not usable, " + name_rule;
    if (!names.insert(edition.name).second) return "editions: " + edition.name + " is named twice";
    if (std::string error_text = edition_error(edition); !error_text.empty()) return error_text;
    const JobMatcher& publish_job = edition.publish_job;
    if (!publish_jobs.insert(publish_job.ref + " " + publish_job.job_class + " " + publish_job.image).second)
      return "editions: two publish by the same job, one of them is " + edition.name;
  }
  return "";
}

}  // namespace oxbowmill::release_calendar
