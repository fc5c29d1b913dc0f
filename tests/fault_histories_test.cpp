// The invariant checker, and a small simulated cluster under combinations of faults
// (docs/fault-combinations.md). Each combination is run with its second faults at several moments.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "oxbowmill/simulation/invariant_checker.h"
#include "oxbowmill/simulation/parallel.h"
#include "oxbowmill/simulation/random_histories.h"

namespace oxbowmill {
namespace {

using simulation::ClusterScenario;
using simulation::Fault;
using simulation::FaultKind;
using simulation::InvariantChecker;
using simulation::JobAnswer;

// --- The invariant checker.

struct InvariantCase {
  const char* rule;  // name of the violated invariant; empty: none is violated
  const char* description;
  std::function<void(InvariantChecker&)> history;
};

const InvariantChecker::JobTerms two_task_terms{0, 2, 1, true, false};

TEST(InvariantChecker, ReportsExactlyTheViolatedInvariant) {
  auto run = [](InvariantChecker& rules, std::uint32_t task, const char* machine, double from, double to) {
    rules.on_task_start("j", task, machine, {"a", false}, from);
    rules.on_task_stop("j", task, machine, to);
  };
  auto accepted = [](InvariantChecker& rules, double at_s) {
    rules.on_submit("j", two_task_terms);
    rules.on_answer("j", JobAnswer::open, at_s);
  };
  auto waits = [](InvariantChecker& rules, const InvariantChecker::JobTerms& terms,
                  std::map<std::string, InvariantChecker::UsableMachine> machines) {
    rules.set_fault_free_from(0);
    rules.on_submit("j", terms);
    rules.on_answer("j", JobAnswer::open, 1);
    rules.set_usable_machines(std::move(machines), 1);
  };
  auto wait = [](InvariantChecker& rules, double from, double to) {
    for (double t = from; t <= to; ++t) rules.check(t);
  };
  InvariantChecker::JobTerms half_and_half{0, 5, 0.5, false, true};
  half_and_half.scatter = true;
  half_and_half.types = {"std"};
  InvariantChecker::JobTerms unsound = two_task_terms;
  unsound.valid = false;
  const InvariantCase breaches[] = {
      {"", "runs to its end",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         for (std::uint32_t t : {0U, 1U}) {
           run(rules, t, "m1", 2, 9);
           rules.on_task_complete("j", t);
         }
         rules.on_answer("j", JobAnswer::done, 10);
         rules.on_answer("j", JobAnswer::done, 200);
       }},
      {"", "cancelled in time, and started elsewhere after it left",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         run(rules, 0, "m1", 2, 3);
         rules.on_task_start("j", 0, "m2", {"a", false}, 3);
         rules.on_withdraw("j");
         rules.on_answer("j", JobAnswer::cancelled, 5);
         rules.on_task_stop("j", 0, "m2", 24.9);
       }},
      {"", "refused for long, but not since the troubles ended",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         run(rules, 0, "m1", 2, 3);
         rules.set_fault_free_from(300);
         rules.on_answer("j", JobAnswer::no_answer, 10);
         rules.check(370);
         rules.on_answer("j", JobAnswer::open, 371);
         rules.check(500);
       }},
      {"", "started by an order that was on its way as it was cancelled",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         rules.set_start_tolerance(3);
         rules.on_withdraw("j");
         rules.on_answer("j", JobAnswer::cancelled, 5);
         run(rules, 0, "m1", 7.9, 9);
       }},
      {"", "of the type and in the zones that it names, half of it in each",
       [&](InvariantChecker& rules) {
         rules.on_submit("j", half_and_half);
         rules.on_answer("j", JobAnswer::open, 1);
         for (std::uint32_t t : {0U, 1U, 2U}) rules.on_task_start("j", t, "m1", {"a", false, "std"}, 2);
         for (std::uint32_t t : {3U, 4U}) rules.on_task_start("j", t, "m2", {"b", false, "std"}, 2);
       }},
      {"", "unsound, and turned down",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         run(rules, 0, "m1", 2, 3);
         rules.on_submit("k", unsound);
         rules.on_answer("k", JobAnswer::rejected, 4);
       }},
      {"", "waits where no machine has room",
       [&](InvariantChecker& rules) {
         waits(rules, two_task_terms, {{"m1", {{"a", false}, 1}}});
         rules.on_task_start("j", 0, "m1", {"a", false}, 2);
         wait(rules, 3, 300);
       }},
      {"", "waits while its team is at its limit",
       [&](InvariantChecker& rules) {
         waits(rules, {0, 6, 1, false, true}, {{"m1", {{"a", false}, 8}}});
         for (std::uint32_t t : {0U, 1U, 2U, 3U}) rules.on_task_start("j", t, "m1", {"a", false}, 2);
         wait(rules, 3, 300);
       }},
      {"", "waits for its zone, while another has room",
       [&](InvariantChecker& rules) {
         waits(rules, two_task_terms, {{"m1", {{"a", false}, 1}}, {"m2", {{"b", false}, 4}}});
         rules.on_task_start("j", 0, "m1", {"a", false}, 2);
         wait(rules, 3, 300);
       }},
      {"", "waits for room for all of it at once",
       [&](InvariantChecker& rules) {
         InvariantChecker::JobTerms gang = two_task_terms;
         gang.gang = true;
         waits(rules, gang, {{"m1", {{"a", false}, 1}}, {"m2", {{"b", false}, 1}}});
         run(rules, 0, "m1", 2, 3);
         wait(rules, 3, 300);
       }},
      {"", "waits for long, while troubles last",
       [&](InvariantChecker& rules) {
         waits(rules, two_task_terms, {{"m1", {{"a", false}, 2}}});
         rules.set_fault_free_from(220);
         run(rules, 0, "m1", 2, 3);
         wait(rules, 3, 300);
         rules.on_task_start("j", 0, "m1", {"a", false}, 301);
         wait(rules, 302, 390);
       }},
      {"", "waits while machines have room for moments, and others take it",
       [&](InvariantChecker& rules) {
         rules.on_submit("k", {1, 1000, 1, false, true});
         waits(rules, {0, 1, 1, false, true}, {{"m1", {{"a", false}, 1}}, {"m2", {{"a", false}, 1}}});
         for (std::uint32_t type_number = 0; type_number < 100; ++type_number) {
           double at_s = 2 + 3 * type_number;
           const char* m = type_number % 2 == 0 ? "m1" : "m2";
           rules.on_task_start("k", type_number, m, {"a", false}, at_s);
           wait(rules, at_s, at_s + 4);
           rules.on_task_stop("k", type_number, m, at_s + 4);
         }
       }},
      {"left_waiting", "waits though a machine that fits has room all the time",
       [&](InvariantChecker& rules) {
         waits(rules, two_task_terms, {{"m1", {{"a", false}, 2}}});
         rules.on_task_start("j", 0, "m1", {"a", false}, 2);
         wait(rules, 3, 92);
         EXPECT_TRUE(rules.violations().empty());
         wait(rules, 93, 300);
       }},
      {"accepted_unsound", "a field is missing, and it is accepted",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         run(rules, 0, "m1", 2, 3);
         rules.on_submit("k", unsound);
         rules.on_answer("k", JobAnswer::open, 4);
         rules.on_answer("k", JobAnswer::open, 5);
       }},
      {"wrong_place", "on a type that it does not name",
       [&](InvariantChecker& rules) {
         rules.on_submit("j", half_and_half);
         rules.on_task_start("j", 0, "m1", {"a", false, "big"}, 2);
       }},
      {"wrong_place", "in a zone that it does not name",
       [&](InvariantChecker& rules) {
         InvariantChecker::JobTerms there = two_task_terms;
         there.zone = "b";
         rules.on_submit("j", there);
         rules.on_task_start("j", 0, "m1", {"a", false}, 2);
       }},
      {"wrong_place", "more than half in one zone",
       [&](InvariantChecker& rules) {
         rules.on_submit("j", half_and_half);
         for (std::uint32_t t : {0U, 1U, 2U, 3U}) rules.on_task_start("j", t, "m1", {"a", false, "std"}, 2);
       }},
      {"ran_cancelled", "started soon after it was confirmed as cancelled",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         rules.set_start_tolerance(3);
         rules.on_withdraw("j");
         rules.on_answer("j", JobAnswer::cancelled, 5);
         run(rules, 0, "m1", 8.1, 9);
       }},
      {"ran_cancelled", "goes on when its machine, which nobody could reach, does",
       [&](InvariantChecker& rules) {
         waits(rules, two_task_terms, {{"m1", {{"a", false}, 2}}});
         rules.on_task_start("j", 0, "m1", {"a", false}, 2);
         rules.on_withdraw("j");
         rules.on_answer("j", JobAnswer::cancelled, 5);
         rules.set_usable_machines({}, 20);
         rules.check(24);
         rules.set_usable_machines({{"m1", {{"a", false}, 2}}}, 25);
         rules.on_task_stop("j", 0, "m1", 25.2);
       }},
      {"ran_twice", "on two machines",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         rules.on_task_start("j", 0, "m1", {"a", false}, 2);
         rules.on_task_start("j", 0, "m2", {"a", false}, 3);
       }},
      {"ran_twice", "twice on one",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         rules.on_task_start("j", 0, "m1", {"a", false}, 2);
         rules.on_task_start("j", 0, "m1", {"a", false}, 3);
       }},
      {"quota", "beyond its team's limit",
       [&](InvariantChecker& rules) {
         rules.on_submit("j", {0, 4, 2, false, true});
         for (std::uint32_t t : {0U, 1U, 2U}) rules.on_task_start("j", t, "m1", {"a", false}, 2);
       }},
      {"wrong_place", "in another zone than its other task",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         rules.on_task_start("j", 0, "m1", {"a", false}, 2);
         rules.on_task_start("j", 1, "m2", {"b", false}, 3);
       }},
      {"wrong_place", "on a spot machine",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         rules.on_task_start("j", 0, "m1", {"a", true}, 2);
       }},
      {"ran_cancelled", "there too long, and never gone",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         rules.on_task_start("j", 0, "m1", {"a", false}, 2);
         rules.on_withdraw("j");
         rules.on_answer("j", JobAnswer::cancelled, 5);
         rules.check(25);
         EXPECT_TRUE(rules.violations().empty());
         rules.check(25.5);
       }},
      {"ran_cancelled", "gone between two looks, but too late",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         rules.on_task_start("j", 0, "m1", {"a", false}, 2);
         rules.on_withdraw("j");
         rules.on_answer("j", JobAnswer::cancelled, 5);
         rules.on_task_stop("j", 0, "m1", 25.5);
       }},
      {"ran_cancelled", "started long after",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         rules.on_withdraw("j");
         rules.on_answer("j", JobAnswer::cancelled, 5);
         run(rules, 0, "m1", 26, 26);
       }},
      {"forgotten", "unknown after it was accepted",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         run(rules, 0, "m1", 2, 3);
         rules.on_answer("j", JobAnswer::not_found, 4);
       }},
      {"forgotten", "gone from the store, though nobody asks",
       [&](InvariantChecker& rules) {
         rules.on_stored("j", false, 0.5);  // not accepted yet
         accepted(rules, 1);
         run(rules, 0, "m1", 2, 3);
         rules.on_stored("j", true, 3);
         rules.on_stored("j", false, 4);
         rules.on_stored("j", false, 5);
       }},
      {"forgotten", "its repeat is refused for good",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         run(rules, 0, "m1", 2, 3);
         rules.on_answer("j", JobAnswer::rejected, 4);
       }},
      {"forgotten", "no answer once the troubles are over",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         run(rules, 0, "m1", 2, 3);
         rules.set_fault_free_from(50);
         rules.on_answer("j", JobAnswer::no_answer, 40);
         rules.check(124);
         EXPECT_TRUE(rules.violations().empty());
         rules.check(126);
       }},
      {"invented", "nobody submitted it",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         run(rules, 0, "m1", 2, 3);
         rules.on_answer("k", JobAnswer::open, 4);
       }},
      {"not_done", "a task of it is not done",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         run(rules, 0, "m1", 2, 3);
         rules.on_task_complete("j", 0);
         rules.on_answer("j", JobAnswer::done, 4);
       }},
      {"went_back", "runs after it was cancelled",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         run(rules, 0, "m1", 2, 3);
         rules.on_withdraw("j");
         rules.on_answer("j", JobAnswer::cancelled, 4);
         rules.on_answer("j", JobAnswer::open, 5);
       }},
      {"went_back", "cancelled, and nobody asked for that",
       [&](InvariantChecker& rules) {
         accepted(rules, 1);
         run(rules, 0, "m1", 2, 3);
         rules.on_answer("j", JobAnswer::cancelled, 4);
       }},
      {"nothing_ran", "no task was ever started", [&](InvariantChecker& rules) { accepted(rules, 1); }},
  };
  for (const InvariantCase& test_case : breaches) {
    InvariantChecker rules(20, {4});
    test_case.history(rules);
    rules.close();
    std::string rule = test_case.rule;
    if (rule.empty()) {
      EXPECT_TRUE(rules.violations().empty()) << test_case.description << ": " << rules.violations().front();
    } else {
      ASSERT_EQ(rules.violations().size(), 1U) << test_case.description;
      EXPECT_EQ(rules.violations()[0].substr(0, rule.size()), rule) << test_case.description;
    }
  }
}

