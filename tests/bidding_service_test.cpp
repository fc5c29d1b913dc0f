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
  MarketBehavior behavior;
  behavior.name = name;
  behavior.price = price;
  behavior.delivery_s = 20;
  return behavior;
}

struct TestSimulation : MarketSimulation {
  explicit TestSimulation(const MarketScenario& scenario, std::uint64_t seed = 1)
      : MarketSimulation(scenario, Policy::planner, seed) {}
  void add_job(double at_s, std::uint32_t machines, bool guaranteed = false,
               Priority priority = Priority::high) {
    JobArrival arrival;
    arrival.arrives_at = at_s;
    arrival.machines = machines;
    arrival.run_s = 100;
    arrival.due_s = 300;
    arrival.guaranteed = guaranteed;
    arrival.priority = priority;
    arrivals.push_back(arrival);
  }
  /// Advances the simulation until a bid is in the state; false if none is within `max_steps`.
  bool run_until(BidState state, int max_steps = 400) {
    for (int i = 0; i < max_steps; ++i) {
      step();
      if (bidding_service() == nullptr) continue;
      for (const auto& [name, bid] : bidding_service()->bids()) {
        if (bid.state == state) return true;
      }
    }
    return false;
  }
  void run_steps(int count) {
    for (int i = 0; i < count; ++i) step();
  }
  void expect_invariants() {
    EXPECT_EQ(breaches, 0);
    EXPECT_EQ(reused_names, 0);
    for (const SimulatedMarket& market : markets) EXPECT_EQ(market.reused_bid_names, 0);
    EXPECT_LE(max_purchase_ratio, 1);
  }
};

std::uint32_t delivered_machines(const MarketSimulation& simulation) {
  std::uint32_t machines = 0;
  for (const SimulatedMarket& market : simulation.markets)
    machines += static_cast<std::uint32_t>(market.hosts().size());
  return machines;
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
    TestSimulation simulation(market_scenario({market_named("north")}));
    simulation.add_job(5, 4);
    bool committing = test_case.crash_state == BidState::committing;
    if (committing) simulation.delay_writes(true);
    ASSERT_TRUE(simulation.run_until(test_case.crash_state)) << market::name_of(test_case.crash_state);
    ASSERT_TRUE(test_case.crash_state != BidState::committed || delivered_machines(simulation) == 0);
    simulation.end_leader();
    if (committing) {
      simulation.run_steps(3);
      simulation.release_writes();  // applied late: its guard on the earlier ownership fails
    }
    simulation.run_steps(400);
    simulation.expect_invariants();
    EXPECT_GE(delivered_machines(simulation), test_case.min_machines)
        << market::name_of(test_case.crash_state);
    EXPECT_LE(delivered_machines(simulation), test_case.max_machines)
        << market::name_of(test_case.crash_state);
    EXPECT_EQ(simulation.result().in_time, 1U) << market::name_of(test_case.crash_state);
    simulation.run_steps(4000);  // finally no money is reserved
    ASSERT_NE(simulation.bidding_service(), nullptr);
    EXPECT_EQ(simulation.bidding_service()->ledger().usage().per_hour, 0)
        << market::name_of(test_case.crash_state);
  }
}

TEST(BiddingService, LateBidOfAnEarlierLeaderIsRejectedBecauseItsNameIsUsed) {
  TestSimulation simulation(market_scenario({market_named("north")}));
  simulation.add_job(5, 4);
  simulation.delay_calls(true);
  ASSERT_FALSE(simulation.run_until(BidState::won, 40));
  simulation.delay_calls(false);  // no call has arrived so far, not even a request for quotes
  ASSERT_TRUE(simulation.run_until(BidState::committed));
  simulation.delay_calls(true);
  ASSERT_TRUE(simulation.run_until(BidState::submitted));
  std::string name = simulation.bidding_service()->bids().begin()->first;
  simulation.end_leader();
  simulation.delay_calls(false);
  // The new leader requests the bid's status, learns that the market does not know the bid, and withdraws it,
  // which marks its name as used.
  simulation.run_steps(20);
  simulation.release_calls();
  simulation.run_steps(500);
  EXPECT_EQ(delivered_machines(simulation), 4U);
  for (const auto& [host_name, host] : simulation.markets[0].hosts()) EXPECT_NE(host.bid, name);
  EXPECT_EQ(simulation.result().in_time, 1U);
  simulation.expect_invariants();
}

