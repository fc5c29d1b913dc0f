// The parts of the market package by themselves: bids' states, money, trust, plans, and what is read off the
// wire.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <functional>
#include <limits>
#include <random>

#include "oxbowmill/market/venue.h"
#include "oxbowmill/state/keys.h"
#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill::market {
namespace {

using wire::Json;

constexpr PartIndex red{1}, blue{2};
constexpr MarketIndex north{0}, south{1};

TEST(MarketBids, StatesFollowTheTable) {
  using S = BidState;
  struct Case {
    S from, to;
    bool may;
  };
  const Case cases[] = {
      {S::committing, S::committed, true},
      {S::committing, S::asked, false},  // nothing is sent before it is durable
      {S::committed, S::asked, true},
      {S::committed, S::won, false},
      {S::asked, S::settling, true},
      {S::in_doubt, S::asked, false},  // a new leader never sends it
      {S::raised, S::confirming, true},
      {S::open, S::confirming, false},  // nothing is confirmed that was not asked
      {S::won, S::open, false},
      {S::won, S::raised, false},  // what was accepted is not raised
      {S::running, S::withdrawing, false},
      {S::withdrawing, S::running, true},
      {S::withdrawing, S::asked, false},
      {S::settling, S::running, false},
      {S::closed, S::committed, false},
  };
  for (const Case& c : cases) {
    Bid b;
    b.name = "b";
    b.state = c.from;
    EXPECT_EQ(set_state(b, c.to, "test"), c.may) << name_of(c.from) << " -> " << name_of(c.to);
    EXPECT_EQ(b.state, c.may ? c.to : c.from);
  }
  // Money is freed through one state only, and only `closed` has nothing after it.
  for (int from = 0; from <= static_cast<int>(S::closed); ++from) {
    bool closes = may_follow(static_cast<S>(from), S::closed);
    EXPECT_EQ(closes, from == static_cast<int>(S::settling) || from == static_cast<int>(S::committing));
  }
}

TEST(MarketVenues, StatesFollowTheTable) {
  using V = VenueState;
  for (int to = 0; to <= static_cast<int>(V::shut); ++to)
    EXPECT_FALSE(may_follow(V::shut, static_cast<V>(to)));
  for (V from : {V::fresh, V::trading, V::throttled, V::silent, V::probing})
    EXPECT_TRUE(may_follow(from, V::shut));
  Settings s;
  MarketSettings m{"north", north, "127.0.0.1:1", 10};
  MarketVenue v(m, s);
  Answer ok, none, pause;
  ok.kind = AnswerKind::ok;
  pause.kind = AnswerKind::pause;
  pause.retry_after_s = 5;
  v.heard(none, 0);
  EXPECT_EQ(v.state(), V::fresh);
  v.heard(ok, 1);
  EXPECT_EQ(v.state(), V::trading);
  for (int i = 0; i < 3; ++i) v.heard(none, 2 + i);
  EXPECT_EQ(v.state(), V::silent);
  EXPECT_FALSE(v.turn(4.5));  // left alone for a while
  EXPECT_TRUE(v.turn(100));
  v.heard(ok, 101);
  EXPECT_EQ(v.state(), V::trading);
  v.heard(pause, 102);
  EXPECT_EQ(v.state(), V::throttled);
  EXPECT_FALSE(v.turn(106));
  EXPECT_TRUE(v.turn(108));
}

BidRecord record(std::uint32_t machines, double limit, double term_s, PartIndex part = red) {
  BidRecord r;
  r.market = north;
  r.type = TypeIndex{0};
  r.zone = ZoneIndex{0};
  r.limit = to_money(limit);
  r.term_s = term_s;
  r.machines = {{part, machines}};
  return r;
}

TEST(MarketLedger, CeilingsHoldForTheHourTheWindowAndTheTeam) {
  Settings s;
  s.all = {to_money(100), to_money(60)};
  s.teams[blue] = {to_money(30), 0};
  s.window_s = 1000;
  struct Case {
    std::uint32_t machines;
    double limit, term_s;
    PartIndex part;
    const char* refused;  // empty: taken
  };
  const Case cases[] = {
      {10, 10, 1800, red, ""},                                             // 100 an hour, 50 at worst
      {11, 10, 1800, red, "per hour"}, {10, 10, 2400, red, "per window"},  // 66.7 at worst
      {3, 10, 1800, blue, ""},         {4, 10, 1800, blue, "team's ceiling per hour"},
      {1, 101, 10, red, "per hour"},
  };
  for (const Case& c : cases) {
    Ledger l(s);
    auto why = l.refusal(record(c.machines, c.limit, c.term_s, c.part));
    EXPECT_EQ(why.has_value(), *c.refused != 0) << c.machines << " at " << c.limit;
    if (why) {
      EXPECT_NE(why->find(c.refused), std::string::npos) << *why;
    }
  }
  Ledger l(s);
  l.load({0, {{red, to_money(20)}}}, 500);
  l.hold("a", record(4, 10, 1800));
  EXPECT_EQ(l.use().per_hour, to_money(40));
  EXPECT_EQ(l.use().in_window, to_money(40));      // 20 paid, 20 at worst
  EXPECT_EQ(l.room(red, to_money(10), 1800), 4U);  // by the window: 20 left, 5 each
  EXPECT_FALSE(l.refusal(record(4, 10, 1800)).has_value());
  EXPECT_TRUE(l.refusal(record(5, 10, 1800)).has_value());
  l.release("a");
  EXPECT_EQ(l.use().per_hour, 0);
  // A new window frees what was paid in the old one, but not what is still open; a clock set back frees
  // nothing.
  l.hold("b", record(4, 10, 1800));
  l.load({0, {{red, to_money(20)}}}, 1500);
  EXPECT_EQ(l.use().in_window, to_money(20));
  l.load({1, {{red, to_money(7)}}}, 500);
  EXPECT_EQ(l.use().in_window, to_money(27));
}

TEST(MarketLedger, ChargesAreSharedOutToTheLastMillionth) {
  Settings s;
  Ledger l(s);
  BidRecord r = record(1, 10, 100);
  r.machines = {{PartIndex{1}, 1}, {PartIndex{2}, 1}, {PartIndex{3}, 1}};
  LedgerRecord after = l.after(r, 1'000'000, 5);
  Money sum = 0;
  for (const auto& [part, m] : after.spent) sum += m;
  EXPECT_EQ(sum, 1'000'000);
  EXPECT_EQ(worst_case(to_money(10), 1, 1), 2778);  // rounded up: never less than what can be charged
}

TEST(MarketTrust, LearnsSharesDelaysAndPrices) {
  Trust t;
  double fresh = t.uncertainty();
  EXPECT_GT(fresh, 0.3);
  EXPECT_GT(t.share(), 0.5);
  for (int i = 0; i < 10; ++i) {
    t.machines(4, 0);
    t.delivery(50, i % 2 == 0 ? 45 : 56);
    t.price(8, 8.8);
  }
  EXPECT_GT(t.share(), 0.9);
  EXPECT_LT(t.uncertainty(), fresh / 3);
  EXPECT_NEAR(t.drift(), 1.1, 0.05);
  EXPECT_GT(t.drift_at(0.9), t.drift());
  EXPECT_GT(t.on_time(50, 70), 0.85);
  EXPECT_LT(t.on_time(50, 30), 0.1);
  EXPECT_GT(t.delay_at(50, 0.95), 50);
  Punctuality p = t.punctuality(50);
  for (double s : {10.0, 45.0, 60.0, 120.0}) EXPECT_NEAR(p.within(s), t.on_time(50, s), 0.08) << s;
  EXPECT_EQ(p.within(0), 0);
  // One that turns bad is found out within two dozen machines.
  t.machines(0, 24);
  EXPECT_LT(t.share(), 0.7);
  t.machines(0, 60);
  EXPECT_LT(t.share(), 0.35);
  // The kind's own evidence outweighs the market's.
  Trust kind;
  kind.machines(0, 20);
  Trust whole;
  whole.machines(100, 0);
  EXPECT_LT(kind.within(whole).share(), 0.4);
  EXPECT_GT(Trust().within(whole).share(), 0.8);
}

// --- Plans.

struct Situation {
  std::vector<Demand> demands;
  std::vector<Offer> offers;
  Settings settings;
};

Offer offer(MarketIndex m, double price, std::uint32_t most, double promised_s, double share) {
  static const Trust usual = [] {
    Trust t;
    for (int i = 0; i < 20; ++i) t.delivery(10, i % 2 == 0 ? 8 : 12);
    return t;
  }();
  Offer o;
  o.market = m;
  o.type = TypeIndex{0};
  o.zone = ZoneIndex{0};
  o.most = most;
  o.price = o.quoted = o.limit = price;
  o.promised_s = promised_s;
  o.share = share;
  o.punctuality = usual.punctuality(promised_s);
  return o;
}

/// The least cost over all ways of dealing out machines, within the ceiling; one claim only.
double exhaustive(const Situation& x, double reference) {
  Ledger l(x.settings);
  std::vector<std::uint32_t> left;
  for (const Offer& o : x.offers) left.push_back(o.most);
  double best = std::numeric_limits<double>::infinity();
  Money hour = x.settings.all.per_hour;
  std::function<void(std::size_t, std::size_t, std::uint32_t, double, Money)> deal =
      [&](std::size_t d, std::size_t o, std::uint32_t want, double cost, Money spent) {
        if (cost >= best || (hour > 0 && spent > hour)) return;
        if (d == x.demands.size()) {
          best = cost;
          return;
        }
        if (o == x.offers.size()) {
          double rest = cost + want * Prices::unserved(x.demands[d], reference);
          return deal(d + 1, 0, d + 1 < x.demands.size() ? x.demands[d + 1].machines : 0, rest, spent);
        }
        double each = Prices::of(x.demands[d], x.offers[o], reference, x.settings);
        double limit = Prices::limit(x.demands[d], x.offers[o], reference, x.settings);
        std::uint32_t most = limit < x.offers[o].quoted ? 0 : std::min(want, left[o]);
        for (std::uint32_t n = 0; n <= most; ++n) {
          left[o] -= n;
          Money more = x.offers[o].market.valid() ? to_money(limit) * static_cast<Money>(n) : 0;
          deal(d, o + 1, want - n, cost + n * each, spent + more);
          left[o] += n;
        }
      };
  deal(0, 0, x.demands.empty() ? 0 : x.demands[0].machines, 0, 0);
  return best;
}

Situation random_situation(std::mt19937_64& random, bool ceiling) {
  auto pick = [&random](double a, double b) { return std::uniform_real_distribution<>(a, b)(random); };
  Situation x;
  x.settings.spare_share = 0;
  x.settings.all = {ceiling ? to_money(pick(10, 60)) : 0, 0};
  auto demands = 1 + random() % 3, offers = 1 + random() % 4;
  for (std::uint64_t i = 0; i < demands; ++i) {
    Demand d;
    d.claim = Claim::high;
    d.part = i % 2 == 0 ? red : blue;
    d.per_machine = {1};
    d.machines = 1 + static_cast<std::uint32_t>(random() % 4);
    d.run_s = pick(60, 900);
    d.slack_s = pick(5, 200);
    x.demands.push_back(d);
  }
  for (std::uint64_t i = 0; i < offers; ++i) {
    MarketIndex m = i == 0 ? MarketIndex{} : MarketIndex{static_cast<std::uint32_t>(i - 1)};
    x.offers.push_back(
        offer(m, pick(4, 16), 1 + static_cast<std::uint32_t>(random() % 4), pick(10, 120), pick(0.3, 1)));
  }
  return x;
}

TEST(MarketPlans, NoWorseThanEveryWayOfDealingOut) {
  // Without a ceiling the flow is exact. With one the dearest part of the gap is stated here and in
  // docs/markets-design.md; a case beyond it is a change for the worse.
  std::mt19937_64 random(11);
  double worst = 0, sum = 0, gaps = 0;
  for (int i = 0; i < 400; ++i) {
    bool ceiling = i % 2 == 1;
    Situation x = random_situation(random, ceiling);
    Ledger l(x.settings);
    Plan p = make_plan(x.demands, x.offers, l, 10, x.settings);
    double best = exhaustive(x, 10);
    ASSERT_GE(p.cost, best - 1e-6);
    if (!ceiling) {
      ASSERT_NEAR(p.cost, best, 1e-6) << i;
      continue;
    }
    double gap = best > 0 ? p.cost / best - 1 : 0;
    worst = std::max(worst, gap);
    sum += gap;
    ++gaps;
  }
  RecordProperty("worst_gap_percent", static_cast<int>(100 * worst));
  RecordProperty("mean_gap_percent_x100", static_cast<int>(10000 * sum / gaps));
  EXPECT_LT(worst, 0.25);
  EXPECT_LT(sum / gaps, 0.01);
}

RC_GTEST_PROP(MarketPlanProps, KeepToOffersCeilingsAndDemands, ()) {
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  Situation x = random_situation(random, *rc::gen::arbitrary<bool>());
  x.settings.all.per_window = to_money(*rc::gen::inRange(1, 40));
  x.settings.teams[blue] = {to_money(*rc::gen::inRange(1, 40)), 0};
  for (Demand& d : x.demands) {
    d.claim = static_cast<Claim>(*rc::gen::inRange(0, 5));
    d.spare = *rc::gen::inRange(0U, 4U);
  }
  for (Offer& o : x.offers) o.proven = *rc::gen::arbitrary<bool>();
  Ledger l(x.settings);
  Plan p = make_plan(x.demands, x.offers, l, 10, x.settings);
  std::vector<std::uint32_t> used(x.offers.size()), got(x.demands.size()), spare(x.demands.size());
  for (const Award& a : p.awards) {
    RC_ASSERT(a.machines > 0U);
    used[a.offer] += a.machines;
    (a.spare ? spare : got)[a.demand] += a.machines;
    if (!x.offers[a.offer].market.valid()) continue;
    double limit = Prices::limit(x.demands[a.demand], x.offers[a.offer], 10, x.settings);
    RC_ASSERT(limit >= x.offers[a.offer].quoted);
    BidRecord r = record(a.machines, limit, x.settings.term_s, x.demands[a.demand].part);
    RC_ASSERT(!l.refusal(r).has_value());
    l.hold(std::to_string(a.demand) + "/" + std::to_string(a.offer) + (a.spare ? "s" : ""), r);
  }
  for (std::size_t o = 0; o < used.size(); ++o) RC_ASSERT(used[o] <= x.offers[o].most);
  for (std::size_t d = 0; d < got.size(); ++d) {
    RC_ASSERT(got[d] + p.unmet[d] == x.demands[d].machines);
    RC_ASSERT(spare[d] <= x.demands[d].spare);
  }
}

TEST(MarketPlans, ClaimsGoInTheirOrder) {
  struct Case {
    const char* what;
    Claim first, second;
    double waited;
    std::uint32_t first_gets, second_gets;
  };
  // Five machines, six wanted by each.
  const Case cases[] = {
      {"a guarantee before all", Claim::guaranteed, Claim::high, 0, 5, 0},
      {"rank before rank", Claim::high, Claim::standard, 0, 5, 0},
      {"best effort last", Claim::standard, Claim::best_effort, 0, 5, 0},
      {"but one that starved gets its share before others beyond guarantees", Claim::high, Claim::starved, 0,
       4, 1},
      {"and never what a guarantee wants", Claim::guaranteed, Claim::starved, 0, 5, 0},
  };
  for (const Case& c : cases) {
    Settings s;
    s.spare_share = 0;
    s.all = {to_money(100), 0};
    s.starve_share = 0.1;  // one machine at 10
    std::vector<Demand> demands(2);
    for (int i = 0; i < 2; ++i) {
      demands[i].claim = i == 0 ? c.first : c.second;
      demands[i].part = red;
      demands[i].per_machine = {1};
      demands[i].machines = 6;
      demands[i].run_s = 300;
      demands[i].slack_s = 100;
    }
    std::vector<Offer> offers = {offer(north, 10, 5, 20, 1)};
    Ledger l(s);
    Plan p = make_plan(demands, offers, l, 10, s);
    EXPECT_EQ(6 - p.unmet[0], c.first_gets) << c.what;
    EXPECT_EQ(6 - p.unmet[1], c.second_gets) << c.what;
  }
}

TEST(MarketPlans, UncertaintyPriceAndRiskDecide) {
  Settings s;
  s.all = {to_money(1000), 0};
  s.trial_share = 0.3;
  Demand d;
  d.claim = Claim::high;
  d.part = red;
  d.per_machine = {1};
  d.machines = 10;
  d.run_s = 300;
  d.slack_s = 60;
  auto bought = [&](const std::vector<Offer>& offers, const Demand& demand) {
    Ledger l(s);
    std::vector<std::uint32_t> n(offers.size());
    for (const Award& a : make_plan({demand}, offers, l, 10, s).awards) {
      if (!a.spare) n[a.offer] += a.machines;
    }
    return n;
  };
  using V = std::vector<std::uint32_t>;
  // A little cheaper, but half of it never comes.
  EXPECT_EQ(bought({offer(north, 8, 20, 30, 0.5), offer(south, 9, 20, 30, 0.95)}, d), (V{0, 10}));
  // Cheaper but too late for this deadline, in time for a later one.
  std::vector<Offer> slow = {offer(north, 6, 20, 110, 0.95), offer(south, 9, 20, 30, 0.95)};
  EXPECT_EQ(bought(slow, d), (V{0, 10}));
  Demand later = d;
  later.slack_s = 600;
  EXPECT_EQ(bought(slow, later), (V{10, 0}));
  // An unproven market gets its share of a plan and no more.
  std::vector<Offer> trial = {offer(north, 6, 20, 30, 0.95), offer(south, 9, 20, 30, 0.95)};
  trial[0].proven = false;
  EXPECT_EQ(bought(trial, d), (V{3, 7}));
  // Dearer than the limit allows: not at any price.
  EXPECT_EQ(bought({offer(north, 16, 20, 30, 0.95)}, d), (V{0}));
  // Best-effort work bids the quote and no more.
  Demand low = d;
  low.claim = Claim::best_effort;
  Offer drifting = offer(north, 8, 20, 30, 0.95);
  drifting.limit = 11;
  EXPECT_DOUBLE_EQ(Prices::limit(low, drifting, 10, s), 8);
  EXPECT_DOUBLE_EQ(Prices::limit(d, drifting, 10, s), 11);
}

TEST(MarketPlans, WorkThatIsLateIsStillBought) {
  // Judged by its last moment alone it was worth nothing any more, and waited for ever.
  for (Claim c : {Claim::guaranteed, Claim::high, Claim::standard, Claim::starved, Claim::best_effort}) {
    for (double slack : {-1000.0, -1.0, 10.0}) {
      Settings s;
      s.all = {to_money(1000), 0};
      Demand d;
      d.claim = c;
      d.part = red;
      d.per_machine = {1};
      d.machines = 3;
      d.run_s = 300;
      d.slack_s = slack;
      Ledger l(s);
      Plan p = make_plan({d}, {offer(MarketIndex{}, 10, 10, 60, 1), offer(north, 9, 10, 90, 0.95)}, l, 10, s);
      EXPECT_EQ(p.unmet[0], 0U) << name_of(c) << " " << slack;
    }
  }
}

TEST(MarketPlans, NeedsThatAreAlikeAreOneDemand) {
  Settings s;
  std::vector<Need> needs(4);
  for (Need& n : needs) {
    n.part = red;
    n.tasks = 5;
    n.per_machine = {4};
    n.run_s = 300;
    n.slack_s = 100;
  }
  needs[1].slack_s = 101;
  needs[2].slack_s = 900;
  needs[3].rank = Rank::low;
  needs[3].waited_s = s.starve_s + 1;
  auto d = group(needs, s);
  ASSERT_EQ(d.size(), 3U);
  EXPECT_EQ(d[0].machines, 4U);  // two needs of two machines each
  EXPECT_EQ(d[0].needs, (std::vector<std::size_t>{0, 1}));
  EXPECT_EQ(d[2].claim, Claim::starved);
}

// --- The wire.

Names wire_names() {
  Names n;
  n.parts.intern(state::pool_name);
  n.parts.intern("red");
  n.types.intern("std");
  n.zones.intern("a");
  n.markets.intern("north");
  return n;
}

TEST(MarketCodec, WhatNobodyCanMeanIsNotRead) {
  Names names = wire_names();
  Call quotes, bid, returns, charges;
  bid.kind = CallKind::status;
  bid.bid = "n0-1-b1";
  returns.kind = CallKind::give_back;
  charges.kind = CallKind::charges;
  Json quote = {{"quote", "q1"}, {"rig", "std"}, {"yard", "a"},      {"loaners", false},
                {"count", 4},    {"rate", 8.0},  {"valid_ms", 5000}, {"deliver_s", 30}};
  auto with = [](Json j, const char* key, Json v) {
    j[key] = std::move(v);
    return j;
  };
  double nan = std::numeric_limits<double>::quiet_NaN(), inf = std::numeric_limits<double>::infinity();
  struct QuoteCase {
    Json quote;
    std::size_t read;
    std::uint32_t absurd;
  };
  const QuoteCase cases[] = {
      {quote, 1, 0},
      {with(quote, "rate", -8.0), 0, 1},
      {with(quote, "rate", 0.0), 0, 1},
      {with(quote, "rate", nan), 0, 1},
      {with(quote, "rate", inf), 0, 1},
      {with(quote, "rate", 1e300), 0, 1},
      {with(quote, "rate", "8"), 0, 1},
      {with(quote, "count", -4), 0, 1},
      {with(quote, "count", 1e9), 0, 1},
      {with(quote, "valid_ms", nan), 0, 1},
      {with(quote, "deliver_s", -1), 0, 1},
      {with(quote, "quote", "two words"), 0, 1},
      {with(quote, "rig", "unheard-of"), 0, 0},  // not ours to buy, but no nonsense
      {with(quote, "count", 0), 0, 0},
  };
  for (const QuoteCase& c : cases) {
    Answer a = wire::read_market_answer(quotes, 200, wire::encode({{"quotes", {c.quote}}}), 0, names);
    EXPECT_EQ(a.kind, AnswerKind::ok) << c.quote;
    EXPECT_EQ(a.quotes.size(), c.read) << c.quote;
    EXPECT_EQ(a.absurd, c.absurd) << c.quote;
  }
  Json won = {{"bid", "n0-1-b1"},
              {"phase", "won"},
              {"rate", 8.0},
              {"expects", 1},
              {"charged", 0.5},
              {"hosts",
               {{{"host", "north.m1"},
                 {"address", "127.0.0.1:9"},
                 {"rig", "std"},
                 {"yard", "a"},
                 {"loaners", false}}}}};
  struct Case {
    const Call* call;
    int status;
    std::string body;
    AnswerKind kind;
  };
  auto e = [](const Json& j) { return wire::encode(j); };
  const Case bodies[] = {
      {&bid, 200, e(won), AnswerKind::ok},
      {&bid, 200, e(won) + "x", AnswerKind::garbage},
      {&bid, 200, e(won).substr(0, 20), AnswerKind::garbage},
      {&bid, 200, "", AnswerKind::garbage},
      {&bid, 200, std::string(wire::most_market_body + 1, '\0'), AnswerKind::garbage},
      {&bid, 200, e(with(won, "bid", "n0-1-b2")), AnswerKind::garbage},  // an answer to another question
      {&bid, 200, e(with(won, "phase", "perhaps")), AnswerKind::garbage},
      {&bid, 200, e(with(won, "charged", nan)), AnswerKind::garbage},
      {&bid, 200, e(with(won, "charged", -1.0)), AnswerKind::garbage},
      {&bid, 200, e(with(won, "rate", -1.0)), AnswerKind::garbage},
      {&bid, 200, e(with(won, "expects", -1)), AnswerKind::garbage},
      {&bid, 200, e(with(won, "phase", "raised")), AnswerKind::garbage},  // to what?
      {&bid, 200, e(with(won, "hosts", "all")), AnswerKind::garbage},
      {&bid, 404, "", AnswerKind::unknown_name},
      {&bid, 409, "", AnswerKind::refused},
      {&bid, 429, "", AnswerKind::pause},
      {&bid, 503, "", AnswerKind::pause},
      {&bid, 500, "", AnswerKind::garbage},
      {&bid, 302, "", AnswerKind::garbage},
      {&bid, 0, "", AnswerKind::none},
      {&returns, 200, e({{"returned", {"north.m1"}}}), AnswerKind::ok},
      {&returns, 200, e({{"returned", {1}}}), AnswerKind::garbage},
      {&charges, 200, e({{"charges", {{{"no", 1}, {"bid", "x"}, {"amount", 2.0}}}}}), AnswerKind::ok},
      {&charges, 200, e({{"charges", {{{"no", 1}, {"bid", "x"}, {"amount", 1e12}}}}}), AnswerKind::garbage},
      {&charges, 200, e({{"charges", 3}}), AnswerKind::garbage},
  };
  for (const Case& c : bodies) {
    Answer a = wire::read_market_answer(*c.call, c.status, c.body, 0, names);
    EXPECT_EQ(static_cast<int>(a.kind), static_cast<int>(c.kind)) << c.status << " " << c.body.size();
  }
}

TEST(MarketCodec, RecordsAreReadAsTheyWereWritten) {
  Settings none;
  oxbowmill::Settings s;
  s.teams.resize(2);
  Model model(s, wire_names());
  BidRecord bid = record(3, 12.5, 900);
  bid.spot = true;
  bid.sent_by = 1234.5;
  bid.deliver_s = 40;
  LedgerRecord ledger{17, {{PartIndex{1}, 123'456'789'012}}};
  MarketRecord market{true, "overcharged", {3, 1, 4, 0.5, 0.25, 2, 0.1, 0.01}};
  MachineRecord machine{red, TypeIndex{0}, ZoneIndex{0}, true, MachineMark::none, {}, true, north, "n0-1-b1"};
  const Change changes[] = {{BidKey{"n0-1-b1"}, bid},
                            {LedgerKey{}, ledger},
                            {MarketKey{north}, market},
                            {MachineKey{model.intern_machine("north.m1")}, machine}};
  for (const Change& c : changes) {
    std::string key = state::encode_key(c.key, model);
    Json value = state::encode_value(c, model);
    auto back = state::decode(key, &value, model);
    ASSERT_TRUE(back.has_value()) << key;
    EXPECT_EQ(state::encode_value(*back, model), value) << key;
    EXPECT_EQ(state::encode_key(back->key, model), key);
  }
  // Money that cannot be read must not pass for none.
  for (const char* bad :
       {R"({"market":"north"})", R"({"market":"north","type":"std","zone":"a","limit":-4,"term":9,"n":{}})",
        R"({"market":"north","type":"std","zone":"a","limit":4,"term":9,"n":{"red":"two"}})"}) {
    Json value = Json::parse(bad);
    EXPECT_FALSE(state::decode("o/b/x", &value, model).has_value()) << bad;
  }
}

}  // namespace
}  // namespace oxbowmill::market
