// Tests of the settings files: accepted values, and the errors of rejected ones with file, key and reason.
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
    for (const std::string& file : files_) std::remove(file.c_str());
  }
  std::vector<std::string> files_;
};

const char* valid_toml = R"(
node_name = "n0"
area = "a"
bind = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
unknown_key = 3
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

std::string valid_toml_with(const std::string& original, const std::string& replacement) {
  std::string text = valid_toml;
  std::size_t position = text.find(original);
  EXPECT_NE(position, std::string::npos) << original;
  return text.replace(position, original.size(), replacement);
}

OperatorSettings load_operator_settings(const std::string& yaml_file) {
  config::Config config;
  config::load_operator_file(yaml_file, config);
  return config.settings.operator_settings;
}

std::string error_of(const std::string& toml_file, const std::string& yaml_file) {
  try {
    config::load(toml_file,
                 yaml_file.empty() ? std::vector<std::string>{} : std::vector<std::string>{yaml_file});
  } catch (const config::Error& error) {
    return error.what();
  }
  return "";
}

TEST_F(Config, RecoverySectionEnablesReconciliation) {
  EXPECT_FALSE(config::load(write("good.toml", valid_toml), {}).recovery.enabled);
  auto config = config::load(write("good.toml", valid_toml),
                             {DEPLOY_DIR "/operator.yaml", DEPLOY_DIR "/recovery.yaml"});
  EXPECT_TRUE(config.recovery.enabled);
  // The shipped file contains the defaults.
  reconciliation::Settings defaults;
  EXPECT_EQ(config.recovery.reported_fraction, defaults.reported_fraction);
  EXPECT_EQ(config.recovery.sufficient_fraction, defaults.sufficient_fraction);
  EXPECT_EQ(config.recovery.threshold_multiplier, defaults.threshold_multiplier);
  EXPECT_EQ(config.recovery.demand_window_s, defaults.demand_window_s);
  EXPECT_EQ(config.recovery.return_rate_fraction, defaults.return_rate_fraction);
  EXPECT_EQ(config.recovery.max_replacement_fraction, defaults.max_replacement_fraction);
  EXPECT_EQ(config.recovery.delete_suspects, defaults.delete_suspects);
  auto error =
      error_of(write("good.toml", valid_toml), write("wrong.yaml", "recovery: {heard_shares: 0.5}\n"));
  EXPECT_NE(error.find("heard_shares"), std::string::npos) << error;
}

TEST_F(Config, PlatformFileIsRead) {
  auto config = config::load(write("good.toml", valid_toml), {});
  EXPECT_EQ(config.settings.controller_name, "n0");
  EXPECT_EQ(config.settings.controller_count, 2U);
  EXPECT_EQ(config.names.partitions.size(), 2U);  // the idle pool and one partition per team
  EXPECT_DOUBLE_EQ(config.settings.teams[1].limit.gpus, 8);
  EXPECT_EQ(config.settings.max_transaction_ops, 48U);
  EXPECT_EQ(config.settings.socket_limit, 900);
  EXPECT_EQ(config.settings.deadline_multiples, (std::vector<double>{1, 1.5}));
}

