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
  const char* invariant;  // name of the violated invariant; empty: none is violated
  const char* description;
  std::function<void(InvariantChecker&)> history;
};

const InvariantChecker::JobRequirements two_task_terms{0, 2, 1, true, false};

TEST(InvariantChecker, ReportsExactlyTheViolatedInvariant) {
  auto start_and_stop = [](InvariantChecker& checker, std::uint32_t task, const char* machine, double from,
                           double to) {
    checker.on_task_start("j", task, machine, {"a", false}, from);
    checker.on_task_stop("j", task, machine, to);
  };
  auto submit_and_accept = [](InvariantChecker& checker, double at_s) {
    checker.on_submit("j", two_task_terms);
    checker.on_answer("j", JobAnswer::open, at_s);
  };
  auto accept_with_machines = [](InvariantChecker& checker, const InvariantChecker::JobRequirements& terms,
                                 std::map<std::string, InvariantChecker::UsableMachine> machines) {
    checker.set_fault_free_from(0);
    checker.on_submit("j", terms);
    checker.on_answer("j", JobAnswer::open, 1);
    checker.set_usable_machines(std::move(machines), 1);
  };
  auto check_each_second = [](InvariantChecker& checker, double from, double to) {
    for (double now = from; now <= to; ++now) checker.check(now);
  };
  InvariantChecker::JobRequirements scattered_job{0, 5, 0.5, false, true};
  scattered_job.spread_zones = true;
  scattered_job.types = {"std"};
  InvariantChecker::JobRequirements invalid_job = two_task_terms;
  invalid_job.valid = false;
  const InvariantCase cases[] = {
      {"", "job runs to its end",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         for (std::uint32_t task : {0U, 1U}) {
           start_and_stop(checker, task, "m1", 2, 9);
           checker.on_task_complete("j", task);
         }
         checker.on_answer("j", JobAnswer::done, 10);
         checker.on_answer("j", JobAnswer::done, 200);
       }},
      {"", "task moves to another machine after it stopped, and ends in time after a cancellation",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         start_and_stop(checker, 0, "m1", 2, 3);
         checker.on_task_start("j", 0, "m2", {"a", false}, 3);
         checker.on_withdraw("j");
         checker.on_answer("j", JobAnswer::cancelled, 5);
         checker.on_task_stop("j", 0, "m2", 24.9);
       }},
      {"", "user is refused for long, but not for long after the faults have ended",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         start_and_stop(checker, 0, "m1", 2, 3);
         checker.set_fault_free_from(300);
         checker.on_answer("j", JobAnswer::no_answer, 10);
         checker.check(370);
         checker.on_answer("j", JobAnswer::open, 371);
         checker.check(500);
       }},
      {"", "task is started by a command that was in flight when the job was cancelled",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         checker.set_start_tolerance(3);
         checker.on_withdraw("j");
         checker.on_answer("j", JobAnswer::cancelled, 5);
         start_and_stop(checker, 0, "m1", 7.9, 9);
       }},
      {"", "scattered job runs on its allowed type, at most half of it in each zone",
       [&](InvariantChecker& checker) {
         checker.on_submit("j", scattered_job);
         checker.on_answer("j", JobAnswer::open, 1);
         for (std::uint32_t task : {0U, 1U, 2U})
           checker.on_task_start("j", task, "m1", {"a", false, "std"}, 2);
         for (std::uint32_t task : {3U, 4U}) checker.on_task_start("j", task, "m2", {"b", false, "std"}, 2);
       }},
      {"", "invalid job is rejected",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         start_and_stop(checker, 0, "m1", 2, 3);
         checker.on_submit("k", invalid_job);
         checker.on_answer("k", JobAnswer::rejected, 4);
       }},
      {"", "task waits because no machine has enough free capacity",
       [&](InvariantChecker& checker) {
         accept_with_machines(checker, two_task_terms, {{"m1", {{"a", false}, 1}}});
         checker.on_task_start("j", 0, "m1", {"a", false}, 2);
         check_each_second(checker, 3, 300);
       }},
      {"", "tasks wait because their team is at its quota",
       [&](InvariantChecker& checker) {
         accept_with_machines(checker, {0, 6, 1, false, true}, {{"m1", {{"a", false}, 8}}});
         for (std::uint32_t task : {0U, 1U, 2U, 3U}) checker.on_task_start("j", task, "m1", {"a", false}, 2);
         check_each_second(checker, 3, 300);
       }},
      {"", "task waits for capacity in the zone of its job while another zone has some",
       [&](InvariantChecker& checker) {
         accept_with_machines(checker, two_task_terms,
                              {{"m1", {{"a", false}, 1}}, {"m2", {{"b", false}, 4}}});
         checker.on_task_start("j", 0, "m1", {"a", false}, 2);
         check_each_second(checker, 3, 300);
       }},
      {"", "gang waits for capacity for all its tasks at once",
       [&](InvariantChecker& checker) {
         InvariantChecker::JobRequirements gang = two_task_terms;
         gang.gang = true;
         accept_with_machines(checker, gang, {{"m1", {{"a", false}, 1}}, {"m2", {{"b", false}, 1}}});
         start_and_stop(checker, 0, "m1", 2, 3);
         check_each_second(checker, 3, 300);
       }},
      {"", "task waits for long, but not for long after the faults have ended",
       [&](InvariantChecker& checker) {
         accept_with_machines(checker, two_task_terms, {{"m1", {{"a", false}, 2}}});
         checker.set_fault_free_from(220);
         start_and_stop(checker, 0, "m1", 2, 3);
         check_each_second(checker, 3, 300);
         checker.on_task_start("j", 0, "m1", {"a", false}, 301);
         check_each_second(checker, 302, 390);
       }},
      {"", "task waits while machines have capacity only briefly, because another job takes it",
       [&](InvariantChecker& checker) {
         checker.on_submit("k", {1, 1000, 1, false, true});
         accept_with_machines(checker, {0, 1, 1, false, true},
                              {{"m1", {{"a", false}, 1}}, {"m2", {{"a", false}, 1}}});
         for (std::uint32_t task = 0; task < 100; ++task) {
           double at_s = 2 + 3 * task;
           const char* machine = task % 2 == 0 ? "m1" : "m2";
           checker.on_task_start("k", task, machine, {"a", false}, at_s);
           check_each_second(checker, at_s, at_s + 4);
           checker.on_task_stop("k", task, machine, at_s + 4);
         }
       }},
      {"left_waiting", "task waits although a suitable machine has free capacity all the time",
       [&](InvariantChecker& checker) {
         accept_with_machines(checker, two_task_terms, {{"m1", {{"a", false}, 2}}});
         checker.on_task_start("j", 0, "m1", {"a", false}, 2);
         check_each_second(checker, 3, 92);
         EXPECT_TRUE(checker.violations().empty());
         check_each_second(checker, 93, 300);
       }},
      {"accepted_unsound", "invalid job is accepted",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         start_and_stop(checker, 0, "m1", 2, 3);
         checker.on_submit("k", invalid_job);
         checker.on_answer("k", JobAnswer::open, 4);
         checker.on_answer("k", JobAnswer::open, 5);
       }},
      {"wrong_place", "task runs on a machine type that its job does not allow",
       [&](InvariantChecker& checker) {
         checker.on_submit("j", scattered_job);
         checker.on_task_start("j", 0, "m1", {"a", false, "big"}, 2);
       }},
      {"wrong_place", "task runs in a zone that its job does not allow",
       [&](InvariantChecker& checker) {
         InvariantChecker::JobRequirements job_in_zone_b = two_task_terms;
         job_in_zone_b.zone = "b";
         checker.on_submit("j", job_in_zone_b);
         checker.on_task_start("j", 0, "m1", {"a", false}, 2);
       }},
      {"wrong_place", "more than half of a scattered job runs in one zone",
       [&](InvariantChecker& checker) {
         checker.on_submit("j", scattered_job);
         for (std::uint32_t task : {0U, 1U, 2U, 3U})
           checker.on_task_start("j", task, "m1", {"a", false, "std"}, 2);
       }},
      {"ran_cancelled",
       "task starts after a confirmed cancellation, later than a start command may be in flight",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         checker.set_start_tolerance(3);
         checker.on_withdraw("j");
         checker.on_answer("j", JobAnswer::cancelled, 5);
         start_and_stop(checker, 0, "m1", 8.1, 9);
       }},
      {"ran_cancelled", "task of a cancelled job goes on when its machine is reachable again",
       [&](InvariantChecker& checker) {
         accept_with_machines(checker, two_task_terms, {{"m1", {{"a", false}, 2}}});
         checker.on_task_start("j", 0, "m1", {"a", false}, 2);
         checker.on_withdraw("j");
         checker.on_answer("j", JobAnswer::cancelled, 5);
         checker.set_usable_machines({}, 20);
         checker.check(24);
         checker.set_usable_machines({{"m1", {{"a", false}, 2}}}, 25);
         checker.on_task_stop("j", 0, "m1", 25.2);
       }},
      {"ran_twice", "task runs on two machines",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         checker.on_task_start("j", 0, "m1", {"a", false}, 2);
         checker.on_task_start("j", 0, "m2", {"a", false}, 3);
       }},
      {"ran_twice", "task is started twice on one machine",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         checker.on_task_start("j", 0, "m1", {"a", false}, 2);
         checker.on_task_start("j", 0, "m1", {"a", false}, 3);
       }},
      {"quota", "tasks exceed their team's quota",
       [&](InvariantChecker& checker) {
         checker.on_submit("j", {0, 4, 2, false, true});
         for (std::uint32_t task : {0U, 1U, 2U}) checker.on_task_start("j", task, "m1", {"a", false}, 2);
       }},
      {"wrong_place", "tasks of a single-zone job run in two zones",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         checker.on_task_start("j", 0, "m1", {"a", false}, 2);
         checker.on_task_start("j", 1, "m2", {"b", false}, 3);
       }},
      {"wrong_place", "task runs on a spot machine that its job does not allow",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         checker.on_task_start("j", 0, "m1", {"a", true}, 2);
       }},
      {"ran_cancelled", "task of a cancelled job never stops",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         checker.on_task_start("j", 0, "m1", {"a", false}, 2);
         checker.on_withdraw("j");
         checker.on_answer("j", JobAnswer::cancelled, 5);
         checker.check(25);
         EXPECT_TRUE(checker.violations().empty());
         checker.check(25.5);
       }},
      {"ran_cancelled", "task of a cancelled job stops between two checks, but too late",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         checker.on_task_start("j", 0, "m1", {"a", false}, 2);
         checker.on_withdraw("j");
         checker.on_answer("j", JobAnswer::cancelled, 5);
         checker.on_task_stop("j", 0, "m1", 25.5);
       }},
      {"ran_cancelled", "task starts long after its job was cancelled",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         checker.on_withdraw("j");
         checker.on_answer("j", JobAnswer::cancelled, 5);
         start_and_stop(checker, 0, "m1", 26, 26);
       }},
      {"forgotten", "accepted job is answered as not found",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         start_and_stop(checker, 0, "m1", 2, 3);
         checker.on_answer("j", JobAnswer::not_found, 4);
       }},
      {"forgotten", "accepted job is gone from the state service, though no user asks for it",
       [&](InvariantChecker& checker) {
         checker.on_stored("j", false, 0.5);  // not accepted yet
         submit_and_accept(checker, 1);
         start_and_stop(checker, 0, "m1", 2, 3);
         checker.on_stored("j", true, 3);
         checker.on_stored("j", false, 4);
         checker.on_stored("j", false, 5);
       }},
      {"forgotten", "repeated submission of an accepted job is rejected",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         start_and_stop(checker, 0, "m1", 2, 3);
         checker.on_answer("j", JobAnswer::rejected, 4);
       }},
      {"forgotten", "user gets no answer for too long after the faults have ended",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         start_and_stop(checker, 0, "m1", 2, 3);
         checker.set_fault_free_from(50);
         checker.on_answer("j", JobAnswer::no_answer, 40);
         checker.check(124);
         EXPECT_TRUE(checker.violations().empty());
         checker.check(126);
       }},
      {"invented", "job that nobody submitted is answered as open",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         start_and_stop(checker, 0, "m1", 2, 3);
         checker.on_answer("k", JobAnswer::open, 4);
       }},
      {"not_done", "job is answered as done before all its tasks are",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         start_and_stop(checker, 0, "m1", 2, 3);
         checker.on_task_complete("j", 0);
         checker.on_answer("j", JobAnswer::done, 4);
       }},
      {"went_back", "cancelled job is answered as open",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         start_and_stop(checker, 0, "m1", 2, 3);
         checker.on_withdraw("j");
         checker.on_answer("j", JobAnswer::cancelled, 4);
         checker.on_answer("j", JobAnswer::open, 5);
       }},
      {"went_back", "job is answered as cancelled although no user withdrew it",
       [&](InvariantChecker& checker) {
         submit_and_accept(checker, 1);
         start_and_stop(checker, 0, "m1", 2, 3);
         checker.on_answer("j", JobAnswer::cancelled, 4);
       }},
      {"nothing_ran", "no task was ever started in the whole run",
       [&](InvariantChecker& checker) { submit_and_accept(checker, 1); }},
  };
  for (const InvariantCase& test_case : cases) {
    InvariantChecker checker(20, {4});
    test_case.history(checker);
    checker.close();
    std::string invariant = test_case.invariant;
    if (invariant.empty()) {
      EXPECT_TRUE(checker.violations().empty())
          << test_case.description << ": " << checker.violations().front();
    } else {
      ASSERT_EQ(checker.violations().size(), 1U) << test_case.description;
      EXPECT_EQ(checker.violations()[0].substr(0, invariant.size()), invariant) << test_case.description;
    }
  }
}

