#include <algorithm>
#include <cmath>

#include "oxbowmill/state/keys.h"
#include "sections.h"
#include "toml_table.h"

namespace oxbowmill::config {

namespace {

toml::table parse(const std::string& file) {
  try {
    return toml::parse_file(file);
  } catch (const toml::parse_error& error) {
    throw ConfigError(file, "", std::string(error.description()));
  }
}

void read_controllers(const TomlTable& root, Config& config) {
  Settings& settings = config.settings;
  settings.controller_name = root.text("node_name");
  config.bind = root.address("bind", net::parse_bind_address);
  config.peer_bind = root.address("peer_bind", net::parse_bind_address);
  for (const TomlTable& peer : root.tables("seeds"))
    config.peers.push_back({peer.text("node_name"), peer.address("address")});
  settings.controller_count = static_cast<std::uint32_t>(config.peers.size()) + 1;
  for (const Peer& peer : config.peers) settings.all_controllers.push_back(peer.controller);
  settings.all_controllers.push_back(settings.controller_name);
  std::sort(settings.all_controllers.begin(), settings.all_controllers.end());
}

void read_services(const TomlTable& services, Config& config) {
  config.cloud = services.address("cloud");
  config.state_service = services.address("state");
}

void read_teams(const TomlTable& table, Config& config) {
  // The idle pool is the first partition. The teams follow in the order of the file.
  config.names.partitions.intern(state::idle_pool_name);
  config.settings.teams.push_back({});
  auto teams = table.tables("teams");
  if (teams.empty()) table.fail("teams", "missing or empty");
  for (const TomlTable& entry : teams) {
    std::string name = entry.text("name");
    if (!wire::valid_id(name) || name == state::idle_pool_name)
      entry.fail("name", "not usable as a team's name: must be 1 to 120 letters, digits, '-', '_' and '.'");
    if (config.names.partitions.find(name).valid()) entry.fail("name", "named twice");
    config.names.partitions.intern(name);
    Team team;
    team.guaranteed = {entry.number_or("cpus", 0, 0), entry.number_or("gpus", 0, 0), 0};
    team.limit = {entry.number_or("cpus_max", 0, 0), entry.number_or("gpus_max", 0, 0), 0};
    config.settings.teams.push_back(team);
  }
}

void read_worker_settings(const TomlTable& workers, Settings& settings) {
  settings.report_interval_s = workers.number("report_s", 0.1);
  settings.lease_s = workers.number("lease_s", 1);
  settings.gang_wait_timeout_s = workers.number("gang_wait_s", 0);
  settings.gang_peer_timeout_s = workers.number("gang_peer_s", 0);
  settings.cancel_deadline_s = workers.number("cancel_s", 1);
}

void read_service_limits(const TomlTable& table, Settings& settings) {
  TomlTable state = table.table("state");
  settings.state_rps = state.number("rps", 1);
  settings.state_write_rps = state.number("write_rps", 1);
  settings.max_value_kb = state.number("value_kb", 1);
  settings.max_transaction_ops = static_cast<std::size_t>(state.number("txn_ops", 4));
  TomlTable cloud = table.table("cloud");
  settings.cloud_rps = cloud.number("rps", 0.1);
  settings.cloud_list_lag_s = cloud.number("list_lag_s", 0);
  if (table.has("limits"))
    settings.socket_limit = static_cast<int>(table.table("limits").number_or("fd_limit", 16, 0));
}

void read_deadline_multiples(const TomlTable& table, std::vector<double>& multiples) {
  for (const TomlTable& objective : table.tables("objectives")) {
    if (objective.text("kind") != "deadline") continue;
    double multiple = objective.number_or("times", 0.01, 1);
    auto position = std::lower_bound(multiples.begin(), multiples.end(), multiple);
    if (position == multiples.end() || *position != multiple) multiples.insert(position, multiple);
  }
}

/// A release's spec may fill half of the value of its record. The other half is for the jobs and notes in
/// the record.
void check_release_sizes(const release_calendar::ReleaseCalendar& calendar, double max_value_kb) {
  for (const release_calendar::ReleaseSpec& release : calendar.releases) {
    if (static_cast<double>(release_calendar::to_text(release).size()) > max_value_kb * 1024 / 2)
      throw ConfigError("calendar", "release " + release.name,
                        "too long for a record, which allows it half of settings.state.value_kb");
  }
}

/// Shortens the controller lease if a cancellation could otherwise miss its deadline (docs/design.md,
/// "Time").
void limit_controller_lease(const TomlTable& workers, Settings& settings) {
  constexpr double min_lease_s = 1;
  double max_lease_s = settings.cancel_deadline_s - settings.lease_expiry_s() - 2 * Settings::safety_margin_s;
  if (max_lease_s < min_lease_s) {
    double min_deadline_s = std::ceil(settings.cancel_deadline_s + min_lease_s - max_lease_s);
    workers.fail("cancel_s",
                 "too short for lease_s: tasks on an unreachable machine would not end in time, at least " +
                     std::to_string(static_cast<int>(min_deadline_s)) + " is needed");
  }
  double& lease_s = settings.operator_settings.controller_lease_s;
  lease_s = std::min(lease_s, max_lease_s);
}

}  // namespace

void read_platform_file(const std::string& toml_file, const std::vector<std::string>& yaml_files,
                        Config& config) {
  toml::table parsed = parse(toml_file);
  TomlTable root(toml_file, "", &parsed);
  Settings& settings = config.settings;
  read_controllers(root, config);
  read_services(root.table("services"), config);
  TomlTable table = root.table("settings");
  for (const std::string& zone : table.texts("zones")) config.names.zones.intern(zone);
  read_teams(table, config);
  for (const std::string& file : yaml_files) read_operator_file(file, config);
  TomlTable workers = table.table("workers");
  read_worker_settings(workers, settings);
  read_service_limits(table, settings);
  read_deadline_multiples(table, settings.deadline_multiples);
  config.clock_skew_s = table.number_or("skew_ms", 0, 1000) / 1000;
  check_release_sizes(config.calendar, settings.max_value_kb);
  limit_controller_lease(workers, settings);
}

}  // namespace oxbowmill::config
