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

bool usable(const std::string& name) {
  constexpr std::size_t longest = 80;
  return !name.empty() && name.size() <= longest && name.find_first_of(" /|\t\n") == std::string::npos;
}

}  // namespace

std::string to_text(const ReleaseSpec& release_spec) {
  Json json = {{"name", release_spec.name}, {"revision", release_spec.revision}, {"editions", Json::array()}};
  for (const Edition& e : release_spec.editions) {
    Json renders = Json::array();
    for (const JobMatcher& m : e.render_jobs) renders.push_back(to_json(m));
    json["editions"].push_back({{"name", e.name}, {"render", renders}, {"publish", to_json(e.publish_job)}});
  }
  if (release_spec.publish_time) {
    const ScheduledTime& a = *release_spec.publish_time;
    json["when"] = {{"zone", a.zone},        {"weekdays", a.weekdays}, {"date", a.date},
                    {"at", a.second_of_day}, {"window", a.window_s},   {"holidays", a.excluded_dates}};
  }
  return json.dump();
}

std::optional<ReleaseSpec> from_text(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  try {
    ReleaseSpec terms;
    terms.name = json.at("name").get<std::string>();
    terms.revision = json.at("revision").get<std::string>();
    for (const Json& edition_json : json.at("editions")) {
      Edition edition;
      edition.name = edition_json.at("name").get<std::string>();
      for (const Json& m : edition_json.at("render")) edition.render_jobs.push_back(matcher_from_json(m));
      edition.publish_job = matcher_from_json(edition_json.at("publish"));
      terms.editions.push_back(std::move(edition));
    }
    if (auto when_it = json.find("when"); when_it != json.end()) {
      ScheduledTime scheduled;
      scheduled.zone = when_it->at("zone").get<std::string>();
      scheduled.weekdays = when_it->at("weekdays").get<std::vector<unsigned>>();
      scheduled.date = when_it->at("date").get<std::string>();
      scheduled.second_of_day = when_it->at("at").get<unsigned>();
      scheduled.window_s = when_it->at("window").get<double>();
      scheduled.excluded_dates = when_it->at("holidays").get<std::set<std::string>>();
      if (!validation_error(scheduled).empty()) return std::nullopt;
      terms.publish_time = std::move(scheduled);
    }
    return validation_error(terms).empty() ? std::optional<ReleaseSpec>(std::move(terms)) : std::nullopt;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string validation_error(const ReleaseSpec& release_spec) {
  if (!usable(release_spec.name)) return "name: not usable as a release's name";
  if (release_spec.revision.empty()) return "revision: missing";
  if (release_spec.editions.size() < 2) return "editions: a release pairs two or more";
  std::set<std::string> names, publish;
  for (const Edition& edition : release_spec.editions) {
    if (!usable(edition.name)) return "editions: a name is not usable";
    if (!names.insert(edition.name).second) return "editions: " + edition.name + " is named twice";
    if (edition.render_jobs.empty()) return "editions: " + edition.name + " renders nothing";
    if (edition.publish_job.count != 1) return "editions: " + edition.name + " has one publishing job";
    std::vector<const JobMatcher*> all = {&edition.publish_job};
    for (const JobMatcher& m : edition.render_jobs) all.push_back(&m);
    for (const JobMatcher* matcher : all) {
      bool by_rule = !matcher->job_class.empty() && !matcher->image.empty();
      if (matcher->ref.empty() == !by_rule)
        return "editions: " + edition.name + ": a job is named by its id, or by class and image";
      if (matcher->count == 0) return "editions: " + edition.name + ": count: must be at least 1";
    }
    if (!publish
             .insert(edition.publish_job.ref + " " + edition.publish_job.job_class + " " +
                     edition.publish_job.image)
             .second)
      return "editions: two publish by the same job";
  }
  return "";
}

}  // namespace oxbowmill::release_calendar
