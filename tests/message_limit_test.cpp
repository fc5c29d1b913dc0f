// Messages between controllers and agents stay below the protocol's 64 KiB, however many tasks a machine has
// the resources for.
#include <gtest/gtest.h>

#include "controller_process.h"
#include "oxbowmill/cluster/message_size.h"
#include "oxbowmill/scheduling/command_batch.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

using simulation::SimulatedCluster;
using simulation::test_job;

constexpr std::uint32_t many_tasks = 2400;  // of the test's machine type, one machine has resources for them

/// A job whose tasks need so little that thousands of them fit on a machine.
JobSpec small_task_job(const std::string& ref, std::uint32_t tasks) {
  JobSpec spec = test_job(ref, tasks, 0);
  spec.task_resources = {0.01, 0, 0.05};
  spec.flush_s = 0;
  spec.checkpoint_interval_s = 0;
  return spec;
}

void finish_running_tasks(simulation::Agent& agent) {
  std::vector<std::string> running;
  for (const auto& [id, task] : agent.tasks()) {
    if (task.phase == TaskPhase::running) running.push_back(id);
  }
  for (const std::string& id : running) agent.finish(id, EndCause::done);
}

std::size_t count_alive(const simulation::Agent& agent) {
  return static_cast<std::size_t>(
      std::count_if(agent.tasks().begin(), agent.tasks().end(),
                    [](const auto& entry) { return entry.second.phase != TaskPhase::ended; }));
}

/// Stores placements on m1 as an earlier version could make them, beyond what its messages can list.
void store_placements(SimulatedCluster& cluster, const std::string& ref, std::uint32_t tasks,
                      Attempt attempt) {
  for (std::uint32_t first = 0; first < tasks; first += tasks_per_chunk) {
    wire::Json placed = wire::Json::array();
    for (std::uint32_t task = first; task < std::min(tasks, first + tasks_per_chunk); ++task)
      placed.push_back({task, "m1", attempt, 0});
    wire::Json put = {{"put", "o/c/" + ref + "/" + std::to_string(first / tasks_per_chunk)},
                      {"value", {{"a", placed}, {"d", "0"}}}};
    ASSERT_EQ(cluster.store.txn({{"guards", wire::Json::array()}, {"apply", {put}}}).status, 200);
  }
}

/// Lets the agent of m1 run these tasks, as an earlier owner started them.
void start_on_agent(SimulatedCluster& cluster, const std::string& ref, std::uint32_t tasks, Attempt attempt) {
  DirectCommands commands{
      MachineIndex{}, cluster.agent("m1").agent_epoch(), cluster.agent("m1").fencing_token(), {}};
  for (std::uint32_t task = 0; task < tasks; ++task)
    commands.commands.push_back({CommandKind::start, ref, task, attempt, 0});
  ASSERT_TRUE(cluster.agent("m1").handle_commands(commands));
}

// Guards against a job whose starts exceed a response, so that neither it nor the job beside it ever runs.
TEST(MessageLimit, JobOfManySmallTasksRunsBesideAnotherJob) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(small_task_job("run-000001", many_tasks));
  cluster.submit(small_task_job("run-000002", 1));
  for (int i = 0; i < 95 && cluster.phase("run-000001") != "done"; ++i) {
    cluster.run(1);
    finish_running_tasks(cluster.agent("m1"));
  }
  cluster.run(2);
  EXPECT_EQ(cluster.phase("run-000001"), "done");
  EXPECT_EQ(cluster.phase("run-000002"), "done");
  EXPECT_EQ(cluster.oversized_messages, 0U);
  for (const auto& [task, starts] : cluster.run_log.starts) EXPECT_EQ(starts, 1) << task;
}

// Guards against kills of a withdrawn job that exceed a response, so that only the lease ends its tasks.
TEST(MessageLimit, WithdrawnJobLeavesAFullMachineAtOnce) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(small_task_job("run-000001", many_tasks));
  cluster.run(5);
  EXPECT_GT(count_alive(cluster.agent("m1")), 500U);
  EXPECT_EQ(cluster.withdraw("run-000001"), 200);
  cluster.submit(small_task_job("run-000002", 1));
  cluster.run(3);
  EXPECT_EQ(cluster.agent("m1").agent_epoch(), 1U);  // no lease has ended
  EXPECT_TRUE(cluster.agent("m1").has("run-000002/0"));
  EXPECT_EQ(count_alive(cluster.agent("m1")), 1U);
  EXPECT_EQ(cluster.oversized_messages, 0U);
}

// Guards against a gang that waits for ever for a machine that can list all its tasks.
TEST(MessageLimit, GangOfManySmallTasksGetsEnoughMachines) {
  SimulatedCluster cluster;
  JobSpec gang = small_task_job("run-000001", 1000);
  gang.shape = JobShape::gang;
  cluster.add_machine("m1");
  cluster.submit(gang);
  cluster.run(10);
  std::uint32_t requested = 0;  // machines
  for (const ScaleOutRequest& request : cluster.controller(0).scale_outs) requested += request.count;
  EXPECT_GE(requested, 1U);
  cluster.add_machine("m2");
  cluster.run(20);
  EXPECT_EQ(count_alive(cluster.agent("m1")) + count_alive(cluster.agent("m2")), 1000U);
  EXPECT_EQ(cluster.oversized_messages, 0U);
}

