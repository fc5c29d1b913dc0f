#include "oxbowmill/service/crash_report.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string_view>

#include "oxbowmill/net/current_message.h"
#include "oxbowmill/service/log_output.h"
#include "oxbowmill/version.h"

namespace oxbowmill::service {

namespace {

constexpr std::size_t signal_stack_size = std::size_t{64} * 1024;  // in bytes

struct FatalSignal {
  int number;
  std::string_view name;
};
constexpr FatalSignal fatal_signals[] = {
    {SIGSEGV, "SIGSEGV"}, {SIGBUS, "SIGBUS"}, {SIGILL, "SIGILL"}, {SIGFPE, "SIGFPE"}, {SIGABRT, "SIGABRT"}};

alignas(std::max_align_t) std::array<char, signal_stack_size> signal_stack;

/// Adds the values of the message that is being handled, and the version, and writes the line.
void write_line(RawLogLine& line) {
  const net::CurrentMessage& message = net::current_message();
  line.value(message.kind).value(message.sender).value(std::uint64_t{message.size}).value(version);
  write_without_waiting(STDERR_FILENO, line.finish());
}

std::string_view name_of_signal(int number) {
  for (const FatalSignal& signal : fatal_signals) {
    if (signal.number == number) return signal.name;
  }
  return "unknown";
}

void on_fatal_signal(int number) {
  RawLogLine line("controller ended by signal signal={} message=\"{}\" sender=\"{}\" size={} version={}");
  write_line(line.value(name_of_signal(number)));
  // The handler was reset when it was called, so the signal now ends the program.
  raise(number);
}

void write_exception_line(std::string_view reason) {
  RawLogLine line(
      "controller ended by exception reason=\"{}\" message=\"{}\" sender=\"{}\" size={} version={}");
  write_line(line.value(reason));
}

[[noreturn]] void on_uncaught_exception() {
  try {
    if (std::current_exception()) std::rethrow_exception(std::current_exception());
    write_exception_line("none");
  } catch (const std::exception& error) {
    write_exception_line(error.what());
  } catch (...) {
    write_exception_line("not a std::exception");
  }
  // The line has been written, so the signal of abort() must not leave another one.
  std::signal(SIGABRT, SIG_DFL);
  std::abort();
}

}  // namespace

void report_crashes() {
  stack_t stack{};
  stack.ss_sp = signal_stack.data();
  stack.ss_size = signal_stack.size();
  sigaltstack(&stack, nullptr);
  struct sigaction action {};
  action.sa_handler = on_fatal_signal;
  action.sa_flags = SA_ONSTACK | static_cast<int>(SA_RESETHAND);
  for (const FatalSignal& signal : fatal_signals) sigaction(signal.number, &action, nullptr);
  std::set_terminate(on_uncaught_exception);
}

void log_failure(const char* reason) {
  if (net::current_message().kind[0] != '\0') return write_exception_line(reason);
  SPDLOG_ERROR("controller failed: {}", reason);
}

}  // namespace oxbowmill::service