// --- Fault combinations.

/// Simulates each scenario with the seeds 1 to `seeds`. Returns one text for each failed run, with its first
/// violation and the script that reproduces it; empty if all runs passed.
std::vector<std::string> broken_invariants(const std::vector<ClusterScenario>& all, std::uint64_t seeds) {
  std::vector<std::string> out(all.size() * seeds);
  simulation::run_in_parallel(out.size(), 2, [&](std::size_t i) {
    const ClusterScenario& scenario = all[i / seeds];
    std::uint64_t seed = 1 + i % seeds;
    simulation::ClusterResult result =
        simulation::ClusterSimulation(scenario, simulation::SimulationVariant::with_reconciliation, seed)
            .run();
    if (!result.violations.empty())
      out[i] =
          result.violations[0] + ", seed " + std::to_string(seed) + "\n" + simulation::to_script(scenario);
    // A run in which hardly any task was done or query answered proves nothing.
    if (result.answers < 50 || result.done_by_class[0] + result.done_by_class[1] == 0)
      out[i] += "hardly anything was done or answered: " +
                std::to_string(result.done_by_class[0] + result.done_by_class[1]) + " tasks, " +
                std::to_string(result.answers) + " answers\n" + simulation::to_script(scenario);
  });
  out.erase(std::remove(out.begin(), out.end(), ""), out.end());
  return out;
}