// Guards against starts for a machine that an earlier version has filled beyond what its report can list.
TEST(MessageLimit, StartsOnAnOverfullMachineAreHeldBackUntilItsReportHasRoom) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(small_task_job("run-000001", many_tasks));
  store_placements(cluster, "run-000001", many_tasks, 7);
  cluster.fail_over(0, 1, 1);
  for (int i = 0; i < 95 && cluster.phase("run-000001") != "done"; ++i) {
    cluster.run(1, 1);
    finish_running_tasks(cluster.agent("m1"));
  }
  EXPECT_EQ(cluster.phase("run-000001"), "done");
  EXPECT_EQ(cluster.oversized_messages, 0U);
  EXPECT_EQ(cluster.run_log.starts.size(), many_tasks);
  for (const auto& [task, starts] : cluster.run_log.starts) EXPECT_EQ(starts, 1) << task;
}

// Guards against kills that always reach the same tasks of a machine whose kills do not fit into a response.
TEST(MessageLimit, EveryTaskOfAnOverfullMachineGetsItsKill) {
  SimulatedCluster cluster;
  cluster.add_machine("m1");
  cluster.submit(small_task_job("run-000001", many_tasks));
  cluster.exchange_report("m1", 0);
  start_on_agent(cluster, "run-000001", many_tasks, 7);
  store_placements(cluster, "run-000001", many_tasks, 7);
  cluster.fail_over(0, 1, 1);
  cluster.withdraw("run-000001");
  cluster.controller(1).sync(cluster.now);
  std::set<TaskNumber> killed;
  for (int i = 0; i < 8; ++i) {  // the tasks do not end: they may take their time to save
    cluster.now += 0.5;
    ReportAnswer response =
        cluster.controller(1).handle_report(cluster.agent("m1").report(cluster.now), cluster.now);
    EXPECT_FALSE(simulation::exceeds_limit(wire::write_report_answer(response)));
    for (const AgentCommand& command : response.commands) killed.insert(command.task);
  }
  EXPECT_EQ(killed.size(), many_tasks);
}

// Guards against direct commands that are too large for an agent.
TEST(MessageLimit, DirectCommandsAreDividedInTheirOrder) {
  std::vector<DirectCommands> messages{{MachineIndex{3}, 2, 41, {}}, {MachineIndex{4}, 1, 41, {}}};
  for (std::uint32_t task = 0; task < many_tasks; ++task)
    messages[0].commands.push_back({CommandKind::kill, "run-000001", task, 7, 2.5});
  split_large_messages(messages);
  TaskNumber next = 0;
  for (const DirectCommands& message : messages) {
    EXPECT_FALSE(simulation::exceeds_limit(wire::write_direct_commands(message)));
    EXPECT_EQ(message.fencing_token, 41U);
    for (const AgentCommand& command : message.commands) EXPECT_EQ(command.task, next++);
  }
  EXPECT_EQ(next, many_tasks);
  EXPECT_EQ(messages.back().machine, MachineIndex{4});  // the message without commands wakes its agent
  EXPECT_GE(messages.size(), 4U);
}

// Guards against estimates below the sizes that the codec really writes.
TEST(MessageSize, BoundsWhatIsWritten) {
  for (const std::string& job : {std::string("r"), std::string("run-000001"), std::string(120, 'x')}) {
    for (Attempt attempt : {Attempt{0}, Attempt{99}, std::numeric_limits<Attempt>::max()}) {
      AgentReport report;
      report.tasks = {{job, 99999, attempt, TaskPhase::ended, EndCause::gang_incomplete, true}};
      std::size_t entry = wire::to_json_text(simulation::write_report(report)["shards"][0]).size() + 1;
      EXPECT_LE(entry, report_entry_bytes(job, 99999, attempt));
      for (const AgentCommand& command :
           {AgentCommand{CommandKind::start, job, 10, attempt, 0},
            {CommandKind::clear, job, 9, attempt, 0},
            {CommandKind::kill, job, 99999, attempt, 1.2345678901234567e-300}}) {
        wire::Json written = wire::write_direct_commands({MachineIndex{}, 1, 1, {command}});
        EXPECT_LE(wire::to_json_text(written["orders"][0]).size() + 1, command_bytes(command));
        EXPECT_LE(command_bytes(command), task_message_bytes(job));
      }
      EXPECT_LE(report_entry_bytes(job, 99999, attempt), task_message_bytes(job));
    }
    EXPECT_LE(task_message_bytes(job), max_task_message_bytes);
  }
  const std::string longest_name(120, 'x');
  AgentReport empty;
  empty.machine = empty.address = empty.type = empty.zone = longest_name;
  empty.agent_epoch = empty.report_sequence = empty.fencing_token = std::numeric_limits<Revision>::max();
  EXPECT_LE(wire::to_json_text(simulation::write_report(empty)).size() + 60, agent_message_head_bytes);
}

// Guards against a lease that ends because a report that lists too many tasks is refused.
TEST_F(ControllerProcess, ReportOverTheLimitIsAnswered) {
  start_program();
  run_until_ready();
  submit_until_accepted(make_submission("run-000001"));
  run_until([this] { return agent_.has("run-000001/0") || !is_running(); }, [] {});
  AgentReport report = agent_.report(now());
  report.report_sequence += 1000;
  for (TaskNumber task = 0; task < many_tasks; ++task)
    report.tasks.push_back({"run-000009", task, 7, TaskPhase::running, EndCause::none, false});
  wire::Json answer;
  send_request(EVHTTP_REQ_POST, "/hello", simulation::write_report(report),
               [&answer](int status, const Json& body) {
                 EXPECT_EQ(status, 200);
                 answer = body;
               });
  machine_is_up_ = false;  // sends no further reports
  run_until([&answer] { return !answer.is_null(); }, [] {});
  EXPECT_GT(answer["orders"].size(), 500U);  // kills of tasks that nobody has placed
  EXPECT_FALSE(simulation::exceeds_limit(answer));
}

}  // namespace
}  // namespace oxbowmill
