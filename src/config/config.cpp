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
      out.emplace_back(file_, at_.empty() ? name : at_ + "." + name, e.as_table());
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
      {"begin_within_s", {&O::begin_within_s, 0, 86400}},
      {"promise_share", {&O::promise_share, 0, 1}},
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

/// An amount of money above 0; 0 where the key is missing.
Money read_money(yaml::Map& m, const std::string& key) {
  constexpr double most = 1e9;
  auto n = m.take(key);
  if (!n) return 0;
  double v = 0;
  try {
    v = n->as<double>();
  } catch (const YAML::Exception&) {
    m.fail(key, "not a number");
  }
  if (!(v > 0) || v > most)
    m.fail(key, "must be more than 0, and " + YAML::Dump(YAML::Node(most)) + " at most");
  return market::to_money(v);
}

market::Ceiling read_ceiling(yaml::Map m) {
  market::Ceiling c;
  c.per_hour = read_money(m, "per_hour");
  c.per_window = read_money(m, "per_window");
  m.done();
  return c;
}

void read_markets(yaml::Map m, market::Settings& s, Names& names) {
  constexpr double day = 86400;
  m.number("window_s", s.window_s, 60, 366 * day);
  m.number("term_s", s.term_s, 60, 7 * day);
  m.number("quote_every_s", s.quote_every_s, 0.5, 600);
  m.number("answer_s", s.answer_s, 0.1, 60);
  m.number("patience_s", s.patience_s, 1, day);
  m.number("spare_share", s.spare_share, 0, 10);
  m.number("trial_share", s.trial_share, 0, 1);
  m.number("limit_factor", s.limit_factor, 0.01, 100);
  m.number("starve_s", s.starve_s, 0, 30 * day);
  m.number("starve_share", s.starve_share, 0, 1);
  auto ceiling = m.take("ceiling");
  if (!ceiling) m.fail("ceiling", "missing: nothing is bid for without one");
  s.all = read_ceiling(m.sub("ceiling", *ceiling));
  if (s.all.per_hour == 0) m.fail("ceiling.per_hour", "missing");
  if (s.all.per_window == 0) m.fail("ceiling.per_window", "missing");
  if (auto teams = m.take("teams")) {
    yaml::Map t = m.sub("teams", *teams);
    for (const std::string& name : t.keys()) {
      PartIndex part = names.parts.find(name);
      if (!part.valid() || part == pool_part) t.fail(name, "not a team");
      s.teams[part] = read_ceiling(t.sub(name, *t.take(name)));
    }
  }
  auto list = m.take("list");
  if (!list || !list->IsSequence() || list->size() == 0) m.fail("list", "missing or not a list of markets");
  for (std::size_t i = 0; i < list->size(); ++i) {
    yaml::Map e = m.sub("list[" + std::to_string(i) + "]", (*list)[i]);
    market::MarketSettings x;
    x.name = e.text("name");
    if (!wire::valid_id(x.name) || x.name.find('.') != std::string::npos)
      e.fail("name", "not usable as a market's name");
    if (names.markets.find(x.name).valid()) e.fail("name", "named twice");
    x.address = e.text("address");
    try {
      net::Address a = net::parse_address(x.address);
      in_addr ip{};
      if (inet_pton(AF_INET, a.host.c_str(), &ip) != 1)
        throw std::invalid_argument("'" + x.address + "' is not IPV4:PORT");
    } catch (const std::invalid_argument& why) {
      e.fail("address", why.what());
    }
    e.number("rps", x.rps, 0.1, 1000);
    e.flag("paused", x.paused);
    e.flag("forgive", x.forgive);
    e.done();
    x.index = names.markets.intern(x.name);
    s.markets.push_back(std::move(x));
  }
  m.done();
}

void read_recovery(yaml::Map m, recovery::Settings& s) {
  s.enabled = true;
  m.number("heard_share", s.heard_share, 0.1, 1);
  m.number("enough_share", s.enough_share, 0.1, 1);
  m.number("multiplier", s.multiplier, 1, 100);
  m.number("demand_window_s", s.demand_window_s, 0, 3600);
  m.number("return_share", s.return_share, 0.001, 10);
  m.number("replace_share", s.replace_share, 0, 1);
  m.flag("delete_suspects", s.delete_suspects);
  m.done();
}