// --- Fault combinations.

/// Simulates each scenario with the seeds 1 to `seeds`. Returns a text for each run that violated an
/// invariant or did too little to check anything, with the script that reproduces it; empty if all runs
/// passed.
std::vector<std::string> run_and_collect_failures(const std::vector<ClusterScenario>& scenarios,
                                                  std::uint64_t seeds) {
  std::vector<std::string> failures(scenarios.size() * seeds);
  simulation::run_in_parallel(failures.size(), 2, [&](std::size_t i) {
    const ClusterScenario& scenario = scenarios[i / seeds];
    std::uint64_t seed = 1 + i % seeds;
    simulation::ClusterResult result =
        simulation::ClusterSimulation(scenario, simulation::SimulationVariant::with_reconciliation, seed)
            .run();
    if (!result.violations.empty())
      failures[i] = result.violations[0] + ", seed " + std::to_string(seed) + "\n" +
                    simulation::faults_to_yaml(scenario);
    // A run in which hardly any task was done or query answered proves nothing.
    if (result.answers < 50 || result.completed_tasks_by_class[0] + result.completed_tasks_by_class[1] == 0)
      failures[i] += "too little was done or answered to check anything: " +
                     std::to_string(result.completed_tasks_by_class[0] + result.completed_tasks_by_class[1]) +
                     " tasks, " + std::to_string(result.answers) + " answers\n" +
                     simulation::faults_to_yaml(scenario);
  });
  failures.erase(std::remove(failures.begin(), failures.end(), ""), failures.end());
  return failures;
}

