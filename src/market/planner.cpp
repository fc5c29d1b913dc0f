#include "oxbowmill/market/planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

#include "oxbowmill/market/min_cost_flow.h"
#include "oxbowmill/market/remaining_budget.h"

namespace oxbowmill::market {

namespace {
// Search for the penalty on committed money with which the flow fits the spending limits.
constexpr int bisection_steps = 14;
constexpr int max_penalty_increases = 40;     // increases before the bisection
constexpr double penalty_growth = 4;          // factor of each increase
constexpr double prohibitive_penalty = 1e12;  // no saving is worth committing money
constexpr double rounding_tolerance = 1e-9;   // in machines
constexpr int max_improvements = 32;
constexpr std::size_t max_matches_to_improve = 32;
constexpr double min_improvement = 1e-9;  // of the expected cost, in the currency
constexpr std::size_t no_match = std::numeric_limits<std::size_t>::max(), no_demand = no_match;
constexpr std::size_t source_node = 0, sink_node = 1, first_inner_node = 2;

constexpr std::array<BidPriority, 5> priorities_in_order = {BidPriority::guaranteed, BidPriority::starved,
                                                            BidPriority::high, BidPriority::standard,
                                                            BidPriority::best_effort};

/// Whether awards serve the demands or are bought in addition.
enum class AwardKind : std::uint8_t { ordinary, extra };

/// Which units are moved from the cloud to markets first.
enum class ExchangeOrder : std::uint8_t { saving, saving_per_money };

/// A demand, an offer that can serve it, and the units assigned to both.
struct Match {
  std::size_t demand_index, offer_index;
  double machines_per_unit;
  double cost;           // expected cost of one unit
  double gain;           // expected saving per unit compared with leaving it unserved
  MoneyAmount limit;     // price limit, in millionths per machine and hour
  std::size_t edge = 0;  // index in the flow network
  std::uint32_t units = 0;

  std::uint32_t machines(std::uint32_t unit_count) const {
    return static_cast<std::uint32_t>(std::ceil(unit_count * machines_per_unit - rounding_tolerance));
  }
};

/// Computes one plan.
class Solver {
 public:
  Solver(const std::vector<Demand>& demands, const std::vector<Offer>& offers, const Ledger& ledger,
         double reference_price, const Settings& settings)
      : demands_(demands),
        offers_(offers),
        reference_price_(reference_price),
        settings_(settings),
        remaining_(demands, offers, ledger, settings) {}

  Plan solve() {
    for (const Demand& demand : demands_) wanted_.push_back(demand.machines);
    plan_.unmet_units = wanted_;
    for (BidPriority priority : priorities_in_order) serve_priority(priority, AwardKind::ordinary);
    set_extra_demand();
    for (BidPriority priority : priorities_in_order) serve_priority(priority, AwardKind::extra);
    for (std::size_t i = 0; i < demands_.size(); ++i)
      plan_.cost += plan_.unmet_units[i] * Pricing::unserved_cost(demands_[i], reference_price_);
    return std::move(plan_);
  }

 private:
  /// Indices of the nodes in the flow network; 0: no node.
  struct NetworkNodes {
    std::vector<std::size_t> by_demand, by_offer;
    std::vector<std::size_t> by_market;  // unproven markets only; their offers share one bound
    std::size_t count = first_inner_node;
  };

  bool is_unproven(const Offer& offer) const { return offer.market.valid() && !offer.is_proven; }

  /// Sets the extra units to the machines of unproven markets that are not expected in time.
  void set_extra_demand() {
    std::vector<double> expected_missing(demands_.size(), 0);
    for (const Award& award : plan_.awards) {
      const Offer& offer = offers_[award.offer_index];
      if (!is_unproven(offer)) continue;
      expected_missing[award.demand_index] +=
          award.machines * (1 - Pricing::on_time_probability(demands_[award.demand_index], offer, settings_));
    }
    for (std::size_t i = 0; i < demands_.size(); ++i)
      wanted_[i] =
          std::min(static_cast<std::uint32_t>(std::lround(expected_missing[i])), demands_[i].extra_machines);
  }

  void serve_priority(BidPriority priority, AwardKind kind) {
    std::vector<Match> matches = find_matches(priority);
    if (matches.empty()) return;
    solve_whole_machines(matches);
    for (const Match& match : matches) add_award(match, kind);
  }

