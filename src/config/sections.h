// Readers of the settings files and of their larger sections, one source file each. Readers of TOML throw
// ConfigError and readers of YAML yaml::Error if a key is missing or invalid, or unknown in YAML.
#pragma once

#include "oxbowmill/config/config.h"

namespace oxbowmill::config {

/// Reads the platform's TOML file. Reads the operators' files after the teams, to which those files refer.
void read_platform_file(const std::string& toml_file, const std::vector<std::string>& yaml_files,
                        Config& config);
/// Reads one operators' file into `config`, with the sections that the functions below read.
void read_operator_file(const std::string& yaml_file, Config& config);

void read_markets(yaml::Map map, market::Settings& settings, Names& names);
release_calendar::ReleaseCalendar read_calendar(yaml::Map map);
void read_models(yaml::Map map, serving::Settings& settings);

}  // namespace oxbowmill::config