/// Two or more faults. The times of the second ones are shifted, so that they occur at several moments during
/// the first ones.
struct FaultCombination {
  const char* name;
  std::vector<Fault> first_faults, second_faults;
  std::function<void(ClusterScenario&)> configure = {};  // changes the default cluster
};

Fault make_fault(FaultKind kind, double at_s, double duration_s, double fraction = 0, double stagger_s = 0) {
  Fault fault;
  fault.kind = kind;
  fault.at_s = at_s;
  fault.duration_s = duration_s;
  fault.fraction = fraction;
  fault.stagger_s = stagger_s;
  return fault;
}

using Kind = FaultKind;

Fault hanging_machines(double at_s, double duration_s, double fraction) {
  Fault fault = make_fault(Kind::jobs_cancelled_and_machines_hang, at_s, duration_s, fraction);
  fault.count = 8;
  return fault;
}

Fault zone_agents_cut_off(const char* zone, double at_s, double duration_s) {
  Fault fault = make_fault(Kind::zone_agents_cut_off, at_s, duration_s);
  fault.zone = zone;
  return fault;
}

Fault delayed_reports(std::uint32_t count, double at_s, double duration_s) {
  Fault fault = make_fault(Kind::delayed_reports, at_s, duration_s);
  fault.count = count;
  return fault;
}