TEST(BiddingService, StateOutageBlocksCommitsButOpenBidsAreTracked) {
  TestSimulation simulation(market_scenario({market_named("north")}));
  simulation.add_job(5, 4);
  simulation.add_job(12, 3);
  ASSERT_TRUE(simulation.run_until(BidState::open));
  simulation.set_state_down(true);
  std::size_t bid_names = simulation.bid_names.size();
  simulation.run_steps(60);
  EXPECT_EQ(simulation.bid_names.size(), bid_names);  // no new bid was made
  EXPECT_EQ(delivered_machines(simulation), 4U);      // the open bid was delivered
  simulation.set_state_down(false);
  simulation.run_steps(200);
  EXPECT_EQ(delivered_machines(simulation), 7U);
  simulation.expect_invariants();
}

TEST(BiddingService, PriceRaiseIsConfirmedOnlyWithinLimit) {
  struct Case {
    double raise_factor;
    Priority priority;
    bool accepted;
  };
  // The cloud's price is 10. Price limits are at most 1.5 times that, and initially about 1.2 times the quote
  // of 8.
  const Case cases[] = {
      {1.1, Priority::high, true}, {1.25, Priority::high, false}, {1.1, Priority::low, false}};
  for (const Case& test_case : cases) {
    MarketBehavior behavior = market_named("north");
    behavior.raise_chance = 1;
    behavior.raise_factor = test_case.raise_factor;
    behavior.faults_to_s = 20;
    TestSimulation simulation(market_scenario({behavior}));
    simulation.add_job(5, 4, false, test_case.priority);
    ASSERT_TRUE(simulation.run_until(BidState::submitted));
    std::string name = simulation.bidding_service()->bids().begin()->first;
    MoneyAmount limit = simulation.bidding_service()->bids().begin()->second.record.price_limit;
    simulation.run_steps(120);
    std::uint32_t machines_of_first_bid = 0;
    for (const auto& [host_name, host] : simulation.markets[0].hosts())
      machines_of_first_bid += host.bid == name ? 1 : 0;
    EXPECT_EQ(machines_of_first_bid, test_case.accepted ? 4U : 0U) << test_case.raise_factor;
    EXPECT_TRUE(!test_case.accepted || 8 * test_case.raise_factor * 0.96 <= market::to_currency(limit));
    EXPECT_LE(simulation.markets[0].charged(simulation.now - 1000),
              market::to_currency(limit) * 4 * 100 / 3600 + 1);
    simulation.expect_invariants();
  }
}

TEST(BiddingService, UnmetGuaranteeIsReportedWhenSpendingLimitIsReached) {
  // The hourly spending limit covers five machines at their price limits. Best-effort work bids first;
  // guaranteed work arrives later.
  MarketScenario scenario = market_scenario({market_named("north")});
  scenario.settings.total_limit = {market::to_money_amount(50), market::to_money_amount(400)};
  TestSimulation simulation(scenario);
  simulation.add_job(5, 3, false, Priority::low);
  simulation.add_job(40, 8, true);
  simulation.arrivals.back().due_s = 500;
  simulation.run_steps(160);
  ASSERT_NE(simulation.bidding_service(), nullptr);
  EXPECT_GT(simulation.bidding_service()->unmet_guaranteed_machines(), 0U);
  simulation.expect_invariants();
  EXPECT_GT(simulation.max_hourly_spend_ratio, 0.6);
  simulation.run_steps(1200);  // the guarantee is met once reserved money is released
  EXPECT_EQ(simulation.result().guaranteed_in_time, 1U);
}

TEST(BiddingService, SpendingLimitsAreEnforcedIndependentlyOfThePlan) {
  MarketScenario scenario = market_scenario({market_named("north"), market_named("south")});
  scenario.settings.total_limit = {market::to_money_amount(60), market::to_money_amount(30)};
  TestSimulation simulation(scenario);
  simulation.add_job(5, 12);
  simulation.step();
  ASSERT_NE(simulation.bidding_service(), nullptr);
  simulation.bidding_service()->planner = [](const auto& demands, const auto& offers, const auto&, double,
                                             const auto&) {
    market::Plan plan;
    for (std::size_t demand = 0; demand < demands.size(); ++demand) {
      for (std::size_t offer = 0; offer < offers.size(); ++offer)
        plan.awards.push_back({demand, offer, 5, false});
    }
    plan.unmet_units.resize(demands.size());
    return plan;
  };
  simulation.run_steps(300);
  EXPECT_GT(delivered_machines(simulation), 0U);
  EXPECT_EQ(simulation.breaches, 0);
  EXPECT_LE(simulation.max_hourly_spend_ratio, 1);
  EXPECT_LE(simulation.max_window_spend_ratio, 1);
}