/// "06:30" or "06:30:15".
unsigned read_time_of_day(yaml::Map& m, const std::string& key) {
  std::string text = m.text(key);
  std::tm tm{};
  for (const char* format : {"%H:%M:%S", "%H:%M"}) {
    tm = {};
    const char* end = strptime(text.c_str(), format, &tm);
    if (end != nullptr && *end == 0)
      return static_cast<unsigned>(tm.tm_hour * 3600 + tm.tm_min * 60 + tm.tm_sec);
  }
  m.fail(key, "not a time of day");
}

release::Appointed read_appointed(yaml::Map m) {
  static const std::vector<std::string> days = {"sun", "mon", "tue", "wed", "thu", "fri", "sat"};
  release::Appointed a;
  a.zone = m.text("zone");
  a.second_of_day = read_time_of_day(m, "at");
  std::vector<std::string> weekly, holidays;
  m.get("weekly", weekly).get("date", a.date).get("holidays", holidays);
  for (const std::string& d : weekly) {
    auto at = std::find(days.begin(), days.end(), d);
    if (at == days.end()) m.fail("weekly", "not a day of the week: " + d);
    a.weekdays.push_back(static_cast<unsigned>(at - days.begin()));
  }
  a.holidays.insert(holidays.begin(), holidays.end());
  m.number("window_s", a.window_s, 0, 7 * 86400);
  m.done();
  if (std::string fault = release::fault_of(a); !fault.empty()) {
    std::size_t colon = fault.find(": ");
    if (colon == std::string::npos) m.fail("weekly", fault);
    m.fail(fault.substr(0, colon), fault.substr(colon + 2));
  }
  return a;
}

release::Matcher read_matcher(const yaml::Map& of, const std::string& key, const YAML::Node& n) {
  release::Matcher x;
  if (n.IsScalar()) {
    x.ref = n.as<std::string>();
    return x;
  }
  yaml::Map m = of.sub(key, n);
  x.job_class = m.text("class");
  x.image = m.text("image");
  m.get("count", x.count);
  m.done();
  return x;
}

release::Calendar read_calendar(yaml::Map m) {
  release::Calendar c;
  m.get("version", c.version);
  if (c.version == 0) m.fail("version", "missing: controllers whose files differ agree on the newer one");
  auto list = m.take("releases");
  if (list && !list->IsSequence()) m.fail("releases", "not a list");
  for (std::size_t i = 0; list && i < list->size(); ++i) {
    yaml::Map r = m.sub("releases[" + std::to_string(i) + "]", (*list)[i]);
    release::Terms t;
    t.name = r.text("name");
    t.revision = r.text("revision");
    auto editions = r.take("editions");
    if (!editions || !editions->IsMap()) r.fail("editions", "missing or not a map");
    yaml::Map all = r.sub("editions", *editions);
    for (const std::string& name : all.keys()) {
      yaml::Map e = all.sub(name, *all.take(name));
      release::Edition x;
      x.name = name;
      auto renders = e.take("render");
      if (!renders || !renders->IsSequence()) e.fail("render", "missing or not a list");
      for (std::size_t k = 0; k < renders->size(); ++k)
        x.renders.push_back(read_matcher(e, "render[" + std::to_string(k) + "]", (*renders)[k]));
      auto publish = e.take("publish");
      if (!publish) e.fail("publish", "missing");
      x.publish = read_matcher(e, "publish", *publish);
      e.done();
      t.editions.push_back(std::move(x));
    }
    all.done();
    if (auto when = r.take("when")) t.when = read_appointed(r.sub("when", *when));
    r.done();
    if (std::string fault = release::fault_of(t); !fault.empty()) {
      std::size_t colon = fault.find(": ");
      r.fail(fault.substr(0, colon), fault.substr(colon + 2));
    }
    bool twice = std::any_of(c.releases.begin(), c.releases.end(),
                             [&t](const release::Terms& o) { return o.name == t.name; });
    if (twice) r.fail("name", "named twice");
    c.releases.push_back(std::move(t));
  }
  m.done();
  return c;
}