std::vector<Fault> repeated_owner_failures(int count, double interval_s) {
  std::vector<Fault> faults;
  for (int i = 0; i < count; ++i) faults.push_back(make_fault(Kind::owner_down, interval_s * i, 3));
  return faults;
}

// Changes of the default cluster.
void put_team_at_quota(ClusterScenario& scenario) {
  scenario.guaranteed_gpus = 8;
  scenario.max_gpus = 16;
}
void use_few_machines(ClusterScenario& scenario) {
  scenario.initial_machines = 6;
  scenario.arrays_per_s = 0.5;
}
void submit_four_jobs_per_second(ClusterScenario& scenario) {
  scenario.gangs_per_s = 0.01;
  scenario.arrays_per_s = 4;
  scenario.small_array_fraction = 1;
  scenario.small_array_max_tasks = 1;
  scenario.zone_bound_fraction = 0;
  scenario.withdrawn_fraction = 0.25;
  scenario.array_run_s = 5;
}
void bind_all_jobs_to_zones(ClusterScenario& scenario) {
  scenario.zone_bound_fraction = 1;
  scenario.small_array_fraction = 0.4;
}
void submit_more_work_than_capacity(ClusterScenario& scenario) {
  scenario.gangs_per_s = 0.15;
  scenario.arrays_per_s = 0.8;
}

