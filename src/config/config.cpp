#include "oxbowmill/config/config.h"

#include <arpa/inet.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <map>

#include "oxbowmill/state/keys.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::config {

namespace {

/// Reads keys of one table and says where something is wrong.
class Table {
 public:
  Table(std::string file, std::string machine_name, const toml::table* t)
      : file_(std::move(file)), path_(std::move(machine_name)), table_(t) {}

  [[noreturn]] void fail(const std::string& key, const std::string& why) const {
    throw Error(file_ + ": " + (path_.empty() ? key : path_ + "." + key) + ": " + why);
  }
  std::string text(const char* key) const {
    auto v = (*table_)[key].value<std::string>();
    if (!v || v->empty()) fail(key, "missing or not text");
    return *v;
  }
  double number(const char* key, double least) const {
    auto v = (*table_)[key].value<double>();
    if (!v) fail(key, "missing or not a number");
    return checked(key, *v, least);
  }
  double number_or(const char* key, double least, double otherwise) const {
    if (!table_->contains(key)) return otherwise;
    return number(key, least);
  }
  net::Address address(const char* key,
                       net::Address (*parse)(const std::string&) = net::parse_address) const {
    try {
      return parse(text(key));
    } catch (const std::invalid_argument& e) {
      fail(key, e.what());
    }
  }
  bool has(const char* key) const { return table_->contains(key); }
  Table sub(const char* key) const {
    const toml::table* s = (*table_)[key].as_table();
    if (s == nullptr) fail(key, "missing or not a table");
    return {file_, path_.empty() ? key : path_ + "." + key, s};
  }
  std::vector<Table> list(const char* key) const {
    std::vector<Table> out;
    if (!table_->contains(key)) return out;
    const toml::array* a = (*table_)[key].as_array();
    if (a == nullptr) fail(key, "not a list of tables");
    std::size_t i = 0;
    for (const auto& e : *a) {
      std::string name = std::string(key) + "[" + std::to_string(i++) + "]";
      if (e.as_table() == nullptr) fail(name, "not a table");
      out.emplace_back(file_, path_.empty() ? name : path_ + "." + name, e.as_table());
    }
    return out;
  }
  std::vector<std::string> texts(const char* key) const {
    const toml::array* a = (*table_)[key].as_array();
    if (a == nullptr || a->empty()) fail(key, "missing or not a list");
    std::vector<std::string> out;
    for (const auto& e : *a) {
      auto v = e.value<std::string>();
      if (!v) fail(key, "not a list of text");
      out.push_back(*v);
    }
    return out;
  }