/// Two or more faults. The times of the second ones are shifted, so that they occur at several moments during
/// the first ones.
struct FaultCombination {
  const char* name;
  std::vector<Fault> first_faults, second_faults;
  std::function<void(ClusterScenario&)> configure = {};  // changes the default cluster
};

Fault make_fault(FaultKind kind, double at_s, double for_s, double share = 0, double stagger = 0) {
  Fault fault;
  fault.kind = kind;
  fault.at_s = at_s;
  fault.duration_s = for_s;
  fault.fraction = share;
  fault.stagger_s = stagger;
  return fault;
}

using Kind = FaultKind;

Fault hanging_machines(double at_s, double for_s, double share) {
  Fault f = make_fault(Kind::jobs_cancelled_and_machines_hang, at_s, for_s, share);
  f.count = 8;
  return f;
}

Fault zone_cut(const char* zone, double at_s, double for_s) {
  Fault f = make_fault(Kind::zone_workers_cut_off, at_s, for_s);
  f.zone = zone;
  return f;
}

Fault delayed_reports(std::uint32_t reports, double at_s, double for_s) {
  Fault f = make_fault(Kind::delayed_reports, at_s, for_s);
  f.count = reports;
  return f;
}

std::vector<Fault> repeated_leader_failures(int times, double every) {
  std::vector<Fault> all;
  for (int i = 0; i < times; ++i) all.push_back(make_fault(Kind::owner_down, every * i, 3));
  return all;
}