/// The combinations that users asked for, in the order of their list (docs/fault-combinations.md).
const std::vector<FaultCombination> fault_combinations = {
    {"DelayedResponsesWhileMachinesHangAndResume",
     {make_fault(Kind::delayed_responses, 0, 60, 0.4), make_fault(Kind::machines_hang, 4, 11, 0.4)},
     {make_fault(Kind::owner_down, 2, 3), make_fault(Kind::machines_hang, 6, 9, 0.4)}},
    {"DuplicateReportsAcrossThreeOwnerFailures",
     {make_fault(Kind::duplicate_reports, 0, 60, 0.3)},
     {make_fault(Kind::owner_down, 0, 5), make_fault(Kind::owner_down, 9, 5),
      make_fault(Kind::owner_down, 20, 0.5)}},
    {"DelayedWritesAcrossOwnerFailures",
     {make_fault(Kind::delayed_writes, 0, 50, 0.4)},
     {make_fault(Kind::owner_down, 0, 1), make_fault(Kind::all_controllers_down, 8, 0.5, 0, 0.4),
      make_fault(Kind::jobs_cancelled, 4, 0, 0.5)}},
    {"IsolatedOwnerWhileJobsAreCancelled",
     {make_fault(Kind::owner_isolated, 0, 30)},
     {make_fault(Kind::jobs_cancelled, 1, 0, 0.6), make_fault(Kind::jobs_cancelled, 7, 0, 0.6),
      make_fault(Kind::state_outage, 9, 45)}},
    {"RepeatedFailoversThenAllControllersEnd",
     {make_fault(Kind::owner_down, 0, 0.6), make_fault(Kind::duplicate_reports, 0, 60, 0.3)},
     {make_fault(Kind::owner_down, 0.7, 8), make_fault(Kind::all_controllers_down, 2, 0.3, 0, 6),
      make_fault(Kind::owner_down, 4, 0.3)}},
    {"DuplicateReportsOfEarlierAgentEpochsAndAttempts",
     {make_fault(Kind::duplicate_reports, 0, 70, 0.6), make_fault(Kind::machines_hang, 0, 13, 0.5)},
     {make_fault(Kind::owner_down, 1, 4), make_fault(Kind::machines_receive_nothing, 4, 25, 0.4),
      make_fault(Kind::owner_down, 15, 4)}},
    {"SlowStateServiceRefusesTheOwnerThenAllControllers",
     {make_fault(Kind::state_delay, 0, 25, 0, 1.2), make_fault(Kind::owner_refused_by_state, 6, 14)},
     {make_fault(Kind::jobs_cancelled, 6.5, 0, 0.6), make_fault(Kind::state_outage, 7.5, 50),
      make_fault(Kind::jobs_cancelled, 12, 0, 0.6)}},
    {"OwnerFailsWhileMachinesHangOrReceiveNothing",
     {make_fault(Kind::machines_receive_nothing, 0, 50, 0.4), make_fault(Kind::machines_hang, 2, 14, 0.3)},
     {make_fault(Kind::owner_down, 3, 4), make_fault(Kind::machines_receive_nothing, 8, 40, 0.4),
      make_fault(Kind::owner_down, 12, 4)}},
    {"UsersQueryAllControllersRepeatedly",
     {make_fault(Kind::repeated_queries, 0, 60), make_fault(Kind::state_delay, 0, 20, 0, 0.3)},
     {make_fault(Kind::jobs_cancelled, 1, 0, 0.4), make_fault(Kind::owner_down, 3, 2),
      make_fault(Kind::owner_refused_by_state, 8, 8), make_fault(Kind::jobs_cancelled, 12, 0, 0.4)}},
    {"WriteResponsesLostWhileAllControllersAreQueried",
     {make_fault(Kind::lost_write_responses, 0, 50, 0.4), make_fault(Kind::repeated_queries, 0, 60)},
     {make_fault(Kind::owner_down, 2, 1), make_fault(Kind::jobs_cancelled, 4, 0, 0.5),
      make_fault(Kind::all_controllers_down, 15, 0.5, 0, 0.4)}},
    {"TeamAtQuotaWhileMachinesOfCancelledJobsHang",
     {hanging_machines(0, 11, 0.6), make_fault(Kind::machines_send_nothing, 0, 30, 0.3)},
     {make_fault(Kind::owner_down, 1, 5), make_fault(Kind::jobs_cancelled, 3, 0, 0.5),
      hanging_machines(8, 11, 0.6), make_fault(Kind::owner_down, 10, 2)},
     put_team_at_quota},
    {"JobsCancelledDuringFailover",
     {make_fault(Kind::owner_down, 0, 6), make_fault(Kind::duplicate_reports, -5, 30, 0.3)},
     {make_fault(Kind::jobs_cancelled, -0.3, 0, 0.4), make_fault(Kind::jobs_cancelled, 0.2, 0, 0.4),
      make_fault(Kind::jobs_cancelled, 0.8, 0, 0.4), make_fault(Kind::jobs_cancelled, 1.6, 0, 0.4),
      make_fault(Kind::owner_down, 2, 3), make_fault(Kind::jobs_cancelled, 2.4, 0, 0.6)}},
    {"FastBootsWhileWritesAreDelayedAndTheOwnerFails",
     {make_fault(Kind::fast_boots, -12, 60), make_fault(Kind::delayed_writes, -8, 40, 0.4)},
     {make_fault(Kind::owner_down, -2, 3), make_fault(Kind::machines_die, 1, 0, 0.3),
      make_fault(Kind::owner_down, 6, 1), make_fault(Kind::all_controllers_down, 12, 0.4, 0, 0.3)},
     use_few_machines},
    {"OldReportsReachAllControllersWhenOwnershipChanges",
     {make_fault(Kind::replayed_reports, -15, 60, 0.6), make_fault(Kind::machines_hang, -8, 7, 0.3)},
     {make_fault(Kind::owner_down, 0, 2), make_fault(Kind::owner_down, 8, 5),
      make_fault(Kind::all_controllers_down, 20, 0.3, 0, 0.3)}},
    {"FourSingleTaskJobsPerSecondAcrossAnOwnerFailure",
     {make_fault(Kind::repeated_queries, 0, 20)},
     {make_fault(Kind::owner_down, 5, 4)},
     submit_four_jobs_per_second},
    {"ZoneBoundJobsLoseMachines",
     {make_fault(Kind::machines_die, 0, 0, 0.3), make_fault(Kind::machines_hang, 2, 14, 0.3)},
     {make_fault(Kind::machines_die, 0.5, 0, 0.2), make_fault(Kind::owner_down, 2, 4),
      make_fault(Kind::machines_die, 6, 0, 0.2)},
     bind_all_jobs_to_zones},
    {"TenOwnerFailuresInTwoMinutesAndAStateOutage",
     repeated_owner_failures(10, 12),
     {make_fault(Kind::state_outage, 26, 25), make_fault(Kind::jobs_cancelled, 30, 0, 0.5),
      make_fault(Kind::jobs_cancelled, 80, 0, 0.5)}},
    {"MoreWorkThanCapacityWithDelayedResponses",
     {make_fault(Kind::delayed_responses, 0, 60, 0.9, 1.5)},
     {make_fault(Kind::owner_down, 2, 4), make_fault(Kind::jobs_cancelled, 8, 0, 0.4),
      make_fault(Kind::machines_die, 10, 0, 0.2)},
     submit_more_work_than_capacity},
    {"AgentsReachNoControllerButReceiveCommands",
     {make_fault(Kind::machines_send_nothing, 0, 30, 0.5)},
     {make_fault(Kind::jobs_cancelled, 1, 0, 0.6), make_fault(Kind::owner_down, 2, 4),
      make_fault(Kind::machines_send_nothing, 8, 20, 0.5), make_fault(Kind::jobs_cancelled, 14, 0, 0.6)}},
    {"ZoneWithAControllerIsolatedForLongerThanALease",
     {make_fault(Kind::zone_isolated, 0, 30)},
     {make_fault(Kind::jobs_cancelled, 3, 0, 0.6), make_fault(Kind::owner_down, 5, 4),
      make_fault(Kind::jobs_cancelled, 12, 0, 0.6)}},
    {"AllControllersDownForLongerThanALease",
     {make_fault(Kind::all_controllers_down, 0, 16, 0, 1), make_fault(Kind::duplicate_reports, -10, 60, 0.3)},
     {make_fault(Kind::jobs_cancelled, -0.5, 0, 0.6), make_fault(Kind::jobs_cancelled, 17, 0, 0.5),
      make_fault(Kind::all_controllers_down, 19, 0.3, 0, 14)}},
    {"JobsCancelledAsTheOwnerIsRefusedBeforeAStateOutage",
     {make_fault(Kind::owner_refused_by_state, 0, 14), make_fault(Kind::jobs_cancelled, 0, 0, 0.8)},
     {make_fault(Kind::state_outage, 0.7, 46)}},
    {"JobsCancelledOrQueriedAsTheirLastTaskEnds",
     {make_fault(Kind::jobs_cancelled_at_end, 0, 60, 0.6), make_fault(Kind::repeated_queries, 0, 60)},
     {make_fault(Kind::all_tasks_finish, 2, 0), make_fault(Kind::all_tasks_finish, 20, 0)}},
    {"TeamAtQuotaWhoseZoneIsCutOffDuringFailover",
     {zone_agents_cut_off("a", 0, 10)},
     {make_fault(Kind::owner_down, 0.5, 4), make_fault(Kind::jobs_cancelled, 1, 0, 0.5),
      make_fault(Kind::jobs_cancelled, 4, 0, 0.5), make_fault(Kind::owner_down, 7, 1)},
     put_team_at_quota},
    {"ReportsDelayedUntilTheNewOwnerHasActed",
     {delayed_reports(60, 0, 9)},
     {make_fault(Kind::owner_down, 0.5, 4), make_fault(Kind::jobs_cancelled, 6, 0, 0.4)}},
    {"InvalidRequestsAcrossOwnerFailures",
     {make_fault(Kind::invalid_requests, 0, 60), make_fault(Kind::lost_write_responses, 0, 30, 0.3)},
     {make_fault(Kind::owner_down, 2, 3), make_fault(Kind::state_outage, 8, 10),
      make_fault(Kind::all_controllers_down, 20, 1, 0, 0.5)}},
};

