#include "oxbowmill/market/planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <tuple>

namespace oxbowmill::market {

namespace {
constexpr double deadline_weight =
    0.7;  // of lateness is judged by the last moment, the rest by the patience beyond
constexpr double min_run_s = 60;
constexpr int price_steps = 14;

/// What a machine that does not come in time costs, in machine-hours of the reference price.
double lateness_weight(BidPriority demand_class) {
  switch (demand_class) {
    case BidPriority::guaranteed:
      return 12;
    case BidPriority::high:
      return 8;
    case BidPriority::starved:
    case BidPriority::standard:
      return 5;
    case BidPriority::best_effort:
      return 2.5;
  }
  return 1;
}

double run_hours(const Demand& demand) {
  return std::max(demand.run_s, min_run_s) / 3600;
}

/// Least-cost flow by successive shortest paths; costs may be negative only on edges from the source side,
/// which Bellman and Ford's order takes without potentials. Units are machines.
class MinCostFlow {
 public:
  explicit MinCostFlow(std::size_t nodes) : outgoing_(nodes) {}
  std::size_t add_edge(std::size_t from, std::size_t to, std::uint32_t capacity, double cost) {
    edges_.push_back({to, capacity, cost});
    edges_.push_back({from, 0, -cost});
    outgoing_[from].push_back(edges_.size() - 2);
    outgoing_[to].push_back(edges_.size() - 1);
    return edges_.size() - 2;
  }
  void run(std::size_t source, std::size_t sink) {
    while (augment(source, sink)) {
    }
  }
  std::uint32_t flow_through(std::size_t edge_index) const { return edges_[edge_index ^ 1].capacity; }

 private:
  struct Edge {
    std::size_t to;
    std::uint32_t capacity;
    double cost;
  };
  bool augment(std::size_t source, std::size_t sink) {
    constexpr double far = std::numeric_limits<double>::infinity();
    constexpr double tolerance = 1e-12;
    std::vector<double> dist(outgoing_.size(), far);
    std::vector<std::size_t> incoming_edge(outgoing_.size(), 0);
    std::vector<bool> queued(outgoing_.size(), false);
    std::vector<std::size_t> queue{source};
    dist[source] = 0;
    for (std::size_t i = 0; i < queue.size(); ++i) {
      std::size_t n = queue[i];
      queued[n] = false;
      for (std::size_t edge_index : outgoing_[n]) {
        const Edge& edge = edges_[edge_index];
        if (edge.capacity == 0 || dist[n] + edge.cost >= dist[edge.to] - tolerance) continue;
        dist[edge.to] = dist[n] + edge.cost;
        incoming_edge[edge.to] = edge_index;
        if (!queued[edge.to]) {
          queued[edge.to] = true;
          queue.push_back(edge.to);
        }
      }
    }
    if (!(dist[sink] < 0)) return false;  // nothing more is worth its cost
    std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    for (std::size_t n = sink; n != source; n = edges_[incoming_edge[n] ^ 1].to)
      most = std::min(most, edges_[incoming_edge[n]].capacity);
    for (std::size_t n = sink; n != source; n = edges_[incoming_edge[n] ^ 1].to) {
      edges_[incoming_edge[n]].capacity -= most;
      edges_[incoming_edge[n] ^ 1].capacity += most;
    }
    return true;
  }
  std::vector<Edge> edges_;
  std::vector<std::vector<std::size_t>> outgoing_;
};

/// What is left while claims are served one after the other.
struct RemainingBudget {
  std::vector<std::uint32_t> offers;        // machines
  std::vector<std::uint32_t> unproven;      // by market: machines that an unproven one may still get
  MoneyAmount per_hour = 0, in_window = 0;  // of the whole ceiling; below 0: none
  MoneyAmount starved = 0;                  // per hour, for work that starved
  struct Team {
    MoneyAmount per_hour = -1, in_window = -1;
  };
  std::map<PartitionIndex, Team> teams;
};

MoneyAmount remaining(MoneyAmount ceiling, MoneyAmount used) {
  return ceiling <= 0 ? -1 : std::max<MoneyAmount>(0, ceiling - used);
}

class Solver {
 public:
  Solver(const std::vector<Demand>& demands, const std::vector<Offer>& offers, const Ledger& ledger,
         double reference, const Settings& settings)
      : demands_(demands), offers_(offers), reference_price_(reference), settings_(settings) {
    std::size_t markets = 0;
    for (const Offer& o : offers) {
      remaining_.offers.push_back(o.max_machines);
      if (o.market.valid()) markets = std::max<std::size_t>(markets, o.market.value + 1);
    }
    std::uint32_t all = 0;
    for (const Demand& d : demands) all += d.machines;
    auto trial = static_cast<std::uint32_t>(std::ceil(settings.trial_fraction * all));
    remaining_.unproven.assign(markets, std::max<std::uint32_t>(trial, 1));
    Ledger::Usage use = ledger.usage();
    remaining_.per_hour = remaining(settings.total_limit.per_hour, use.per_hour);
    remaining_.in_window = remaining(settings.total_limit.per_window, use.in_window);
    auto share = static_cast<MoneyAmount>(settings.starvation_fraction *
                                          static_cast<double>(settings.total_limit.per_hour));
    remaining_.starved = remaining(share, ledger.starved_per_hour());
    for (const auto& [partition, c] : settings.team_limits) {
      Ledger::Usage team = ledger.usage(partition);
      remaining_.teams[partition] = {remaining(c.per_hour, team.per_hour),
                                     remaining(c.per_window, team.in_window)};
    }
  }

