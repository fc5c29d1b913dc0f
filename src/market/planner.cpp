#include "oxbowmill/market/planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <tuple>

namespace oxbowmill::market {

namespace {
constexpr double moment_share =
    0.7;  // of lateness is judged by the last moment, the rest by the patience beyond
constexpr double shortest_use_s = 60;
constexpr int price_steps = 14;

/// What a machine that does not come in time costs, in machine-hours of the reference price.
double weight(Claim c) {
  switch (c) {
    case Claim::guaranteed:
      return 12;
    case Claim::high:
      return 8;
    case Claim::starved:
    case Claim::standard:
      return 5;
    case Claim::best_effort:
      return 2.5;
  }
  return 1;
}

double hours(const Demand& d) {
  return std::max(d.run_s, shortest_use_s) / 3600;
}

/// Least-cost flow by successive shortest paths; costs may be negative only on edges from the source side,
/// which Bellman and Ford's order takes without potentials. Units are machines.
class Flow {
 public:
  explicit Flow(std::size_t nodes) : out_(nodes) {}
  std::size_t edge(std::size_t from, std::size_t to, std::uint32_t capacity, double cost) {
    edges_.push_back({to, capacity, cost});
    edges_.push_back({from, 0, -cost});
    out_[from].push_back(edges_.size() - 2);
    out_[to].push_back(edges_.size() - 1);
    return edges_.size() - 2;
  }
  void run(std::size_t source, std::size_t sink) {
    while (push(source, sink)) {
    }
  }
  std::uint32_t through(std::size_t e) const { return edges_[e ^ 1].capacity; }

 private:
  struct Edge {
    std::size_t to;
    std::uint32_t capacity;
    double cost;
  };
  bool push(std::size_t source, std::size_t sink) {
    constexpr double far = std::numeric_limits<double>::infinity();
    constexpr double tie = 1e-12;
    std::vector<double> dist(out_.size(), far);
    std::vector<std::size_t> by(out_.size(), 0);
    std::vector<bool> queued(out_.size(), false);
    std::vector<std::size_t> queue{source};
    dist[source] = 0;
    for (std::size_t i = 0; i < queue.size(); ++i) {
      std::size_t n = queue[i];
      queued[n] = false;
      for (std::size_t e : out_[n]) {
        const Edge& edge = edges_[e];
        if (edge.capacity == 0 || dist[n] + edge.cost >= dist[edge.to] - tie) continue;
        dist[edge.to] = dist[n] + edge.cost;
        by[edge.to] = e;
        if (!queued[edge.to]) {
          queued[edge.to] = true;
          queue.push_back(edge.to);
        }
      }
    }
    if (!(dist[sink] < 0)) return false;  // nothing more is worth its cost
    std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    for (std::size_t n = sink; n != source; n = edges_[by[n] ^ 1].to)
      most = std::min(most, edges_[by[n]].capacity);
    for (std::size_t n = sink; n != source; n = edges_[by[n] ^ 1].to) {
      edges_[by[n]].capacity -= most;
      edges_[by[n] ^ 1].capacity += most;
    }
    return true;
  }
  std::vector<Edge> edges_;
  std::vector<std::vector<std::size_t>> out_;
};

/// What is left while claims are served one after the other.
struct Left {
  std::vector<std::uint32_t> offers;     // machines
  std::vector<std::uint32_t> untrusted;  // by market: machines that an unproven one may still get
  Money per_hour = 0, in_window = 0;     // of the whole ceiling; below 0: none
  Money starved = 0;                     // per hour, for work that starved
  struct Team {
    Money per_hour = -1, in_window = -1;
  };
  std::map<PartIndex, Team> teams;
};

Money rest(Money ceiling, Money used) {
  return ceiling <= 0 ? -1 : std::max<Money>(0, ceiling - used);
}

class Solver {
 public:
  Solver(const std::vector<Demand>& demands, const std::vector<Offer>& offers, const Ledger& ledger,
         double reference, const Settings& s)
      : demands_(demands), offers_(offers), reference_(reference), s_(s) {
    std::size_t markets = 0;
    for (const Offer& o : offers) {
      left_.offers.push_back(o.most);
      if (o.market.valid()) markets = std::max<std::size_t>(markets, o.market.v + 1);
    }
    std::uint32_t all = 0;
    for (const Demand& d : demands) all += d.machines;
    auto trial = static_cast<std::uint32_t>(std::ceil(s.trial_share * all));
    left_.untrusted.assign(markets, std::max<std::uint32_t>(trial, 1));
    Ledger::Use use = ledger.use();
    left_.per_hour = rest(s.all.per_hour, use.per_hour);
    left_.in_window = rest(s.all.per_window, use.in_window);
    auto share = static_cast<Money>(s.starve_share * static_cast<double>(s.all.per_hour));
    left_.starved = rest(share, ledger.for_starved());
    for (const auto& [part, c] : s.teams) {
      Ledger::Use team = ledger.use(part);
      left_.teams[part] = {rest(c.per_hour, team.per_hour), rest(c.per_window, team.in_window)};
    }
  }