// Changes of the default cluster.
void team_at_quota(ClusterScenario& scenario) {
  scenario.guaranteed_gpus = 8;
  scenario.max_gpus = 16;
}
void few_machines(ClusterScenario& scenario) {
  scenario.initial_machines = 6;
  scenario.arrays_per_s = 0.5;
}
void four_jobs_per_second(ClusterScenario& scenario) {
  scenario.gangs_per_s = 0.01;
  scenario.arrays_per_s = 4;
  scenario.small_array_fraction = 1;
  scenario.small_array_max_tasks = 1;
  scenario.zone_bound_fraction = 0;
  scenario.withdrawn_fraction = 0.25;
  scenario.array_run_s = 5;
}
void all_jobs_zone_bound(ClusterScenario& scenario) {
  scenario.zone_bound_fraction = 1;
  scenario.small_array_fraction = 0.4;
}
void more_work_than_capacity(ClusterScenario& scenario) {
  scenario.gangs_per_s = 0.15;
  scenario.arrays_per_s = 0.8;
}

/// The combinations that users asked for, in the order of their list (docs/fault-combinations.md).
const std::vector<FaultCombination> fault_combinations = {
    {"CommandsHeldUpAndMachinesThatGoOn",
     {make_fault(Kind::delayed_responses, 0, 60, 0.4), make_fault(Kind::machines_hang, 4, 11, 0.4)},
     {make_fault(Kind::owner_down, 2, 3), make_fault(Kind::machines_hang, 6, 9, 0.4)}},
    {"FewTasksThatEndFarApartAndAChangeOfLeader",
     {make_fault(Kind::duplicate_reports, 0, 60, 0.3)},
     {make_fault(Kind::owner_down, 0, 5), make_fault(Kind::owner_down, 9, 5),
      make_fault(Kind::owner_down, 20, 0.5)}},
    {"WritesCarriedOutLateAndOwnersThatEnd",
     {make_fault(Kind::delayed_writes, 0, 50, 0.4)},
     {make_fault(Kind::owner_down, 0, 1), make_fault(Kind::all_controllers_down, 8, 0.5, 0, 0.4),
      make_fault(Kind::jobs_cancelled, 4, 0, 0.5)}},
    {"ALeaderAloneWithWorkersAndUsersWhileJobsAreCancelled",
     {make_fault(Kind::owner_isolated, 0, 30)},
     {make_fault(Kind::jobs_cancelled, 1, 0, 0.6), make_fault(Kind::jobs_cancelled, 7, 0, 0.6),
      make_fault(Kind::state_outage, 9, 45)}},
    {"HandedOverAndBackAllEndAndOneReturns",
     {make_fault(Kind::owner_down, 0, 0.6), make_fault(Kind::duplicate_reports, 0, 60, 0.3)},
     {make_fault(Kind::owner_down, 0.7, 8), make_fault(Kind::all_controllers_down, 2, 0.3, 0, 6),
      make_fault(Kind::owner_down, 4, 0.3)}},
    {"ReportsOfEarlierSessionsAndAttempts",
     {make_fault(Kind::duplicate_reports, 0, 70, 0.6), make_fault(Kind::machines_hang, 0, 13, 0.5)},
     {make_fault(Kind::owner_down, 1, 4), make_fault(Kind::machines_receive_nothing, 4, 25, 0.4),
      make_fault(Kind::owner_down, 15, 4)}},
    {"ASlowStateServiceThatRefusesTheLeaderAndThenEverybody",
     {make_fault(Kind::state_delay, 0, 25, 0, 1.2), make_fault(Kind::owner_refused_by_state, 6, 14)},
     {make_fault(Kind::jobs_cancelled, 6.5, 0, 0.6), make_fault(Kind::state_outage, 7.5, 50),
      make_fault(Kind::jobs_cancelled, 12, 0, 0.6)}},
    {"ALeaderThatEndsWhileMachinesCannotBeReachedOrDoNotHear",
     {make_fault(Kind::machines_receive_nothing, 0, 50, 0.4), make_fault(Kind::machines_hang, 2, 14, 0.3)},
     {make_fault(Kind::owner_down, 3, 4), make_fault(Kind::machines_receive_nothing, 8, 40, 0.4),
      make_fault(Kind::owner_down, 12, 4)}},
    {"UsersLookCloselyAtAllNodes",
     {make_fault(Kind::repeated_queries, 0, 60), make_fault(Kind::state_delay, 0, 20, 0, 0.3)},
     {make_fault(Kind::jobs_cancelled, 1, 0, 0.4), make_fault(Kind::owner_down, 3, 2),
      make_fault(Kind::owner_refused_by_state, 8, 8), make_fault(Kind::jobs_cancelled, 12, 0, 0.4)}},
    {"OnlyTheAnswerIsLostWhileOtherNodesRead",
     {make_fault(Kind::lost_write_responses, 0, 50, 0.4), make_fault(Kind::repeated_queries, 0, 60)},
     {make_fault(Kind::owner_down, 2, 1), make_fault(Kind::jobs_cancelled, 4, 0, 0.5),
      make_fault(Kind::all_controllers_down, 15, 0.5, 0, 0.4)}},
    {"TeamsAtTheirLimitWhileMachinesOfCancelledJobsHang",
     {hanging_machines(0, 11, 0.6), make_fault(Kind::machines_send_nothing, 0, 30, 0.3)},
     {make_fault(Kind::owner_down, 1, 5), make_fault(Kind::jobs_cancelled, 3, 0, 0.5),
      hanging_machines(8, 11, 0.6), make_fault(Kind::owner_down, 10, 2)},
     team_at_quota},
    {"CancelledWhileOneControllersWorkChangesHands",
     {make_fault(Kind::owner_down, 0, 6), make_fault(Kind::duplicate_reports, -5, 30, 0.3)},
     {make_fault(Kind::jobs_cancelled, -0.3, 0, 0.4), make_fault(Kind::jobs_cancelled, 0.2, 0, 0.4),
      make_fault(Kind::jobs_cancelled, 0.8, 0, 0.4), make_fault(Kind::jobs_cancelled, 1.6, 0, 0.4),
      make_fault(Kind::owner_down, 2, 3), make_fault(Kind::jobs_cancelled, 2.4, 0, 0.6)}},
    {"MachinesAreUpAtOnceWhileWritesLagAndTheLeaderEnds",
     {make_fault(Kind::fast_boots, -12, 60), make_fault(Kind::delayed_writes, -8, 40, 0.4)},
     {make_fault(Kind::owner_down, -2, 3), make_fault(Kind::machines_die, 1, 0, 0.3),
      make_fault(Kind::owner_down, 6, 1), make_fault(Kind::all_controllers_down, 12, 0.4, 0, 0.3)},
     few_machines},
    {"AnOldReportReachesEveryControllerAsANewOneBegins",
     {make_fault(Kind::replayed_reports, -15, 60, 0.6), make_fault(Kind::machines_hang, -8, 7, 0.3)},
     {make_fault(Kind::owner_down, 0, 2), make_fault(Kind::owner_down, 8, 5),
      make_fault(Kind::all_controllers_down, 20, 0.3, 0, 0.3)}},
    {"OneTaskJobsFourASecond",
     {make_fault(Kind::repeated_queries, 0, 20)},
     {make_fault(Kind::owner_down, 5, 4)},
     four_jobs_per_second},
    {"OneZoneJobsLoseMachines",
     {make_fault(Kind::machines_die, 0, 0, 0.3), make_fault(Kind::machines_hang, 2, 14, 0.3)},
     {make_fault(Kind::machines_die, 0.5, 0, 0.2), make_fault(Kind::owner_down, 2, 4),
      make_fault(Kind::machines_die, 6, 0, 0.2)},
     all_jobs_zone_bound},
    {"LeadersChangeTenTimesInTwoMinutesAlsoInAnOutage",
     repeated_leader_failures(10, 12),
     {make_fault(Kind::state_outage, 26, 25), make_fault(Kind::jobs_cancelled, 30, 0, 0.5),
      make_fault(Kind::jobs_cancelled, 80, 0, 0.5)}},
    {"MoreWorkThanRoomOverSlowLinks",
     {make_fault(Kind::delayed_responses, 0, 60, 0.9, 1.5)},
     {make_fault(Kind::owner_down, 2, 4), make_fault(Kind::jobs_cancelled, 8, 0, 0.4),
      make_fault(Kind::machines_die, 10, 0, 0.2)},
     more_work_than_capacity},
    {"WorkersReachNoControllerWhileCommandsReachThem",
     {make_fault(Kind::machines_send_nothing, 0, 30, 0.5)},
     {make_fault(Kind::jobs_cancelled, 1, 0, 0.6), make_fault(Kind::owner_down, 2, 4),
      make_fault(Kind::machines_send_nothing, 8, 20, 0.5), make_fault(Kind::jobs_cancelled, 14, 0, 0.6)}},
    {"AZoneWithAControllerIsCutOffForLongerThanALease",
     {make_fault(Kind::zone_isolated, 0, 30)},
     {make_fault(Kind::jobs_cancelled, 3, 0, 0.6), make_fault(Kind::owner_down, 5, 4),
      make_fault(Kind::jobs_cancelled, 12, 0, 0.6)}},
    {"AllControllersAreAwayForLongerThanALease",
     {make_fault(Kind::all_controllers_down, 0, 16, 0, 1), make_fault(Kind::duplicate_reports, -10, 60, 0.3)},
     {make_fault(Kind::jobs_cancelled, -0.5, 0, 0.6), make_fault(Kind::jobs_cancelled, 17, 0, 0.5),
      make_fault(Kind::all_controllers_down, 19, 0.3, 0, 14)}},
    {"CancelledAsTheLeaderIsRefusedAndASecondLaterNobodyHasTheState",
     {make_fault(Kind::owner_refused_by_state, 0, 14), make_fault(Kind::jobs_cancelled, 0, 0, 0.8)},
     {make_fault(Kind::state_outage, 0.7, 46)}},
    {"TheEndOfTheLastTaskMeetsACancellationAQuestionOrARepeat",
     {make_fault(Kind::jobs_cancelled_at_end, 0, 60, 0.6), make_fault(Kind::repeated_queries, 0, 60)},
     {make_fault(Kind::all_tasks_finish, 2, 0), make_fault(Kind::all_tasks_finish, 20, 0)}},
    {"ATeamAtItsLimitWhoseMachinesCannotBeAskedAsTheLeaderChanges",
     {zone_cut("a", 0, 10)},
     {make_fault(Kind::owner_down, 0.5, 4), make_fault(Kind::jobs_cancelled, 1, 0, 0.5),
      make_fault(Kind::jobs_cancelled, 4, 0, 0.5), make_fault(Kind::owner_down, 7, 1)},
     team_at_quota},
    {"ReportsAreHeldBackUntilTheNewLeaderHasActed",
     {delayed_reports(60, 0, 9)},
     {make_fault(Kind::owner_down, 0.5, 4), make_fault(Kind::jobs_cancelled, 6, 0, 0.4)}},
    {"OddRequestsWhileLeadersEnd",
     {make_fault(Kind::invalid_requests, 0, 60), make_fault(Kind::lost_write_responses, 0, 30, 0.3)},
     {make_fault(Kind::owner_down, 2, 3), make_fault(Kind::state_outage, 8, 10),
      make_fault(Kind::all_controllers_down, 20, 1, 0, 0.5)}},
};

