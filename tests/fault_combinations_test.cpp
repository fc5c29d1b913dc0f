// Combinations of faults, of which a second one occurs during the first (docs/fault-combinations.md). Each is
// caused step by step in a simulated cluster of several controllers.
#include <gtest/gtest.h>

#include "oxbowmill/service/admission.h"
#include "oxbowmill/service/replica_freshness.h"
#include "oxbowmill/service/status_query.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

using simulation::SimulatedCluster;
using simulation::SimulatedController;
using simulation::test_job;
using Kind = ReportAnswer::Kind;

/// One task runs on m1, which controller 0 owns; m2 is idle.
struct RunningTaskFixture {
  RunningTaskFixture() {
    cluster.add_machine("m1");
    cluster.run(2);
    cluster.submit(test_job("run-1", 1));
    cluster.run(2);
    cluster.add_machine("m2");
    for (std::size_t controller : {0, 1})
      cluster.controller(controller).cluster_state.settings.operator_settings.idle_retention_s =
          cluster.controller(controller).cluster_state.settings.operator_settings.release_to_pool_s = 1000;
  }
  const Machine& machine(const std::string& name, std::size_t controller = 1) {
    return cluster.controller(controller)
        .cluster_state.machine(cluster.controller(controller).cluster_state.names.machines.find(name));
  }
  SimulatedCluster cluster;
};

TEST(FaultCombinations, ReadOnlyOwnerKillsTasksKnownToBeCancelled) {
  // The job is cancelled while its owner receives no updates. The new owner knows of the cancellation, but
  // loses the state service before the agent reports to it. It once kept the task alive through its own
  // read-only period, a second one, so that the task ran for longer than cancel_s.
  for (bool cancelled : {true, false}) {
    RunningTaskFixture fixture;
    if (cancelled) {
      ASSERT_EQ(fixture.cluster.withdraw("run-1"), 200);
    }
    fixture.cluster.fail_over(0, 1, 4);
    fixture.cluster.controller(1).run_cycle(fixture.cluster.now);
    fixture.cluster.now +=
        fixture.cluster.controller(1).cluster_state.settings.operator_settings.controller_lease_s + 0.5;
    ASSERT_EQ(fixture.cluster.controller(1).lease.authority(fixture.cluster.now), Authority::read_only);
    auto response = fixture.cluster.exchange_report("m1", 1);
    EXPECT_EQ(response.kind, Kind::ok);
    EXPECT_EQ(response.commands.size(), cancelled ? 1U : 0U);
    EXPECT_EQ(fixture.cluster.agent("m1").has("run-1/0"), !cancelled);
  }
}

TEST(FaultCombinations, OlderReportDoesNotOverrideOneAnsweredInReadOnlyPeriod) {
  RunningTaskFixture fixture;
  auto older_report = fixture.cluster.agent("m1").report(fixture.cluster.now);
  fixture.cluster.store.set_outage(true, fixture.cluster.now);
  fixture.cluster.now +=
      fixture.cluster.controller(0).cluster_state.settings.operator_settings.controller_lease_s + 0.5;
  EXPECT_EQ(fixture.cluster.exchange_report("m1", 0).kind, Kind::ok);
  fixture.cluster.store.set_outage(false, fixture.cluster.now);
  fixture.cluster.controller(0).renew(fixture.cluster.now);
  fixture.cluster.controller(0).sync(fixture.cluster.now);
  ASSERT_EQ(fixture.cluster.controller(0).lease.authority(fixture.cluster.now), Authority::full);
  EXPECT_EQ(fixture.cluster.controller(0).handle_report(older_report, fixture.cluster.now).kind,
            Kind::refuse);
}