void read_models(yaml::Map m, models::Settings& s) {
  auto list = m.take("list");
  if (!list || !list->IsSequence() || list->size() == 0) m.fail("list", "missing or not a list of models");
  for (std::size_t i = 0; i < list->size(); ++i) {
    yaml::Map e = m.sub("list[" + std::to_string(i) + "]", (*list)[i]);
    models::Terms t;
    t.name = e.text("name");
    if (!wire::valid_id(t.name)) e.fail("name", "not usable as a model's name");
    for (const models::Terms& other : s.models) {
      if (other.name == t.name) e.fail("name", "named twice");
    }
    e.get("class", t.job_class).get("image", t.image).get("calls", t.calls);
    if (t.job_class.empty() && t.image.empty()) e.fail("class", "missing, and no image: whose replicas?");
    if (t.calls.empty()) e.fail("calls", "missing: no class of jobs would ever wake it");
    e.get("least", t.least).get("most", t.most);
    if (t.most == 0 || t.least > t.most) e.fail("most", "must be at least 1, and not less than `least`");
    e.number("calls_per_replica", t.calls_per_replica, 0.01, 1e6);
    e.number("idle_factor", t.idle_factor, 0, 1000);
    e.number("idle_floor_s", t.idle_floor_s, 0, 86400);
    e.done();
    s.models.push_back(std::move(t));
  }
  m.done();
}

}  // namespace

release::Calendar load_calendar(const std::vector<std::string>& files) {
  release::Calendar c;
  for (const std::string& file : files) {
    YAML::Node root = yaml::load(file);
    if (!root.IsMap() || !root["calendar"]) continue;
    c = read_calendar(yaml::Map(file, "", root).sub("calendar", root["calendar"]));
  }
  return c;
}

void load_operator(const std::string& file, Config& config) {
  OperatorSettings& op = config.settings.op;
  YAML::Node root = yaml::load(file);
  if (root.IsNull()) return;
  yaml::Map m(file, "", root);
  for (const auto& [key, k] : yaml_keys()) m.number(key, op.*k.field, k.least, k.most);
  for (const auto& [key, flag] : yaml_flags()) m.flag(key, op.*flag);
  if (auto n = m.take("markets")) {
    if (config.markets.enabled()) m.fail("markets", "set in two files");
    read_markets(m.sub("markets", *n), config.markets, config.names);
  }
  if (auto n = m.take("calendar")) {
    if (!config.calendar.empty()) m.fail("calendar", "set in two files");
    config.calendar = read_calendar(m.sub("calendar", *n));
  }
  if (auto n = m.take("models")) {
    if (!config.models.empty()) m.fail("models", "set in two files");
    read_models(m.sub("models", *n), config.models);
  }
  if (auto n = m.take("progress")) {
    yaml::Map p = m.sub("progress", *n);
    config.settings.progress.enabled = true;
    p.number("slowest_speed", config.settings.progress.slowest, 0.001, 1);
    p.number("fastest_speed", config.settings.progress.fastest, 1, 100);
    p.done();
  }
  if (auto n = m.take("recovery")) read_recovery(m.sub("recovery", *n), config.recovery);
  m.done();
}

Config load(const std::string& toml_file, const std::vector<std::string>& yaml_files) {
  toml::table root;
  try {
    root = toml::parse_file(toml_file);
  } catch (const toml::parse_error& e) {
    throw Error(toml_file + ": " + std::string(e.description()));
  }
  Config c;
  Table t(toml_file, "", &root);
  Settings& s = c.settings;
  s.node = t.text("node_name");
  c.bind = t.address("bind", net::parse_bind_address);
  c.peer_bind = t.address("peer_bind", net::parse_bind_address);
  for (const Table& peer : t.list("seeds"))
    c.peers.push_back({peer.text("node_name"), peer.address("address")});
  s.nodes = static_cast<std::uint32_t>(c.peers.size()) + 1;
  for (const Peer& peer : c.peers) s.all_nodes.push_back(peer.node);
  s.all_nodes.push_back(s.node);
  std::sort(s.all_nodes.begin(), s.all_nodes.end());
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
  for (const std::string& file : yaml_files) load_operator(file, c);
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
  c.skew_s = p.number_or("skew_ms", 0, 1000) / 1000;
  // Beside the terms stand jobs and notes: half of a value is theirs.
  for (const release::Terms& r : c.calendar.releases) {
    if (static_cast<double>(release::to_text(r).size()) > s.value_kb * 1024 / 2)
      throw Error("calendar: release " + r.name + ": too long for a record of the state service");
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