 private:
  double checked(const char* key, double value, double least) const {
    if (!std::isfinite(value)) fail(key, "not a finite number");
    if (value < least) fail(key, "must be at least " + YAML::Dump(YAML::Node(least)));
    return value;
  }
  std::string file_, path_;
  const toml::table* table_;
};

struct YamlKey {
  double OperatorSettings::*field;
  double min, max;
};
const std::map<std::string, YamlKey>& yaml_keys() {
  using Operator = OperatorSettings;
  static const std::map<std::string, YamlKey> keys = {
      {"finished_ratio", {&Operator::finished_ratio, 0.01, 1}},
      {"multiplier", {&Operator::slow_multiplier, 1, 100}},
      {"baseline_floor_s", {&Operator::baseline_floor_s, 0, 86400}},
      {"block_s", {&Operator::slow_block_s, 0, 86400}},
      {"check_interval_s", {&Operator::slow_check_interval_s, 0.1, 3600}},
      {"hold_life_s", {&Operator::controller_lease_s, 1, 600}},
      {"idle_keep_s", {&Operator::idle_retention_s, 0, 86400}},
      {"spot_keep_factor", {&Operator::spot_retention_factor, 0, 100}},
      {"rent_patience_s", {&Operator::scale_out_delay_s, 0, 3600}},
      {"begin_within_s", {&Operator::start_deadline_s, 0, 86400}},
      {"promise_share", {&Operator::start_deadline_share, 0, 1}},
      {"give_back_s", {&Operator::release_to_pool_s, 0, 86400}},
      {"boot_patience", {&Operator::boot_timeout_factor, 1, 100}},
      {"refusal_pause_s", {&Operator::refusal_backoff_s, 0, 3600}},
      {"cloud_list_s", {&Operator::cloud_list_interval_s, 1, 600}},
      {"mark_delay_s", {&Operator::done_mark_delay_s, 0, 600}},
      {"pass_interval_s", {&Operator::cycle_interval_s, 0.01, 1}},
  };
  return keys;
}
const std::map<std::string, bool OperatorSettings::*>& yaml_flags() {
  using Operator = OperatorSettings;
  static const std::map<std::string, bool Operator::*> flags = {{"restart_slow", &Operator::restart_slow},
                                                                {"use_spot", &Operator::use_spot},
                                                                {"preempt", &Operator::preempt}};
  return flags;
}

/// An amount of money above 0; 0 where the key is missing.
MoneyAmount read_money_amount(yaml::Map& map, const std::string& key) {
  constexpr double most = 1e9;
  auto yaml_node = map.take(key);
  if (!yaml_node) return 0;
  double value = 0;
  try {
    value = yaml_node->as<double>();
  } catch (const YAML::Exception&) {
    map.fail(key, "not a number");
  }
  if (!(value > 0) || value > most)
    map.fail(key, "must be more than 0, and " + YAML::Dump(YAML::Node(most)) + " at most");
  return market::to_money_amount(value);
}

market::SpendingLimit read_ceiling(yaml::Map map) {
  market::SpendingLimit ceiling;
  ceiling.per_hour = read_money_amount(map, "per_hour");
  ceiling.per_window = read_money_amount(map, "per_window");
  map.reject_unknown_keys();
  return ceiling;
}

void read_markets(yaml::Map map, market::Settings& settings, Names& names) {
  constexpr double day = 86400;
  map.number("window_s", settings.window_s, 60, 366 * day);
  map.number("term_s", settings.max_paid_s, 60, 7 * day);
  map.number("quote_every_s", settings.quote_interval_s, 0.5, 600);
  map.number("answer_s", settings.answer_timeout_s, 0.1, 60);
  map.number("patience_s", settings.delivery_tolerance_s, 1, day);
  map.number("spare_share", settings.extra_fraction, 0, 10);
  map.number("trial_share", settings.trial_fraction, 0, 1);
  map.number("limit_factor", settings.limit_factor, 0.01, 100);
  map.number("starve_s", settings.starvation_threshold_s, 0, 30 * day);
  map.number("starve_share", settings.starvation_fraction, 0, 1);
  auto ceiling = map.take("ceiling");
  if (!ceiling) map.fail("ceiling", "missing: nothing is bid for without one");
  settings.total_limit = read_ceiling(map.child("ceiling", *ceiling));
  if (settings.total_limit.per_hour == 0) map.fail("ceiling.per_hour", "missing");
  if (settings.total_limit.per_window == 0) map.fail("ceiling.per_window", "missing");
  if (auto teams = map.take("teams")) {
    yaml::Map teams_map = map.child("teams", *teams);
    for (const std::string& name : teams_map.keys()) {
      PartitionIndex partition = names.partitions.find(name);
      if (!partition.valid() || partition == idle_pool) teams_map.fail(name, "not a team");
      settings.team_limits[partition] = read_ceiling(teams_map.child(name, *teams_map.take(name)));
    }
  }
  auto list = map.take("list");
  if (!list || !list->IsSequence() || list->size() == 0) map.fail("list", "missing or not a list of markets");
  for (std::size_t i = 0; i < list->size(); ++i) {
    yaml::Map entry = map.child("list[" + std::to_string(i) + "]", (*list)[i]);
    market::MarketSettings market_settings;
    market_settings.name = entry.text("name");
    if (!wire::valid_id(market_settings.name) || market_settings.name.find('.') != std::string::npos)
      entry.fail("name", "not usable as a market's name");
    if (names.markets.find(market_settings.name).valid()) entry.fail("name", "named twice");
    market_settings.address = entry.text("address");
    try {
      net::Address a = net::parse_address(market_settings.address);
      in_addr ip{};
      if (inet_pton(AF_INET, a.host.c_str(), &ip) != 1)
        throw std::invalid_argument("'" + market_settings.address + "' is not IPV4:PORT");
    } catch (const std::invalid_argument& why) {
      entry.fail("address", why.what());
    }
    entry.number("rps", market_settings.requests_per_s, 0.1, 1000);
    entry.flag("paused", market_settings.paused);
    entry.flag("forgive", market_settings.reinstate);
    entry.reject_unknown_keys();
    market_settings.index = names.markets.intern(market_settings.name);
    settings.markets.push_back(std::move(market_settings));
  }
  map.reject_unknown_keys();
}

void read_recovery(yaml::Map map, reconciliation::Settings& settings) {
  settings.enabled = true;
  map.number("heard_share", settings.reported_fraction, 0.1, 1);
  map.number("enough_share", settings.sufficient_fraction, 0.1, 1);
  map.number("multiplier", settings.threshold_multiplier, 1, 100);
  map.number("demand_window_s", settings.demand_window_s, 0, 3600);
  map.number("return_share", settings.return_rate_fraction, 0.001, 10);
  map.number("replace_share", settings.max_replacement_fraction, 0, 1);
  map.flag("delete_suspects", settings.delete_suspects);
  map.reject_unknown_keys();
}

/// "06:30" or "06:30:15".
unsigned read_time_of_day(yaml::Map& map, const std::string& key) {
  std::string text = map.text(key);
  std::tm parsed_time{};
  for (const char* format : {"%H:%M:%S", "%H:%M"}) {
    parsed_time = {};
    const char* end = strptime(text.c_str(), format, &parsed_time);
    if (end != nullptr && *end == 0)
      return static_cast<unsigned>(parsed_time.tm_hour * 3600 + parsed_time.tm_min * 60 + parsed_time.tm_sec);
  }
  map.fail(key, "not a time of day");
}

release_calendar::ScheduledTime read_appointed(yaml::Map map) {
  static const std::vector<std::string> days = {"sun", "mon", "tue", "wed", "thu", "fri", "sat"};
  release_calendar::ScheduledTime schedule;
  schedule.zone = map.text("zone");
  schedule.second_of_day = read_time_of_day(map, "at");
  std::vector<std::string> weekly, holidays;
  map.get("weekly", weekly).get("date", schedule.date).get("holidays", holidays);
  for (const std::string& d : weekly) {
    auto at = std::find(days.begin(), days.end(), d);
    if (at == days.end()) map.fail("weekly", "not a day of the week: " + d);
    schedule.weekdays.push_back(static_cast<unsigned>(at - days.begin()));
  }
  schedule.excluded_dates.insert(holidays.begin(), holidays.end());
  map.number("window_s", schedule.window_s, 0, 7 * 86400);
  map.reject_unknown_keys();
  if (std::string fault = release_calendar::validation_error(schedule); !fault.empty()) {
    std::size_t colon = fault.find(": ");
    if (colon == std::string::npos) map.fail("weekly", fault);
    map.fail(fault.substr(0, colon), fault.substr(colon + 2));
  }
  return schedule;
}

release_calendar::JobMatcher read_matcher(const yaml::Map& parent, const std::string& key,
                                          const YAML::Node& yaml_node) {
  release_calendar::JobMatcher matcher;
  if (yaml_node.IsScalar()) {
    matcher.ref = yaml_node.as<std::string>();
    return matcher;
  }
  yaml::Map map = parent.child(key, yaml_node);
  matcher.job_class = map.text("class");
  matcher.image = map.text("image");
  map.get("count", matcher.count);
  map.reject_unknown_keys();
  return matcher;
}

release_calendar::ReleaseCalendar read_calendar(yaml::Map map) {
  release_calendar::ReleaseCalendar calendar;
  map.get("version", calendar.version);
  if (calendar.version == 0)
    map.fail("version", "missing: controllers whose files differ agree on the newer one");
  auto list = map.take("releases");
  if (list && !list->IsSequence()) map.fail("releases", "not a list");
  for (std::size_t i = 0; list && i < list->size(); ++i) {
    yaml::Map root = map.child("releases[" + std::to_string(i) + "]", (*list)[i]);
    release_calendar::ReleaseSpec terms;
    terms.name = root.text("name");
    terms.revision = root.text("revision");
    auto editions = root.take("editions");
    if (!editions || !editions->IsMap()) root.fail("editions", "missing or not a map");
    yaml::Map all = root.child("editions", *editions);
    for (const std::string& name : all.keys()) {
      yaml::Map entry = all.child(name, *all.take(name));
      release_calendar::Edition edition;
      edition.name = name;
      auto renders = entry.take("render");
      if (!renders || !renders->IsSequence()) entry.fail("render", "missing or not a list");
      for (std::size_t k = 0; k < renders->size(); ++k)
        edition.render_jobs.push_back(
            read_matcher(entry, "render[" + std::to_string(k) + "]", (*renders)[k]));
      auto publish = entry.take("publish");
      if (!publish) entry.fail("publish", "missing");
      edition.publish_job = read_matcher(entry, "publish", *publish);
      entry.reject_unknown_keys();
      terms.editions.push_back(std::move(edition));
    }
    all.reject_unknown_keys();
    if (auto when = root.take("when")) terms.publish_time = read_appointed(root.child("when", *when));
    root.reject_unknown_keys();
    if (std::string fault = release_calendar::validation_error(terms); !fault.empty()) {
      std::size_t colon = fault.find(": ");
      root.fail(fault.substr(0, colon), fault.substr(colon + 2));
    }
    bool twice =
        std::any_of(calendar.releases.begin(), calendar.releases.end(),
                    [&terms](const release_calendar::ReleaseSpec& o) { return o.name == terms.name; });
    if (twice) root.fail("name", "named twice");
    calendar.releases.push_back(std::move(terms));
  }
  map.reject_unknown_keys();
  return calendar;
}

void read_models(yaml::Map map, serving::Settings& settings) {
  auto list = map.take("list");
  if (!list || !list->IsSequence() || list->size() == 0) map.fail("list", "missing or not a list of models");
  for (std::size_t i = 0; i < list->size(); ++i) {
    yaml::Map entry = map.child("list[" + std::to_string(i) + "]", (*list)[i]);
    serving::ModelSpec terms;
    terms.name = entry.text("name");
    if (!wire::valid_id(terms.name)) entry.fail("name", "not usable as a model's name");
    for (const serving::ModelSpec& other : settings.models) {
      if (other.name == terms.name) entry.fail("name", "named twice");
    }
    entry.get("class", terms.job_class).get("image", terms.image).get("calls", terms.call_classes);
    if (terms.job_class.empty() && terms.image.empty())
      entry.fail("class", "missing, and no image: whose replicas?");
    if (terms.call_classes.empty()) entry.fail("calls", "missing: no class of jobs would ever wake it");
    entry.get("least", terms.min_replicas).get("most", terms.max_replicas);
    if (terms.max_replicas == 0 || terms.min_replicas > terms.max_replicas)
      entry.fail("most", "must be at least 1, and not less than `least`");
    entry.number("calls_per_replica", terms.calls_per_replica, 0.01, 1e6);
    entry.number("idle_factor", terms.idle_factor, 0, 1000);
    entry.number("idle_floor_s", terms.idle_floor_s, 0, 86400);
    entry.reject_unknown_keys();
    settings.models.push_back(std::move(terms));
  }
  map.reject_unknown_keys();
}

}  // namespace