  Plan solve() {
    for (const Demand& d : demands_) wanted_.push_back(d.machines);
    plan_.unmet = wanted_;
    for (BidPriority c : {BidPriority::guaranteed, BidPriority::starved, BidPriority::high,
                          BidPriority::standard, BidPriority::best_effort})
      serve_priority(c, false);
    set_extra_demand();
    for (BidPriority c : {BidPriority::guaranteed, BidPriority::starved, BidPriority::high,
                          BidPriority::standard, BidPriority::best_effort})
      serve_priority(c, true);
    for (std::size_t d = 0; d < demands_.size(); ++d)
      plan_.cost += plan_.unmet[d] * Pricing::unserved_cost(demands_[d], reference_price_);
    return std::move(plan_);
  }

 private:
  struct Pair {
    std::size_t demand, offer;
    double machines_per_unit, cost, gain;  // gain: over leaving it unserved
    MoneyAmount limit;                     // per machine
    std::size_t edge = 0;
    std::uint32_t units = 0;
  };

  void set_extra_demand() {
    std::vector<double> short_of(demands_.size(), 0);
    for (const Award& award : plan_.awards) {
      const Demand& demand = demands_[award.demand];
      const Offer& o = offers_[award.offer];
      if (!o.market.valid()) continue;
      if (o.proven) continue;
      short_of[award.demand] += award.machines * (1 - Pricing::on_time_probability(demand, o, settings_));
    }
    for (std::size_t d = 0; d < demands_.size(); ++d) {
      wanted_[d] = std::min(static_cast<std::uint32_t>(std::lround(short_of[d])), demands_[d].extra_machines);
    }
  }

  void serve_priority(BidPriority priority, bool extra) {
    std::vector<Pair> pairs;
    for (std::size_t demand_index = 0; demand_index < demands_.size(); ++demand_index) {
      if (demands_[demand_index].priority != priority || wanted_[demand_index] == 0) continue;
      for (std::size_t offer_index = 0; offer_index < offers_.size(); ++offer_index) {
        double machines_per_unit = Pricing::machines_per_unit(demands_[demand_index], offers_[offer_index]);
        if (machines_per_unit <= 0 || remaining_.offers[offer_index] == 0) continue;
        double limit =
            Pricing::bid_limit(demands_[demand_index], offers_[offer_index], reference_price_, settings_);
        if (limit < offers_[offer_index].quoted_price) continue;
        double cost = machines_per_unit * Pricing::expected_cost(demands_[demand_index], offers_[offer_index],
                                                                 reference_price_, settings_);
        double gain = Pricing::unserved_cost(demands_[demand_index], reference_price_) - cost;
        if (gain <= 0) continue;
        pairs.push_back({demand_index, offer_index, machines_per_unit, cost, gain, to_money_amount(limit)});
      }
    }
    if (pairs.empty()) return;
    // Without a ceiling in the way the flow is the answer. With one, money gets a price of its own that is
    // raised until the flow fits; what is left after that goes to the best of the rest.
    std::vector<Pair> best = pairs;
    solve_flow(best, 0);
    if (!fits(best)) {
      double low = 0, high = 1;
      for (int i = 0; i < 40; ++i, high *= 4) {
        solve_flow(best, high);
        if (fits(best)) break;
        low = high;
      }
      for (int i = 0; i < price_steps; ++i) {
        double middle = (low + high) / 2;
        std::vector<Pair> tried = pairs;
        solve_flow(tried, middle);
        if (fits(tried)) {
          high = middle;
          best = std::move(tried);
        } else {
          low = middle;
        }
      }
    }
    fill(best);
    for (const Pair& p : best) award(p, p.units, extra);
  }

