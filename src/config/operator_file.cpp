#include <map>

#include "sections.h"

namespace oxbowmill::config {

namespace {

/// The field of the settings that a numeric key sets, and the bounds of its value.
struct NumberKey {
  double OperatorSettings::*field;
  double min, max;
};
const std::map<std::string, NumberKey>& number_keys() {
  using Operator = OperatorSettings;
  static const std::map<std::string, NumberKey> by_name = {
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
  return by_name;
}
const std::map<std::string, bool OperatorSettings::*>& flag_keys() {
  using Operator = OperatorSettings;
  static const std::map<std::string, bool Operator::*> by_name = {{"restart_slow", &Operator::restart_slow},
                                                                  {"use_spot", &Operator::use_spot},
                                                                  {"preempt", &Operator::preempt}};
  return by_name;
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

void read_progress(yaml::Map map, checkpoint::Settings& settings) {
  settings.enabled = true;
  map.number("slowest_speed", settings.min_speed, 0.001, 1);
  map.number("fastest_speed", settings.max_speed, 1, 100);
  map.reject_unknown_keys();
}

}  // namespace

void read_operator_file(const std::string& file, Config& config) {
  OperatorSettings& operator_settings = config.settings.operator_settings;
  YAML::Node root = yaml::load(file);
  if (root.IsNull()) return;
  yaml::Map map(file, "", root);
  for (const auto& [key, number] : number_keys())
    map.number(key, operator_settings.*number.field, number.min, number.max);
  for (const auto& [key, flag] : flag_keys()) map.flag(key, operator_settings.*flag);
  if (auto node = map.take("markets")) {
    if (config.markets.enabled()) map.fail("markets", "already set in another file");
    read_markets(map.child("markets", *node), config.markets, config.names);
  }
  if (auto node = map.take("calendar")) {
    if (!config.calendar.empty()) map.fail("calendar", "already set in another file");
    config.calendar = read_calendar(map.child("calendar", *node));
  }
  if (auto node = map.take("models")) {
    if (!config.models.empty()) map.fail("models", "already set in another file");
    read_models(map.child("models", *node), config.models);
  }
  if (auto node = map.take("progress")) read_progress(map.child("progress", *node), config.settings.progress);
  if (auto node = map.take("recovery")) read_recovery(map.child("recovery", *node), config.recovery);
  map.reject_unknown_keys();
}

}  // namespace oxbowmill::config
