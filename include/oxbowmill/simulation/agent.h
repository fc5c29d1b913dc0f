// Stand-in for a worker: tasks, tokens, sessions and the lease, as the protocol describes them.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::simulation {

/// Sees every start and end on all workers and remembers tasks that were on two machines at once.
struct RunLog {
  std::map<std::string, std::set<std::string>> machines_by_task;  // task -> machines
  std::vector<std::string> duplicated_tasks;
  std::map<std::string, int> starts;
  /// Sees each start (true) and each end of a task on a machine as well.
  std::function<void(const std::string& task, const std::string& machine, bool on)> on_change;
  void start(const std::string& task, const std::string& machine);
  void end(const std::string& task, const std::string& machine);
};

class Worker {
 public:
  Worker(std::string name, std::string zone, RunLog& log, bool spot = false);

  WorkerReport report(double now);
  /// The response to the last report; dropped when its token is lower or its session over.
  void answer(const ReportAnswer& a, double now);
  /// Commands sent straight to the worker.
  bool command(const DirectCommands& commands);
  /// Ends the session when the lease is over.
  void tick(double now);
  /// The machine is gone, with all that ran on it.
  void power_off();
  void finish(const std::string& task, EndCause cause, bool saved = false);
  void set_phase(const std::string& task, TaskPhase phase);
  bool has(const std::string& task) const;
  const std::map<std::string, TaskReport>& tasks() const { return tasks_; }
  TaskPhase phase(const std::string& task) const { return tasks_.at(task).phase; }
  Attempt attempt(const std::string& task) const { return tasks_.at(task).attempt; }
  const std::string& name() const { return name_; }
  std::uint64_t agent_epoch() const { return agent_epoch_; }
  std::uint64_t fencing_token() const { return fencing_token_; }
  double preemption_notice_s = -1;
  double lease_s = 10;
  bool saves_checkpoints = true;
  TaskPhase first_phase = TaskPhase::running;  // of a task that has just started
  std::string address = "127.0.0.1:1";         // where it takes commands

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