class FaultCombinationTest : public testing::TestWithParam<std::size_t> {};

TEST_P(FaultCombinationTest, KeepsInvariants) {
  FaultCombination combination = fault_combinations[GetParam()];
  std::vector<ClusterScenario> scenarios;
  for (double shift_s : {0.0, 0.3, 0.9, 1.7, 2.6, 3.8, 5.5, 9.0}) {
    ClusterScenario scenario = simulation::fault_combination_scenario();
    if (combination.configure) combination.configure(scenario);
    scenario.faults = combination.first_faults;
    for (Fault fault : combination.second_faults) {
      fault.at_s += shift_s;
      scenario.faults.push_back(fault);
    }
    for (Fault& fault : scenario.faults) fault.at_s += scenario.warm_up_s;
    simulation::extend_for_settling(scenario);
    scenarios.push_back(scenario);
  }
  for (const std::string& failure : run_and_collect_failures(scenarios, 6)) ADD_FAILURE() << failure;
}

INSTANTIATE_TEST_SUITE_P(FaultCombinations, FaultCombinationTest,
                         testing::Range<std::size_t>(0, fault_combinations.size()),
                         [](const auto& info) { return std::string(fault_combinations[info.param].name); });

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
  std::vector<ClusterScenario> scenarios;
  for (double outage_after_s : {0.5, 2.0, 5.0, 8.0, 14.0}) {
    for (double cancel_after_s : {0.2, 1.5, 4.5}) {
      if (cancel_after_s >= outage_after_s) continue;
      for (double extra_outage_s : {2.0, 40.0}) {
        ClusterScenario scenario = simulation::fault_combination_scenario();
        scenario.lease_s = times.lease_s;
        scenario.cancel_timeout_s = times.cancel_s;
        scenario.controller_lease_s = times.controller_lease_s;
        double start_s = scenario.warm_up_s;
        scenario.faults = {make_fault(Kind::owner_refused_by_state, start_s, 14),
                           make_fault(Kind::jobs_cancelled, start_s + cancel_after_s, 0, 0.8),
                           make_fault(Kind::jobs_cancelled, start_s + outage_after_s - 0.3, 0, 0.8),
                           make_fault(Kind::state_outage, start_s + outage_after_s,
                                      scenario.cancel_timeout_s + extra_outage_s)};
        simulation::extend_for_settling(scenario);
        scenarios.push_back(scenario);
      }
    }
  }
  for (const std::string& failure : run_and_collect_failures(scenarios, 4)) ADD_FAILURE() << failure;
}

