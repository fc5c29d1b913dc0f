// The platform's TOML file and the operators' YAML file, checked.
#pragma once

#include <string>
#include <vector>

#include "oxbowmill/cluster/settings.h"
#include "oxbowmill/market/settings.h"
#include "oxbowmill/net/http.h"
#include "oxbowmill/reconciliation/settings.h"
#include "oxbowmill/release_calendar/release_spec.h"
#include "oxbowmill/serving/model_spec.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::config {

using Error = yaml::Error;

struct Peer {
  std::string controller;
  net::Address address;
};

struct Config {
  Settings settings;
  Names names;
  market::Settings markets;
  reconciliation::Settings recovery;
  release_calendar::ReleaseCalendar calendar;
  serving::Settings models;
  double clock_skew_s = 1;  // bound of the time of day's error
  net::Address bind, peer_bind, cloud, state_service;
  std::vector<Peer> peers;
};

/// Several operators' files add to each other; what is set twice has its last value.
Config load(const std::string& toml_file, const std::vector<std::string>& yaml_files);
/// Reads an operators' file into the settings; teams and markets are names of its `names`.
void load_operator(const std::string& yaml_file, Config& config);
/// The calendar alone, read again from the operators' files that hold one.
release_calendar::ReleaseCalendar load_calendar(const std::vector<std::string>& yaml_files);

}  // namespace oxbowmill::config
