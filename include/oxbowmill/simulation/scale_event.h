// What the processes of a scale run tell the one that judges them: a line of JSON an event, through a pipe.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "oxbowmill/simulation/invariant_checker.h"

namespace oxbowmill::simulation {

enum class ScaleEventKind : std::uint8_t {
  task_starts,  // on `machine`, from its start order on
  task_runs,    // it has its image and, of a gang, all members have theirs
  task_leaves,
  task_completes,
  job_submitted,  // the first try
  job_accepted,   // `value`: milliseconds since the first try
  job_withdrawn,  // its user has begun to call it off
  job_answered,   // any answer about it
  counter,        // `job` names it; `value` since the process began
};

struct ScaleEvent {
  ScaleEventKind kind = ScaleEventKind::counter;
  double at = 0;  // steady clock, the same for all processes of a machine
  std::string job, machine;
  std::uint32_t task = 0;
  double value = 0;
  JobAnswer answer = JobAnswer::no_answer;
};

std::string to_line(const ScaleEvent& event);
/// None where the line is not an event.
std::optional<ScaleEvent> parse_event(const std::string& line);

/// Writes events to a pipe, a buffer at a time.
class ScaleEventWriter {
 public:
  ScaleEventWriter(int descriptor, std::function<double()> now)
      : descriptor_(descriptor), now_(std::move(now)) {}
  /// `at` is filled in.
  void write(ScaleEvent event);
  void counter(const std::string& name, double value);
  void flush();

 private:
  int descriptor_;
  std::function<double()> now_;
  std::string buffer_;
};

}  // namespace oxbowmill::simulation
