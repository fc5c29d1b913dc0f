// Events that the processes of a scale run send to the evaluating process: one line of JSON each, through a
// pipe. The writer owns its buffer; one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "oxbowmill/simulation/invariant_checker.h"

namespace oxbowmill::simulation {

/// What has happened.
enum class ScaleEventKind : std::uint8_t {
  task_starts,     ///< on `machine`, from the execution of its start command on
  task_runs,       ///< it has its image and, of a gang, all members have theirs
  task_leaves,     ///< it is no longer on `machine`
  task_completes,  ///< it has done its work
  job_submitted,   ///< the user's first attempt to submit it
  job_accepted,    ///< `value`: milliseconds since the first attempt
  job_withdrawn,   ///< its user has begun to withdraw it
  job_answered,    ///< any answer to its user
  counter,         ///< `job`: name of the counter; `value`: since the process began
};

/// One event. Fields that its kind does not use are empty.
struct ScaleEvent {
  ScaleEventKind kind = ScaleEventKind::counter;  ///< what has happened
  double at = 0;           ///< steady clock in seconds, the same for all processes of a machine
  std::string job,         ///< the job, or a counter's name
      machine;             ///< where it happened
  std::uint32_t task = 0;  ///< number of the task in its job
  double value = 0;        ///< see the kind
  JobAnswer answer = JobAnswer::no_answer;  ///< of `job_answered`
};

/// One line of JSON, with its newline.
std::string to_line(const ScaleEvent& event);
/// None where the line is not an event.
std::optional<ScaleEvent> parse_event(const std::string& line);

/// Writes events to a pipe, in blocks.
class ScaleEventWriter {
 public:
  /// `descriptor`: of the pipe, not closed here; `now`: steady clock, in seconds.
  ScaleEventWriter(int descriptor, std::function<double()> now)
      : descriptor_(descriptor), now_(std::move(now)) {}
  /// Buffers the event; its `at` is set here.
  void write(ScaleEvent event);
  /// Buffers the present value of a counter.
  void counter(const std::string& name, double value);
  /// Writes what is buffered. Ends silently where the reading process has gone.
  void flush();

 private:
  int descriptor_;
  std::function<double()> now_;
  std::string buffer_;
};

}  // namespace oxbowmill::simulation
