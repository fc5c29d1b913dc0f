#include "oxbowmill/release/terms.h"

#include <nlohmann/json.hpp>

namespace oxbowmill::release {

namespace {

using Json = nlohmann::json;

Json write(const Matcher& m) {
  if (!m.ref.empty()) return m.ref;
  return {{"class", m.job_class}, {"image", m.image}, {"count", m.count}};
}

Matcher read_matcher(const Json& j) {
  Matcher m;
  if (j.is_string()) {
    m.ref = j.get<std::string>();
  } else {
    m.job_class = j.at("class").get<std::string>();
    m.image = j.at("image").get<std::string>();
    m.count = j.value("count", 1U);
  }
  return m;
}

bool usable(const std::string& name) {
  constexpr std::size_t longest = 80;
  return !name.empty() && name.size() <= longest && name.find_first_of(" /|\t\n") == std::string::npos;
}

}  // namespace

std::string to_text(const Terms& t) {
  Json j = {{"name", t.name}, {"revision", t.revision}, {"editions", Json::array()}};
  for (const Edition& e : t.editions) {
    Json renders = Json::array();
    for (const Matcher& m : e.renders) renders.push_back(write(m));
    j["editions"].push_back({{"name", e.name}, {"render", renders}, {"publish", write(e.publish)}});
  }
  if (t.when) {
    const Appointed& a = *t.when;
    j["when"] = {{"zone", a.zone},        {"weekdays", a.weekdays}, {"date", a.date},
                 {"at", a.second_of_day}, {"window", a.window_s},   {"holidays", a.holidays}};
  }
  return j.dump();
}

std::optional<Terms> from_text(const std::string& text) {
  Json j = Json::parse(text, nullptr, false);
  if (!j.is_object()) return std::nullopt;
  try {
    Terms t;
    t.name = j.at("name").get<std::string>();
    t.revision = j.at("revision").get<std::string>();
    for (const Json& e : j.at("editions")) {
      Edition x;
      x.name = e.at("name").get<std::string>();
      for (const Json& m : e.at("render")) x.renders.push_back(read_matcher(m));
      x.publish = read_matcher(e.at("publish"));
      t.editions.push_back(std::move(x));
    }
    if (auto w = j.find("when"); w != j.end()) {
      Appointed a;
      a.zone = w->at("zone").get<std::string>();
      a.weekdays = w->at("weekdays").get<std::vector<unsigned>>();
      a.date = w->at("date").get<std::string>();
      a.second_of_day = w->at("at").get<unsigned>();
      a.window_s = w->at("window").get<double>();
      a.holidays = w->at("holidays").get<std::set<std::string>>();
      if (!fault_of(a).empty()) return std::nullopt;
      t.when = std::move(a);
    }
    return fault_of(t).empty() ? std::optional<Terms>(std::move(t)) : std::nullopt;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string fault_of(const Terms& t) {
  if (!usable(t.name)) return "name: not usable as a release's name";
  if (t.revision.empty()) return "revision: missing";
  if (t.editions.size() < 2) return "editions: a release pairs two or more";
  std::set<std::string> names, publish;
  for (const Edition& e : t.editions) {
    if (!usable(e.name)) return "editions: a name is not usable";
    if (!names.insert(e.name).second) return "editions: " + e.name + " is named twice";
    if (e.renders.empty()) return "editions: " + e.name + " renders nothing";
    if (e.publish.count != 1) return "editions: " + e.name + " has one publishing job";
    std::vector<const Matcher*> all = {&e.publish};
    for (const Matcher& m : e.renders) all.push_back(&m);
    for (const Matcher* m : all) {
      bool by_rule = !m->job_class.empty() && !m->image.empty();
      if (m->ref.empty() == !by_rule)
        return "editions: " + e.name + ": a job is named by its id, or by class and image";
      if (m->count == 0) return "editions: " + e.name + ": count: must be at least 1";
    }
    if (!publish.insert(e.publish.ref + " " + e.publish.job_class + " " + e.publish.image).second)
      return "editions: two publish by the same job";
  }
  return "";
}

}  // namespace oxbowmill::release