release_calendar::ReleaseCalendar load_calendar(const std::vector<std::string>& files) {
  release_calendar::ReleaseCalendar calendar;
  for (const std::string& file : files) {
    YAML::Node root = yaml::load(file);
    if (!root.IsMap() || !root["calendar"]) continue;
    calendar = read_calendar(yaml::Map(file, "", root).child("calendar", root["calendar"]));
  }
  return calendar;
}

void load_operator(const std::string& file, Config& config) {
  OperatorSettings& operator_settings = config.settings.operator_settings;
  YAML::Node root = yaml::load(file);
  if (root.IsNull()) return;
  yaml::Map map(file, "", root);
  for (const auto& [key, k] : yaml_keys()) map.number(key, operator_settings.*k.field, k.min, k.max);
  for (const auto& [key, flag] : yaml_flags()) map.flag(key, operator_settings.*flag);
  if (auto n = map.take("markets")) {
    if (config.markets.enabled()) map.fail("markets", "set in two files");
    read_markets(map.child("markets", *n), config.markets, config.names);
  }
  if (auto n = map.take("calendar")) {
    if (!config.calendar.empty()) map.fail("calendar", "set in two files");
    config.calendar = read_calendar(map.child("calendar", *n));
  }
  if (auto n = map.take("models")) {
    if (!config.models.empty()) map.fail("models", "set in two files");
    read_models(map.child("models", *n), config.models);
  }
  if (auto n = map.take("progress")) {
    yaml::Map progress_map = map.child("progress", *n);
    config.settings.progress.enabled = true;
    progress_map.number("slowest_speed", config.settings.progress.min_speed, 0.001, 1);
    progress_map.number("fastest_speed", config.settings.progress.max_speed, 1, 100);
    progress_map.reject_unknown_keys();
  }
  if (auto n = map.take("recovery")) read_recovery(map.child("recovery", *n), config.recovery);
  map.reject_unknown_keys();
}

