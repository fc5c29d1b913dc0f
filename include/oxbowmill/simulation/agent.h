// The agent of one simulated machine, without sockets and without a clock of its own. It owns the machine's
// tasks, its agent epoch, report sequence, fencing token and lease, and follows the protocol of a real agent.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::simulation {

/// Starts and ends of tasks on all simulated agents, and the tasks that were on two machines at once.
struct RunLog {
  std::map<std::string, std::set<std::string>>
      machines_by_task;                       ///< machines that have the task now, by task ("<job>/<number>")
  std::vector<std::string> duplicated_tasks;  ///< tasks that started while another machine had them
  std::map<std::string, int> starts;          ///< number of starts by task
  /// Called at each start (`on` is true) and each end (`on` is false) of a task on a machine; may be empty.
  std::function<void(const std::string& task, const std::string& machine, bool on)> on_change;
  /// Records that the task has started on the machine.
  void start(const std::string& task, const std::string& machine);
  /// Records that the machine no longer has the task; ignored if it did not have it.
  void end(const std::string& task, const std::string& machine);
};

/// The agent of one machine. Times are in seconds on the caller's clock; tasks are named "<job>/<number>".
class Agent {
 public:
  /// `log` must outlive the agent.
  Agent(std::string name, std::string zone, RunLog& log, bool spot = false);

  /// Returns the next report, with all tasks. Ends the agent epoch first if the lease has expired.
  AgentReport report(double now);
  /// Applies the response to the last report: renews the lease from the time of that report and executes the
  /// commands. Ignores a response that is not `ok`, has a lower fencing token than the agent's, or arrives
  /// after the agent epoch of the report has ended.
  void handle_response(const ReportAnswer& response, double now);
  /// Executes commands sent directly to the agent. Returns false and executes none if their fencing token is
  /// lower than the agent's or they were sent to another agent epoch.
  bool handle_commands(const DirectCommands& commands);
  /// Ends the agent epoch, and with it all tasks, if the lease has expired.
  void tick(double now);
  /// Removes all tasks because the machine is gone.
  void power_off();
  /// Ends the task; `saved` tells whether it saved a checkpoint. Throws std::out_of_range if the agent does
  /// not have the task.
  void finish(const std::string& task, EndCause cause, bool saved = false);
  /// Throws std::out_of_range if the agent does not have the task.
  void set_phase(const std::string& task, TaskPhase phase);
  /// Whether the agent has the task and it has not ended.
  bool has(const std::string& task) const;
  /// Tasks by "<job>/<number>"; an ended task stays until a clear command removes it.
  const std::map<std::string, TaskReport>& tasks() const { return tasks_; }
  /// Throws std::out_of_range if the agent does not have the task.
  TaskPhase phase(const std::string& task) const { return tasks_.at(task).phase; }
  /// Throws std::out_of_range if the agent does not have the task.
  Attempt attempt(const std::string& task) const { return tasks_.at(task).attempt; }
  /// The machine's name.
  const std::string& name() const { return name_; }
  /// The present agent epoch; the first is 1.
  std::uint64_t agent_epoch() const { return agent_epoch_; }
  /// The highest fencing token that the agent has accepted.
  std::uint64_t fencing_token() const { return fencing_token_; }
  double preemption_notice_s =
      -1;               ///< seconds until the spot machine is preempted, as reported; negative: no notice
  double lease_s = 10;  ///< the agent's lease, in seconds
  bool saves_checkpoints = true;  ///< whether a kill with a termination timeout saves a checkpoint
  TaskPhase first_phase = TaskPhase::running;  ///< phase in which a task starts
  std::string address = "127.0.0.1:1";         ///< address for direct commands, as reported

 private:
  void execute(const std::vector<AgentCommand>& commands);
  std::string name_, zone_;
  bool spot_;
  RunLog* log_;
  std::map<std::string, TaskReport> tasks_;
  std::uint64_t agent_epoch_ = 1, report_sequence_ = 0, fencing_token_ = 0, reported_agent_epoch_ = 0;
  double sent_at_ = 0, renewed_at_ = -1;
};

}  // namespace oxbowmill::simulation
