// Tests of the bidding service against simulated markets on a simulated clock: individual faults, and random
// sequences of faults.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "oxbowmill/simulation/market_simulation.h"

namespace oxbowmill::simulation {
namespace {

using market::BidState;
using market::MarketState;

/// A scenario with the given markets, without cloud capacity and without jobs; tests add their own jobs.
MarketScenario market_scenario(std::vector<MarketBehavior> markets) {
  MarketScenario scenario;
  scenario.jobs = 0;
  scenario.cloud_capacity = 0;
  scenario.settings.total_limit = {market::to_money_amount(400), market::to_money_amount(400)};
  scenario.settings.trial_fraction = 1;
  scenario.settings.extra_fraction = 0;
  scenario.markets = std::move(markets);
  return scenario;
}

MarketBehavior market_named(const char* name, double price = 8) {
  MarketBehavior profile;
  profile.name = name;
  profile.price = price;
  profile.delivery_s = 20;
  return profile;
}

struct TestMarketWorld : MarketSimulation {
  explicit TestMarketWorld(const MarketScenario& scenario, std::uint64_t seed = 1)
      : MarketSimulation(scenario, Policy::planner, seed) {}
  void add_job(double at_s, std::uint32_t machines, bool guaranteed = false, Priority rank = Priority::high) {
    JobArrival arrival;
    arrival.arrives_at = at_s;
    arrival.machines = machines;
    arrival.run_s = 100;
    arrival.due_s = 300;
    arrival.guaranteed = guaranteed;
    arrival.priority = rank;
    arrivals.push_back(arrival);
  }
  /// Advances the simulation until a bid is in the state; false if none is within `most` steps.
  bool run_until(BidState state, int most = 400) {
    for (int i = 0; i < most; ++i) {
      step();
      if (bidding_service() == nullptr) continue;
      for (const auto& [name, b] : bidding_service()->bids()) {
        if (b.state == state) return true;
      }
    }
    return false;
  }
  void run_steps(int position) {
    for (int i = 0; i < position; ++i) step();
  }
  void expect_invariants() {
    EXPECT_EQ(breaches, 0);
    EXPECT_EQ(reused_names, 0);
    for (const SimulatedMarket& m : markets) EXPECT_EQ(m.reused_bid_names, 0);
    EXPECT_LE(most_bought, 1);
  }
};

std::uint32_t delivered_machines(const MarketSimulation& w) {
  std::uint32_t n = 0;
  for (const SimulatedMarket& m : w.markets) n += static_cast<std::uint32_t>(m.hosts().size());
  return n;
}

TEST(BiddingService, BidSurvivesLeaderCrashAtEveryStep) {
  // The leader is ended before sending a bid, between sending and the response, during the auction and after
  // the deliveries. In each case the money stays reserved, the bid's name is never reused, and the job
  // completes with the expected number of machines.
  struct Case {
    BidState crash_state;
    bool response_lost;  // the market receives the bid, but its response is lost with the leader
    std::uint32_t min_machines, max_machines;
  };
  const Case cases[] = {
      {BidState::committing, false, 4, 4}, {BidState::committed, false, 4, 4},
      {BidState::submitted, true, 4, 4},   {BidState::submitted, false, 4, 4},
      {BidState::open, false, 4, 4},       {BidState::won, false, 4, 4},
      {BidState::running, false, 4, 4},
  };
  for (const Case& test_case : cases) {
    TestMarketWorld world(market_scenario({market_named("north")}));
    world.add_job(5, 4);
    bool committing = test_case.crash_state == BidState::committing;
    if (committing) world.delay_writes(true);
    ASSERT_TRUE(world.run_until(test_case.crash_state)) << market::name_of(test_case.crash_state);
    ASSERT_TRUE(test_case.crash_state != BidState::committed || delivered_machines(world) == 0);
    world.end_leader();
    if (committing) {
      world.run_steps(3);
      world.release_writes();  // applied late: its guard on the earlier ownership fails
    }
    world.run_steps(400);
    world.expect_invariants();
    EXPECT_GE(delivered_machines(world), test_case.min_machines) << market::name_of(test_case.crash_state);
    EXPECT_LE(delivered_machines(world), test_case.max_machines) << market::name_of(test_case.crash_state);
    EXPECT_EQ(world.result().in_time, 1U) << market::name_of(test_case.crash_state);
    world.run_steps(4000);  // finally no money is reserved
    ASSERT_NE(world.bidding_service(), nullptr);
    EXPECT_EQ(world.bidding_service()->ledger().usage().per_hour, 0)
        << market::name_of(test_case.crash_state);
  }
}

TEST(BiddingService, LateBidOfAnEarlierLeaderIsRejectedByItsUsedName) {
  TestMarketWorld world(market_scenario({market_named("north")}));
  world.add_job(5, 4);
  world.delay_calls(true);
  ASSERT_FALSE(world.run_until(BidState::won, 40));
  world.delay_calls(false);  // no call has arrived so far, not even a request for quotes
  ASSERT_TRUE(world.run_until(BidState::committed));
  world.delay_calls(true);
  ASSERT_TRUE(world.run_until(BidState::submitted));
  std::string name = world.bidding_service()->bids().begin()->first;
  world.end_leader();
  world.delay_calls(false);
  // The new leader requests the bid's status, learns that the market does not know the bid, and withdraws it,
  // which marks its name as used.
  world.run_steps(20);
  world.release_calls();
  world.run_steps(500);
  EXPECT_EQ(delivered_machines(world), 4U);
  for (const auto& [host, h] : world.markets[0].hosts()) EXPECT_NE(h.bid, name);
  EXPECT_EQ(world.result().in_time, 1U);
  world.expect_invariants();
}

TEST(BiddingService, StateOutageBlocksCommitsButOpenBidsAreTracked) {
  TestMarketWorld world(market_scenario({market_named("north")}));
  world.add_job(5, 4);
  world.add_job(12, 3);
  ASSERT_TRUE(world.run_until(BidState::open));
  world.set_state_down(true);
  std::size_t names = world.bid_names.size();
  world.run_steps(60);
  EXPECT_EQ(world.bid_names.size(), names);  // no new bid was made
  EXPECT_EQ(delivered_machines(world), 4U);  // the open bid was delivered
  world.set_state_down(false);
  world.run_steps(200);
  EXPECT_EQ(delivered_machines(world), 7U);
  world.expect_invariants();
}

TEST(BiddingService, PriceRaiseIsConfirmedOnlyWithinLimit) {
  struct Case {
    double raise_factor;
    Priority rank;
    bool accepted;
  };
  // The cloud's price is 10. Price limits are at most 1.5 times that, and initially about 1.2 times the quote
  // of 8.
  const Case cases[] = {
      {1.1, Priority::high, true}, {1.25, Priority::high, false}, {1.1, Priority::low, false}};
  for (const Case& test_case : cases) {
    MarketBehavior profile = market_named("north");
    profile.raise_chance = 1;
    profile.raise_factor = test_case.raise_factor;
    profile.faults_to_s = 20;
    TestMarketWorld world(market_scenario({profile}));
    world.add_job(5, 4, false, test_case.rank);
    ASSERT_TRUE(world.run_until(BidState::submitted));
    std::string name = world.bidding_service()->bids().begin()->first;
    MoneyAmount limit = world.bidding_service()->bids().begin()->second.record.price_limit;
    world.run_steps(120);
    std::uint32_t by_first = 0;
    for (const auto& [host, h] : world.markets[0].hosts()) by_first += h.bid == name ? 1 : 0;
    EXPECT_EQ(by_first, test_case.accepted ? 4U : 0U) << test_case.raise_factor;
    EXPECT_TRUE(!test_case.accepted || 8 * test_case.raise_factor * 0.96 <= market::to_currency(limit));
    EXPECT_LE(world.markets[0].charged(world.now - 1000), market::to_currency(limit) * 4 * 100 / 3600 + 1);
    world.expect_invariants();
  }
}

TEST(BiddingService, CeilingReachedWithUnmetGuarantee) {
  // The hourly spending limit covers five machines at their price limits. Best-effort work bids first;
  // guaranteed work arrives later.
  MarketScenario s = market_scenario({market_named("north")});
  s.settings.total_limit = {market::to_money_amount(50), market::to_money_amount(400)};
  TestMarketWorld world(s);
  world.add_job(5, 3, false, Priority::low);
  world.add_job(40, 8, true);
  world.arrivals.back().due_s = 500;
  world.run_steps(160);
  ASSERT_NE(world.bidding_service(), nullptr);
  EXPECT_GT(world.bidding_service()->unmet_guarantee(), 0U);  // the unmet guarantee is reported
  world.expect_invariants();
  EXPECT_GT(world.max_hourly_spend, 0.6);
  world.run_steps(1200);  // the guarantee is met once reserved money is released
  EXPECT_EQ(world.result().guaranteed_in_time, 1U);
}

TEST(BiddingService, CeilingIsEnforcedIndependentlyOfThePlan) {
  MarketScenario s = market_scenario({market_named("north"), market_named("south")});
  s.settings.total_limit = {market::to_money_amount(60), market::to_money_amount(30)};
  TestMarketWorld world(s);
  world.add_job(5, 12);
  world.step();
  ASSERT_NE(world.bidding_service(), nullptr);
  world.bidding_service()->planner = [](const auto& demands, const auto& offers, const auto&, double,
                                        const auto&) {
    market::Plan plan;
    for (std::size_t d = 0; d < demands.size(); ++d) {
      for (std::size_t o = 0; o < offers.size(); ++o) plan.awards.push_back({d, o, 5, false});
    }
    plan.unmet.resize(demands.size());
    return plan;
  };
  world.run_steps(300);
  EXPECT_GT(delivered_machines(world), 0U);
  EXPECT_EQ(world.breaches, 0);
  EXPECT_LE(world.max_hourly_spend, 1);
  EXPECT_LE(world.highest_use, 1);
}

TEST(BiddingService, UnresponsiveMarketsLeaveTheCloudAndReservedFunds) {
  MarketBehavior m = market_named("north"), n = market_named("south", 7);
  m.lost_request_chance = n.lost_request_chance = 1;
  m.faults_from_s = n.faults_from_s = 12;
  MarketScenario s = market_scenario({m, n});
  s.cloud_capacity = 2;
  TestMarketWorld world(s);
  world.add_job(5, 6);
  world.add_job(60, 2);
  for (JobArrival& x : world.arrivals) x.due_s = 700;
  world.run_steps(40);
  MoneyAmount reserved_amount = world.bidding_service()->ledger().usage().in_window;
  ASSERT_GT(reserved_amount, 0);
  world.run_steps(1500);
  EXPECT_EQ(world.bidding_service()->market_client(MarketIndex{0}).state(), MarketState::unresponsive);
  EXPECT_GE(world.bidding_service()->ledger().usage().in_window,
            reserved_amount);  // no market has reported a final cost, so nothing is released
  EXPECT_EQ(world.result().in_time, 2U);
  world.run_steps(5000);  // after the final deadline the bids are booked at their worst-case cost
  EXPECT_EQ(world.bidding_service()->ledger().usage().per_hour, 0);
  EXPECT_GE(world.bidding_service()->ledger().usage().in_window, reserved_amount);
  world.expect_invariants();
}

TEST(BiddingService, MarketsThatOverchargeOrSellTwiceAreExcluded) {
  struct Case {
    const char* description;
    double overcharge, double_sale_chance;
    bool excluded;
  };
  const Case cases[] = {
      {"honest", 1, 0, false}, {"bills forty times", 40, 0, true}, {"sells twice", 1, 1, true}};
  for (const Case& test_case : cases) {
    MarketBehavior bad = market_named("north", 6);
    bad.overcharge_factor = test_case.overcharge;
    bad.double_delivery_chance = test_case.double_sale_chance;
    TestMarketWorld world(market_scenario({bad, market_named("south", 9)}));
    world.add_job(5, 3);
    world.add_job(60, 3);
    world.add_job(150, 3);
    world.run_steps(700);
    ASSERT_NE(world.bidding_service(), nullptr);
    EXPECT_EQ(world.bidding_service()->market_client(MarketIndex{0}).state() == MarketState::suspended,
              test_case.excluded)
        << test_case.description;
    EXPECT_EQ(world.result().in_time, 3U) << test_case.description;
    // The next leader loads the suspension from the market's record.
    world.end_leader();
    world.add_job(360, 3);
    world.run_steps(300);
    EXPECT_EQ(world.bidding_service()->market_client(MarketIndex{0}).state() == MarketState::suspended,
              test_case.excluded)
        << test_case.description;
    if (test_case.excluded) {
      for (const auto& [host, h] : world.markets[0].hosts()) EXPECT_LT(h.since, 350) << test_case.description;
    }
    EXPECT_EQ(world.reused_names, 0);
  }
}

TEST(BiddingService, MismatchedMachinesAreReturnedUnused) {
  MarketBehavior m = market_named("north", 6);
  m.wrong_delivery_chance = 1;
  TestMarketWorld world(market_scenario({m, market_named("south", 9)}));
  world.add_job(5, 4);
  world.run_steps(500);
  EXPECT_EQ(world.result().in_time, 1U);
  for (const auto& [host, h] : world.markets[0].hosts()) {
    EXPECT_TRUE(h.returned);
    EXPECT_LT(h.until - h.since, 10);
  }
  EXPECT_LT(world.bidding_service()->market_client(MarketIndex{0}).overall_reputation().delivered_fraction(),
            0.6);
  world.expect_invariants();
}

TEST(BiddingService, BestMarketDegradesMidRun) {
  MarketBehavior best = market_named("north", 6);
  best.never_delivers_chance = 1;
  best.faults_from_s = 100;
  TestMarketWorld world(market_scenario({best, market_named("south", 9)}));
  for (int i = 0; i < 8; ++i) world.add_job(5 + 40 * i, 3);
  world.run_steps(1100);
  EXPECT_GE(world.result().in_time, 7U);
  double share =
      world.bidding_service()->market_client(MarketIndex{0}).overall_reputation().delivered_fraction();
  EXPECT_LT(share, 0.75);
  world.expect_invariants();
}

TEST(BiddingService, HundredDemandsAndEightMarketsAtTwelveHundredMachines) {
  MarketScenario scenario;
  scenario.duration_s = 700;
  scenario.jobs = 0;
  scenario.cloud_capacity = 100;
  scenario.settings.total_limit = {market::to_money_amount(20000), market::to_money_amount(20000)};
  for (int i = 0; i < 8; ++i) {
    MarketBehavior profile = market_named(("m" + std::to_string(i)).c_str(), 7 + 0.5 * i);
    profile.capacity = 200;
    profile.delivery_s = 20 + 5 * i;
    if (i == 2) profile.never_delivers_chance = 0.5;
    if (i == 5) profile.late_chance = 0.5;
    scenario.markets.push_back(profile);
  }
  TestMarketWorld world(scenario);
  for (int i = 0; i < 100; ++i)
    world.add_job(5 + (i % 10), 12, i % 3 == 0, i % 4 == 0 ? Priority::low : Priority::high);
  world.run_steps(1400);
  MarketResult r = world.result();
  EXPECT_GE(r.in_time, 90U);
  EXPECT_GE(r.bought, 1000U);
  world.expect_invariants();
}

// --- Random sequences of faults

RC_GTEST_PROP(BiddingServiceProperties, InvariantsHoldUnderAnyMixtureOfFaults, ()) {
  MarketScenario scenario;
  scenario.jobs = 5;
  scenario.drop_at_s = 5;
  scenario.duration_s = 600;
  scenario.run_s = 100;
  scenario.cloud_capacity = 4;
  scenario.settings.total_limit = {market::to_money_amount(*rc::gen::inRange(30, 300)),
                                   market::to_money_amount(*rc::gen::inRange(20, 200))};
  scenario.settings.max_paid_s = 600;
  scenario.settings.extra_fraction = *rc::gen::inRange(0, 3) * 0.5;
  auto chance = [] { return *rc::gen::inRange(0, 4) / 5.0; };
  for (const char* name : {"north", "south", "west"}) {
    MarketBehavior profile = market_named(name, 7 + *rc::gen::inRange(0, 4));
    profile.raise_chance = chance();
    profile.raise_factor = 1 + chance();
    profile.never_delivers_chance = chance();
    profile.late_chance = chance();
    profile.delivered_fraction = 1 - chance();
    profile.wrong_delivery_chance = chance();
    profile.double_delivery_chance = chance() / 2;
    profile.throttle_chance = chance() / 2;
    profile.garbled_response_chance = chance() / 2;
    profile.absurd_response_chance = chance();
    profile.stall_chance = chance() / 2;
    profile.lost_request_chance = chance() / 2;
    profile.runs_after_return = *rc::gen::arbitrary<bool>();
    profile.valid_s = 1 + *rc::gen::inRange(0, 10);
    scenario.markets.push_back(profile);
  }
  MarketSimulation world(scenario, Policy::planner, *rc::gen::arbitrary<std::uint32_t>());
  auto moves = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(1, 40)));
  auto check = [&] {
    RC_ASSERT(world.breaches == 0);
    RC_ASSERT(world.reused_names == 0);
    RC_ASSERT(world.most_bought <= 1);
    for (const SimulatedMarket& m : world.markets) RC_ASSERT(m.reused_bid_names == 0);
  };
  auto run_steps = [&](int position) {
    for (int i = 0; i < position; ++i) {
      world.step();
      check();
    }
  };
  run_steps(10);
  for (auto [what, count] : moves) {
    switch (what) {
      case 0:
        world.end_leader();
        break;
      case 1:
        world.set_state_down(true);
        break;
      case 2:
        world.set_state_down(false);
        break;
      case 3:
        world.lose_write_responses(count % 4);
        break;
      case 4:
        world.delay_writes(true);
        break;
      case 5:
        world.release_writes();
        break;
      case 6:
        world.delay_calls(true);
        break;
      case 7:
        world.release_calls();
        break;
    }
    run_steps(count);
  }
  // After all faults and the paid time of every machine have ended, no money is reserved.
  world.set_state_down(false);
  world.release_writes();
  world.release_calls();
  run_steps(3500);
  RC_ASSERT(world.bidding_service() != nullptr);
  RC_ASSERT(world.bidding_service()->ledger().usage().per_hour == 0);
}

}  // namespace
}  // namespace oxbowmill::simulation