  /// Sets the units of all matches. Where a spending limit binds, whole machines can be chosen in several
  /// ways, none of which is always the best, so the one with the highest gain is taken.
  void solve_whole_machines(std::vector<Match>& matches) const {
    const std::vector<Match> unsolved = matches;
    solve_flow(matches, 0);
    if (fits(matches)) return round_up(matches, ExchangeOrder::saving);
    std::vector<Match> within_budget = unsolved, without_markets = unsolved;
    solve_within_budget(within_budget);
    solve_flow(without_markets, prohibitive_penalty);
    double highest_gain = -std::numeric_limits<double>::infinity();
    for (const std::vector<Match>& start : {within_budget, without_markets}) {
      for (ExchangeOrder order : {ExchangeOrder::saving, ExchangeOrder::saving_per_money}) {
        std::vector<Match> candidate = start;
        round_up(candidate, order);
        improve(candidate, order);
        double gain = total_gain(candidate);
        if (gain <= highest_gain) continue;
        highest_gain = gain;
        matches = std::move(candidate);
      }
    }
  }

  /// Gives the machines of one match to others as long as that raises the gain, up to a limit of steps. In a
  /// large plan a single machine matters little, and this would take long.
  void improve(std::vector<Match>& matches, ExchangeOrder order) const {
    if (matches.size() > max_matches_to_improve) return;
    for (int step = 0; step < max_improvements; ++step) {
      if (!improve_once(matches, order)) return;
    }
  }

  bool improve_once(std::vector<Match>& matches, ExchangeOrder order) const {
    const double gain = total_gain(matches);
    for (std::size_t i = 0; i < matches.size(); ++i) {
      if (matches[i].units == 0) continue;
      for (const Removal& removal :
           {Removal{1, i, no_demand}, Removal{matches[i].units, i, no_demand},
            Removal{1, i, matches[i].demand_index}, Removal{matches[i].units, i, matches[i].demand_index}}) {
        std::vector<Match> candidate = without(removal, matches, order);
        if (total_gain(candidate) <= gain + min_improvement) continue;
        matches = std::move(candidate);
        return true;
      }
    }
    return false;
  }

  /// Units that are taken from a match. At first no unit is added to that match, nor for `excluded_demand`.
  struct Removal {
    std::uint32_t units;
    std::size_t match, excluded_demand;
  };

  std::vector<Match> without(const Removal& removal, std::vector<Match> matches, ExchangeOrder order) const {
    matches[removal.match].units -= removal.units;
    round_up(matches, order, removal.match, removal.excluded_demand);
    round_up(matches, order);  // uses what the first one has released
    return matches;
  }

  static double total_gain(const std::vector<Match>& matches) {
    return std::accumulate(matches.begin(), matches.end(), 0.0,
                           [](double sum, const Match& match) { return sum + match.units * match.gain; });
  }

  std::vector<Match> find_matches(BidPriority priority) const {
    std::vector<Match> matches;
    for (std::size_t demand_index = 0; demand_index < demands_.size(); ++demand_index) {
      const Demand& demand = demands_[demand_index];
      if (demand.priority != priority || wanted_[demand_index] == 0) continue;
      for (std::size_t offer_index = 0; offer_index < offers_.size(); ++offer_index) {
        const Offer& offer = offers_[offer_index];
        double machines_per_unit = Pricing::machines_per_unit(demand, offer);
        if (machines_per_unit <= 0 || remaining_.machines_left(offer_index) == 0) continue;
        double limit = Pricing::bid_limit(demand, offer, reference_price_, settings_);
        if (limit < offer.quoted_price) continue;
        double cost = machines_per_unit * Pricing::expected_cost(demand, offer, reference_price_, settings_);
        double gain = Pricing::unserved_cost(demand, reference_price_) - cost;
        if (gain <= 0) continue;
        matches.push_back({demand_index, offer_index, machines_per_unit, cost, gain, to_money_amount(limit)});
      }
    }
    return matches;
  }

  /// Solves the flow with a penalty on committed money (a Lagrange multiplier), which is increased until the
  /// flow fits the spending limits, and bisects to the lowest such penalty.
  void solve_within_budget(std::vector<Match>& matches) const {
    const std::vector<Match> unsolved = matches;
    double low = 0, high = 1;
    for (int i = 0; i < max_penalty_increases; ++i, high *= penalty_growth) {
      solve_flow(matches, high);
      if (fits(matches)) break;
      low = high;
    }
    for (int i = 0; i < bisection_steps; ++i) {
      double middle = (low + high) / 2;
      std::vector<Match> candidate = unsolved;
      solve_flow(candidate, middle);
      if (fits(candidate)) {
        high = middle;
        matches = std::move(candidate);
      } else {
        low = middle;
      }
    }
  }

