// Reads the scenario files of the market simulation.
#include "oxbowmill/error.h"
#include "oxbowmill/market/ledger.h"
#include "oxbowmill/simulation/market_simulation.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::simulation {

namespace {

MarketBehavior read_behavior(yaml::Map map) {
  MarketBehavior behavior;
  map.get("name", behavior.name)
      .get("price", behavior.price)
      .get("capacity", behavior.capacity)
      .get("delivery_s", behavior.delivery_s);
  map.get("delivery_spread", behavior.delivery_spread)
      .get("valid_s", behavior.valid_s)
      .get("auction_s", behavior.auction_s);
  map.get("bad_from_s", behavior.faults_from_s)
      .get("bad_to_s", behavior.faults_to_s)
      .get("raise_chance", behavior.raise_chance);
  map.get("raise_by", behavior.raise_factor)
      .get("never", behavior.never_delivers_chance)
      .get("late", behavior.late_chance)
      .get("late_by", behavior.late_factor);
  map.get("short_share", behavior.delivered_fraction)
      .get("wrong", behavior.wrong_delivery_chance)
      .get("twice", behavior.double_delivery_chance);
  map.get("throttle", behavior.throttle_chance)
      .get("garble", behavior.garbled_response_chance)
      .get("absurd", behavior.absurd_response_chance)
      .get("stall", behavior.stall_chance);
  map.get("deaf", behavior.lost_request_chance)
      .get("keeps_running", behavior.runs_after_return)
      .get("overcharge", behavior.overcharge_factor);
  map.reject_unknown_keys();
  return behavior;
}

}  // namespace

MarketScenario load_scenario(const std::string& file) {
  MarketScenario scenario;
  yaml::Map root(file, "", yaml::load(file));
  double per_hour = 0, per_window = 0;
  root.get("name", scenario.name)
      .get("length_s", scenario.duration_s)
      .get("drop_at_s", scenario.zone_loss_at_s)
      .get("jobs", scenario.jobs);
  root.get("most_machines", scenario.max_machines)
      .get("run_s", scenario.run_s)
      .get("slack_s", scenario.slack_s);
  root.get("guaranteed_share", scenario.guaranteed_fraction)
      .get("best_effort_share", scenario.best_effort_fraction);
  root.get("cloud_capacity", scenario.cloud_capacity).get("cloud_price", scenario.cloud_price);
  root.get("cloud_ready_s", scenario.cloud_ready_s).get("per_hour", per_hour).get("per_window", per_window);
  root.get("term_s", scenario.settings.max_paid_s).get("spare_share", scenario.settings.extra_fraction);
  scenario.settings.total_limit = {market::to_money_amount(per_hour), market::to_money_amount(per_window)};
  YAML::Node markets = root.take("markets").value_or(YAML::Node(YAML::NodeType::Undefined));
  root.reject_unknown_keys();
  for (std::size_t i = 0; markets && i < markets.size(); ++i)
    scenario.markets.push_back(read_behavior(root.child("markets[" + std::to_string(i) + "]", markets[i])));
  if (scenario.markets.empty()) throw Error(file + ": markets: must list at least one market");
  return scenario;
}

}  // namespace oxbowmill::simulation
