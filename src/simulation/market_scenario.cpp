// Reads the scenario files of the market simulation.
#include "oxbowmill/error.h"
#include "oxbowmill/market/ledger.h"
#include "oxbowmill/simulation/market_simulation.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::simulation {

namespace {

MarketBehavior read_behavior(yaml::Map map) {
  MarketBehavior profile;
  map.get("name", profile.name)
      .get("price", profile.price)
      .get("capacity", profile.capacity)
      .get("delivery_s", profile.delivery_s);
  map.get("delivery_spread", profile.delivery_spread)
      .get("valid_s", profile.valid_s)
      .get("auction_s", profile.auction_s);
  map.get("bad_from_s", profile.faults_from_s)
      .get("bad_to_s", profile.faults_to_s)
      .get("raise_chance", profile.raise_chance);
  map.get("raise_by", profile.raise_factor)
      .get("never", profile.never_delivers_chance)
      .get("late", profile.late_chance)
      .get("late_by", profile.late_factor);
  map.get("short_share", profile.delivered_fraction)
      .get("wrong", profile.wrong_delivery_chance)
      .get("twice", profile.double_delivery_chance);
  map.get("throttle", profile.throttle_chance)
      .get("garble", profile.garbled_response_chance)
      .get("absurd", profile.absurd_response_chance)
      .get("stall", profile.stall_chance);
  map.get("deaf", profile.lost_request_chance)
      .get("keeps_running", profile.runs_after_return)
      .get("overcharge", profile.overcharge_factor);
  map.reject_unknown_keys();
  return profile;
}

}  // namespace

MarketScenario load_scenario(const std::string& file) {
  MarketScenario scenario;
  yaml::Map root(file, "", yaml::load(file));
  double hour = 0, window = 0;
  root.get("name", scenario.name)
      .get("length_s", scenario.duration_s)
      .get("drop_at_s", scenario.drop_at_s)
      .get("jobs", scenario.jobs);
  root.get("most_machines", scenario.max_machines)
      .get("run_s", scenario.run_s)
      .get("slack_s", scenario.slack_s);
  root.get("guaranteed_share", scenario.guaranteed_fraction)
      .get("best_effort_share", scenario.best_effort_fraction);
  root.get("cloud_capacity", scenario.cloud_capacity).get("cloud_price", scenario.cloud_price);
  root.get("cloud_ready_s", scenario.cloud_ready_s).get("per_hour", hour).get("per_window", window);
  root.get("term_s", scenario.settings.max_paid_s).get("spare_share", scenario.settings.extra_fraction);
  scenario.settings.total_limit = {market::to_money_amount(hour), market::to_money_amount(window)};
  YAML::Node markets = root.take("markets").value_or(YAML::Node(YAML::NodeType::Undefined));
  root.reject_unknown_keys();
  for (std::size_t i = 0; markets && i < markets.size(); ++i)
    scenario.markets.push_back(read_behavior(root.child("markets[" + std::to_string(i) + "]", markets[i])));
  if (scenario.markets.empty()) throw Error(file + ": markets: missing");
  return scenario;
}

}  // namespace oxbowmill::simulation
