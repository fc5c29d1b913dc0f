#include "oxbowmill/config/config.h"

#include <toml++/toml.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <map>

#include "oxbowmill/state/keys.h"

namespace oxbowmill::config {

namespace {

/// Reads keys of one table and says where something is wrong.
class Table {
 public:
  Table(std::string file, std::string at, const toml::table* t)
      : file_(std::move(file)), at_(std::move(at)), t_(t) {}

  [[noreturn]] void fail(const std::string& key, const std::string& why) const {
    throw Error(file_ + ": " + (at_.empty() ? key : at_ + "." + key) + ": " + why);
  }
  std::string text(const char* key) const {
    auto v = (*t_)[key].value<std::string>();
    if (!v || v->empty()) fail(key, "missing or not text");
    return *v;
  }
  double number(const char* key, double least) const {
    auto v = (*t_)[key].value<double>();
    if (!v) fail(key, "missing or not a number");
    return checked(key, *v, least);
  }
  double number_or(const char* key, double least, double otherwise) const {
    if (!t_->contains(key)) return otherwise;
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
  bool has(const char* key) const { return t_->contains(key); }
  Table sub(const char* key) const {
    const toml::table* s = (*t_)[key].as_table();
    if (s == nullptr) fail(key, "missing or not a table");
    return {file_, at_.empty() ? key : at_ + "." + key, s};
  }
  std::vector<Table> list(const char* key) const {
    std::vector<Table> out;
    if (!t_->contains(key)) return out;
    const toml::array* a = (*t_)[key].as_array();
    if (a == nullptr) fail(key, "not a list of tables");
    std::size_t i = 0;
    for (const auto& e : *a) {
      std::string name = std::string(key) + "[" + std::to_string(i++) + "]";
      if (e.as_table() == nullptr) fail(name, "not a table");
      out.push_back({file_, at_.empty() ? name : at_ + "." + name, e.as_table()});
    }
    return out;
  }
  std::vector<std::string> texts(const char* key) const {
    const toml::array* a = (*t_)[key].as_array();
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
  double checked(const char* key, double v, double least) const {
    if (!std::isfinite(v)) fail(key, "not a finite number");
    if (v < least) fail(key, "must be at least " + YAML::Dump(YAML::Node(least)));
    return v;
  }
  std::string file_, at_;
  const toml::table* t_;
};

struct YamlKey {
  double OperatorSettings::*field;
  double least, most;
};
const std::map<std::string, YamlKey>& yaml_keys() {
  using O = OperatorSettings;
  static const std::map<std::string, YamlKey> keys = {
      {"finished_ratio", {&O::finished_ratio, 0.01, 1}},
      {"multiplier", {&O::multiplier, 1, 100}},
      {"baseline_floor_s", {&O::baseline_floor_s, 0, 86400}},
      {"block_s", {&O::block_s, 0, 86400}},
      {"check_interval_s", {&O::check_interval_s, 0.1, 3600}},
      {"hold_life_s", {&O::hold_life_s, 1, 600}},
      {"idle_keep_s", {&O::idle_keep_s, 0, 86400}},
      {"spot_keep_factor", {&O::spot_keep_factor, 0, 100}},
      {"rent_patience_s", {&O::rent_patience_s, 0, 3600}},
      {"give_back_s", {&O::give_back_s, 0, 86400}},
      {"boot_patience", {&O::boot_patience, 1, 100}},
      {"refusal_pause_s", {&O::refusal_pause_s, 0, 3600}},
      {"cloud_list_s", {&O::cloud_list_s, 1, 600}},
      {"mark_delay_s", {&O::mark_delay_s, 0, 600}},
      {"pass_interval_s", {&O::pass_interval_s, 0.01, 1}},
  };
  return keys;
}
const std::map<std::string, bool OperatorSettings::*>& yaml_flags() {
  using O = OperatorSettings;
  static const std::map<std::string, bool O::*> flags = {
      {"restart_slow", &O::restart_slow}, {"use_spot", &O::use_spot}, {"preempt", &O::preempt}};
  return flags;
}

}  // namespace

OperatorSettings load_operator(const std::string& file) {
  OperatorSettings op;
  if (file.empty()) return op;
  YAML::Node root;
  try {
    root = YAML::LoadFile(file);
  } catch (const YAML::Exception& e) {
    throw Error(file + ": cannot be read as YAML: " + e.msg);
  }
  if (root.IsNull()) return op;
  if (!root.IsMap()) throw Error(file + ": not a map of settings");
  for (const auto& entry : root) {
    std::string key = entry.first.as<std::string>();
    auto number = yaml_keys().find(key);
    auto flag = yaml_flags().find(key);
    try {
      if (number != yaml_keys().end()) {
        double v = entry.second.as<double>();
        const YamlKey& k = number->second;
        if (!std::isfinite(v) || v < k.least || v > k.most) {
          throw Error(file + ": " + key + ": must be from " + YAML::Dump(YAML::Node(k.least)) + " to " +
                      YAML::Dump(YAML::Node(k.most)));
        }
        op.*k.field = v;
      } else if (flag != yaml_flags().end()) {
        op.*flag->second = entry.second.as<bool>();
      } else {
        throw Error(file + ": " + key + ": unknown setting");
      }
    } catch (const YAML::Exception&) {
      throw Error(file + ": " + key + ": " +
                  (flag != yaml_flags().end() ? "not true or false" : "not a number"));
    }
  }
  return op;
}

Config load(const std::string& toml_file, const std::string& yaml_file) {
  toml::table root;
  try {
    root = toml::parse_file(toml_file);
  } catch (const toml::parse_error& e) {
    throw Error(toml_file + ": " + std::string(e.description()));
  }
  Config c;
  Table t(toml_file, "", &root);
  Settings& s = c.settings;
  s.op = load_operator(yaml_file);
  s.node = t.text("node_name");
  c.bind = t.address("bind", net::parse_bind_address);
  c.peer_bind = t.address("peer_bind", net::parse_bind_address);
  for (const Table& peer : t.list("seeds"))
    c.peers.push_back({peer.text("node_name"), peer.address("address")});
  s.nodes = static_cast<std::uint32_t>(c.peers.size()) + 1;
  Table services = t.sub("services");
  c.cloud = services.address("cloud");
  c.state = services.address("state");
  Table p = t.sub("settings");
  for (const std::string& z : p.texts("zones")) c.names.zones.intern(z);
  c.names.parts.intern(state::pool_name);
  s.teams.push_back({});
  auto teams = p.list("teams");
  if (teams.empty()) p.fail("teams", "no team");
  for (const Table& team : teams) {
    std::string name = team.text("name");
    if (!wire::valid_id(name) || name == state::pool_name) team.fail("name", "not usable as a team's name");
    if (c.names.parts.find(name).valid()) team.fail("name", "named twice");
    c.names.parts.intern(name);
    Team x;
    x.guaranteed = {team.number_or("cpus", 0, 0), team.number_or("gpus", 0, 0), 0};
    x.most = {team.number_or("cpus_max", 0, 0), team.number_or("gpus_max", 0, 0), 0};
    s.teams.push_back(x);
  }
  Table w = p.sub("workers");
  s.report_s = w.number("report_s", 0.1);
  s.lease_s = w.number("lease_s", 1);
  s.gang_wait_s = w.number("gang_wait_s", 0);
  s.gang_peer_s = w.number("gang_peer_s", 0);
  s.cancel_s = w.number("cancel_s", 1);
  Table st = p.sub("state");
  s.state_rps = st.number("rps", 1);
  s.state_write_rps = st.number("write_rps", 1);
  s.value_kb = st.number("value_kb", 1);
  s.txn_ops = static_cast<std::size_t>(st.number("txn_ops", 4));
  Table cl = p.sub("cloud");
  s.cloud_rps = cl.number("rps", 0.1);
  s.list_lag_s = cl.number("list_lag_s", 0);
  if (p.has("limits")) s.socket_limit = static_cast<int>(p.sub("limits").number_or("fd_limit", 16, 0));
  for (const Table& aim : p.list("objectives")) {
    if (aim.text("kind") != "deadline") continue;
    double times = aim.number_or("times", 0.01, 1);
    auto at = std::lower_bound(s.deadline_multiples.begin(), s.deadline_multiples.end(), times);
    if (at == s.deadline_multiples.end() || *at != times) s.deadline_multiples.insert(at, times);
  }
  // The hold is shortened where a cancellation could otherwise not be kept; see docs/design.md, "Time".
  constexpr double shortest_hold_s = 1;
  double longest = s.cancel_s - s.lease_over_s() - 2 * Settings::margin_s;
  if (longest < shortest_hold_s) {
    w.fail("cancel_s",
           "too short for lease_s: what a cut-off machine runs could not be gone in time, at least " +
               std::to_string(static_cast<int>(std::ceil(s.cancel_s + shortest_hold_s - longest))) +
               " is needed");
  }
  s.op.hold_life_s = std::min(s.op.hold_life_s, longest);
  return c;
}

}  // namespace oxbowmill::config