  /// Solves for one claim with `price` on every unit of money that is committed.
  void solve_flow(std::vector<Pair>& pairs, double price) {
    std::vector<std::size_t> demand_node(demands_.size(), 0), offer_node(offers_.size(), 0);
    std::size_t nodes = 2;
    for (const Pair& p : pairs) {
      if (demand_node[p.demand] == 0) demand_node[p.demand] = nodes++;
      if (offer_node[p.offer] == 0) offer_node[p.offer] = nodes++;
    }
    std::vector<std::size_t> market_node(remaining_.unproven.size(), 0);
    for (const Pair& p : pairs) {
      const Offer& o = offers_[p.offer];
      if (o.market.valid() && !o.proven && market_node[o.market.value] == 0)
        market_node[o.market.value] = nodes++;
    }
    MinCostFlow network(nodes);
    for (std::size_t d = 0; d < demands_.size(); ++d) {
      if (demand_node[d] != 0) network.add_edge(0, demand_node[d], wanted_[d], 0);
    }
    for (std::size_t offer_index = 0; offer_index < offers_.size(); ++offer_index) {
      if (offer_node[offer_index] == 0) continue;
      const Offer& offer = offers_[offer_index];
      bool trial = offer.market.valid() && !offer.proven;
      network.add_edge(offer_node[offer_index], trial ? market_node[offer.market.value] : 1,
                       remaining_.offers[offer_index], 0);
    }
    for (std::size_t m = 0; m < market_node.size(); ++m) {
      if (market_node[m] != 0) network.add_edge(market_node[m], 1, remaining_.unproven[m], 0);
    }
    for (Pair& pair : pairs) {
      double committed_cost =
          offers_[pair.offer].market.valid() ? pair.machines_per_unit * to_currency(pair.limit) : 0;
      // A unit that takes more than one machine of the offer is bounded by the offer in those machines.
      auto most = static_cast<std::uint32_t>(remaining_.offers[pair.offer] / pair.machines_per_unit);
      // Nor does one demand hang on an unproven market alone.
      if (offers_[pair.offer].market.valid() && !offers_[pair.offer].proven)
        most = std::min(most, static_cast<std::uint32_t>(
                                  std::ceil(settings_.trial_fraction * demands_[pair.demand].machines)));
      pair.edge = network.add_edge(demand_node[pair.demand], offer_node[pair.offer],
                                   std::min(most, wanted_[pair.demand]),
                                   -pair.gain + price * committed_cost * settings_.max_paid_s / 3600);
    }
    network.run(0, 1);
    for (Pair& p : pairs) p.units = network.flow_through(p.edge);
  }

  std::uint32_t machines(const Pair& pair, std::uint32_t units) const {
    return static_cast<std::uint32_t>(std::ceil(units * pair.machines_per_unit - 1e-9));
  }

