// Processes of a scale run: start, observation and end, and the resources they used. Each object owns its
// process and the pipe of its events.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "oxbowmill/simulation/scale_event.h"

struct event_base;

namespace oxbowmill::simulation {

/// Seconds on the steady clock.
double steady_now();

/// A process of the run, which may be started again, with the resources that all its starts together used
/// since the warm-up.
class ScaleProcess {
 public:
  using Serve = std::function<void(event_base*, ScaleEventWriter&)>;

  explicit ScaleProcess(std::string role) : role_(std::move(role)) {}
  ScaleProcess(ScaleProcess&& other) noexcept;
  ScaleProcess(const ScaleProcess&) = delete;
  ScaleProcess& operator=(const ScaleProcess&) = delete;
  ScaleProcess& operator=(ScaleProcess&&) = delete;
  /// Kills the process.
  ~ScaleProcess() { end(); }

  /// Forks a simulator that runs `serve` and writes its events to a pipe. Throws Error.
  void start_simulator(const Serve& serve);
  /// Runs a program, with its standard error appended to the log file. Throws Error.
  void start_program(const std::vector<std::string>& command_line, const std::string& log_path);
  /// Kills and reaps the process; no effect where it is not running.
  void end();
  /// Sends a signal; no effect where it is not running.
  void signal(int number) const;
  /// True once after the process has ended without `end`; it counts as not running then.
  bool has_ended_by_itself();
  /// Appends the events that have arrived. Throws Error where the pipe was closed.
  void read_events(std::vector<ScaleEvent>& events);
  /// Reads the resources that it has used, and with `counted` adds those used since the last call to the
  /// sums.
  void sample_usage(bool counted);

  /// Its name in reports.
  const std::string& role() const { return role_; }
  /// Started, and its end not yet seen.
  bool is_running() const { return pid_ > 0; }
  /// Started by `start_simulator`.
  bool is_simulator() const { return is_simulator_; }
  /// The pipe of its events; -1: none.
  int events_descriptor() const { return events_; }
  /// Processor time, in seconds.
  double processor_s() const { return processor_s_; }
  /// Highest resident memory.
  double max_resident_mb() const { return max_resident_mb_; }
  /// Most open sockets.
  std::size_t max_sockets() const { return max_sockets_; }

 private:
  std::string role_;
  pid_t pid_ = -1;
  int events_ = -1;
  bool is_simulator_ = false;
  std::string unread_;
  double processor_s_ = 0, last_processor_s_ = 0, max_resident_mb_ = 0;
  std::size_t max_sockets_ = 0;
};

}  // namespace oxbowmill::simulation
