#include "oxbowmill/scheduling/reported_tasks.h"

#include <algorithm>
#include <tuple>

namespace oxbowmill {

namespace {
bool is_entry_of(const TaskReport& entry, const std::string& job, TaskNumber task) {
  return entry.task == task && entry.job == job;
}
}  // namespace

ReportedTasks::ReportedTasks(const AgentReport& report) : report_(report) {
  if (is_small()) return;
  tasks_.reserve(report.tasks.size());
  for (const TaskReport& task : report.tasks) tasks_.push_back(&task);
  std::stable_sort(tasks_.begin(), tasks_.end(), [](const TaskReport* left, const TaskReport* right) {
    return std::tie(left->task, left->job) < std::tie(right->task, right->job);
  });
}

template <class Matches>
const TaskReport* ReportedTasks::find_if(const Matches& matches) const {
  auto found = std::find_if(report_.tasks.begin(), report_.tasks.end(), matches);
  return found == report_.tasks.end() ? nullptr : &*found;
}

ReportedTasks::Position ReportedTasks::first_entry(const std::string& job, TaskNumber task) const {
  return std::lower_bound(
      tasks_.begin(), tasks_.end(), std::tie(task, job),
      [](const TaskReport* entry, const std::tuple<const TaskNumber&, const std::string&>& id) {
        return std::tie(entry->task, entry->job) < id;
      });
}

const TaskReport* ReportedTasks::find(const std::string& job, TaskNumber task) const {
  if (is_small()) {
    return find_if([&](const TaskReport& entry) { return is_entry_of(entry, job, task); });
  }
  auto entry = first_entry(job, task);
  return entry != tasks_.end() && is_entry_of(**entry, job, task) ? *entry : nullptr;
}

const TaskReport* ReportedTasks::find(const std::string& job, TaskNumber task, Attempt attempt) const {
  if (is_small()) {
    return find_if(
        [&](const TaskReport& entry) { return entry.attempt == attempt && is_entry_of(entry, job, task); });
  }
  for (auto entry = first_entry(job, task); entry != tasks_.end() && is_entry_of(**entry, job, task);
       ++entry) {
    if ((*entry)->attempt == attempt) return *entry;
  }
  return nullptr;
}

}  // namespace oxbowmill