  bool reserve_budget(RemainingBudget& left, const Pair& pair, std::uint32_t units) const {
    std::uint32_t n = machines(pair, units);
    const Offer& offer = offers_[pair.offer];
    if (left.offers[pair.offer] < n) return false;
    if (offer.market.valid()) {
      auto spend = [](MoneyAmount& have, MoneyAmount cost) {
        if (have < 0) return true;
        if (have < cost) return false;
        have -= cost;
        return true;
      };
      MoneyAmount hour = pair.limit * static_cast<MoneyAmount>(n);
      MoneyAmount worst = worst_case(pair.limit, settings_.max_paid_s, n);
      bool allowed = spend(left.per_hour, hour) && spend(left.in_window, worst);
      if (demands_[pair.demand].priority == BidPriority::starved)
        allowed = allowed && spend(left.starved, hour);
      auto team = left.teams.find(demands_[pair.demand].partition);
      if (team != left.teams.end())
        allowed = allowed && spend(team->second.per_hour, hour) && spend(team->second.in_window, worst);
      if (!offer.proven) {
        allowed = allowed && left.unproven[offer.market.value] >= n;
        left.unproven[offer.market.value] -= std::min(left.unproven[offer.market.value], n);
      }
      if (!allowed) return false;
    }
    left.offers[pair.offer] -= n;
    return true;
  }

  bool fits(const std::vector<Pair>& pairs) const {
    RemainingBudget left = remaining_;
    return std::all_of(pairs.begin(), pairs.end(), [&](const Pair& pair) {
      return pair.units == 0 || reserve_budget(left, pair, pair.units);
    });
  }

  /// Adds single units where they still fit, the best of them first.
  void fill(std::vector<Pair>& pairs) const {
    RemainingBudget left = remaining_;
    std::vector<std::uint32_t> open = wanted_;
    for (Pair& pair : pairs) {
      // Units of several demands may round up beyond what an offer has.
      while (pair.units > 0) {
        RemainingBudget trial = left;
        if (reserve_budget(trial, pair, pair.units)) {
          left = std::move(trial);
          break;
        }
        --pair.units;
      }
      open[pair.demand] -= pair.units;
    }
    std::vector<std::size_t> order(pairs.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return std::make_tuple(-pairs[a].gain, a) < std::make_tuple(-pairs[b].gain, b);
    });
    for (std::size_t i : order) {
      Pair& pair = pairs[i];
      while (open[pair.demand] > 0) {
        // The whole pair is paid for again, since machines are rounded up once for it.
        RemainingBudget trial = left;
        std::uint32_t more = machines(pair, pair.units + 1) - machines(pair, pair.units);
        Pair one = pair;
        one.machines_per_unit = more;
        if (more != 0 && !reserve_budget(trial, one, 1)) break;
        left = std::move(trial);
        ++pair.units;
        --open[pair.demand];
      }
    }
  }

  void award(const Pair& pair, std::uint32_t units, bool extra) {
    if (units == 0) return;
    reserve_budget(remaining_, pair, units);
    plan_.awards.push_back({pair.demand, pair.offer, machines(pair, units), extra});
    if (extra) return;
    plan_.unmet[pair.demand] -= units;
    plan_.cost += units * pair.cost;
  }

  const std::vector<Demand>& demands_;
  const std::vector<Offer>& offers_;
  double reference_price_;
  const Settings& settings_;
  RemainingBudget remaining_;
  Plan plan_;
  std::vector<std::uint32_t> wanted_;  // by demand, in units
};

}  // namespace

BidPriority priority_of(const UnmetDemand& unmet_demand, const Settings& settings) {
  if (unmet_demand.guaranteed) return BidPriority::guaranteed;
  if (unmet_demand.priority == Priority::low)
    return unmet_demand.waited_s > settings.starvation_threshold_s ? BidPriority::starved
                                                                   : BidPriority::best_effort;
  return unmet_demand.priority >= Priority::high ? BidPriority::high : BidPriority::standard;
}

double Pricing::unserved_cost(const Demand& demand, double reference) {
  return lateness_weight(demand.priority) * reference * run_hours(demand);
}

double Pricing::machines_per_unit(const Demand& demand, const Offer& offer) {
  if (offer.spot && !demand.spot) return 0;
  if (demand.zone.valid() && demand.zone != offer.zone) return 0;
  if (offer.type.value >= demand.per_machine.size() || demand.per_machine[offer.type.value] == 0) return 0;
  double most = *std::max_element(demand.per_machine.begin(), demand.per_machine.end());
  return most / demand.per_machine[offer.type.value];
}

