// Reads the settings of a controller from the platform's TOML file and the operators' YAML files. Invalid
// values, missing required values and unknown keys in the YAML files are errors. Stateless.
#pragma once

#include <string>
#include <vector>

#include "oxbowmill/cluster/settings.h"
#include "oxbowmill/error.h"
#include "oxbowmill/market/settings.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/reconciliation/settings.h"
#include "oxbowmill/release_calendar/release_spec.h"
#include "oxbowmill/serving/model_spec.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::config {

/// A settings file that cannot be read, or a key in it that is unknown, missing or invalid. The message names
/// file, key and reason.
class ConfigError : public oxbowmill::Error {
 public:
  /// `key` is its path in the file; empty for the file as a whole.
  ConfigError(std::string file, std::string key, std::string reason)
      : oxbowmill::Error(yaml::error_line(file, key, reason)),
        file_(std::move(file)),
        key_(std::move(key)),
        reason_(std::move(reason)) {}
  /// Path of the file, as passed to `load`; "calendar" if a release is too long.
  const std::string& file() const { return file_; }
  /// Path of the key, such as "settings.teams[0].name"; empty for the file as a whole.
  const std::string& key() const { return key_; }
  /// The error, in one line.
  const std::string& reason() const { return reason_; }

 private:
  std::string file_, key_, reason_;
};
/// Short name of ConfigError for callers outside the package.
using Error = ConfigError;

/// A peer of the controller.
struct Peer {
  std::string controller;  ///< name of the peer
  net::Address address;    ///< address on which it listens for its peers
};

/// All settings of one controller.
struct Config {
  Settings settings;                           ///< scheduling, and limits of the cloud and the state service
  Names names;                                 ///< partitions, zones and markets in the files
  market::Settings markets;                    ///< disabled if no file has the section
  reconciliation::Settings recovery;           ///< disabled if no file has the section
  release_calendar::ReleaseCalendar calendar;  ///< empty if no file has the section
  serving::Settings models;                    ///< empty if no file has the section
  double clock_skew_s = 1;                     ///< largest error of the time of day, in seconds
  net::Address bind;                           ///< address to listen on for users and agents
  net::Address peer_bind;                      ///< address to listen on for peers
  net::Address cloud;                          ///< address of the platform's cloud
  net::Address state_service;                  ///< address of the state service
  std::vector<Peer> peers;                     ///< all other controllers
};

/// Reads all settings. Throws ConfigError. If several operators' files set the same key, the last value wins,
/// but the sections `markets`, `calendar` and `models` may each be in one file only.
Config load(const std::string& toml_file, const std::vector<std::string>& yaml_files);
/// Reads an operators' file into `config`, whose `names` must contain the teams that the file refers to.
/// Throws ConfigError; `config` is then partly changed.
void load_operator_file(const std::string& yaml_file, Config& config);
/// Reads only the calendar from the operators' files; empty if no file has one. Throws ConfigError.
release_calendar::ReleaseCalendar load_calendar(const std::vector<std::string>& yaml_files);

}  // namespace oxbowmill::config