INSTANTIATE_TEST_SUITE_P(FaultCombinations, CancellationDuringOutageTest, testing::Range(0, 6));

/// Interrupts an election at each of its steps: the process's earlier lease ended, lease granted, controller
/// registered, ownership write sent, the write durable but unanswered, state listed, first response sent. The
/// simulation advances in steps of 0.1 s, so the interruption is tried at each 0.1 s of the first 5 s.
/// Controllers that end begin to return within 0.3 s.
class InterruptedElectionTest : public testing::TestWithParam<std::uint32_t> {};

TEST_P(InterruptedElectionTest, InterruptionAtEachStepKeepsInvariants) {
  std::vector<ClusterScenario> scenarios;
  for (int step = 1; step <= 50; ++step) {
    double at_s = 0.1 * step;
    const std::vector<std::vector<Fault>> interruptions = {
        {make_fault(Kind::owner_down, at_s, 0.3)},
        {make_fault(Kind::all_controllers_down, at_s, 0.1, 0, 0.05)},
        {make_fault(Kind::all_controllers_down, at_s, 0.2),
         make_fault(Kind::all_controllers_down, at_s + 0.4, 0.1, 0, 0.1),
         make_fault(Kind::all_controllers_down, at_s + 1.1, 0.3)}};
    for (const std::vector<Fault>& interruption : interruptions) {
      ClusterScenario scenario = simulation::fault_combination_scenario();
      scenario.controllers = GetParam();
      // Copies of old reports arrive late, and transactions that got no response are applied late.
      scenario.faults = {make_fault(Kind::duplicate_reports, -5, 30, 0.3),
                         make_fault(Kind::delayed_writes, -5, 30, 0.3), make_fault(Kind::owner_down, 0, 0.2)};
      scenario.faults.insert(scenario.faults.end(), interruption.begin(), interruption.end());
      for (Fault& fault : scenario.faults) fault.at_s += scenario.warm_up_s;
      simulation::extend_for_settling(scenario);
      scenarios.push_back(scenario);
    }
  }
  for (const std::string& failure : run_and_collect_failures(scenarios, 1)) ADD_FAILURE() << failure;
}

