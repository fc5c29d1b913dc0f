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
    for (std::size_t n : {0, 1})
      cluster.controller(n).cluster_state.settings.operator_settings.idle_retention_s =
          cluster.controller(n).cluster_state.settings.operator_settings.release_to_pool_s = 1000;
  }
  const Machine& machine(const std::string& name, std::size_t n = 1) {
    return cluster.controller(n).cluster_state.machine(
        cluster.controller(n).cluster_state.names.machines.find(name));
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
    auto a = fixture.cluster.exchange_report("m1", 1);
    EXPECT_EQ(a.kind, Kind::ok);
    EXPECT_EQ(a.commands.size(), cancelled ? 1U : 0U);
    EXPECT_EQ(fixture.cluster.worker("m1").has("run-1/0"), !cancelled);
  }
}

TEST(FaultCombinations, OlderReportDoesNotOverrideOneAnsweredInReadOnlyPeriod) {
  RunningTaskFixture fixture;
  auto older = fixture.cluster.worker("m1").report(fixture.cluster.now);
  fixture.cluster.store.set_outage(true, fixture.cluster.now);
  fixture.cluster.now +=
      fixture.cluster.controller(0).cluster_state.settings.operator_settings.controller_lease_s + 0.5;
  EXPECT_EQ(fixture.cluster.exchange_report("m1", 0).kind, Kind::ok);
  fixture.cluster.store.set_outage(false, fixture.cluster.now);
  fixture.cluster.controller(0).renew(fixture.cluster.now);
  fixture.cluster.controller(0).sync(fixture.cluster.now);
  ASSERT_EQ(fixture.cluster.controller(0).lease.authority(fixture.cluster.now), Authority::full);
  EXPECT_EQ(fixture.cluster.controller(0).handle_report(older, fixture.cluster.now).kind, Kind::refuse);
}

TEST(FaultCombinations, LateEndOfAnEarlierAttemptDoesNotReleaseAGangMember) {
  // A member ends because the gang is incomplete, and is started again on the same machine with the same
  // attempt. The new owner receives the old report of that end first.
  SimulatedCluster cluster;
  for (const char* m : {"m1", "m2"}) cluster.add_machine(m);
  JobSpec gang = test_job("run-1", 2, 4);
  gang.shape = JobShape::gang;
  for (const char* m : {"m1", "m2"}) cluster.worker(m).first_phase = TaskPhase::gathering;
  cluster.run(2);
  cluster.submit(gang);
  cluster.run(3);
  std::string machine_name = cluster.machines_of_task("run-1", 0).at(0);
  ASSERT_TRUE(cluster.worker(machine_name).has("run-1/0"));
  Attempt attempt = cluster.worker(machine_name).attempt("run-1/0");
  cluster.worker(machine_name).finish("run-1/0", EndCause::gang_incomplete);
  cluster.now += 0.5;
  WorkerReport late = cluster.worker(machine_name).report(cluster.now);
  ASSERT_EQ(late.tasks.at(0).phase, TaskPhase::ended);
  cluster.run(4);
  ASSERT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{machine_name});
  ASSERT_TRUE(cluster.worker(machine_name).has("run-1/0"));
  ASSERT_EQ(cluster.worker(machine_name).attempt("run-1/0"), attempt) << "precondition of this case";
  cluster.add_machine("m3");
  cluster.fail_over(0, 1, 4);
  cluster.controller(1).handle_report(late, cluster.now);
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
  WorkerReport shows = cluster.worker("m1").report(cluster.now);
  ASSERT_EQ(shows.tasks.size(), 1U);
  for (int i = 0; i < 20; ++i) {
    cluster.now += 0.515;
    cluster.controller(0).renew(cluster.now);
    cluster.controller(0).sync(cluster.now);
  }
  WorkerReport lacks = cluster.worker("m1").report(cluster.now);
  ASSERT_EQ(lacks.agent_epoch, 2U);
  cluster.worker("m1").answer(cluster.controller(0).handle_report(lacks, cluster.now), cluster.now);
  ASSERT_TRUE(cluster.worker("m1").has("run-1/0"));
  ASSERT_EQ(cluster.worker("m1").attempt("run-1/0"), shows.tasks[0].attempt) << "precondition of this case";
  cluster.add_machine("m2");
  cluster.fail_over(0, 1, 0.5);
  for (const WorkerReport& late : {shows, lacks}) cluster.controller(1).handle_report(late, cluster.now);
  cluster.run(5, 1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
  cluster.worker("m1").finish("run-1/0", EndCause::done);
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
  auto play = [&](double seconds) {
    for (double end = cluster.now + seconds; cluster.now < end;) {
      cluster.now += 0.5;
      cluster.controller(1).renew(cluster.now);
      cluster.controller(1).sync(cluster.now);
      cluster.controller(1).run_cycle(cluster.now);
      cluster.exchange_report("m1", 1, true);
      cluster.exchange_report("m2", 1);
    }
  };
  play(settings.failover_silence_s() - 1);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  play(4);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m2"});
  EXPECT_TRUE(cluster.worker("m2").has("run-1/0"));
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
  // Once responses reach the machine again, it is usable as before and has no tasks.
  cluster.run(1, 1);
  EXPECT_EQ(fixture.machine("m1").state, MachineState::ready);
  EXPECT_TRUE(fixture.machine("m1").placed_tasks.empty());
}

