// Starts, observes and ends the processes of a scale run and measures their resource usage. A ScaleProcess
// owns its process and the read end of the pipe for its events.
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

/// A process of the run. It can be restarted; resource usage covers the time since the warm-up over all its
/// starts.
class ScaleProcess {
 public:
  /// Main function of a simulator; it runs the event loop until the process is killed.
  using SimulatorMain = std::function<void(event_base*, ScaleEventWriter&)>;

  explicit ScaleProcess(std::string role) : role_(std::move(role)) {}
  ScaleProcess(ScaleProcess&& other) noexcept;
  ScaleProcess(const ScaleProcess&) = delete;
  ScaleProcess& operator=(const ScaleProcess&) = delete;
  ScaleProcess& operator=(ScaleProcess&&) = delete;
  /// Kills the process.
  ~ScaleProcess() { kill(); }

  /// Forks a simulator that runs `simulator_main` and writes its events to a pipe. Throws Error if the pipe
  /// or the process cannot be created.
  void start_simulator(const SimulatorMain& simulator_main);
  /// Starts a program and appends its standard error to the log file. Throws Error if the process cannot be
  /// created.
  void start_program(const std::vector<std::string>& command_line, const std::string& log_path);
  /// Kills and reaps the process; no effect if it is not running.
  void kill();
  /// Sends a signal to the process; no effect if it is not running.
  void signal(int number) const;
  /// Returns true once if the process has ended without a call of `kill`; it then counts as not running.
  bool has_ended_unexpectedly();
  /// Appends the events that have arrived. Throws Error if the simulator has closed the pipe by ending.
  void read_events(std::vector<ScaleEvent>& events);
  /// Samples the resource usage. If `counted`, adds the processor time since the last call to the total and
  /// updates the maxima.
  void sample_usage(bool counted);

  /// Name of the process in reports.
  const std::string& role() const { return role_; }
  /// Whether the process was started and its end has not been noticed.
  bool is_running() const { return pid_ > 0; }
  /// Whether the process was started by `start_simulator`.
  bool is_simulator() const { return is_simulator_; }
  /// File descriptor from which its events are read; -1: none.
  int events_descriptor() const { return events_fd_; }
  /// Processor time used, in seconds.
  double processor_s() const { return processor_s_; }
  /// Highest resident memory, in MiB.
  double max_resident_mb() const { return max_resident_mb_; }
  /// Highest number of open sockets.
  std::size_t max_sockets() const { return max_sockets_; }

 private:
  std::string role_;
  pid_t pid_ = -1;
  int events_fd_ = -1;
  bool is_simulator_ = false;
  std::string partial_line_;
  double processor_s_ = 0, last_processor_s_ = 0, max_resident_mb_ = 0;
  std::size_t max_sockets_ = 0;
};

}  // namespace oxbowmill::simulation
