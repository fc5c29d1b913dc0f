// Index of the tasks in one report. Reading a report takes a look-up for each placement of its machine, so
// that a scan of the report for each would cost the square of the number of tasks.
#pragma once

#include <vector>

#include "oxbowmill/cluster/agent_messages.h"

namespace oxbowmill {

/// Finds tasks in a report, which must outlive this object.
class ReportedTasks {
 public:
  /// Indexes the report's tasks.
  explicit ReportedTasks(const AgentReport& report);
  /// The first entry of the task; null if the report does not list it.
  const TaskReport* find(const std::string& job, TaskNumber task) const;
  /// The first entry of this attempt of the task; null if the report does not list it.
  const TaskReport* find(const std::string& job, TaskNumber task, Attempt attempt) const;

 private:
  using Position = std::vector<const TaskReport*>::const_iterator;
  /// A scan of few tasks is faster than an index of them.
  static constexpr std::size_t max_scanned_tasks = 16;
  bool is_small() const { return report_.tasks.size() <= max_scanned_tasks; }
  template <class Matches>
  const TaskReport* find_if(const Matches& matches) const;
  Position first_entry(const std::string& job, TaskNumber task) const;

  const AgentReport& report_;
  std::vector<const TaskReport*> tasks_;  // by task number and job, else in the report's order; if not small
};

}  // namespace oxbowmill
