#include <arpa/inet.h>

#include "oxbowmill/wire/cbor.h"
#include "sections.h"

namespace oxbowmill::config {

namespace {

constexpr double seconds_per_day = 86400;

/// Reads an amount of money, which must be above 0. Returns 0 if the key is missing.
MoneyAmount read_money_amount(yaml::Map& map, const std::string& key) {
  constexpr double max_amount = 1e9;
  auto yaml_node = map.take(key);
  if (!yaml_node) return 0;
  double value = 0;
  try {
    value = yaml_node->as<double>();
  } catch (const YAML::Exception&) {
    map.fail(key, "not a number");
  }
  if (!(value > 0) || value > max_amount)
    map.fail(key, "must be more than 0 and at most " + YAML::Dump(YAML::Node(max_amount)));
  return market::to_money_amount(value);
}

market::SpendingLimit read_spending_limit(yaml::Map map) {
  market::SpendingLimit limit;
  limit.per_hour = read_money_amount(map, "per_hour");
  limit.per_window = read_money_amount(map, "per_window");
  map.reject_unknown_keys();
  return limit;
}

/// Checks that an address consists of an IPv4 address, not a host name, and a port.
void check_market_address(const yaml::Map& entry, const std::string& text) {
  try {
    net::Address address = net::parse_address(text);
    in_addr ip{};
    if (inet_pton(AF_INET, address.host.c_str(), &ip) != 1)
      entry.fail("address", "'" + text + "' is not IPV4:PORT");
  } catch (const std::invalid_argument& error) {
    entry.fail("address", error.what());
  }
}

void read_spending_limits(yaml::Map& map, market::Settings& settings, const Names& names) {
  auto ceiling = map.take("ceiling");
  if (!ceiling) map.fail("ceiling", "missing: no bids are made without a limit on spending");
  settings.total_limit = read_spending_limit(map.child("ceiling", *ceiling));
  if (settings.total_limit.per_hour == 0) map.fail("ceiling.per_hour", "missing");
  if (settings.total_limit.per_window == 0) map.fail("ceiling.per_window", "missing");
  if (auto teams = map.take("teams")) {
    yaml::Map teams_map = map.child("teams", *teams);
    for (const std::string& name : teams_map.keys()) {
      PartitionIndex partition = names.partitions.find(name);
      if (!partition.valid() || partition == idle_pool) teams_map.fail(name, "not a team");
      settings.team_limits[partition] = read_spending_limit(teams_map.child(name, *teams_map.take(name)));
    }
  }
}

market::MarketSettings read_market(yaml::Map entry, Names& names) {
  market::MarketSettings market;
  market.name = entry.text("name");
  if (!wire::valid_id(market.name) || market.name.find('.') != std::string::npos)
    entry.fail("name", "not usable as a market's name: must be 1 to 120 letters, digits, '-' and '_'");
  if (names.markets.find(market.name).valid()) entry.fail("name", "named twice");
  market.address = entry.text("address");
  check_market_address(entry, market.address);
  entry.number("rps", market.requests_per_s, 0.1, 1000);
  entry.flag("paused", market.paused);
  entry.flag("forgive", market.reinstate);
  entry.reject_unknown_keys();
  market.index = names.markets.intern(market.name);
  return market;
}

}  // namespace

void read_markets(yaml::Map map, market::Settings& settings, Names& names) {
  map.number("window_s", settings.window_s, 60, 366 * seconds_per_day);
  map.number("term_s", settings.max_paid_s, 60, 7 * seconds_per_day);
  map.number("quote_every_s", settings.quote_interval_s, 0.5, 600);
  map.number("answer_s", settings.answer_timeout_s, 0.1, 60);
  map.number("patience_s", settings.delivery_tolerance_s, 1, seconds_per_day);
  map.number("spare_share", settings.extra_fraction, 0, 10);
  map.number("trial_share", settings.trial_fraction, 0, 1);
  map.number("limit_factor", settings.limit_factor, 0.01, 100);
  map.number("starve_s", settings.starvation_threshold_s, 0, 30 * seconds_per_day);
  map.number("starve_share", settings.starvation_fraction, 0, 1);
  read_spending_limits(map, settings, names);
  auto list = map.take("list");
  if (!list || !list->IsSequence() || list->size() == 0) map.fail("list", "missing or not a list of markets");
  for (std::size_t i = 0; i < list->size(); ++i)
    settings.markets.push_back(read_market(map.child("list[" + std::to_string(i) + "]", (*list)[i]), names));
  map.reject_unknown_keys();
}

}  // namespace oxbowmill::config