class FaultCombinationTest : public testing::TestWithParam<std::size_t> {};

TEST_P(FaultCombinationTest, KeepsInvariants) {
  FaultCombination combination = fault_combinations[GetParam()];
  std::vector<ClusterScenario> all;
  for (double moment : {0.0, 0.3, 0.9, 1.7, 2.6, 3.8, 5.5, 9.0}) {
    ClusterScenario scenario = simulation::fault_combination_scenario();
    if (combination.configure) combination.configure(scenario);
    scenario.faults = combination.first_faults;
    for (Fault f : combination.second_faults) {
      f.at_s += moment;
      scenario.faults.push_back(f);
    }
    for (Fault& f : scenario.faults) f.at_s += scenario.warm_up_s;
    simulation::extend_for_settling(scenario);
    all.push_back(scenario);
  }
  for (const std::string& b : broken_invariants(all, 6)) ADD_FAILURE() << b;
}

INSTANTIATE_TEST_SUITE_P(FaultCombinations, FaultCombinationTest,
                         testing::Range<std::size_t>(0, fault_combinations.size()),
                         [](const auto& p) { return std::string(fault_combinations[p.param].name); });

/// The state service first refuses only the leader, while other controllers confirm cancellations. Then it is
/// down for all controllers for longer than cancel_s, while agents report to the old leader.
class CancellationDuringOutageTest : public testing::TestWithParam<int> {};

