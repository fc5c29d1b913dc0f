#include "oxbowmill/simulation/agent.h"

namespace oxbowmill::simulation {

void RunLog::start(const std::string& task, const std::string& machine) {
  ++starts[task];
  machines_by_task[task].insert(machine);
  if (machines_by_task[task].size() > 1) duplicated_tasks.push_back(task);
  if (on_change) on_change(task, machine, true);
}

void RunLog::end(const std::string& task, const std::string& machine) {
  if (machines_by_task[task].erase(machine) != 0 && on_change) on_change(task, machine, false);
}

Agent::Agent(std::string name, std::string zone, RunLog& log, bool spot)
    : name_(std::move(name)), zone_(std::move(zone)), spot_(spot), log_(&log) {}

AgentReport Agent::report(double now) {
  if (renewed_at_ < 0) renewed_at_ = now;
  tick(now);
  AgentReport report;
  report.machine = name_;
  report.address = address;
  report.type = "std";
  report.zone = zone_;
  report.spot = spot_;
  report.agent_epoch = agent_epoch_;
  report.report_sequence = ++report_sequence_;
  report.fencing_token = fencing_token_;
  report.preemption_notice_s = preemption_notice_s;
  for (const auto& [id, t] : tasks_) report.tasks.push_back(t);
  sent_at_ = now;
  reported_agent_epoch_ = agent_epoch_;
  return report;
}

void Agent::handle_response(const ReportAnswer& response, double now) {
  tick(now);
  if (response.kind != ReportAnswer::Kind::ok || response.fencing_token < fencing_token_ ||
      reported_agent_epoch_ != agent_epoch_)
    return;
  fencing_token_ = response.fencing_token;
  renewed_at_ = sent_at_;
  execute(response.commands);
}

bool Agent::handle_commands(const DirectCommands& commands) {
  ++report_sequence_;
  if (commands.fencing_token < fencing_token_ || commands.agent_epoch != agent_epoch_) return false;
  fencing_token_ = commands.fencing_token;
  execute(commands.commands);
  return true;
}

void Agent::execute(const std::vector<AgentCommand>& commands) {
  for (const AgentCommand& command : commands) {
    std::string id = command.job + "/" + std::to_string(command.task);
    auto it = tasks_.find(id);
    bool same = it != tasks_.end() && it->second.attempt == command.attempt;
    if (command.kind == CommandKind::start && it == tasks_.end()) {
      TaskReport task_report;
      task_report.job = command.job;
      task_report.task = command.task;
      task_report.attempt = command.attempt;
      task_report.phase = first_phase;
      tasks_[id] = task_report;
      log_->start(id, name_);
    } else if (command.kind == CommandKind::kill && same && it->second.phase != TaskPhase::ended) {
      finish(id, EndCause::stopped, saves_checkpoints && command.termination_timeout_s > 0);
    } else if (command.kind == CommandKind::clear && same && it->second.phase == TaskPhase::ended) {
      tasks_.erase(it);
    }
  }
}

void Agent::tick(double now) {
  if (renewed_at_ < 0 || now - renewed_at_ <= lease_s) return;
  for (const auto& [id, t] : tasks_) log_->end(id, name_);
  tasks_.clear();
  ++agent_epoch_;
  renewed_at_ = now;
}

void Agent::power_off() {
  for (const auto& [id, t] : tasks_) log_->end(id, name_);
  tasks_.clear();
}

void Agent::finish(const std::string& task, EndCause cause, bool saved) {
  TaskReport& t = tasks_.at(task);
  t.phase = TaskPhase::ended;
  t.cause = cause;
  t.checkpoint_saved = saved;
  log_->end(task, name_);
}

void Agent::set_phase(const std::string& task, TaskPhase phase) {
  tasks_.at(task).phase = phase;
}

bool Agent::has(const std::string& task) const {
  auto it = tasks_.find(task);
  return it != tasks_.end() && it->second.phase != TaskPhase::ended;
}

}  // namespace oxbowmill::simulation
