// Stand-in for a worker: tasks, tokens, sessions and the lease, as the protocol describes them.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "oxbowmill/core/scheduler.h"

namespace oxbowmill::lab {

/// Sees every start and end on all workers and remembers tasks that were on two machines at once.
struct RunLog {
  std::map<std::string, std::set<std::string>> on;  // task -> machines
  std::vector<std::string> twice;
  std::map<std::string, int> starts;
  /// Sees each start (true) and each end of a task on a machine as well.
  std::function<void(const std::string& task, const std::string& machine, bool on)> watcher;
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
  bool command(const DirectOrders& d);
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
  std::uint64_t tenure() const { return tenure_; }
  std::uint64_t token() const { return token_; }
  double recall_s = -1;
  double lease_s = 10;
  bool saves = true;
  TaskPhase first_phase = TaskPhase::running;  // of a task that has just started
  std::string address = "127.0.0.1:1";         // where it takes commands

 private:
  void execute(const std::vector<Order>& orders);
  std::string name_, zone_;
  bool spot_;
  RunLog* log_;
  std::map<std::string, TaskReport> tasks_;
  std::uint64_t tenure_ = 1, serial_ = 0, token_ = 0, asked_tenure_ = 0;
  double sent_at_ = 0, renewed_ = -1;
};

}  // namespace oxbowmill::lab