struct LeaseTimes {
  double lease_s, cancel_s, controller_lease_s;
};
const LeaseTimes lease_time_cases[] = {
    {12, 36, 4},    // longest read-only period
    {12, 24, 4},    // shorter read-only period
    {12, 16.1, 4},  // shortest valid cancel_s: controller lease reduced to 1 s, no read-only period
    {12, 19.1, 4},  // no read-only period
    {36, 61, 4},    // times of large clusters
    {6, 60, 20},    // controller lease much longer than the agents' lease
};

TEST_P(CancellationDuringOutageTest, CancelledTasksEndWithinTheLimit) {
  const LeaseTimes& times = lease_time_cases[GetParam()];
  std::vector<ClusterScenario> all;
  for (double outage_after : {0.5, 2.0, 5.0, 8.0, 14.0}) {
    for (double cancel_after : {0.2, 1.5, 4.5}) {
      if (cancel_after >= outage_after) continue;
      for (double longer : {2.0, 40.0}) {
        ClusterScenario scenario = simulation::fault_combination_scenario();
        scenario.lease_s = times.lease_s;
        scenario.cancel_timeout_s = times.cancel_s;
        scenario.controller_lease_s = times.controller_lease_s;
        double at = scenario.warm_up_s;
        scenario.faults = {
            make_fault(Kind::owner_refused_by_state, at, 14),
            make_fault(Kind::jobs_cancelled, at + cancel_after, 0, 0.8),
            make_fault(Kind::jobs_cancelled, at + outage_after - 0.3, 0, 0.8),
            make_fault(Kind::state_outage, at + outage_after, scenario.cancel_timeout_s + longer)};
        simulation::extend_for_settling(scenario);
        all.push_back(scenario);
      }
    }
  }
  for (const std::string& b : broken_invariants(all, 4)) ADD_FAILURE() << b;
}

