#include "oxbowmill/lab/worker.h"

namespace oxbowmill::lab {

void RunLog::start(const std::string& task, const std::string& machine) {
  ++starts[task];
  on[task].insert(machine);
  if (on[task].size() > 1) twice.push_back(task);
  if (watcher) watcher(task, machine, true);
}

void RunLog::end(const std::string& task, const std::string& machine) {
  if (on[task].erase(machine) != 0 && watcher) watcher(task, machine, false);
}

Worker::Worker(std::string name, std::string zone, RunLog& log, bool spot)
    : name_(std::move(name)), zone_(std::move(zone)), spot_(spot), log_(&log) {}

WorkerReport Worker::report(double now) {
  if (renewed_ < 0) renewed_ = now;
  tick(now);
  WorkerReport r;
  r.machine = name_;
  r.address = address;
  r.type = "std";
  r.zone = zone_;
  r.spot = spot_;
  r.tenure = tenure_;
  r.serial = ++serial_;
  r.token = token_;
  r.recall_s = recall_s;
  for (const auto& [id, t] : tasks_) r.tasks.push_back(t);
  sent_at_ = now;
  asked_tenure_ = tenure_;
  return r;
}

void Worker::answer(const ReportAnswer& a, double now) {
  tick(now);
  if (a.kind != ReportAnswer::Kind::ok || a.token < token_ || asked_tenure_ != tenure_) return;
  token_ = a.token;
  renewed_ = sent_at_;
  execute(a.orders);
}

bool Worker::command(const DirectOrders& d) {
  ++serial_;
  if (d.token < token_ || d.tenure != tenure_) return false;
  token_ = d.token;
  execute(d.orders);
  return true;
}

void Worker::execute(const std::vector<Order>& orders) {
  for (const Order& o : orders) {
    std::string id = o.job + "/" + std::to_string(o.task);
    auto it = tasks_.find(id);
    bool same = it != tasks_.end() && it->second.attempt == o.attempt;
    if (o.verb == OrderVerb::start && it == tasks_.end()) {
      TaskReport t;
      t.job = o.job;
      t.task = o.task;
      t.attempt = o.attempt;
      t.phase = first_phase;
      tasks_[id] = t;
      log_->start(id, name_);
    } else if (o.verb == OrderVerb::kill && same && it->second.phase != TaskPhase::ended) {
      finish(id, EndCause::stopped, saves && o.wind_down_s > 0);
    } else if (o.verb == OrderVerb::clear && same && it->second.phase == TaskPhase::ended) {
      tasks_.erase(it);
    }
  }
}

void Worker::tick(double now) {
  if (renewed_ < 0 || now - renewed_ <= lease_s) return;
  for (const auto& [id, t] : tasks_) log_->end(id, name_);
  tasks_.clear();
  ++tenure_;
  renewed_ = now;
}

void Worker::power_off() {
  for (const auto& [id, t] : tasks_) log_->end(id, name_);
  tasks_.clear();
}

void Worker::finish(const std::string& task, EndCause cause, bool saved) {
  TaskReport& t = tasks_.at(task);
  t.phase = TaskPhase::ended;
  t.cause = cause;
  t.saved = saved;
  log_->end(task, name_);
}

void Worker::set_phase(const std::string& task, TaskPhase phase) {
  tasks_.at(task).phase = phase;
}

bool Worker::has(const std::string& task) const {
  auto it = tasks_.find(task);
  return it != tasks_.end() && it->second.phase != TaskPhase::ended;
}

}  // namespace oxbowmill::lab