TEST(FaultCombinations, StartsNotReceivedByAMachineArePlacedElsewhere) {
  for (bool took_over : {false, true}) {
    SimulatedCluster cluster;
    cluster.add_machine("m1");
    cluster.run(2);
    std::size_t owner = took_over ? 1 : 0;
    if (took_over) cluster.fail_over(0, 1, 4);
    cluster.submit(test_job("run-1", 1));
    cluster.add_machine("m2", "b");
    cluster.silenced_workers.insert("m2");
    for (int i = 0; i < 14; ++i) {
      cluster.now += 0.5;
      cluster.controller(owner).renew(cluster.now);
      cluster.controller(owner).sync(cluster.now);
      cluster.exchange_report("m1", owner, true);
      if (i > 6) cluster.exchange_report("m2", owner);
      cluster.controller(owner).run_cycle(cluster.now);
    }
    EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m2"}) << took_over;
    EXPECT_TRUE(cluster.worker("m2").has("run-1/0")) << took_over;
    EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
  }
}

TEST(FaultCombinations, NoMachineIsAvoidedWhenMostResponsesAreLost) {
  // No agent receives a response, as when the owner is so slow that the agents drop its responses. Tasks
  // whose start has not arrived stay on the machines where they were placed.
  SimulatedCluster cluster;
  std::vector<std::string> names;
  for (int i = 0; i < 8; ++i) names.push_back("m" + std::to_string(i));
  for (const std::string& m : names) cluster.add_machine(m);
  cluster.controller(0).cluster_state.settings.teams[1].limit = {};
  cluster.controller(0).cluster_state.settings.operator_settings.release_to_pool_s = 1000;
  cluster.run(2);
  cluster.submit(test_job("run-1", 8, 4));
  auto play = [&](int rounds, bool lost) {
    for (int i = 0; i < rounds; ++i) {
      cluster.now += 0.5;
      cluster.controller(0).renew(cluster.now);
      cluster.controller(0).sync(cluster.now);
      for (const std::string& m : names) cluster.exchange_report(m, 0, lost);
      cluster.controller(0).run_cycle(cluster.now);
    }
  };
  play(1, false);
  std::vector<std::string> at;
  for (TaskNumber t = 0; t < 8; ++t) at.push_back(cluster.machines_of_task("run-1", t).at(0));
  play(8, true);
  for (TaskNumber t = 0; t < 8; ++t)
    EXPECT_EQ(cluster.machines_of_task("run-1", t), std::vector<std::string>{at[t]}) << t;
  play(2, false);
  for (TaskNumber t = 0; t < 8; ++t) EXPECT_EQ(cluster.run_log.starts["run-1/" + std::to_string(t)], 1) << t;
}