INSTANTIATE_TEST_SUITE_P(FaultCombinations, CancellationDuringOutageTest, testing::Range(0, 6));

/// Interrupts an election at each of its steps: the process's earlier lease ended, lease granted, controller
/// registered, ownership write sent, the write durable but unanswered, state listed, first response sent. The
/// simulation advances in steps of 0.1 s, so the interruption is tried at each 0.1 s of the first 5 s.
/// Controllers that end begin to return within 0.3 s.
class InterruptedElectionTest : public testing::TestWithParam<std::uint32_t> {};

TEST_P(InterruptedElectionTest, InterruptionAtEachStepKeepsInvariants) {
  std::vector<ClusterScenario> all;
  for (int tenth = 1; tenth <= 50; ++tenth) {
    double moment = 0.1 * tenth;
    const std::vector<std::vector<Fault>> ways = {
        {make_fault(Kind::owner_down, moment, 0.3)},
        {make_fault(Kind::all_controllers_down, moment, 0.1, 0, 0.05)},
        {make_fault(Kind::all_controllers_down, moment, 0.2),
         make_fault(Kind::all_controllers_down, moment + 0.4, 0.1, 0, 0.1),
         make_fault(Kind::all_controllers_down, moment + 1.1, 0.3)}};
    for (const std::vector<Fault>& then : ways) {
      ClusterScenario scenario = simulation::fault_combination_scenario();
      scenario.controllers = GetParam();
      // Copies of old reports arrive late, and transactions that got no response are applied late.
      scenario.faults = {make_fault(Kind::duplicate_reports, -5, 30, 0.3),
                         make_fault(Kind::delayed_writes, -5, 30, 0.3), make_fault(Kind::owner_down, 0, 0.2)};
      scenario.faults.insert(scenario.faults.end(), then.begin(), then.end());
      for (Fault& f : scenario.faults) f.at_s += scenario.warm_up_s;
      simulation::extend_for_settling(scenario);
      all.push_back(scenario);
    }
  }
  for (const std::string& b : broken_invariants(all, 1)) ADD_FAILURE() << b;
}