TEST(BiddingService, UnresponsiveMarketsKeepMoneyReservedAndCloudServesJobs) {
  MarketBehavior north = market_named("north"), south = market_named("south", 7);
  north.lost_request_chance = south.lost_request_chance = 1;
  north.faults_from_s = south.faults_from_s = 12;
  MarketScenario scenario = market_scenario({north, south});
  scenario.cloud_capacity = 2;
  TestSimulation simulation(scenario);
  simulation.add_job(5, 6);
  simulation.add_job(60, 2);
  for (JobArrival& arrival : simulation.arrivals) arrival.due_s = 700;
  simulation.run_steps(40);
  MoneyAmount reserved_amount = simulation.bidding_service()->ledger().usage().in_window;
  ASSERT_GT(reserved_amount, 0);
  simulation.run_steps(1500);
  EXPECT_EQ(simulation.bidding_service()->market_client(MarketIndex{0}).state(), MarketState::unresponsive);
  EXPECT_GE(simulation.bidding_service()->ledger().usage().in_window,
            reserved_amount);  // no market has reported a final cost, so nothing is released
  EXPECT_EQ(simulation.result().in_time, 2U);
  simulation.run_steps(5000);  // after the final deadline the bids are booked at their worst-case cost
  EXPECT_EQ(simulation.bidding_service()->ledger().usage().per_hour, 0);
  EXPECT_GE(simulation.bidding_service()->ledger().usage().in_window, reserved_amount);
  simulation.expect_invariants();
}

TEST(BiddingService, MarketsThatOverchargeOrDeliverTwiceAreSuspended) {
  struct Case {
    const char* description;
    double overcharge_factor, double_delivery_chance;
    bool is_suspended;
  };
  const Case cases[] = {{"behaves as agreed", 1, 0, false},
                        {"charges 40 times the price", 40, 0, true},
                        {"delivers machines of another bid", 1, 1, true}};
  for (const Case& test_case : cases) {
    MarketBehavior north = market_named("north", 6);
    north.overcharge_factor = test_case.overcharge_factor;
    north.double_delivery_chance = test_case.double_delivery_chance;
    TestSimulation simulation(market_scenario({north, market_named("south", 9)}));
    simulation.add_job(5, 3);
    simulation.add_job(60, 3);
    simulation.add_job(150, 3);
    simulation.run_steps(700);
    ASSERT_NE(simulation.bidding_service(), nullptr);
    EXPECT_EQ(simulation.bidding_service()->market_client(MarketIndex{0}).state() == MarketState::suspended,
              test_case.is_suspended)
        << test_case.description;
    EXPECT_EQ(simulation.result().in_time, 3U) << test_case.description;
    // The next leader loads the suspension from the market's record.
    simulation.end_leader();
    simulation.add_job(360, 3);
    simulation.run_steps(300);
    EXPECT_EQ(simulation.bidding_service()->market_client(MarketIndex{0}).state() == MarketState::suspended,
              test_case.is_suspended)
        << test_case.description;
    if (test_case.is_suspended) {
      for (const auto& [host_name, host] : simulation.markets[0].hosts())
        EXPECT_LT(host.charged_since, 350) << test_case.description;
    }
    EXPECT_EQ(simulation.reused_names, 0);
  }
}

TEST(BiddingService, MismatchedMachinesAreReturnedUnused) {
  MarketBehavior north = market_named("north", 6);
  north.wrong_delivery_chance = 1;
  TestSimulation simulation(market_scenario({north, market_named("south", 9)}));
  simulation.add_job(5, 4);
  simulation.run_steps(500);
  EXPECT_EQ(simulation.result().in_time, 1U);
  for (const auto& [host_name, host] : simulation.markets[0].hosts()) {
    EXPECT_TRUE(host.returned);
    EXPECT_LT(host.charged_until - host.charged_since, 10);
  }
  EXPECT_LT(
      simulation.bidding_service()->market_client(MarketIndex{0}).overall_reputation().delivered_fraction(),
      0.6);
  simulation.expect_invariants();
}

TEST(BiddingService, JobsFinishInTimeAfterTheCheapestMarketStopsDelivering) {
  MarketBehavior north = market_named("north", 6);
  north.never_delivers_chance = 1;
  north.faults_from_s = 100;
  TestSimulation simulation(market_scenario({north, market_named("south", 9)}));
  for (int i = 0; i < 8; ++i) simulation.add_job(5 + 40 * i, 3);
  simulation.run_steps(1100);
  EXPECT_GE(simulation.result().in_time, 7U);
  double delivered_fraction =
      simulation.bidding_service()->market_client(MarketIndex{0}).overall_reputation().delivered_fraction();
  EXPECT_LT(delivered_fraction, 0.75);
  simulation.expect_invariants();
}