  /// Sets the units of all matches to the minimum-cost flow with `penalty` on each committed unit of the
  /// currency.
  void solve_flow(std::vector<Match>& matches, double penalty) const {
    NetworkNodes nodes = number_nodes(matches);
    MinCostFlow network(nodes.count);
    add_bounds(network, nodes);
    for (Match& match : matches) {
      const Offer& offer = offers_[match.offer_index];
      double committed_rate = offer.market.valid() ? match.machines_per_unit * to_currency(match.limit) : 0;
      match.edge = network.add_edge(
          nodes.by_demand[match.demand_index], nodes.by_offer[match.offer_index], max_units(match),
          -match.gain + penalty * committed_rate * settings_.max_paid_s / seconds_per_hour);
    }
    network.run(source_node, sink_node);
    for (Match& match : matches) match.units = network.flow_through(match.edge);
  }

  NetworkNodes number_nodes(const std::vector<Match>& matches) const {
    NetworkNodes nodes;
    nodes.by_demand.assign(demands_.size(), 0);
    nodes.by_offer.assign(offers_.size(), 0);
    nodes.by_market.assign(remaining_.market_count(), 0);
    auto number = [&nodes](std::size_t& node) {
      if (node == 0) node = nodes.count++;
    };
    for (const Match& match : matches) {
      number(nodes.by_demand[match.demand_index]);
      number(nodes.by_offer[match.offer_index]);
    }
    for (const Match& match : matches) {
      const Offer& offer = offers_[match.offer_index];
      if (is_unproven(offer)) number(nodes.by_market[offer.market.value]);
    }
    return nodes;
  }

  /// Adds the edges that bound the flow by the demands, the offers and the allowance of unproven markets.
  void add_bounds(MinCostFlow& network, const NetworkNodes& nodes) const {
    for (std::size_t i = 0; i < demands_.size(); ++i) {
      if (nodes.by_demand[i] != 0) network.add_edge(source_node, nodes.by_demand[i], wanted_[i], 0);
    }
    for (std::size_t i = 0; i < offers_.size(); ++i) {
      if (nodes.by_offer[i] == 0) continue;
      std::size_t to = is_unproven(offers_[i]) ? nodes.by_market[offers_[i].market.value] : sink_node;
      network.add_edge(nodes.by_offer[i], to, remaining_.machines_left(i), 0);
    }
    for (std::size_t i = 0; i < nodes.by_market.size(); ++i) {
      if (nodes.by_market[i] != 0)
        network.add_edge(nodes.by_market[i], sink_node, remaining_.unproven_machines_left(i), 0);
    }
  }

  std::uint32_t max_units(const Match& match) const {
    // The offer bounds machines, of which one unit may take several.
    auto max_count =
        static_cast<std::uint32_t>(remaining_.machines_left(match.offer_index) / match.machines_per_unit);
    // Prevents a demand from relying on an unproven market alone.
    if (is_unproven(offers_[match.offer_index]))
      max_count = std::min(max_count, static_cast<std::uint32_t>(std::ceil(
                                          settings_.trial_fraction * demands_[match.demand_index].machines)));
    return std::min(max_count, wanted_[match.demand_index]);
  }

  bool reserve(RemainingBudget& budget, const Match& match, std::uint32_t machines) const {
    const Demand& demand = demands_[match.demand_index];
    return budget.reserve(
        {match.offer_index, machines, match.limit, settings_.max_paid_s, demand.priority, demand.partition},
        offers_[match.offer_index]);
  }

  bool fits(const std::vector<Match>& matches) const {
    RemainingBudget budget = remaining_;
    return std::all_of(matches.begin(), matches.end(), [&](const Match& match) {
      return match.units == 0 || reserve(budget, match, match.machines(match.units));
    });
  }