INSTANTIATE_TEST_SUITE_P(FaultCombinations, InterruptedElectionTest, testing::Values(3U, 7U));

TEST(FaultHistories, FourSingleTaskJobsPerSecondStayWithinTheLowestWriteLimit) {
  // Each job takes the writes of its submission, its placement and its end (three keys), which leaves a fifth
  // of the limit for all other writes.
  ClusterScenario scenario = simulation::fault_combination_scenario();
  four_jobs_per_second(scenario);
  scenario.write_rps = 35;
  scenario.duration_s = 260;
  simulation::ClusterResult result =
      simulation::ClusterSimulation(scenario, simulation::SimulationVariant::with_reconciliation, 1).run();
  EXPECT_TRUE(result.violations.empty()) << result.violations[0];
  EXPECT_EQ(result.late_starts, 0U);
  double changes = 0;
  for (const simulation::SecondSample& second : result.samples) changes += second.changes;
  EXPECT_GT(result.done_by_class[1], 500U);
  // Counts the changes of owners only. A cancelled job was placed and removed, or was never placed.
  EXPECT_LT(changes / (scenario.arrays_per_s * scenario.duration_s), 4.5);
  EXPECT_EQ(result.class_served[1].started, result.class_served[1].jobs);
  EXPECT_LT(result.class_served[1].longest_wait_s, 60);
}

TEST(FaultHistories, RandomFaultsKeepInvariants) {
  std::vector<std::string> broken(240);
  simulation::run_in_parallel(broken.size(), 2, [&](std::size_t i) {
    std::uint64_t seed = 1 + i;
    ClusterScenario s = simulation::random_history(seed);
    simulation::ClusterResult r =
        simulation::ClusterSimulation(s, simulation::SimulationVariant::with_reconciliation, seed).run();
    if (!r.violations.empty())
      broken[i] = r.violations[0] + "; needs\n" + simulation::to_script(simulation::shrunk(s, seed));
  });
  for (std::size_t i = 0; i < broken.size(); ++i) EXPECT_EQ(broken[i], "") << "seed " << 1 + i;
}

}  // namespace
}  // namespace oxbowmill