double Pricing::bid_limit(const Demand& demand, const Offer& offer, double reference,
                          const Settings& settings) {
  if (!offer.market.valid()) return offer.price_limit;
  // Best-effort work takes what is quoted and never outbids.
  if (demand.priority == BidPriority::best_effort || demand.priority == BidPriority::starved)
    return std::min(offer.quoted_price, settings.limit_factor * reference);
  // Nobody pays more than what the work is worth being there.
  return std::min(
      {offer.price_limit, lateness_weight(demand.priority) * reference, settings.limit_factor * reference});
}

double Pricing::on_time_probability(const Demand& demand, const Offer& offer, const Settings& settings) {
  double slack = std::isfinite(demand.slack_s) ? demand.slack_s : settings.delivery_tolerance_s;
  // Work that is late already is still worth having there soon: what cannot be in time is not left for ever.
  double later = std::max(slack, 0.0) + offer.promised_delivery_s + settings.delivery_tolerance_s;
  double moment = deadline_weight * std::clamp(slack / settings.delivery_tolerance_s, 0.0, 1.0);
  double chance = moment * offer.delivery_distribution.probability_within(slack) +
                  (1 - moment) * offer.delivery_distribution.probability_within(later);
  return offer.delivered_fraction * chance;
}

double Pricing::expected_cost(const Demand& demand, const Offer& offer, double reference,
                              const Settings& settings) {
  // What comes is paid for, also when late; what never comes costs nothing but its lateness.
  return offer.delivered_fraction * offer.expected_price * run_hours(demand) +
         (1 - on_time_probability(demand, offer, settings)) * unserved_cost(demand, reference);
}

std::vector<Demand> group_demands(const std::vector<UnmetDemand>& needs, const Settings& settings) {
  std::vector<Demand> out;
  auto bucket = [](Seconds slack) {
    // Alike within a fifth of a doubling; what is late already is all alike.
    return !std::isfinite(slack) ? 1e9 : slack < 5 ? 0 : std::floor(5 * std::log2(slack));
  };
  std::map<
      std::tuple<BidPriority, PartitionIndex, bool, ZoneIndex, std::vector<std::uint32_t>, double, double>,
      std::size_t>
      seen;
  for (std::size_t i = 0; i < needs.size(); ++i) {
    const UnmetDemand& unmet_demand = needs[i];
    std::uint32_t tasks_per_machine =
        unmet_demand.tasks_per_machine.empty()
            ? 0
            : *std::max_element(unmet_demand.tasks_per_machine.begin(), unmet_demand.tasks_per_machine.end());
    if (tasks_per_machine == 0 || unmet_demand.tasks == 0) continue;
    BidPriority priority = priority_of(unmet_demand, settings);
    double run = std::floor(2 * std::log2(std::max(unmet_demand.estimated_run_s, min_run_s)));
    auto [it, fresh] =
        seen.try_emplace({priority, unmet_demand.partition, unmet_demand.spot, unmet_demand.zone,
                          unmet_demand.tasks_per_machine, bucket(unmet_demand.slack_s), run},
                         out.size());
    if (fresh)
      out.push_back({priority,
                     unmet_demand.partition,
                     unmet_demand.spot,
                     unmet_demand.zone,
                     unmet_demand.tasks_per_machine,
                     0,
                     0,
                     unmet_demand.estimated_run_s,
                     unmet_demand.slack_s,
                     {}});
    Demand& d = out[it->second];
    d.machines += (unmet_demand.tasks + tasks_per_machine - 1) / tasks_per_machine;
    d.slack_s = std::min(d.slack_s, unmet_demand.slack_s);
    d.unmet_demands.push_back(i);
  }
  for (Demand& d : out)
    d.extra_machines = static_cast<std::uint32_t>(std::ceil(settings.extra_fraction * d.machines));
  return out;
}

Plan make_plan(const std::vector<Demand>& demands, const std::vector<Offer>& offers, const Ledger& ledger,
               double reference, const Settings& settings) {
  return Solver(demands, offers, ledger, reference, settings).solve();
}

}  // namespace oxbowmill::market
