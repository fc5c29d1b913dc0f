// Events that the processes of a scale run send through pipes to the evaluating process, one line of JSON per
// event. ScaleEventWriter owns its buffer and is not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "oxbowmill/simulation/invariant_checker.h"

namespace oxbowmill::simulation {

/// Kind of an event.
enum class ScaleEventKind : std::uint8_t {
  task_starts,     ///< `machine` has executed the task's start command
  task_runs,       ///< the task runs: its image is present, and those of all gang members are
  task_leaves,     ///< the task is no longer on `machine`
  task_completes,  ///< the task has finished its work
  job_submitted,   ///< the user makes the first attempt to submit the job
  job_accepted,    ///< the job was accepted; `value`: milliseconds since the first attempt
  job_withdrawn,   ///< the user begins to withdraw the job
  job_answered,    ///< the user has received `answer` to a request about the job
  counter,         ///< `job`: name of the counter; `value`: its present value
};

/// One event. Fields that its kind does not use keep their defaults.
struct ScaleEvent {
  ScaleEventKind kind = ScaleEventKind::counter;  ///< what happened
  double at = 0;           ///< steady clock in seconds, which all processes of a machine share
  std::string job,         ///< name of the job or counter
      machine;             ///< name of the machine
  std::uint32_t task = 0;  ///< number of the task in its job
  double value = 0;        ///< meaning depends on `kind`
  JobAnswer answer = JobAnswer::no_answer;  ///< of a `job_answered` event
};

/// Encodes the event as one line of JSON, newline included.
std::string to_line(const ScaleEvent& event);
/// Decodes a line written by `to_line`; nullopt if the line is not an event.
std::optional<ScaleEvent> parse_event(const std::string& line);

/// Writes events to a pipe, buffered.
class ScaleEventWriter {
 public:
  /// `descriptor`: write end of the pipe, which the caller closes. `now` returns the steady clock's time in
  /// seconds.
  ScaleEventWriter(int descriptor, std::function<double()> now)
      : descriptor_(descriptor), now_(std::move(now)) {}
  /// Sets the event's `at` to the present time and buffers the event.
  void write(ScaleEvent event);
  /// Buffers an event with the present value of a counter.
  void counter(const std::string& name, double value);
  /// Writes the buffered events. They are discarded without an error if the reading process has ended.
  void flush();

 private:
  int descriptor_;
  std::function<double()> now_;
  std::string buffer_;
};

}  // namespace oxbowmill::simulation