  /// Removes units that do not fit, then adds single units that still fit, those with the highest gain first.
  /// Adds none to the excluded match and none for the excluded demand.
  void round_up(std::vector<Match>& matches, ExchangeOrder exchange_order,
                std::size_t excluded_match = no_match, std::size_t excluded_demand = no_demand) const {
    RemainingBudget budget = remaining_;
    std::vector<std::uint32_t> unserved = wanted_;
    for (Match& match : matches) {
      shrink_to_fit(match, budget);
      unserved[match.demand_index] -= match.units;
    }
    std::vector<std::size_t> order(matches.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return matches[a].gain > matches[b].gain; });
    for (std::size_t i : order) {
      if (i != excluded_match && matches[i].demand_index != excluded_demand)
        grow(matches[i], budget, unserved[matches[i].demand_index]);
    }
    exchange_cloud_units(matches, exchange_order, budget);
  }

  /// A match with the cloud and one with a market that could serve the same demand for less.
  struct Exchange {
    std::size_t cloud_match, market_match;
    double rank;  // the highest first
  };

  /// Moves units from the cloud to markets while that fits. The penalty on committed money treats all units
  /// of a match alike, so the flow may leave money that is enough for single machines.
  void exchange_cloud_units(std::vector<Match>& matches, ExchangeOrder order, RemainingBudget& budget) const {
    for (const Exchange& exchange : find_exchanges(matches, order)) {
      Match& from = matches[exchange.cloud_match];
      Match& to = matches[exchange.market_match];
      while (from.units > 0 && to.units < max_units(to) && grow_by_one(to, budget)) --from.units;
    }
  }

  std::vector<Exchange> find_exchanges(const std::vector<Match>& matches, ExchangeOrder order) const {
    std::vector<Exchange> exchanges;
    for (std::size_t from = 0; from < matches.size(); ++from) {
      if (matches[from].units == 0 || offers_[matches[from].offer_index].market.valid()) continue;
      for (std::size_t to = 0; to < matches.size(); ++to) {
        double saving = matches[to].gain - matches[from].gain;
        bool serves_same_demand = matches[to].demand_index == matches[from].demand_index;
        if (serves_same_demand && saving > 0 && offers_[matches[to].offer_index].market.valid())
          exchanges.push_back({from, to, rank_of(saving, matches[to], order)});
      }
    }
    std::stable_sort(exchanges.begin(), exchanges.end(),
                     [](const Exchange& a, const Exchange& b) { return a.rank > b.rank; });
    return exchanges;
  }

  static double rank_of(double saving, const Match& market_match, ExchangeOrder order) {
    if (order == ExchangeOrder::saving) return saving;
    return saving / (market_match.machines_per_unit * to_currency(market_match.limit));
  }

  /// Removes units until the match fits. Rounding up to whole machines for each match may exceed an offer.
  void shrink_to_fit(Match& match, RemainingBudget& budget) const {
    for (; match.units > 0; --match.units) {
      RemainingBudget trial = budget;
      if (!reserve(trial, match, match.machines(match.units))) continue;
      budget = std::move(trial);
      return;
    }
  }

  /// Adds units while they fit. Machines are rounded up once for the whole match, so a unit may need no
  /// additional machine.
  void grow(Match& match, RemainingBudget& budget, std::uint32_t& unserved) const {
    while (unserved > 0 && grow_by_one(match, budget)) --unserved;
  }

  /// Adds a unit if it fits. Returns whether it does.
  bool grow_by_one(Match& match, RemainingBudget& budget) const {
    RemainingBudget trial = budget;
    std::uint32_t additional = match.machines(match.units + 1) - match.machines(match.units);
    if (additional != 0 && !reserve(trial, match, additional)) return false;
    budget = std::move(trial);
    ++match.units;
    return true;
  }

  void add_award(const Match& match, AwardKind kind) {
    if (match.units == 0) return;
    std::uint32_t machines = match.machines(match.units);
    reserve(remaining_, match, machines);
    plan_.awards.push_back({match.demand_index, match.offer_index, machines, kind == AwardKind::extra});
    if (kind == AwardKind::extra) return;
    plan_.unmet_units[match.demand_index] -= match.units;
    plan_.cost += match.units * match.cost;
  }

  const std::vector<Demand>& demands_;
  const std::vector<Offer>& offers_;
  double reference_price_;  // the currency per hour
  const Settings& settings_;
  RemainingBudget remaining_;
  Plan plan_;
  std::vector<std::uint32_t> wanted_;  // by demand, in units
};

}  // namespace

Plan make_plan(const std::vector<Demand>& demands, const std::vector<Offer>& offers, const Ledger& ledger,
               double reference_price, const Settings& settings) {
  return Solver(demands, offers, ledger, reference_price, settings).solve();
}

}  // namespace oxbowmill::market