INSTANTIATE_TEST_SUITE_P(FaultCombinations, InterruptedElectionTest, testing::Values(3U, 7U));

TEST(FaultHistories, FourSingleTaskJobsPerSecondStayWithinTheLowestWriteLimit) {
  // Each job takes the writes of its submission, its placement and its end (three keys), which leaves a fifth
  // of the limit for all other writes.
  ClusterScenario scenario = simulation::fault_combination_scenario();
  submit_four_jobs_per_second(scenario);
  scenario.write_rps = 35;
  scenario.duration_s = 260;
  simulation::ClusterResult result =
      simulation::ClusterSimulation(scenario, simulation::SimulationVariant::with_reconciliation, 1).run();
  EXPECT_TRUE(result.violations.empty()) << result.violations[0];
  EXPECT_EQ(result.late_starts, 0U);
  double owner_changes = 0;
  for (const simulation::SecondSample& second : result.samples) owner_changes += second.changes;
  EXPECT_GT(result.completed_tasks_by_class[1], 500U);
  // Counts the changes of owners only. A cancelled job was placed and removed, or was never placed.
  EXPECT_LT(owner_changes / (scenario.arrays_per_s * scenario.duration_s), 4.5);
  EXPECT_EQ(result.class_served[1].started, result.class_served[1].jobs);
  EXPECT_LT(result.class_served[1].longest_wait_s, 60);
}

TEST(FaultHistories, RandomFaultsKeepInvariants) {
  std::vector<std::string> failures(240);
  simulation::run_in_parallel(failures.size(), 2, [&](std::size_t i) {
    std::uint64_t seed = 1 + i;
    ClusterScenario scenario = simulation::random_history(seed);
    simulation::ClusterResult result =
        simulation::ClusterSimulation(scenario, simulation::SimulationVariant::with_reconciliation, seed)
            .run();
    if (!result.violations.empty())
      failures[i] = result.violations[0] + "; reproduced by\n" +
                    simulation::faults_to_yaml(simulation::minimize_faults(scenario, seed));
  });
  for (std::size_t i = 0; i < failures.size(); ++i) EXPECT_EQ(failures[i], "") << "seed " << 1 + i;
}

}  // namespace
}  // namespace oxbowmill