  Plan solve() {
    for (const Demand& d : demands_) want_.push_back(d.machines);
    plan_.unmet = want_;
    for (Claim c : {Claim::guaranteed, Claim::starved, Claim::high, Claim::standard, Claim::best_effort})
      serve(c, false);
    want_spares();
    for (Claim c : {Claim::guaranteed, Claim::starved, Claim::high, Claim::standard, Claim::best_effort})
      serve(c, true);
    for (std::size_t d = 0; d < demands_.size(); ++d)
      plan_.cost += plan_.unmet[d] * Prices::unserved(demands_[d], reference_);
    return std::move(plan_);
  }

 private:
  struct Pair {
    std::size_t demand, offer;
    double per_unit, cost, gain;  // gain: over leaving it unserved
    Money limit;                  // per machine
    std::size_t edge = 0;
    std::uint32_t units = 0;
  };

  void want_spares() {
    std::vector<double> short_of(demands_.size(), 0);
    for (const Award& a : plan_.awards) {
      const Demand& d = demands_[a.demand];
      const Offer& o = offers_[a.offer];
      if (!o.market.valid()) continue;
      if (o.proven) continue;
      short_of[a.demand] += a.machines * (1 - Prices::comes(d, o, s_));
    }
    for (std::size_t d = 0; d < demands_.size(); ++d) {
      want_[d] = std::min(static_cast<std::uint32_t>(std::lround(short_of[d])), demands_[d].spare);
    }
  }

  void serve(Claim claim, bool spare) {
    std::vector<Pair> pairs;
    for (std::size_t d = 0; d < demands_.size(); ++d) {
      if (demands_[d].claim != claim || want_[d] == 0) continue;
      for (std::size_t o = 0; o < offers_.size(); ++o) {
        double per = Prices::machines_per_unit(demands_[d], offers_[o]);
        if (per <= 0 || left_.offers[o] == 0) continue;
        double limit = Prices::limit(demands_[d], offers_[o], reference_, s_);
        if (limit < offers_[o].quoted) continue;
        double cost = per * Prices::of(demands_[d], offers_[o], reference_, s_);
        double gain = Prices::unserved(demands_[d], reference_) - cost;
        if (gain <= 0) continue;
        pairs.push_back({d, o, per, cost, gain, to_money(limit)});
      }
    }
    if (pairs.empty()) return;
    // Without a ceiling in the way the flow is the answer. With one, money gets a price of its own that is
    // raised until the flow fits; what is left after that goes to the best of the rest.
    std::vector<Pair> best = pairs;
    flow(best, 0);
    if (!fits(best)) {
      double low = 0, high = 1;
      for (int i = 0; i < 40; ++i, high *= 4) {
        flow(best, high);
        if (fits(best)) break;
        low = high;
      }
      for (int i = 0; i < price_steps; ++i) {
        double middle = (low + high) / 2;
        std::vector<Pair> tried = pairs;
        flow(tried, middle);
        if (fits(tried)) {
          high = middle;
          best = std::move(tried);
        } else {
          low = middle;
        }
      }
    }
    fill(best);
    for (const Pair& p : best) take(p, p.units, spare);
  }

