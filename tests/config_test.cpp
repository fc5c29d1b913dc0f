// Settings: what is taken, and what is refused with file, key and reason.
#include "oxbowmill/config/config.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace oxbowmill {
namespace {

class Config : public ::testing::Test {
 protected:
  std::string write(const std::string& name, const std::string& text) {
    std::string path = ::testing::TempDir() + "oxbowmill-" + std::to_string(::getpid()) + "-" + name;
    std::ofstream(path) << text;
    files_.push_back(path);
    return path;
  }
  ~Config() override {
    for (const std::string& f : files_) std::remove(f.c_str());
  }
  std::vector<std::string> files_;
};

const char* good = R"(
node_name = "n0"
area = "a"
bind = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
unheard_of = 3
[[seeds]]
node_name = "n1"
area = "b"
address = "127.0.0.1:8082"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[settings]
zones = ["a", "b"]
skew_ms = 100.0
[[settings.teams]]
name = "red"
gpus = 4
gpus_max = 8.0
[settings.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 40.0
[settings.state]
rps = 200.0
write_rps = 80.0
value_kb = 8.0
txn_ops = 48
[settings.cloud]
rps = 6.0
list_lag_s = 4.0
[settings.limits]
fd_limit = 900
[[settings.objectives]]
kind = "deadline"
class = "any"
times = 1.5
[[settings.objectives]]
kind = "deadline"
class = "any"
[[settings.objectives]]
kind = "guarantee"
within_s = 5.0
)";

std::string with(const std::string& from, const std::string& to) {
  std::string s = good;
  std::size_t at = s.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return s.replace(at, from.size(), to);
}

OperatorSettings operators(const std::string& yaml) {
  config::Config c;
  config::load_operator(yaml, c);
  return c.settings.op;
}

std::string error_of(const std::string& toml, const std::string& yaml) {
  try {
    config::load(toml, yaml.empty() ? std::vector<std::string>{} : std::vector<std::string>{yaml});
  } catch (const config::Error& e) {
    return e.what();
  }
  return "";
}

TEST_F(Config, RecoveryIsSwitchedOnByItsFile) {
  EXPECT_FALSE(config::load(write("good.toml", good), {}).recovery.enabled);
  auto c = config::load(write("good.toml", good), {DEPLOY_DIR "/operator.yaml", DEPLOY_DIR "/recovery.yaml"});
  EXPECT_TRUE(c.recovery.enabled);
  // The file states the defaults.
  recovery::Settings d;
  EXPECT_EQ(c.recovery.heard_share, d.heard_share);
  EXPECT_EQ(c.recovery.enough_share, d.enough_share);
  EXPECT_EQ(c.recovery.multiplier, d.multiplier);
  EXPECT_EQ(c.recovery.demand_window_s, d.demand_window_s);
  EXPECT_EQ(c.recovery.return_share, d.return_share);
  EXPECT_EQ(c.recovery.replace_share, d.replace_share);
  EXPECT_EQ(c.recovery.delete_suspects, d.delete_suspects);
  auto wrong = error_of(write("good.toml", good), write("wrong.yaml", "recovery: {heard_shares: 0.5}\n"));
  EXPECT_NE(wrong.find("heard_shares"), std::string::npos) << wrong;
}

TEST_F(Config, ReadsThePlatformsFile) {
  auto c = config::load(write("good.toml", good), {});
  EXPECT_EQ(c.settings.node, "n0");
  EXPECT_EQ(c.settings.nodes, 2U);
  EXPECT_EQ(c.names.parts.size(), 2U);  // the pool and one part per team
  EXPECT_DOUBLE_EQ(c.settings.teams[1].most.gpus, 8);
  EXPECT_EQ(c.settings.txn_ops, 48U);
  EXPECT_EQ(c.settings.socket_limit, 900);
  EXPECT_EQ(c.settings.deadline_multiples, (std::vector<double>{1, 1.5}));
}

TEST_F(Config, RefusesWithFileKeyAndReason) {
  struct Case {
    std::string from, to, key;
  };
  const Case cases[] = {
      {"node_name = \"n0\"", "", "node_name"},
      {"bind = \"127.0.0.1:8080\"", "bind = \"nowhere\"", "bind"},
      {"127.0.0.1:1\"", "127.0.0.1:99999\"", "services.cloud"},
      {"lease_s = 10.0", "lease_s = -1.0", "settings.workers.lease_s"},
      {"lease_s = 10.0", "lease_s = \"x\"", "settings.workers.lease_s"},
      {"lease_s = 10.0", "lease_s = nan", "settings.workers.lease_s"},
      {"cancel_s = 40.0", "cancel_s = 11.0", "settings.workers.cancel_s"},
      {"zones = [\"a\", \"b\"]", "zones = []", "settings.zones"},
      {"name = \"red\"", "name = \"a b\"", "settings.teams[0].name"},
      {"[settings.cloud]", "[settings.clouds]", "settings.cloud"},
      {"txn_ops = 48", "", "settings.state.txn_ops"},
  };
  for (const Case& c : cases) {
    std::string file = write("bad.toml", with(c.from, c.to));
    std::string e = error_of(file, "");
    EXPECT_EQ(e.rfind(file + ": " + c.key + ": ", 0), 0U) << c.key << " <- " << e;
    EXPECT_EQ(e.find('\n'), std::string::npos) << e;
  }
  EXPECT_NE(error_of(write("broken.toml", "node_name = "), ""), "");
  EXPECT_NE(error_of("/no/such/file", ""), "");
}

TEST_F(Config, ShortCancellationTimeShortensTheHold) {
  auto c = config::load(write("short.toml", with("cancel_s = 40.0", "cancel_s = 15.0")), {});
  const Settings& s = c.settings;
  EXPECT_LT(s.op.hold_life_s, 4);
  EXPECT_LT(s.op.hold_life_s + s.grace_s() + s.lease_over_s(), 15);
}

TEST_F(Config, OperatorsFileIsStrict) {
  struct Case {
    const char* text;
    const char* error;  // empty: taken
  };
  const Case cases[] = {
      {"", ""},
      {"{}", ""},
      {"multiplier: 2\nblock_s: 10\nuse_spot: false\n", ""},
      {"multipler: 2\n", "multipler: unknown setting"},
      {"finished_ratio: 1.5\n", "finished_ratio: must be from"},
      {"block_s: soon\n", "block_s: not a number"},
      {"use_spot: 7.5\n", "use_spot: not true or false"},
      {"- 1\n", "not a map"},
      {"a: [\n", "cannot be read as YAML"},
  };
  std::string toml = write("good.toml", good);
  for (const Case& c : cases) {
    std::string e = error_of(toml, write("op.yaml", c.text));
    if (*c.error == 0) {
      EXPECT_EQ(e, "") << c.text;
    } else {
      EXPECT_NE(e.find(c.error), std::string::npos) << c.text << " <- " << e;
    }
  }
  auto op = operators(write("op2.yaml", "finished_ratio: 0.5\nbaseline_floor_s: 7\n"));
  EXPECT_DOUBLE_EQ(op.finished_ratio, 0.5);
  EXPECT_DOUBLE_EQ(op.baseline_floor_s, 7);
}

TEST_F(Config, MarketsAreReadStrictly) {
  const std::string good_markets =
      "markets:\n  ceiling: {per_hour: 500, per_window: 2000}\n  teams: {red: {per_hour: 100}}\n  term_s: "
      "900\n"
      "  list:\n    - {name: north, address: \"127.0.0.1:9001\"}\n    - {name: south, address: "
      "\"127.0.0.1:9002\", rps: 2}\n";
  auto changed = [&](const std::string& from, const std::string& to) {
    std::string s = good_markets;
    std::size_t at = s.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return s.replace(at, from.size(), to);
  };
  std::string toml = write("good.toml", good);
  auto c =
      config::load(toml, {std::string(DEPLOY_DIR) + "/operator.yaml", write("markets.yaml", good_markets)});
  ASSERT_EQ(c.markets.markets.size(), 2U);
  EXPECT_EQ(c.names.markets.name(c.markets.markets[1].index), "south");
  EXPECT_EQ(c.markets.all.per_window, market::to_money(2000));
  EXPECT_EQ(c.markets.teams.at(PartIndex{1}).per_hour, market::to_money(100));
  EXPECT_DOUBLE_EQ(c.markets.term_s, 900);
  struct Case {
    const char *from, *to, *error;
  };
  const Case cases[] = {
      {"term_s: 900", "trem_s: 900", "markets.trem_s: unknown setting"},
      {"per_hour: 500", "per_hour: 0", "markets.ceiling.per_hour: must be more than 0"},
      {"per_hour: 500", "per_hour: -3", "markets.ceiling.per_hour: must be more than 0"},
      {"per_hour: 500", "per_hour: .nan", "markets.ceiling.per_hour: must be more than 0"},
      {"per_hour: 500", "per_day: 5", "markets.ceiling.per_day: unknown setting"},
      {"per_hour: 500, ", "", "markets.ceiling.per_hour: missing"},
      {"  ceiling: {per_hour: 500, per_window: 2000}\n", "", "markets.ceiling: missing"},
      {"red: {per_hour", "green: {per_hour", "markets.teams.green: not a team"},
      {"name: south", "name: north", "markets.list[1].name: named twice"},
      {"name: south", "name: so.uth", "markets.list[1].name: not usable"},
      {"127.0.0.1:9002", "nowhere", "markets.list[1].address: 'nowhere' is not"},
      {"127.0.0.1:9002", "market:9002", "markets.list[1].address: 'market:9002' is not IPV4:PORT"},
      {"127.0.0.1:9002", "127.0.0.1:0", "markets.list[1].address: '127.0.0.1:0' has no valid port"},
      {"rps: 2", "rsp: 2", "markets.list[1].rsp: unknown setting"},
      {"rps: 2", "rps: fast", "markets.list[1].rps: not a number"},
  };
  for (const Case& x : cases) {
    std::string file = write("bad.yaml", changed(x.from, x.to));
    std::string e = error_of(toml, file);
    EXPECT_EQ(e.rfind(file + ": " + x.error, 0), 0U) << x.to << " <- " << e;
    EXPECT_EQ(e.find('\n'), std::string::npos) << e;
  }
  EXPECT_NE(
      error_of(toml, write("empty.yaml", "markets:\n  ceiling: {per_hour: 1, per_window: 1}\n  list: []\n"))
          .find("markets.list: missing"),
      std::string::npos);
}

TEST_F(Config, ShippedMarketsFileIsValid) {
  auto c = config::load(write("good.toml", good), {std::string(DEPLOY_DIR) + "/markets.yaml"});
  EXPECT_TRUE(c.markets.enabled());
  EXPECT_FALSE(config::load(write("good.toml", good), {}).markets.enabled());
}

TEST_F(Config, CalendarAndModelsAreReadStrictly) {
  const std::string calendar =
      "calendar:\n  version: 3\n  releases:\n    - name: manual\n      revision: r1\n      editions:\n"
      "        ar: {render: [{class: c, image: i, count: 2}, run-7], publish: run-1}\n"
      "        fr: {render: [run-8], publish: run-2}\n"
      "      when: {zone: Africa/Tunis, weekly: [mon], at: \"06:30\", window_s: 600}\n";
  const std::string models = "models:\n  list:\n    - {name: chat, class: serve, calls: [call], most: 4}\n";
  std::string toml = write("good.toml", good);
  auto c = config::load(toml, {write("calendar.yaml", calendar), write("models.yaml", models)});
  ASSERT_EQ(c.calendar.releases.size(), 1U);
  EXPECT_EQ(c.calendar.releases[0].editions[0].renders[0].count, 2U);
  EXPECT_EQ(c.calendar.releases[0].when->second_of_day, 6 * 3600U + 30 * 60);
  EXPECT_EQ(c.models.models.at(0).most, 4U);
  EXPECT_DOUBLE_EQ(c.skew_s, 0.1);
  struct Case {
    const std::string& of;
    const char *from, *to, *error;
  };
  const Case cases[] = {
      {calendar, "version: 3", "versoin: 3", "calendar.version: missing"},
      {calendar, "revision: r1", "", "calendar.releases[0].revision: missing"},
      {calendar, "count: 2", "cuont: 2", "calendar.releases[0].editions.ar.render[0].cuont: unknown setting"},
      {calendar, "publish: run-2", "publish: run-1",
       "calendar.releases[0].editions: two publish by the same job"},
      {calendar, "        fr: {render: [run-8], publish: run-2}\n", "",
       "calendar.releases[0].editions: a release pairs two or more"},
      {calendar, "zone: Africa/Tunis", "zone: Africa/Carthage",
       "calendar.releases[0].when.zone: no such time zone"},
      {calendar, "[mon]", "[moonday]", "calendar.releases[0].when.weekly: not a day of the week"},
      {calendar, "\"06:30\"", "\"26:30\"", "calendar.releases[0].when.at: not a time of day"},
      {models, "calls: [call]", "clals: [call]", "models.list[0].calls: missing"},
      {models, "most: 4", "least: 5, most: 4", "models.list[0].most: must be at least 1"},
      {models, "class: serve, ", "", "models.list[0].class: missing"},
  };
  for (const Case& x : cases) {
    std::string text = x.of;
    std::size_t at = text.find(x.from);
    ASSERT_NE(at, std::string::npos) << x.from;
    std::string file = write("bad.yaml", text.replace(at, std::string(x.from).size(), x.to));
    std::string e = error_of(toml, file);
    EXPECT_EQ(e.rfind(file + ": " + x.error, 0), 0U) << x.to << " <- " << e;
  }
}

TEST_F(Config, ShippedCalendarAndModelsAreValid) {
  auto c = config::load(write("good.toml", good), {std::string(DEPLOY_DIR) + "/calendar.yaml",
                                                   std::string(DEPLOY_DIR) + "/models.yaml"});
  EXPECT_EQ(c.calendar.releases.size(), 1U);
  EXPECT_EQ(c.models.models.size(), 1U);
  auto none = config::load(write("good.toml", good), {std::string(DEPLOY_DIR) + "/operator.yaml"});
  EXPECT_TRUE(none.calendar.empty() && none.models.empty());
}

TEST_F(Config, ShippedOperatorsFileIsValidAndNamesTheDefaults) {
  auto op = operators(std::string(DEPLOY_DIR) + "/operator.yaml");
  OperatorSettings defaults;
  EXPECT_DOUBLE_EQ(op.finished_ratio, defaults.finished_ratio);
  EXPECT_DOUBLE_EQ(op.multiplier, defaults.multiplier);
  EXPECT_DOUBLE_EQ(op.baseline_floor_s, defaults.baseline_floor_s);
  EXPECT_DOUBLE_EQ(op.block_s, defaults.block_s);
  EXPECT_DOUBLE_EQ(op.check_interval_s, defaults.check_interval_s);
  EXPECT_DOUBLE_EQ(op.idle_keep_s, defaults.idle_keep_s);
  EXPECT_EQ(op.use_spot, defaults.use_spot);
}

}  // namespace
}  // namespace oxbowmill
