// Simulated agent: the worker process of one machine without sockets or a clock of its own. It owns the
// machine's tasks, its agent epoch, report sequence, fencing token and lease, as the protocol describes them.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::simulation {

/// Records every start and end of a task on all simulated agents, and tasks that were on two machines at
/// once.
struct RunLog {
  std::map<std::string, std::set<std::string>>
      machines_by_task;                       ///< by task ("<job>/<number>"): machines on which it is now
  std::vector<std::string> duplicated_tasks;  ///< tasks that started while they were on another machine
  std::map<std::string, int> starts;          ///< number of starts, by task
  /// Called with each start (`on`) and each end (not `on`) of a task on a machine; may be empty.
  std::function<void(const std::string& task, const std::string& machine, bool on)> on_change;
  /// The task has started on the machine.
  void start(const std::string& task, const std::string& machine);
  /// The task is no longer on the machine; ignored where it was not.
  void end(const std::string& task, const std::string& machine);
};

/// The agent of one machine. Times are in seconds on the caller's clock; tasks are named "<job>/<number>".
class Worker {
 public:
  /// `log` has to outlive the agent.
  Worker(std::string name, std::string zone, RunLog& log, bool spot = false);

  /// The next report, with all tasks. Ends the epoch first when the lease has expired.
  AgentReport report(double now);
  /// Applies the response to the last report: renews the lease and executes its commands. Ignored unless it
  /// is `ok`, when its fencing token is lower than the agent's, or when the epoch has ended since the
  /// report.
  void answer(const ReportAnswer& a, double now);
  /// Applies commands sent directly to the agent; false where their fencing token is lower or the agent
  /// epoch is another.
  bool command(const DirectCommands& commands);
  /// Ends the agent epoch, and with it all tasks, when the lease has expired.
  void tick(double now);
  /// The machine is gone, with all tasks on it.
  void power_off();
  /// The task has ended; `saved`: with a checkpoint. Throws std::out_of_range where the agent has no such
  /// task.
  void finish(const std::string& task, EndCause cause, bool saved = false);
  /// Throws std::out_of_range where the agent has no such task.
  void set_phase(const std::string& task, TaskPhase phase);
  /// The agent has the task, and it has not ended.
  bool has(const std::string& task) const;
  /// By "<job>/<number>"; ended tasks stay until they are cleared.
  const std::map<std::string, TaskReport>& tasks() const { return tasks_; }
  /// Throws std::out_of_range where the agent has no such task.
  TaskPhase phase(const std::string& task) const { return tasks_.at(task).phase; }
  /// Throws std::out_of_range where the agent has no such task.
  Attempt attempt(const std::string& task) const { return tasks_.at(task).attempt; }
  /// The machine's name.
  const std::string& name() const { return name_; }
  /// The present epoch; the first is 1.
  std::uint64_t agent_epoch() const { return agent_epoch_; }
  /// The highest token seen.
  std::uint64_t fencing_token() const { return fencing_token_; }
  double preemption_notice_s =
      -1;               ///< seconds until the spot machine is taken back, as reported; below 0: no notice
  double lease_s = 10;  ///< the agent's lease, in seconds
  bool saves_checkpoints = true;               ///< a kill with a termination timeout saves a checkpoint
  TaskPhase first_phase = TaskPhase::running;  ///< phase of a task that has just started
  std::string address = "127.0.0.1:1";         ///< where it accepts commands, as reported

 private:
  void execute(const std::vector<AgentCommand>& orders);
  std::string name_, zone_;
  bool spot_;
  RunLog* log_;
  std::map<std::string, TaskReport> tasks_;
  std::uint64_t agent_epoch_ = 1, report_sequence_ = 0, fencing_token_ = 0, reported_agent_epoch_ = 0;
  double sent_at_ = 0, renewed_at_ = -1;
};

}  // namespace oxbowmill::simulation