  /// Solves for one claim with `price` on every unit of money that is committed.
  void flow(std::vector<Pair>& pairs, double price) {
    std::vector<std::size_t> demand_node(demands_.size(), 0), offer_node(offers_.size(), 0);
    std::size_t nodes = 2;
    for (const Pair& p : pairs) {
      if (demand_node[p.demand] == 0) demand_node[p.demand] = nodes++;
      if (offer_node[p.offer] == 0) offer_node[p.offer] = nodes++;
    }
    std::vector<std::size_t> market_node(left_.untrusted.size(), 0);
    for (const Pair& p : pairs) {
      const Offer& o = offers_[p.offer];
      if (o.market.valid() && !o.proven && market_node[o.market.v] == 0) market_node[o.market.v] = nodes++;
    }
    Flow f(nodes);
    for (std::size_t d = 0; d < demands_.size(); ++d) {
      if (demand_node[d] != 0) f.edge(0, demand_node[d], want_[d], 0);
    }
    for (std::size_t o = 0; o < offers_.size(); ++o) {
      if (offer_node[o] == 0) continue;
      const Offer& offer = offers_[o];
      bool trial = offer.market.valid() && !offer.proven;
      f.edge(offer_node[o], trial ? market_node[offer.market.v] : 1, left_.offers[o], 0);
    }
    for (std::size_t m = 0; m < market_node.size(); ++m) {
      if (market_node[m] != 0) f.edge(market_node[m], 1, left_.untrusted[m], 0);
    }
    for (Pair& p : pairs) {
      double money = offers_[p.offer].market.valid() ? p.per_unit * to_amount(p.limit) : 0;
      // A unit that takes more than one machine of the offer is bounded by the offer in those machines.
      auto most = static_cast<std::uint32_t>(left_.offers[p.offer] / p.per_unit);
      // Nor does one demand hang on an unproven market alone.
      if (offers_[p.offer].market.valid() && !offers_[p.offer].proven)
        most = std::min(most,
                        static_cast<std::uint32_t>(std::ceil(s_.trial_share * demands_[p.demand].machines)));
      p.edge = f.edge(demand_node[p.demand], offer_node[p.offer], std::min(most, want_[p.demand]),
                      -p.gain + price * money * s_.term_s / 3600);
    }
    f.run(0, 1);
    for (Pair& p : pairs) p.units = f.through(p.edge);
  }

  std::uint32_t machines(const Pair& p, std::uint32_t units) const {
    return static_cast<std::uint32_t>(std::ceil(units * p.per_unit - 1e-9));
  }

  bool pay(Left& left, const Pair& p, std::uint32_t units) const {
    std::uint32_t n = machines(p, units);
    const Offer& o = offers_[p.offer];
    if (left.offers[p.offer] < n) return false;
    if (o.market.valid()) {
      auto spend = [](Money& have, Money cost) {
        if (have < 0) return true;
        if (have < cost) return false;
        have -= cost;
        return true;
      };
      Money hour = p.limit * static_cast<Money>(n);
      Money worst = worst_case(p.limit, s_.term_s, n);
      bool may = spend(left.per_hour, hour) && spend(left.in_window, worst);
      if (demands_[p.demand].claim == Claim::starved) may = may && spend(left.starved, hour);
      auto team = left.teams.find(demands_[p.demand].part);
      if (team != left.teams.end())
        may = may && spend(team->second.per_hour, hour) && spend(team->second.in_window, worst);
      if (!o.proven) {
        may = may && left.untrusted[o.market.v] >= n;
        left.untrusted[o.market.v] -= std::min(left.untrusted[o.market.v], n);
      }
      if (!may) return false;
    }
    left.offers[p.offer] -= n;
    return true;
  }

  bool fits(const std::vector<Pair>& pairs) const {
    Left left = left_;
    return std::all_of(pairs.begin(), pairs.end(),
                       [&](const Pair& p) { return p.units == 0 || pay(left, p, p.units); });
  }

  /// Adds single units where they still fit, the best of them first.
  void fill(std::vector<Pair>& pairs) const {
    Left left = left_;
    std::vector<std::uint32_t> open = want_;
    for (Pair& p : pairs) {
      // Units of several demands may round up beyond what an offer has.
      while (p.units > 0) {
        Left trial = left;
        if (pay(trial, p, p.units)) {
          left = std::move(trial);
          break;
        }
        --p.units;
      }
      open[p.demand] -= p.units;
    }
    std::vector<std::size_t> order(pairs.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return std::make_tuple(-pairs[a].gain, a) < std::make_tuple(-pairs[b].gain, b);
    });
    for (std::size_t i : order) {
      Pair& p = pairs[i];
      while (open[p.demand] > 0) {
        // The whole pair is paid for again, since machines are rounded up once for it.
        Left trial = left;
        std::uint32_t more = machines(p, p.units + 1) - machines(p, p.units);
        Pair one = p;
        one.per_unit = more;
        if (more != 0 && !pay(trial, one, 1)) break;
        left = std::move(trial);
        ++p.units;
        --open[p.demand];
      }
    }
  }