TEST(BiddingService, HundredJobsWithTwelveHundredTasksAreServedByEightMarkets) {
  MarketScenario scenario;
  scenario.duration_s = 700;
  scenario.jobs = 0;
  scenario.cloud_capacity = 100;
  scenario.settings.total_limit = {market::to_money_amount(20000), market::to_money_amount(20000)};
  for (int i = 0; i < 8; ++i) {
    MarketBehavior behavior = market_named(("m" + std::to_string(i)).c_str(), 7 + 0.5 * i);
    behavior.capacity = 200;
    behavior.delivery_s = 20 + 5 * i;
    if (i == 2) behavior.never_delivers_chance = 0.5;
    if (i == 5) behavior.late_chance = 0.5;
    scenario.markets.push_back(behavior);
  }
  TestSimulation simulation(scenario);
  for (int i = 0; i < 100; ++i)
    simulation.add_job(5 + (i % 10), 12, i % 3 == 0, i % 4 == 0 ? Priority::low : Priority::high);
  simulation.run_steps(1400);
  MarketResult result = simulation.result();
  EXPECT_GE(result.in_time, 90U);
  EXPECT_GE(result.bought_machines, 1000U);
  simulation.expect_invariants();
}

// --- Random sequences of faults

RC_GTEST_PROP(BiddingServiceProperties, InvariantsHoldUnderRandomFaults, ()) {
  MarketScenario scenario;
  scenario.jobs = 5;
  scenario.zone_loss_at_s = 5;
  scenario.duration_s = 600;
  scenario.run_s = 100;
  scenario.cloud_capacity = 4;
  scenario.settings.total_limit = {market::to_money_amount(*rc::gen::inRange(30, 300)),
                                   market::to_money_amount(*rc::gen::inRange(20, 200))};
  scenario.settings.max_paid_s = 600;
  scenario.settings.extra_fraction = *rc::gen::inRange(0, 3) * 0.5;
  auto chance = [] { return *rc::gen::inRange(0, 4) / 5.0; };
  for (const char* name : {"north", "south", "west"}) {
    MarketBehavior behavior = market_named(name, 7 + *rc::gen::inRange(0, 4));
    behavior.raise_chance = chance();
    behavior.raise_factor = 1 + chance();
    behavior.never_delivers_chance = chance();
    behavior.late_chance = chance();
    behavior.delivered_fraction = 1 - chance();
    behavior.wrong_delivery_chance = chance();
    behavior.double_delivery_chance = chance() / 2;
    behavior.throttle_chance = chance() / 2;
    behavior.garbled_response_chance = chance() / 2;
    behavior.absurd_response_chance = chance();
    behavior.stall_chance = chance() / 2;
    behavior.lost_request_chance = chance() / 2;
    behavior.runs_after_return = *rc::gen::arbitrary<bool>();
    behavior.valid_s = 1 + *rc::gen::inRange(0, 10);
    scenario.markets.push_back(behavior);
  }
  MarketSimulation simulation(scenario, Policy::planner, *rc::gen::arbitrary<std::uint32_t>());
  auto actions = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(1, 40)));
  auto check = [&] {
    RC_ASSERT(simulation.breaches == 0);
    RC_ASSERT(simulation.reused_names == 0);
    RC_ASSERT(simulation.max_purchase_ratio <= 1);
    for (const SimulatedMarket& market : simulation.markets) RC_ASSERT(market.reused_bid_names == 0);
  };
  auto run_steps = [&](int steps) {
    for (int i = 0; i < steps; ++i) {
      simulation.step();
      check();
    }
  };
  run_steps(10);
  for (auto [action, steps] : actions) {
    switch (action) {
      case 0:
        simulation.end_leader();
        break;
      case 1:
        simulation.set_state_down(true);
        break;
      case 2:
        simulation.set_state_down(false);
        break;
      case 3:
        simulation.lose_write_responses(steps % 4);
        break;
      case 4:
        simulation.delay_writes(true);
        break;
      case 5:
        simulation.release_writes();
        break;
      case 6:
        simulation.delay_calls(true);
        break;
      case 7:
        simulation.release_calls();
        break;
    }
    run_steps(steps);
  }
  // After all faults and the paid time of every machine have ended, no money is reserved.
  simulation.set_state_down(false);
  simulation.release_writes();
  simulation.release_calls();
  run_steps(3500);
  RC_ASSERT(simulation.bidding_service() != nullptr);
  RC_ASSERT(simulation.bidding_service()->ledger().usage().per_hour == 0);
}

}  // namespace
}  // namespace oxbowmill::simulation