Config load(const std::string& toml_file, const std::vector<std::string>& yaml_files) {
  toml::table root;
  try {
    root = toml::parse_file(toml_file);
  } catch (const toml::parse_error& e) {
    throw Error(toml_file + ": " + std::string(e.description()));
  }
  Config config;
  Table root_table(toml_file, "", &root);
  Settings& settings = config.settings;
  settings.controller_name = root_table.text("node_name");
  config.bind = root_table.address("bind", net::parse_bind_address);
  config.peer_bind = root_table.address("peer_bind", net::parse_bind_address);
  for (const Table& peer : root_table.list("seeds"))
    config.peers.push_back({peer.text("node_name"), peer.address("address")});
  settings.controller_count = static_cast<std::uint32_t>(config.peers.size()) + 1;
  for (const Peer& peer : config.peers) settings.all_controllers.push_back(peer.controller);
  settings.all_controllers.push_back(settings.controller_name);
  std::sort(settings.all_controllers.begin(), settings.all_controllers.end());
  Table services = root_table.sub("services");
  config.cloud = services.address("cloud");
  config.state_service = services.address("state");
  Table settings_table = root_table.sub("settings");
  for (const std::string& z : settings_table.texts("zones")) config.names.zones.intern(z);
  config.names.partitions.intern(state::idle_pool_name);
  settings.teams.push_back({});
  auto teams = settings_table.list("teams");
  if (teams.empty()) settings_table.fail("teams", "no team");
  for (const Table& team : teams) {
    std::string name = team.text("name");
    if (!wire::valid_id(name) || name == state::idle_pool_name)
      team.fail("name", "not usable as a team's name");
    if (config.names.partitions.find(name).valid()) team.fail("name", "named twice");
    config.names.partitions.intern(name);
    Team x;
    x.guaranteed = {team.number_or("cpus", 0, 0), team.number_or("gpus", 0, 0), 0};
    x.limit = {team.number_or("cpus_max", 0, 0), team.number_or("gpus_max", 0, 0), 0};
    settings.teams.push_back(x);
  }
  for (const std::string& file : yaml_files) load_operator(file, config);
  Table workers_table = settings_table.sub("workers");
  settings.report_interval_s = workers_table.number("report_s", 0.1);
  settings.lease_s = workers_table.number("lease_s", 1);
  settings.gang_wait_timeout_s = workers_table.number("gang_wait_s", 0);
  settings.gang_peer_timeout_s = workers_table.number("gang_peer_s", 0);
  settings.cancel_deadline_s = workers_table.number("cancel_s", 1);
  Table state_table = settings_table.sub("state");
  settings.state_rps = state_table.number("rps", 1);
  settings.state_write_rps = state_table.number("write_rps", 1);
  settings.max_value_kb = state_table.number("value_kb", 1);
  settings.max_transaction_ops = static_cast<std::size_t>(state_table.number("txn_ops", 4));
  Table cl = settings_table.sub("cloud");
  settings.cloud_rps = cl.number("rps", 0.1);
  settings.cloud_list_lag_s = cl.number("list_lag_s", 0);
  if (settings_table.has("limits"))
    settings.socket_limit = static_cast<int>(settings_table.sub("limits").number_or("fd_limit", 16, 0));
  for (const Table& aim : settings_table.list("objectives")) {
    if (aim.text("kind") != "deadline") continue;
    double times = aim.number_or("times", 0.01, 1);
    auto at = std::lower_bound(settings.deadline_multiples.begin(), settings.deadline_multiples.end(), times);
    if (at == settings.deadline_multiples.end() || *at != times)
      settings.deadline_multiples.insert(at, times);
  }
  config.clock_skew_s = settings_table.number_or("skew_ms", 0, 1000) / 1000;
  // Beside the terms stand jobs and notes: half of a value is theirs.
  for (const release_calendar::ReleaseSpec& r : config.calendar.releases) {
    if (static_cast<double>(release_calendar::to_text(r).size()) > settings.max_value_kb * 1024 / 2)
      throw Error("calendar: release " + r.name + ": too long for a record of the state service");
  }
  // The hold is shortened where a cancellation could otherwise not be kept; see docs/design.md, "Time".
  constexpr double shortest_lease_s = 1;
  double longest = settings.cancel_deadline_s - settings.lease_expiry_s() - 2 * Settings::safety_margin_s;
  if (longest < shortest_lease_s) {
    workers_table.fail(
        "cancel_s",
        "too short for lease_s: what a cut-off machine runs could not be gone in time, at least " +
            std::to_string(
                static_cast<int>(std::ceil(settings.cancel_deadline_s + shortest_lease_s - longest))) +
            " is needed");
  }
  settings.operator_settings.controller_lease_s =
      std::min(settings.operator_settings.controller_lease_s, longest);
  return config;
}

}  // namespace oxbowmill::config
