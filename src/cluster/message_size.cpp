#include "oxbowmill/cluster/message_size.h"

#include <algorithm>

namespace oxbowmill {

namespace {

// Bytes beside the task's id and attempt, with the comma before the next item.
constexpr std::size_t report_entry_fixed_bytes = 73;  // an ended task with the longest cause
constexpr std::size_t command_fixed_bytes = 36;       // a start or a clear
constexpr std::size_t kill_fixed_bytes = 74;          // with the longest number of seconds
constexpr std::size_t max_task_digits = 5;            // a job has at most 100,000 tasks
constexpr std::size_t max_attempt_digits = 20;

std::size_t digits_of(std::uint64_t number) {
  constexpr std::uint64_t base = 10;
  std::size_t digits = 1;
  for (; number >= base; number /= base) ++digits;
  return digits;
}

std::size_t id_bytes(const std::string& job, TaskNumber task, Attempt attempt) {
  return job.size() + digits_of(task) + digits_of(attempt);
}

}  // namespace

std::size_t report_entry_bytes(const std::string& job, TaskNumber task, Attempt attempt) {
  return report_entry_fixed_bytes + id_bytes(job, task, attempt);
}

std::size_t command_bytes(const AgentCommand& command) {
  return (command.kind == CommandKind::kill ? kill_fixed_bytes : command_fixed_bytes) +
         id_bytes(command.job, command.task, command.attempt);
}

std::size_t task_message_bytes(const std::string& job) {
  return std::max(report_entry_fixed_bytes, kill_fixed_bytes) + job.size() + max_task_digits +
         max_attempt_digits;
}

}  // namespace oxbowmill
