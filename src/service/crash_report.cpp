#include "oxbowmill/service/crash_report.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string_view>

#include "oxbowmill/net/current_message.h"
#include "oxbowmill/version.h"

namespace oxbowmill::service {

namespace {

constexpr std::size_t max_line_size = 1024;                        // longer lines are cut
constexpr std::size_t signal_stack_size = std::size_t{64} * 1024;  // in bytes

struct FatalSignal {
  int number;
  std::string_view name;
};
constexpr FatalSignal fatal_signals[] = {
    {SIGSEGV, "SIGSEGV"}, {SIGBUS, "SIGBUS"}, {SIGILL, "SIGILL"}, {SIGFPE, "SIGFPE"}, {SIGABRT, "SIGABRT"}};

alignas(std::max_align_t) std::array<char, signal_stack_size> signal_stack;

/// Builds a log line by means that are safe in a signal handler. The values take the places of "{}" in turn.
class CrashLine {
 public:
  explicit CrashLine(std::string_view format) : format_(format) { append("error "); }

  CrashLine& value(std::string_view text) {
    append_up_to(format_.find(placeholder));
    append(text);
    format_.remove_prefix(std::min(placeholder.size(), format_.size()));
    return *this;
  }
  /// The values of the message that is being handled, and the version.
  CrashLine& message_and_version() {
    const net::CurrentMessage& message = net::current_message();
    std::array<char, max_digits> digits{};
    char* end = std::to_chars(digits.data(), digits.data() + digits.size(), message.size).ptr;
    std::string_view size(digits.data(), static_cast<std::size_t>(end - digits.data()));
    return value(message.kind).value(message.sender).value(size).value(version);
  }
  void write() {
    append_up_to(format_.size());
    line_[size_++] = '\n';
    for (std::size_t written = 0; written < size_;) {
      ssize_t count = ::write(STDERR_FILENO, line_.data() + written, size_ - written);
      if (count <= 0) return;
      written += static_cast<std::size_t>(count);
    }
  }

 private:
  static constexpr std::string_view placeholder = "{}";
  static constexpr std::size_t max_digits = 24;

  void append(std::string_view text) {
    std::size_t count = std::min(text.size(), max_line_size - 1 - size_);  // the last byte is the line's end
    std::copy_n(text.begin(), count, line_.begin() + static_cast<std::ptrdiff_t>(size_));
    size_ += count;
  }
  void append_up_to(std::size_t position) {
    position = std::min(position, format_.size());
    append(format_.substr(0, position));
    format_.remove_prefix(position);
  }

  std::string_view format_;
  std::array<char, max_line_size> line_{};
  std::size_t size_ = 0;
};

std::string_view name_of_signal(int number) {
  for (const FatalSignal& signal : fatal_signals) {
    if (signal.number == number) return signal.name;
  }
  return "unknown";
}

void on_fatal_signal(int number) {
  CrashLine line("controller ended by signal signal={} message=\"{}\" sender=\"{}\" size={} version={}");
  line.value(name_of_signal(number)).message_and_version().write();
  // The handler was reset when it was called, so the signal now ends the program.
  raise(number);
}

void write_exception_line(std::string_view reason) {
  CrashLine line(
      "controller ended by exception reason=\"{}\" message=\"{}\" sender=\"{}\" size={} version={}");
  line.value(reason).message_and_version().write();
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
