#include "scale_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <system_error>
#include <utility>

#include "oxbowmill/error.h"
#include "oxbowmill/net/http.h"

namespace oxbowmill::simulation {

namespace {

/// Describes the error of the last system call.
std::string last_system_error() {
  return std::generic_category().message(errno);
}

/// Resource usage of a process according to /proc; all zero if the process has ended.
struct Usage {
  double processor_s = 0, resident_mb = 0;
  std::size_t sockets = 0;
};

Usage usage_of(pid_t pid) {
  Usage usage;
  std::string directory = "/proc/" + std::to_string(pid);
  std::ifstream stat(directory + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::size_t after_name = text.rfind(')');
  if (after_name == std::string::npos) return usage;
  std::istringstream fields(text.substr(after_name + 1));
  std::string skipped;
  constexpr int fields_before_times = 11;
  for (int i = 0; i < fields_before_times; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  usage.processor_s = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream statm(directory + "/statm");
  double total = 0, resident = 0;
  statm >> total >> resident;
  usage.resident_mb = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
  std::error_code ignored;
  for (const auto& entry : std::filesystem::directory_iterator(directory + "/fd", ignored)) {
    usage.sockets += std::filesystem::read_symlink(entry, ignored).string().rfind("socket:", 0) == 0 ? 1 : 0;
  }
  return usage;
}

[[noreturn]] void run_simulator(const std::string& role, int events,
                                const ScaleProcess::SimulatorMain& simulator_main) {
  try {
    auto base = net::make_event_base();
    ScaleEventWriter writer(events, steady_now);
    simulator_main(base.get(), writer);
  } catch (const std::exception& e) {
    std::cerr << "oxbowmill-sim: " << role << ": " << e.what() << std::endl;
  }
  ::_exit(1);
}

[[noreturn]] void run_program(std::vector<std::string> command_line, const std::string& log_path) {
  constexpr int log_mode = 0644, exec_failed_status = 127;
  int log_file = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, log_mode);
  if (log_file >= 0) ::dup2(log_file, STDERR_FILENO);
  // An ignored signal stays ignored in the program that is executed.
  ::signal(SIGPIPE, SIG_DFL);
  std::vector<char*> arguments;
  for (std::string& argument : command_line) arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  ::execv(arguments.front(), arguments.data());
  ::_exit(exec_failed_status);
}

}  // namespace

double steady_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

ScaleProcess::ScaleProcess(ScaleProcess&& other) noexcept
    : role_(std::move(other.role_)),
      pid_(std::exchange(other.pid_, -1)),
      events_fd_(std::exchange(other.events_fd_, -1)),
      is_simulator_(other.is_simulator_),
      partial_line_(std::move(other.partial_line_)),
      processor_s_(other.processor_s_),
      last_processor_s_(other.last_processor_s_),
      max_resident_mb_(other.max_resident_mb_),
      max_sockets_(other.max_sockets_) {}

void ScaleProcess::start_simulator(const SimulatorMain& simulator_main) {
  int pipe_ends[2];
  if (::pipe(pipe_ends) != 0)
    throw Error("cannot create an event pipe for " + role_ + ": " + last_system_error());
  pid_t pid = ::fork();
  if (pid < 0) throw Error("cannot fork process " + role_ + ": " + last_system_error());
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::close(pipe_ends[0]);
    run_simulator(role_, pipe_ends[1], simulator_main);
  }
  ::close(pipe_ends[1]);
  ::fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
  pid_ = pid;
  events_fd_ = pipe_ends[0];
  is_simulator_ = true;
}

void ScaleProcess::start_program(const std::vector<std::string>& command_line, const std::string& log_path) {
  pid_t pid = ::fork();
  if (pid < 0) throw Error("cannot fork process " + role_ + ": " + last_system_error());
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    run_program(command_line, log_path);
  }
  pid_ = pid;
  last_processor_s_ = 0;
}

void ScaleProcess::kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = -1;
  if (events_fd_ >= 0) ::close(events_fd_);
  events_fd_ = -1;
}

void ScaleProcess::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}

bool ScaleProcess::has_ended_unexpectedly() {
  if (pid_ <= 0 || ::waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = -1;
  return true;
}

void ScaleProcess::read_events(std::vector<ScaleEvent>& events) {
  char buffer[1 << 16];
  while (events_fd_ >= 0) {
    ssize_t bytes_read = ::read(events_fd_, buffer, sizeof buffer);
    if (bytes_read == 0) throw Error("process " + role_ + " ended unexpectedly");
    if (bytes_read < 0) break;
    partial_line_.append(buffer, static_cast<std::size_t>(bytes_read));
  }
  std::size_t from = 0;
  for (std::size_t to = 0; (to = partial_line_.find('\n', from)) != std::string::npos; from = to + 1) {
    if (auto event = parse_event(partial_line_.substr(from, to - from))) events.push_back(std::move(*event));
  }
  partial_line_.erase(0, from);
}

void ScaleProcess::sample_usage(bool counted) {
  if (pid_ <= 0) return;
  Usage usage = usage_of(pid_);
  if (counted) {
    processor_s_ += std::max(0.0, usage.processor_s - last_processor_s_);
    max_resident_mb_ = std::max(max_resident_mb_, usage.resident_mb);
    max_sockets_ = std::max(max_sockets_, usage.sockets);
  }
  last_processor_s_ = usage.processor_s;
}

}  // namespace oxbowmill::simulation
