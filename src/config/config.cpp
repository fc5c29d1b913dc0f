#include "oxbowmill/config/config.h"

#include "sections.h"

namespace oxbowmill::config {

namespace {

/// Runs `read` and converts yaml::Error to ConfigError, the only error type that callers see.
template <class Read>
auto with_config_errors(const Read& read) {
  try {
    return read();
  } catch (const yaml::Error& error) {
    throw ConfigError(error.file(), error.key(), error.reason());
  }
}

}  // namespace

Config load(const std::string& toml_file, const std::vector<std::string>& yaml_files) {
  return with_config_errors([&] {
    Config config;
    read_platform_file(toml_file, yaml_files, config);
    return config;
  });
}

void load_operator_file(const std::string& yaml_file, Config& config) {
  with_config_errors([&] { read_operator_file(yaml_file, config); });
}

release_calendar::ReleaseCalendar load_calendar(const std::vector<std::string>& yaml_files) {
  return with_config_errors([&] {
    release_calendar::ReleaseCalendar calendar;
    for (const std::string& file : yaml_files) {
      YAML::Node root = yaml::load(file);
      if (!root.IsMap() || !root["calendar"]) continue;
      calendar = read_calendar(yaml::Map(file, "", root).child("calendar", root["calendar"]));
    }
    return calendar;
  });
}

}  // namespace oxbowmill::config
