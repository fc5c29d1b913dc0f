// The desk against stand-in markets on the simulated clock: the hard cases, each caused, and random mixtures.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "oxbowmill/lab/market_world.h"

namespace oxbowmill::lab {
namespace {

using market::BidState;
using market::VenueState;

/// One job of four machines wanted at once, and markets of this character.
Scenario one_job(std::vector<Character> markets) {
  Scenario s;
  s.jobs = 0;
  s.cloud_capacity = 0;
  s.settings.all = {market::to_money(400), market::to_money(400)};
  s.settings.trial_share = 1;
  s.settings.spare_share = 0;
  s.markets = std::move(markets);
  return s;
}

Character named(const char* name, double price = 8) {
  Character c;
  c.name = name;
  c.price = price;
  c.delivery_s = 20;
  return c;
}

struct Play : MarketWorld {
  explicit Play(const Scenario& s, std::uint64_t seed = 1) : MarketWorld(s, Policy::planner, seed) {}
  void add_job(double at, std::uint32_t machines, bool guaranteed = false, Rank rank = Rank::high) {
    Work w;
    w.at = at;
    w.machines = machines;
    w.run_s = 100;
    w.due_s = 300;
    w.guaranteed = guaranteed;
    w.rank = rank;
    work.push_back(w);
  }
  /// Steps until the first bid is in the state; false if it never is.
  bool until(BidState state, int most = 400) {
    for (int i = 0; i < most; ++i) {
      step();
      if (desk() == nullptr) continue;
      for (const auto& [name, b] : desk()->bids()) {
        if (b.state == state) return true;
      }
    }
    return false;
  }
  void steps(int n) {
    for (int i = 0; i < n; ++i) step();
  }
  void expect_kept() {
    EXPECT_EQ(breaches, 0);
    EXPECT_EQ(reused_names, 0);
    for (const Market& m : markets) EXPECT_EQ(m.renamed, 0);
    EXPECT_LE(most_bought, 1);
  }
};

std::uint32_t delivered(const MarketWorld& w) {
  std::uint32_t n = 0;
  for (const Market& m : w.markets) n += static_cast<std::uint32_t>(m.hosts().size());
  return n;
}

TEST(MarketDesk, LeaderEndsAtEveryStepOfABid) {
  // Killed before the send, between send and answer, after the answer, in the auction, after deliveries: the
  // money stays committed, the name is never used for another bid, and the work is done with four machines
  // bought, or eight where the first bid had to be given up and its market delivered all the same.
  struct Case {
    BidState at;
    bool silent_send;  // the market gets the bid, its answer is lost with the leader
    std::uint32_t least, most;
  };
  const Case cases[] = {
      {BidState::committing, false, 4, 4}, {BidState::committed, false, 4, 4}, {BidState::asked, true, 4, 4},
      {BidState::asked, false, 4, 4},      {BidState::open, false, 4, 4},      {BidState::won, false, 4, 4},
      {BidState::running, false, 4, 4},
  };
  for (const Case& c : cases) {
    Play w(one_job({named("north")}));
    w.add_job(5, 4);
    bool committing = c.at == BidState::committing;
    if (committing) w.hold_writes(true);
    ASSERT_TRUE(w.until(c.at)) << market::name_of(c.at);
    ASSERT_TRUE(c.at != BidState::committed || delivered(w) == 0);
    w.end_leader();
    if (committing) {
      w.steps(3);
      w.release_writes();  // late: the claim's guard is gone
    }
    w.steps(400);
    w.expect_kept();
    EXPECT_GE(delivered(w), c.least) << market::name_of(c.at);
    EXPECT_LE(delivered(w), c.most) << market::name_of(c.at);
    EXPECT_EQ(w.result().in_time, 1U) << market::name_of(c.at);
    w.steps(4000);  // and in the end nothing is held
    ASSERT_NE(w.desk(), nullptr);
    EXPECT_EQ(w.desk()->ledger().use().per_hour, 0) << market::name_of(c.at);
  }
}

TEST(MarketDesk, LateBidOfAnEarlierLeaderIsRefusedByItsUsedUpName) {
  Play w(one_job({named("north")}));
  w.add_job(5, 4);
  w.hold_calls(true);
  ASSERT_FALSE(w.until(BidState::won, 40));
  w.hold_calls(false);  // nothing has arrived yet; quotes neither
  ASSERT_TRUE(w.until(BidState::committed));
  w.hold_calls(true);
  ASSERT_TRUE(w.until(BidState::asked));
  std::string name = w.desk()->bids().begin()->first;
  w.end_leader();
  w.hold_calls(false);
  // The new leader asks, is told that nobody knows the name, and uses it up.
  w.steps(20);
  w.release_calls();
  w.steps(500);
  EXPECT_EQ(delivered(w), 4U);
  for (const auto& [host, h] : w.markets[0].hosts()) EXPECT_NE(h.bid, name);
  EXPECT_EQ(w.result().in_time, 1U);
  w.expect_kept();
}

TEST(MarketDesk, NothingIsCommittedWhileTheStateServiceIsDownAndOpenBidsAreFollowed) {
  Play w(one_job({named("north")}));
  w.add_job(5, 4);
  w.add_job(12, 3);
  ASSERT_TRUE(w.until(BidState::open));
  w.set_state_down(true);
  std::size_t names = w.bid_names.size();
  w.steps(60);
  EXPECT_EQ(w.bid_names.size(), names);  // no new one
  EXPECT_EQ(delivered(w), 4U);           // the open one came
  w.set_state_down(false);
  w.steps(200);
  EXPECT_EQ(delivered(w), 7U);
  w.expect_kept();
}

TEST(MarketDesk, ARaiseWithinTheLimitIsConfirmedAndOneBeyondIsNot) {
  struct Case {
    double by;
    Rank rank;
    bool gets;
  };
  // The platform's price is 10, limits are at most 1.5 times that, and at first about 1.2 times the quote
  // of 8.
  const Case cases[] = {{1.1, Rank::high, true}, {1.25, Rank::high, false}, {1.1, Rank::low, false}};
  for (const Case& c : cases) {
    Character m = named("north");
    m.raise_chance = 1;
    m.raise_by = c.by;
    m.bad_to_s = 20;
    Play w(one_job({m}));
    w.add_job(5, 4, false, c.rank);
    ASSERT_TRUE(w.until(BidState::asked));
    std::string name = w.desk()->bids().begin()->first;
    Money limit = w.desk()->bids().begin()->second.rec.limit;
    w.steps(120);
    std::uint32_t by_first = 0;
    for (const auto& [host, h] : w.markets[0].hosts()) by_first += h.bid == name ? 1 : 0;
    EXPECT_EQ(by_first, c.gets ? 4U : 0U) << c.by;
    EXPECT_TRUE(!c.gets || 8 * c.by * 0.96 <= market::to_amount(limit));
    EXPECT_LE(w.markets[0].charged(w.now - 1000), market::to_amount(limit) * 4 * 100 / 3600 + 1);
    w.expect_kept();
  }
}

TEST(MarketDesk, CeilingReachedWithAGuaranteeUnmet) {
  // Room for five machines at their limits; best-effort work asks first, the guarantee comes later.
  Scenario s = one_job({named("north")});
  s.settings.all = {market::to_money(50), market::to_money(400)};
  Play w(s);
  w.add_job(5, 3, false, Rank::low);
  w.add_job(40, 8, true);
  w.work.back().due_s = 500;
  w.steps(160);
  ASSERT_NE(w.desk(), nullptr);
  EXPECT_GT(w.desk()->unmet_guarantee(), 0U);  // said plainly
  w.expect_kept();                             // and nothing broken
  EXPECT_GT(w.highest_hour, 0.6);
  w.steps(1200);  // with the money that comes free it is served all the same
  EXPECT_EQ(w.result().guaranteed_in_time, 1U);
}

TEST(MarketDesk, CeilingHoldsWhateverThePlanSays) {
  Scenario s = one_job({named("north"), named("south")});
  s.settings.all = {market::to_money(60), market::to_money(30)};
  Play w(s);
  w.add_job(5, 12);
  w.step();
  ASSERT_NE(w.desk(), nullptr);
  w.desk()->planner = [](const auto& demands, const auto& offers, const auto&, double, const auto&) {
    market::Plan p;
    for (std::size_t d = 0; d < demands.size(); ++d) {
      for (std::size_t o = 0; o < offers.size(); ++o) p.awards.push_back({d, o, 5, false});
    }
    p.unmet.resize(demands.size());
    return p;
  };
  w.steps(300);
  EXPECT_GT(delivered(w), 0U);
  EXPECT_EQ(w.breaches, 0);
  EXPECT_LE(w.highest_hour, 1);
  EXPECT_LE(w.highest_use, 1);
}

TEST(MarketDesk, AllMarketsSilentLeavesTheCloudAndTheMoneyCommitted) {
  Character m = named("north"), n = named("south", 7);
  m.deaf = n.deaf = 1;
  m.bad_from_s = n.bad_from_s = 12;
  Scenario s = one_job({m, n});
  s.cloud_capacity = 2;
  Play w(s);
  w.add_job(5, 6);
  w.add_job(60, 2);
  for (Work& x : w.work) x.due_s = 700;
  w.steps(40);
  Money held = w.desk()->ledger().use().in_window;
  ASSERT_GT(held, 0);
  w.steps(1500);
  EXPECT_EQ(w.desk()->venue(MarketIndex{0}).state(), VenueState::silent);
  EXPECT_GE(w.desk()->ledger().use().in_window, held);  // nobody said what it costs: nothing is freed
  EXPECT_EQ(w.result().in_time, 2U);
  w.steps(5000);  // its term and the time to bill it are over: booked at its worst, in the window's spending
  EXPECT_EQ(w.desk()->ledger().use().per_hour, 0);
  EXPECT_GE(w.desk()->ledger().use().in_window, held);
  w.expect_kept();
}

TEST(MarketDesk, MarketsThatBreakWhatTheyPromiseInMoneyAreShutOut) {
  struct Case {
    const char* what;
    double overcharge, twice;
    bool shut;
  };
  const Case cases[] = {
      {"honest", 1, 0, false}, {"bills forty times", 40, 0, true}, {"sells twice", 1, 1, true}};
  for (const Case& c : cases) {
    Character bad = named("north", 6);
    bad.overcharge = c.overcharge;
    bad.twice = c.twice;
    Play w(one_job({bad, named("south", 9)}));
    w.add_job(5, 3);
    w.add_job(60, 3);
    w.add_job(150, 3);
    w.steps(700);
    ASSERT_NE(w.desk(), nullptr);
    EXPECT_EQ(w.desk()->venue(MarketIndex{0}).state() == VenueState::shut, c.shut) << c.what;
    EXPECT_EQ(w.result().in_time, 3U) << c.what;
    // The next leader knows of it.
    w.end_leader();
    w.add_job(360, 3);
    w.steps(300);
    EXPECT_EQ(w.desk()->venue(MarketIndex{0}).state() == VenueState::shut, c.shut) << c.what;
    if (c.shut) {
      for (const auto& [host, h] : w.markets[0].hosts()) EXPECT_LT(h.since, 350) << c.what;
    }
    EXPECT_EQ(w.reused_names, 0);
  }
}

TEST(MarketDesk, WhatIsNotWhatWasBidForGoesBackUnused) {
  Character m = named("north", 6);
  m.wrong = 1;
  Play w(one_job({m, named("south", 9)}));
  w.add_job(5, 4);
  w.steps(500);
  EXPECT_EQ(w.result().in_time, 1U);
  for (const auto& [host, h] : w.markets[0].hosts()) {
    EXPECT_TRUE(h.returned);
    EXPECT_LT(h.until - h.since, 10);
  }
  EXPECT_LT(w.desk()->venue(MarketIndex{0}).whole().share(), 0.6);
  w.expect_kept();
}

TEST(MarketDesk, TheBestMarketTurnsBadHalfWay) {
  Character best = named("north", 6);
  best.never = 1;
  best.bad_from_s = 100;
  Play w(one_job({best, named("south", 9)}));
  for (int i = 0; i < 8; ++i) w.add_job(5 + 40 * i, 3);
  w.steps(1100);
  EXPECT_GE(w.result().in_time, 7U);
  double share = w.desk()->venue(MarketIndex{0}).whole().share();
  EXPECT_LT(share, 0.75);
  w.expect_kept();
}

TEST(MarketDesk, AHundredNeedsAndEightMarketsAtTwelveHundredMachines) {
  Scenario s;
  s.length_s = 700;
  s.jobs = 0;
  s.cloud_capacity = 100;
  s.settings.all = {market::to_money(20000), market::to_money(20000)};
  for (int i = 0; i < 8; ++i) {
    Character c = named(("m" + std::to_string(i)).c_str(), 7 + 0.5 * i);
    c.capacity = 200;
    c.delivery_s = 20 + 5 * i;
    if (i == 2) c.never = 0.5;
    if (i == 5) c.late = 0.5;
    s.markets.push_back(c);
  }
  Play w(s);
  for (int i = 0; i < 100; ++i) w.add_job(5 + (i % 10), 12, i % 3 == 0, i % 4 == 0 ? Rank::low : Rank::high);
  w.steps(1400);
  Result r = w.result();
  EXPECT_GE(r.in_time, 90U);
  EXPECT_GE(r.bought, 1000U);
  w.expect_kept();
}

// --- Random mixtures.

RC_GTEST_PROP(MarketDeskProps, MoneyNamesAndNeedsThroughAnyMixtureOfFaults, ()) {
  Scenario s;
  s.jobs = 5;
  s.drop_at_s = 5;
  s.length_s = 600;
  s.run_s = 100;
  s.cloud_capacity = 4;
  s.settings.all = {market::to_money(*rc::gen::inRange(30, 300)),
                    market::to_money(*rc::gen::inRange(20, 200))};
  s.settings.term_s = 600;
  s.settings.spare_share = *rc::gen::inRange(0, 3) * 0.5;
  auto chance = [] { return *rc::gen::inRange(0, 4) / 5.0; };
  for (const char* name : {"north", "south", "west"}) {
    Character c = named(name, 7 + *rc::gen::inRange(0, 4));
    c.raise_chance = chance();
    c.raise_by = 1 + chance();
    c.never = chance();
    c.late = chance();
    c.short_share = 1 - chance();
    c.wrong = chance();
    c.twice = chance() / 2;
    c.throttle = chance() / 2;
    c.garble = chance() / 2;
    c.absurd = chance();
    c.stall = chance() / 2;
    c.deaf = chance() / 2;
    c.keeps_running = *rc::gen::arbitrary<bool>();
    c.valid_s = 1 + *rc::gen::inRange(0, 10);
    s.markets.push_back(c);
  }
  MarketWorld w(s, Policy::planner, *rc::gen::arbitrary<std::uint32_t>());
  auto moves = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(1, 40)));
  auto check = [&] {
    RC_ASSERT(w.breaches == 0);
    RC_ASSERT(w.reused_names == 0);
    RC_ASSERT(w.most_bought <= 1);
    for (const Market& m : w.markets) RC_ASSERT(m.renamed == 0);
  };
  auto go = [&](int n) {
    for (int i = 0; i < n; ++i) {
      w.step();
      check();
    }
  };
  go(10);
  for (auto [what, n] : moves) {
    switch (what) {
      case 0:
        w.end_leader();
        break;
      case 1:
        w.set_state_down(true);
        break;
      case 2:
        w.set_state_down(false);
        break;
      case 3:
        w.lose_write_answers(n % 4);
        break;
      case 4:
        w.hold_writes(true);
        break;
      case 5:
        w.release_writes();
        break;
      case 6:
        w.hold_calls(true);
        break;
      case 7:
        w.release_calls();
        break;
    }
    go(n);
  }
  // When all is well again and every term is over, nothing is held any more.
  w.set_state_down(false);
  w.release_writes();
  w.release_calls();
  go(3500);
  RC_ASSERT(w.desk() != nullptr);
  RC_ASSERT(w.desk()->ledger().use().per_hour == 0);
}

}  // namespace
}  // namespace oxbowmill::lab