TEST(FaultCombinations, ListedStateIsAsFreshAsItsFirstPage) {
  // Ten seconds pass between the two pages, so a job on the first one may have been cancelled meanwhile.
  service::ReplicaFreshness view;
  view.on_listing_started();
  view.on_page(110, 50);
  view.on_page(130, 60);
  EXPECT_FALSE(view.is_live());
  view.on_listing_finished();
  EXPECT_TRUE(view.is_live());
  EXPECT_EQ(view.as_of(), 50);
  EXPECT_EQ(view.revision(), 110U);
  Settings s = simulation::test_settings("n");
  ControllerLease h(s);
  h.on_granted(1, 60);
  h.on_watch_answered(view.as_of());
  EXPECT_EQ(h.authority(61), Authority::read_only);
  view.on_watch_response(140, 62);
  EXPECT_EQ(view.as_of(), 62);
  EXPECT_EQ(view.revision(), 140U);
  // A second listing does not make the replica less fresh than it was.
  view.on_listing_started();
  view.on_page(150, 61);
  view.on_listing_finished();
  EXPECT_EQ(view.as_of(), 62);
  EXPECT_EQ(view.revision(), 150U);
}

TEST(FaultCombinations, LateReportOfADeletedMachineIsAdoptedThenReleased) {
  // The report reaches the leader after the machine was deleted. The leader adopts the machine and assigns it
  // to the partition that waits for capacity, which gives it up when it does not report.
  SimulatedCluster cluster;
  cluster.add_unregistered_machine("gone");
  WorkerReport late = cluster.worker("gone").report(cluster.now);
  cluster.silenced_workers.insert("gone");
  cluster.submit(test_job("run-1", 1));
  cluster.controller(0).handle_report(late, cluster.now);
  cluster.run(3);
  ASSERT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"gone"})
      << "precondition of this case";
  cluster.add_machine("m1");
  cluster.run(2 * cluster.controller(0).cluster_state.settings.first_report_timeout_s() + 2);
  EXPECT_EQ(cluster.machines_of_task("run-1", 0), std::vector<std::string>{"m1"});
  EXPECT_TRUE(cluster.worker("m1").has("run-1/0"));
  EXPECT_TRUE(cluster.run_log.duplicated_tasks.empty());
}

TEST(FaultCombinations, JobWaitCountsFromFirstSubmissionAttempt) {
  // A job that is refused throughout an outage of a minute would otherwise seem a minute younger than it is.
  struct SubmissionAttempt {
    simulation::Json body;
    double submitted_at_s, first_submitted_at_s;
  };
  const SubmissionAttempt tries[] = {
      {{{"ref", "run-1"}}, 100, 100}, {{{"ref", "run-1"}}, 140, 100},
      {{{"ref", "run-2"}}, 141, 141}, {{{"ref", "run-1"}}, 160, 100},
      {{{"ref", "run-1"}}, 161, 161},  // clients do not repeat a submission for so long
      {{{"ref", "run-1"}}, 150, 150},  // the clock was set back
      {{{"ref", ""}}, 10, 10},        {{{"ref", ""}}, 20, 20},
      {{{"ref", 7}}, 30, 30},         {simulation::Json::object(), 40, 40},
  };
  service::FirstAttempts known;
  for (const SubmissionAttempt& t : tries)
    EXPECT_EQ(known.record_attempt(t.body, t.submitted_at_s), t.first_submitted_at_s)
        << t.body << " at " << t.submitted_at_s;
  for (int i = 0; i < 20000; ++i) known.record_attempt({{"ref", "swarm-" + std::to_string(i)}}, 200);
  EXPECT_EQ(known.record_attempt({{"ref", "swarm-19999"}}, 201), 200);
  EXPECT_EQ(known.record_attempt({{"ref", "swarm-0"}}, 201), 201) << "memory is bounded";
  // The admitted job has the time of the first attempt.
  Names names = simulation::test_names();
  Settings settings = simulation::test_settings("n");
  simulation::Json body = wire::write_submission(test_job("run-1", 1), names);
  auto a = service::admit(body, names, settings, simulation::test_catalog(), 100);
  ASSERT_FALSE(a.rejection);
  EXPECT_EQ(a.spec.submitted_at, 100);
}