  void take(const Pair& p, std::uint32_t units, bool spare) {
    if (units == 0) return;
    pay(left_, p, units);
    plan_.awards.push_back({p.demand, p.offer, machines(p, units), spare});
    if (spare) return;
    plan_.unmet[p.demand] -= units;
    plan_.cost += units * p.cost;
  }

  const std::vector<Demand>& demands_;
  const std::vector<Offer>& offers_;
  double reference_;
  const Settings& s_;
  Left left_;
  Plan plan_;
  std::vector<std::uint32_t> want_;  // by demand, in units
};

}  // namespace

Claim claim_of(const Need& n, const Settings& s) {
  if (n.guaranteed) return Claim::guaranteed;
  if (n.rank == Rank::low) return n.waited_s > s.starve_s ? Claim::starved : Claim::best_effort;
  return n.rank >= Rank::high ? Claim::high : Claim::standard;
}

double Prices::unserved(const Demand& d, double reference) {
  return weight(d.claim) * reference * hours(d);
}

double Prices::machines_per_unit(const Demand& d, const Offer& o) {
  if (o.spot && !d.spot) return 0;
  if (d.zone.valid() && d.zone != o.zone) return 0;
  if (o.type.v >= d.per_machine.size() || d.per_machine[o.type.v] == 0) return 0;
  double most = *std::max_element(d.per_machine.begin(), d.per_machine.end());
  return most / d.per_machine[o.type.v];
}

double Prices::limit(const Demand& d, const Offer& o, double reference, const Settings& s) {
  if (!o.market.valid()) return o.limit;
  // Best-effort work takes what is quoted and never outbids.
  if (d.claim == Claim::best_effort || d.claim == Claim::starved)
    return std::min(o.quoted, s.limit_factor * reference);
  // Nobody pays more than what the work is worth being there.
  return std::min({o.limit, weight(d.claim) * reference, s.limit_factor * reference});
}

double Prices::comes(const Demand& d, const Offer& o, const Settings& s) {
  double slack = std::isfinite(d.slack_s) ? d.slack_s : s.patience_s;
  // Work that is late already is still worth having there soon: what cannot be in time is not left for ever.
  double later = std::max(slack, 0.0) + o.promised_s + s.patience_s;
  double moment = moment_share * std::clamp(slack / s.patience_s, 0.0, 1.0);
  double chance = moment * o.punctuality.within(slack) + (1 - moment) * o.punctuality.within(later);
  return o.share * chance;
}

double Prices::of(const Demand& d, const Offer& o, double reference, const Settings& s) {
  // What comes is paid for, also when late; what never comes costs nothing but its lateness.
  return o.share * o.price * hours(d) + (1 - comes(d, o, s)) * unserved(d, reference);
}

std::vector<Demand> group(const std::vector<Need>& needs, const Settings& s) {
  std::vector<Demand> out;
  auto bucket = [](Seconds slack) {
    // Alike within a fifth of a doubling; what is late already is all alike.
    return !std::isfinite(slack) ? 1e9 : slack < 5 ? 0 : std::floor(5 * std::log2(slack));
  };
  std::map<std::tuple<Claim, PartIndex, bool, ZoneIndex, std::vector<std::uint32_t>, double, double>,
           std::size_t>
      seen;
  for (std::size_t i = 0; i < needs.size(); ++i) {
    const Need& n = needs[i];
    std::uint32_t per =
        n.per_machine.empty() ? 0 : *std::max_element(n.per_machine.begin(), n.per_machine.end());
    if (per == 0 || n.tasks == 0) continue;
    Claim claim = claim_of(n, s);
    double run = std::floor(2 * std::log2(std::max(n.run_s, shortest_use_s)));
    auto [it, fresh] =
        seen.try_emplace({claim, n.part, n.spot, n.zone, n.per_machine, bucket(n.slack_s), run}, out.size());
    if (fresh) out.push_back({claim, n.part, n.spot, n.zone, n.per_machine, 0, 0, n.run_s, n.slack_s, {}});
    Demand& d = out[it->second];
    d.machines += (n.tasks + per - 1) / per;
    d.slack_s = std::min(d.slack_s, n.slack_s);
    d.needs.push_back(i);
  }
  for (Demand& d : out) d.spare = static_cast<std::uint32_t>(std::ceil(s.spare_share * d.machines));
  return out;
}

Plan make_plan(const std::vector<Demand>& demands, const std::vector<Offer>& offers, const Ledger& ledger,
               double reference, const Settings& s) {
  return Solver(demands, offers, ledger, reference, s).solve();
}

}  // namespace oxbowmill::market
