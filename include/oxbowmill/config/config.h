// The settings of one controller: the platform's TOML file and the operators' YAML files, read strictly.
// Stateless; every error names file, key and reason.
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

/// A settings file cannot be read, or a key in it is unknown, missing or out of bounds.
class ConfigError : public oxbowmill::Error {
 public:
  /// `key`: its path in the file; empty: the file as a whole.
  ConfigError(std::string file, std::string key, std::string reason)
      : oxbowmill::Error(yaml::error_line(file, key, reason)),
        file_(std::move(file)),
        key_(std::move(key)),
        reason_(std::move(reason)) {}
  /// The file as it was named to `load`; "calendar" where the size of a release is wrong.
  const std::string& file() const { return file_; }
  /// Path of the key, such as "settings.teams[0].name"; empty: the file as a whole.
  const std::string& key() const { return key_; }
  /// What is wrong, in one line.
  const std::string& reason() const { return reason_; }

 private:
  std::string file_, key_, reason_;
};
/// The same under the package's general name.
using Error = ConfigError;

/// Another controller of the cluster.
struct Peer {
  std::string controller;  ///< its name
  net::Address address;    ///< where it accepts its peers' status messages
};

/// All settings of one controller.
struct Config {
  Settings settings;                           ///< of scheduling, and limits of the outside services
  Names names;                                 ///< partitions, zones and markets that the files name
  market::Settings markets;                    ///< disabled where no file has markets
  reconciliation::Settings recovery;           ///< disabled where no file has the section
  release_calendar::ReleaseCalendar calendar;  ///< empty where no file has one
  serving::Settings models;                    ///< empty where no file has models
  double clock_skew_s = 1;                     ///< bound of the error of the time of day, in seconds
  net::Address bind;                           ///< where users and agents connect
  net::Address peer_bind;                      ///< where peers connect
  net::Address cloud;                          ///< the platform's cloud
  net::Address state_service;                  ///< the state service
  std::vector<Peer> peers;                     ///< all other controllers
};

/// Reads all settings; throws ConfigError. Several operators' files add to each other; what is set twice has
/// its last value, except that markets, calendar and models may be in one file only.
Config load(const std::string& toml_file, const std::vector<std::string>& yaml_files);
/// Reads an operators' file into the settings; teams and markets are names of its `names`. Throws
/// ConfigError; the settings are then partly changed.
void load_operator(const std::string& yaml_file, Config& config);
/// The calendar alone, read again from the operators' files that hold one; throws ConfigError.
release_calendar::ReleaseCalendar load_calendar(const std::vector<std::string>& yaml_files);

}  // namespace oxbowmill::config