TEST(FaultCombinations, StatusQueryIsAnsweredOnlyFromKnownState) {
  using service::StatusQuery;
  using Step = service::QueryStep;
  using Read = service::KeyReadResult;
  const Read none{Read::Kind::absent, JobPhase::open}, unknown{}, done{Read::Kind::found, JobPhase::done},
      open{Read::Kind::found, JobPhase::open};
  struct Case {
    const char* description;
    bool state_is_current;
    std::vector<Read> reads;  // results, in the order of the reads
    Step final_step;
    std::size_t read_count;
  };
  const Case cases[] = {
      {"over, and the tables are current: one read", true, {done}, Step::answer, 1},
      {"unreadable in the tables, but there", true, {none, open}, Step::answer, 2},
      {"never there", true, {none, none, none}, Step::absent, 3},
      {"over, and nothing is known of the tables", false, {none, done}, Step::answer, 2},
      {"running", false, {open}, Step::answer, 1},
      {"its own key does not answer", false, {unknown}, Step::refuse, 1},
      {"the final key does not answer", false, {none, unknown}, Step::refuse, 2},
      {"no answer is no absence", true, {unknown}, Step::refuse, 1},
  };
  for (const Case& test_case : cases) {
    StatusQuery query;
    ASSERT_EQ(query.poll(std::nullopt), Step::wait_for_replica);
    Step step = query.on_replica_current(test_case.state_is_current, std::nullopt);
    std::size_t used = 0;
    while (step == Step::read_live || step == Step::read_final) {
      ASSERT_LT(used, test_case.reads.size()) << test_case.description;
      const Read& r = test_case.reads[used++];
      step = step == Step::read_live ? query.on_live_key_read(r) : query.on_final_key_read(r);
    }
    EXPECT_EQ(step, test_case.final_step) << test_case.description;
    EXPECT_EQ(used, test_case.read_count) << test_case.description;
    if (step == Step::answer) {
      EXPECT_EQ(query.phase(), test_case.reads.back().phase) << test_case.description;
    }
  }
  StatusQuery remembered;
  EXPECT_EQ(remembered.poll(JobPhase::cancelled), Step::answer);
  EXPECT_EQ(remembered.phase(), JobPhase::cancelled);
  StatusQuery live;
  live.poll(std::nullopt);
  EXPECT_EQ(live.on_replica_current(true, JobPhase::open), Step::answer);
}

TEST(FaultCombinations, RegistrationLostWithAnEarlierLeaseIsRenewed) {
  // The registration of an earlier process is applied after that of its successor, and is deleted when the
  // earlier process's controller lease expires.
  SimulatedCluster cluster;
  SimulatedController& controller = cluster.controller(0);
  std::uint64_t earlier = cluster.store.grant_lease(2, cluster.now);
  auto put = [&](std::uint64_t lease_id) {
    Change change{ControllerKey{controller.name}, OwnershipRecord{controller.name, lease_id}, lease_id};
    std::string key = state::encode_key(change.key, controller.cluster_state);
    simulation::Json op = {
        {"put", key}, {"value", state::encode_value(change, controller.cluster_state)}, {"grant", lease_id}};
    EXPECT_EQ(cluster.store.txn({{"guards", simulation::Json::array()}, {"apply", {op}}}).status, 200);
    controller.sync(cluster.now);
  };
  EXPECT_TRUE(needs_registration(controller.cluster_state, controller.lease, controller.name));
  put(controller.lease.lease_id());
  EXPECT_FALSE(needs_registration(controller.cluster_state, controller.lease, controller.name));
  put(earlier);  // the write of the earlier process, applied late
  EXPECT_TRUE(needs_registration(controller.cluster_state, controller.lease, controller.name));
  cluster.run(3);  // the earlier controller lease expires and its key is deleted with it
  EXPECT_TRUE(needs_registration(controller.cluster_state, controller.lease, controller.name));
  put(controller.lease.lease_id());
  EXPECT_FALSE(needs_registration(controller.cluster_state, controller.lease, controller.name));
  controller.lease.on_lost();
  EXPECT_FALSE(needs_registration(controller.cluster_state, controller.lease, controller.name))
      << "there is no controller lease to register under";
}

}  // namespace
}  // namespace oxbowmill
