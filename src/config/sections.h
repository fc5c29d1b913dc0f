// The sections of the settings, one source file each. Each reads all keys of its section and throws
// ConfigError (platform) or yaml::Error (operators) for what is unknown, missing or out of bounds.
#pragma once

#include "oxbowmill/config/config.h"

namespace oxbowmill::config {

/// Reads the platform's TOML file, and the operators' files once the teams are known, which those name.
void read_platform_file(const std::string& toml_file, const std::vector<std::string>& yaml_files,
                        Config& config);
void read_operator_file(const std::string& yaml_file, Config& config);

void read_markets(yaml::Map map, market::Settings& settings, Names& names);
release_calendar::ReleaseCalendar read_calendar(yaml::Map map);
void read_models(yaml::Map map, serving::Settings& settings);

}  // namespace oxbowmill::config