TEST_F(Config, ErrorsNameFileKeyAndReason) {
  struct Case {
    std::string original, replacement, key;
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
  for (const Case& test_case : cases) {
    std::string file = write("bad.toml", valid_toml_with(test_case.original, test_case.replacement));
    std::string error = error_of(file, "");
    EXPECT_EQ(error.rfind(file + ": " + test_case.key + ": ", 0), 0U) << test_case.key << " <- " << error;
    EXPECT_EQ(error.find('\n'), std::string::npos) << error;
  }
  EXPECT_NE(error_of(write("broken.toml", "node_name = "), ""), "");
  EXPECT_NE(error_of("/no/such/file", ""), "");
}

TEST_F(Config, ShortCancellationTimeShortensTheControllerLease) {
  auto config = config::load(write("short.toml", valid_toml_with("cancel_s = 40.0", "cancel_s = 15.0")), {});
  const Settings& settings = config.settings;
  EXPECT_LT(settings.operator_settings.controller_lease_s, 4);
  EXPECT_LT(settings.operator_settings.controller_lease_s + settings.read_only_period_s() +
                settings.lease_expiry_s(),
            15);
}

TEST_F(Config, OperatorFileIsParsedStrictly) {
  struct Case {
    const char* text;
    const char* error;  // expected part of the error; empty: accepted
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
  std::string toml = write("good.toml", valid_toml);
  for (const Case& test_case : cases) {
    std::string error = error_of(toml, write("op.yaml", test_case.text));
    if (*test_case.error == 0) {
      EXPECT_EQ(error, "") << test_case.text;
    } else {
      EXPECT_NE(error.find(test_case.error), std::string::npos) << test_case.text << " <- " << error;
    }
  }
  auto operator_settings =
      load_operator_settings(write("op2.yaml", "finished_ratio: 0.5\nbaseline_floor_s: 7\n"));
  EXPECT_DOUBLE_EQ(operator_settings.finished_ratio, 0.5);
  EXPECT_DOUBLE_EQ(operator_settings.baseline_floor_s, 7);
}

TEST_F(Config, MarketsFileIsParsedStrictly) {
  const std::string valid_markets =
      "markets:\n  ceiling: {per_hour: 500, per_window: 2000}\n  teams: {red: {per_hour: 100}}\n  term_s: "
      "900\n"
      "  list:\n    - {name: north, address: \"127.0.0.1:9001\"}\n    - {name: south, address: "
      "\"127.0.0.1:9002\", rps: 2}\n";
  auto markets_with = [&](const std::string& original, const std::string& replacement) {
    std::string text = valid_markets;
    std::size_t position = text.find(original);
    EXPECT_NE(position, std::string::npos) << original;
    return text.replace(position, original.size(), replacement);
  };
  std::string toml = write("good.toml", valid_toml);
  auto config =
      config::load(toml, {std::string(DEPLOY_DIR) + "/operator.yaml", write("markets.yaml", valid_markets)});
  ASSERT_EQ(config.markets.markets.size(), 2U);
  EXPECT_EQ(config.names.markets.name(config.markets.markets[1].index), "south");
  EXPECT_EQ(config.markets.total_limit.per_window, market::to_money_amount(2000));
  EXPECT_EQ(config.markets.team_limits.at(PartitionIndex{1}).per_hour, market::to_money_amount(100));
  EXPECT_DOUBLE_EQ(config.markets.max_paid_s, 900);
  struct Case {
    const char *original, *replacement, *error;
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
  for (const Case& test_case : cases) {
    std::string file = write("bad.yaml", markets_with(test_case.original, test_case.replacement));
    std::string error = error_of(toml, file);
    EXPECT_EQ(error.rfind(file + ": " + test_case.error, 0), 0U) << test_case.replacement << " <- " << error;
    EXPECT_EQ(error.find('\n'), std::string::npos) << error;
  }
  EXPECT_NE(
      error_of(toml, write("empty.yaml", "markets:\n  ceiling: {per_hour: 1, per_window: 1}\n  list: []\n"))
          .find("markets.list: missing"),
      std::string::npos);
}

TEST_F(Config, ShippedMarketsFileIsValid) {
  auto config = config::load(write("good.toml", valid_toml), {std::string(DEPLOY_DIR) + "/markets.yaml"});
  EXPECT_TRUE(config.markets.enabled());
  EXPECT_FALSE(config::load(write("good.toml", valid_toml), {}).markets.enabled());
}

TEST_F(Config, CalendarAndModelsAreParsedStrictly) {
  const std::string calendar =
      "calendar:\n  version: 3\n  releases:\n    - name: manual\n      revision: r1\n      editions:\n"
      "        ar: {render: [{class: c, image: i, count: 2}, run-7], publish: run-1}\n"
      "        fr: {render: [run-8], publish: run-2}\n"
      "      when: {zone: Africa/Tunis, weekly: [mon], at: \"06:30\", window_s: 600}\n";
  const std::string models = "models:\n  list:\n    - {name: chat, class: serve, calls: [call], most: 4}\n";
  std::string toml = write("good.toml", valid_toml);
  auto config = config::load(toml, {write("calendar.yaml", calendar), write("models.yaml", models)});
  ASSERT_EQ(config.calendar.releases.size(), 1U);
  EXPECT_EQ(config.calendar.releases[0].editions[0].render_jobs[0].count, 2U);
  EXPECT_EQ(config.calendar.releases[0].publish_time->second_of_day, 6 * 3600U + 30 * 60);
  EXPECT_EQ(config.models.models.at(0).max_replicas, 4U);
  EXPECT_DOUBLE_EQ(config.clock_skew_s, 0.1);
  struct Case {
    const std::string& document;
    const char *original, *replacement, *error;
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
  for (const Case& test_case : cases) {
    std::string text = test_case.document;
    std::size_t position = text.find(test_case.original);
    ASSERT_NE(position, std::string::npos) << test_case.original;
    std::string file = write(
        "bad.yaml", text.replace(position, std::string(test_case.original).size(), test_case.replacement));
    std::string error = error_of(toml, file);
    EXPECT_EQ(error.rfind(file + ": " + test_case.error, 0), 0U) << test_case.replacement << " <- " << error;
  }
}

TEST_F(Config, ShippedCalendarAndModelsAreValid) {
  auto config = config::load(write("good.toml", valid_toml), {std::string(DEPLOY_DIR) + "/calendar.yaml",
                                                              std::string(DEPLOY_DIR) + "/models.yaml"});
  EXPECT_EQ(config.calendar.releases.size(), 1U);
  EXPECT_EQ(config.models.models.size(), 1U);
  auto without_sections =
      config::load(write("good.toml", valid_toml), {std::string(DEPLOY_DIR) + "/operator.yaml"});
  EXPECT_TRUE(without_sections.calendar.empty() && without_sections.models.empty());
}

TEST_F(Config, ShippedOperatorFileIsValidAndListsTheDefaults) {
  auto operator_settings = load_operator_settings(std::string(DEPLOY_DIR) + "/operator.yaml");
  OperatorSettings defaults;
  EXPECT_DOUBLE_EQ(operator_settings.finished_ratio, defaults.finished_ratio);
  EXPECT_DOUBLE_EQ(operator_settings.slow_multiplier, defaults.slow_multiplier);
  EXPECT_DOUBLE_EQ(operator_settings.baseline_floor_s, defaults.baseline_floor_s);
  EXPECT_DOUBLE_EQ(operator_settings.slow_block_s, defaults.slow_block_s);
  EXPECT_DOUBLE_EQ(operator_settings.slow_check_interval_s, defaults.slow_check_interval_s);
  EXPECT_DOUBLE_EQ(operator_settings.idle_retention_s, defaults.idle_retention_s);
  EXPECT_EQ(operator_settings.use_spot, defaults.use_spot);
}

}  // namespace
}  // namespace oxbowmill