TEST(FaultCombinations, LateEndOfAnEarlierAttemptDoesNotReleaseAGangMember) {
  // A member ends because the gang is incomplete, and is started again on the same machine with the same
  // attempt. The new owner receives the old report of that end first.
  SimulatedCluster cluster;
  for (const char* machine : {"m1", "m2"}) cluster.add_machine(machine);
  JobSpec gang = test_job("run-1", 2, 4);
  gang.shape = JobShape::gang;
  for (const char* machine : {"m1", "m2"}) cluster.agent(machine).first_phase = TaskPhase::gathering;
  cluster.run(2);
  cluster.submit(gang);
  cluster.run(3);
  std::string machine_name = cluster.machines_of_task("run-1", 0).at(0);
  ASSERT_TRUE(cluster.agent(machine_name).has("run-1/0"));
  Attempt attempt = cluster.agent(machine_name).attempt("run-1/0");
  cluster.agent(machine_name).finish("run-1/0", EndCause::gang_incomplete);
  cluster.now += 0.5;
  AgentReport late_report = cluster.agent(machine_name).report(cluster.now);
  ASSERT_EQ(late_report.tasks.at(0).phase, TaskPhase::ended);
  cluster.run(4);
  ASSERT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{machine_name});
  ASSERT_TRUE(cluster.agent(machine_name).has("run-1/0"));
  ASSERT_EQ(cluster.agent(machine_name).attempt("run-1/0"), attempt) << "precondition of this case";
  cluster.add_machine("m3");
  cluster.fail_over(0, 1, 4);
  cluster.controller(1).handle_report(late_report, cluster.now);
  cluster.run(5, 1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{machine_name});
  EXPECT_EQ(cluster.run_log.starts["run-1/0"], 2);
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(FaultCombinations, DelayedReportsOfOldAgentEpochsDoNotProveATaskGone) {
  // The agent's lease expires after it received the start, and the start is sent again with the same attempt
  // in the next agent epoch. The new owner receives late copies of two reports: one of the first epoch, which
  // shows the task, and one of the second epoch from before the start arrived.
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.run(2);
  cluster.submit(test_job("run-1", 1));
  cluster.controller(0).sync(cluster.now);
  cluster.controller(0).run_cycle(cluster.now);
  cluster.exchange_report("m1", 0);
  AgentReport report_with_task = cluster.agent("m1").report(cluster.now);
  ASSERT_EQ(report_with_task.tasks.size(), 1U);
  for (int i = 0; i < 20; ++i) {
    cluster.now += 0.515;
    cluster.controller(0).renew(cluster.now);
    cluster.controller(0).sync(cluster.now);
  }
  AgentReport report_without_task = cluster.agent("m1").report(cluster.now);
  ASSERT_EQ(report_without_task.agent_epoch, 2U);
  cluster.agent("m1").handle_response(cluster.controller(0).handle_report(report_without_task, cluster.now),
                                      cluster.now);
  ASSERT_TRUE(cluster.agent("m1").has("run-1/0"));
  ASSERT_EQ(cluster.agent("m1").attempt("run-1/0"), report_with_task.tasks[0].attempt)
      << "precondition of this case";
  cluster.add_machine("m2");
  cluster.fail_over(0, 1, 0.5);
  for (const AgentReport& late_report : {report_with_task, report_without_task})
    cluster.controller(1).handle_report(late_report, cluster.now);
  cluster.run(5, 1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
  cluster.agent("m1").finish("run-1/0", EndCause::done);
  cluster.run(3, 1);
  EXPECT_EQ(cluster.phase("run-1"), "done");
}

TEST(FaultCombinations, MachineNotReceivingResponsesOfItsNewOwnerIsProvedEmpty) {
  // The machine's reports arrive, so it is never silent; responses to it do not, so its reports never show
  // the new owner's fencing token. An agent that does not show this token has received no response of the new
  // owner, so its lease has expired once no other controller can have responded.
  RunningTaskFixture fixture;
  fixture.cluster.fail_over(0, 1, 0);
  const Settings& settings = fixture.cluster.controller(1).cluster_state.settings;
  SimulatedCluster& cluster = fixture.cluster;
  auto run_without_responses_to_m1 = [&](double seconds) {
    for (double end = cluster.now + seconds; cluster.now < end;) {
      cluster.now += 0.5;
      cluster.controller(1).renew(cluster.now);
      cluster.controller(1).sync(cluster.now);
      cluster.controller(1).run_cycle(cluster.now);
      cluster.exchange_report("m1", 1, true);
      cluster.exchange_report("m2", 1);
    }
  };
  run_without_responses_to_m1(settings.failover_silence_s() - 1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  run_without_responses_to_m1(4);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m2"});
  EXPECT_TRUE(cluster.agent("m2").has("run-1/0"));
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
  // Once responses reach the machine again, it is usable as before and has no tasks.
  cluster.run(1, 1);
  EXPECT_EQ(fixture.machine("m1").state, MachineState::ready);
  EXPECT_TRUE(fixture.machine("m1").placed_tasks.empty());
}

TEST(FaultCombinations, TaskWhoseStartDoesNotArriveIsPlacedElsewhere) {
  for (bool after_failover : {false, true}) {
    SimulatedCluster cluster;
    cluster.add_machine("m1");
    cluster.run(2);
    std::size_t owner = after_failover ? 1 : 0;
    if (after_failover) cluster.fail_over(0, 1, 4);
    cluster.submit(test_job("run-1", 1));
    cluster.add_machine("m2", "b");
    cluster.silenced_agents.insert("m2");
    for (int i = 0; i < 14; ++i) {
      cluster.now += 0.5;
      cluster.controller(owner).renew(cluster.now);
      cluster.controller(owner).sync(cluster.now);
      cluster.exchange_report("m1", owner, true);
      if (i > 6) cluster.exchange_report("m2", owner);
      cluster.controller(owner).run_cycle(cluster.now);
    }
    EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m2"}) << after_failover;
    EXPECT_TRUE(cluster.agent("m2").has("run-1/0")) << after_failover;
    EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
  }
}

TEST(FaultCombinations, NoMachineIsBlockedWhenMostResponsesAreLost) {
  // No agent receives a response, as when the owner is so slow that the agents drop its responses. Tasks
  // whose start has not arrived stay on the machines where they were placed.
  SimulatedCluster cluster;
  std::vector<std::string> names;
  for (int i = 0; i < 8; ++i) names.push_back("m" + std::to_string(i));
  for (const std::string& name : names) cluster.add_machine(name);
  cluster.controller(0).cluster_state.settings.teams[1].limit = {};
  cluster.controller(0).cluster_state.settings.operator_settings.release_to_pool_s = 1000;
  cluster.run(2);
  cluster.submit(test_job("run-1", 8, 4));
  auto run_cycles = [&](int cycles, bool responses_lost) {
    for (int i = 0; i < cycles; ++i) {
      cluster.now += 0.5;
      cluster.controller(0).renew(cluster.now);
      cluster.controller(0).sync(cluster.now);
      for (const std::string& name : names) cluster.exchange_report(name, 0, responses_lost);
      cluster.controller(0).run_cycle(cluster.now);
    }
  };
  run_cycles(1, false);
  std::vector<std::string> machine_of_task;
  for (TaskNumber task = 0; task < 8; ++task)
    machine_of_task.push_back(cluster.machines_of_task("run-1", task).at(0));
  run_cycles(8, true);
  for (TaskNumber task = 0; task < 8; ++task)
    EXPECT_EQ(cluster.machines_of_task("run-1", task), std::vector<std::string>{machine_of_task[task]})
        << task;
  run_cycles(2, false);
  for (TaskNumber task = 0; task < 8; ++task)
    EXPECT_EQ(cluster.run_log.starts["run-1/" + std::to_string(task)], 1) << task;
}

TEST(FaultCombinations, ListedStateIsAsFreshAsItsFirstPage) {
  // Ten seconds pass between the two pages, so a job on the first one may have been cancelled meanwhile.
  service::ReplicaFreshness freshness;
  freshness.on_listing_started();
  freshness.on_page(110, 50);
  freshness.on_page(130, 60);
  EXPECT_FALSE(freshness.is_live());
  freshness.on_listing_finished();
  EXPECT_TRUE(freshness.is_live());
  EXPECT_EQ(freshness.as_of(), 50);
  EXPECT_EQ(freshness.revision(), 110U);
  Settings settings = simulation::test_settings("n");
  ControllerLease lease(settings);
  lease.on_granted(1, 60);
  lease.on_watch_answered(freshness.as_of());
  EXPECT_EQ(lease.authority(61), Authority::read_only);
  freshness.on_watch_response(140, 62);
  EXPECT_EQ(freshness.as_of(), 62);
  EXPECT_EQ(freshness.revision(), 140U);
  // A second listing does not make the replica less fresh than it was.
  freshness.on_listing_started();
  freshness.on_page(150, 61);
  freshness.on_listing_finished();
  EXPECT_EQ(freshness.as_of(), 62);
  EXPECT_EQ(freshness.revision(), 150U);
}

TEST(FaultCombinations, LateReportOfADeletedMachineIsAdoptedThenReleased) {
  // The report reaches the leader after the machine was deleted. The leader adopts the machine and assigns it
  // to the partition that waits for capacity, which gives it up when it does not report.
  SimulatedCluster cluster;
  cluster.add_unregistered_machine("gone");
  AgentReport late_report = cluster.agent("gone").report(cluster.now);
  cluster.silenced_agents.insert("gone");
  cluster.submit(test_job("run-1", 1));
  cluster.controller(0).handle_report(late_report, cluster.now);
  cluster.run(3);
  ASSERT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"gone"})
      << "precondition of this case";
  cluster.add_machine("m1");
  cluster.run(2 * cluster.controller(0).cluster_state.settings.first_report_timeout_s() + 2);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  EXPECT_TRUE(cluster.agent("m1").has("run-1/0"));
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(FaultCombinations, JobWaitCountsFromFirstSubmissionAttempt) {
  // A job that is refused throughout an outage of a minute would otherwise seem a minute younger than it is.
  struct SubmissionAttempt {
    simulation::Json body;
    double submitted_at_s, first_submitted_at_s;
  };
  const SubmissionAttempt attempts[] = {
      {{{"ref", "run-1"}}, 100, 100}, {{{"ref", "run-1"}}, 140, 100},
      {{{"ref", "run-2"}}, 141, 141}, {{{"ref", "run-1"}}, 160, 100},
      {{{"ref", "run-1"}}, 161, 161},  // clients do not repeat a submission for so long
      {{{"ref", "run-1"}}, 150, 150},  // the clock was set back
      {{{"ref", ""}}, 10, 10},        {{{"ref", ""}}, 20, 20},
      {{{"ref", 7}}, 30, 30},         {simulation::Json::object(), 40, 40},
  };
  service::FirstAttempts first_attempts;
  for (const SubmissionAttempt& attempt : attempts)
    EXPECT_EQ(first_attempts.record_attempt(attempt.body, attempt.submitted_at_s),
              attempt.first_submitted_at_s)
        << attempt.body << " at " << attempt.submitted_at_s;
  for (int i = 0; i < 20000; ++i) first_attempts.record_attempt({{"ref", "swarm-" + std::to_string(i)}}, 200);
  EXPECT_EQ(first_attempts.record_attempt({{"ref", "swarm-19999"}}, 201), 200);
  EXPECT_EQ(first_attempts.record_attempt({{"ref", "swarm-0"}}, 201), 201)
      << "the number of remembered jobs is limited";
  // The admitted job has the time of the first attempt.
  Names names = simulation::test_names();
  Settings settings = simulation::test_settings("n");
  simulation::Json body = wire::write_submission(test_job("run-1", 1), names);
  auto admission = service::admit(body, names, settings, simulation::test_catalog(), 100);
  ASSERT_FALSE(admission.rejection);
  EXPECT_EQ(admission.submission.spec.submitted_at, 100);
}

TEST(FaultCombinations, StatusQueryIsAnsweredOnlyFromKnownState) {
  using service::StatusQuery;
  using Step = service::QueryStep;
  using Read = service::KeyReadResult;
  const Read absent{Read::Kind::absent, JobPhase::open}, unknown{}, done{Read::Kind::found, JobPhase::done},
      open{Read::Kind::found, JobPhase::open};
  struct Case {
    const char* description;
    bool state_is_current;
    std::vector<Read> reads;  // results, in the order of the reads
    Step final_step;
    std::size_t read_count;
  };
  const Case cases[] = {
      {"job ended, replica current: one read", true, {done}, Step::answer, 1},
      {"live job that the current replica lacks, because its record cannot be decoded",
       true,
       {absent, open},
       Step::answer,
       2},
      {"job that was never accepted: both keys are read", true, {absent, absent, absent}, Step::absent, 3},
      {"job ended, replica not current", false, {absent, done}, Step::answer, 2},
      {"live job, replica not current", false, {open}, Step::answer, 1},
      {"no usable response for the job's own key", false, {unknown}, Step::refuse, 1},
      {"no usable response for the final key", false, {absent, unknown}, Step::refuse, 2},
      {"replica current, no usable response for the final key", true, {unknown}, Step::refuse, 1},
  };
  for (const Case& test_case : cases) {
    StatusQuery query;
    ASSERT_EQ(query.poll(std::nullopt), Step::wait_for_replica);
    Step step = query.on_replica_current(test_case.state_is_current, std::nullopt);
    std::size_t reads_done = 0;
    while (step == Step::read_live || step == Step::read_final) {
      ASSERT_LT(reads_done, test_case.reads.size()) << test_case.description;
      const Read& result = test_case.reads[reads_done++];
      step = step == Step::read_live ? query.on_live_key_read(result) : query.on_final_key_read(result);
    }
    EXPECT_EQ(step, test_case.final_step) << test_case.description;
    EXPECT_EQ(reads_done, test_case.read_count) << test_case.description;
    if (step == Step::answer) {
      EXPECT_EQ(query.phase(), test_case.reads.back().phase) << test_case.description;
    }
  }
  StatusQuery known_to_be_cancelled;
  EXPECT_EQ(known_to_be_cancelled.poll(JobPhase::cancelled), Step::answer);
  EXPECT_EQ(known_to_be_cancelled.phase(), JobPhase::cancelled);
  StatusQuery live_in_replica;
  live_in_replica.poll(std::nullopt);
  EXPECT_EQ(live_in_replica.on_replica_current(true, JobPhase::open), Step::answer);
}

TEST(FaultCombinations, RegistrationDeletedWithAnEarlierLeaseIsRenewed) {
  // The registration of an earlier process is applied after that of its successor, and is deleted when the
  // earlier process's controller lease expires.
  SimulatedCluster cluster;
  SimulatedController& controller = cluster.controller(0);
  std::uint64_t earlier_lease = cluster.store.grant_lease(2, cluster.now);
  auto write_registration = [&](std::uint64_t lease_id) {
    Change change{ControllerKey{controller.name}, OwnershipRecord{controller.name, lease_id}, lease_id};
    std::string key = state::encode_key(change.key, controller.cluster_state);
    simulation::Json op = {
        {"put", key}, {"value", state::encode_value(change, controller.cluster_state)}, {"grant", lease_id}};
    EXPECT_EQ(cluster.store.txn({{"guards", simulation::Json::array()}, {"apply", {op}}}).status, 200);
    controller.sync(cluster.now);
  };
  EXPECT_TRUE(needs_registration(controller.cluster_state, controller.lease, controller.name));
  write_registration(controller.lease.lease_id());
  EXPECT_FALSE(needs_registration(controller.cluster_state, controller.lease, controller.name));
  write_registration(earlier_lease);  // the write of the earlier process, applied late
  EXPECT_TRUE(needs_registration(controller.cluster_state, controller.lease, controller.name));
  cluster.run(3);  // the earlier controller lease expires and its key is deleted with it
  EXPECT_TRUE(needs_registration(controller.cluster_state, controller.lease, controller.name));
  write_registration(controller.lease.lease_id());
  EXPECT_FALSE(needs_registration(controller.cluster_state, controller.lease, controller.name));
  controller.lease.on_lost();
  EXPECT_FALSE(needs_registration(controller.cluster_state, controller.lease, controller.name))
      << "there is no controller lease to register under";
}

}  // namespace
}  // namespace oxbowmill
