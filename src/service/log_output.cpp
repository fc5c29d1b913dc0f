#include "oxbowmill/service/log_output.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <climits>

namespace oxbowmill::service {

namespace {

/// Writes a part of the text to a pipe, or nothing if the pipe is full. Returns the bytes written; below 0:
/// nobody reads the pipe any more.
ssize_t write_to_pipe(int descriptor, std::string_view text) {
  pollfd poll_request{descriptor, POLLOUT, 0};
  if (::poll(&poll_request, 1, 0) <= 0) return 0;
  // A pipe that is ready has room for this many bytes.
  return ::write(descriptor, text.data(), std::min(text.size(), std::size_t{PIPE_BUF}));
}

ssize_t write_part(int descriptor, mode_t file_type, std::string_view text) {
  if (file_type == S_IFIFO) return write_to_pipe(descriptor, text);
  if (file_type == S_IFSOCK) return ::send(descriptor, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  return ::write(descriptor, text.data(), text.size());
}

/// Output of the logger. A line that could be written only in part is ended before the next one.
class StandardErrorSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (!end_cut_line() || !write_dropped_count() || !write({line.data(), line.size()})) ++dropped_;
  }
  void flush_() override {}

 private:
  /// Whether the whole text was written.
  bool write(std::string_view text) {
    std::size_t written = write_without_waiting(STDERR_FILENO, text);
    line_is_cut_ = line_is_cut_ || (written > 0 && written < text.size());
    return written == text.size();
  }
  bool end_cut_line() {
    if (!line_is_cut_) return true;
    if (!write("\n")) return false;
    line_is_cut_ = false;
    return true;
  }
  bool write_dropped_count() {
    if (dropped_ == 0) return true;
    RawLogLine line("log lines dropped count={}");
    if (!write(line.value(dropped_).finish())) return false;
    dropped_ = 0;
    return true;
  }

  std::uint64_t dropped_ = 0;  // lines since the last count was logged
  bool line_is_cut_ = false;   // the last line was written only in part
};

}  // namespace

std::size_t write_without_waiting(int descriptor, std::string_view text) {
  struct stat status {};
  mode_t file_type = ::fstat(descriptor, &status) == 0 ? status.st_mode & S_IFMT : S_IFREG;
  std::size_t written = 0;
  while (written < text.size()) {
    ssize_t count = write_part(descriptor, file_type, text.substr(written));
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;
    written += static_cast<std::size_t>(count);
  }
  return written;
}

void log_to_standard_error() {
  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>("oxbowmill", std::make_shared<StandardErrorSink>()));
}

RawLogLine& RawLogLine::value(std::string_view text) {
  append_up_to(format_.find(placeholder));
  append(text);
  format_.remove_prefix(std::min(placeholder.size(), format_.size()));
  return *this;
}

RawLogLine& RawLogLine::value(std::uint64_t number) {
  constexpr std::size_t max_digits = 20;
  std::array<char, max_digits> digits{};
  char* end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
  return value(std::string_view(digits.data(), static_cast<std::size_t>(end - digits.data())));
}

std::string_view RawLogLine::finish() {
  append_up_to(format_.size());
  line_[size_++] = '\n';
  return {line_.data(), size_};
}

void RawLogLine::append(std::string_view text) {
  std::size_t count = std::min(text.size(), max_size - 1 - size_);  // the last byte is the line's end
  std::copy_n(text.begin(), count, line_.begin() + static_cast<std::ptrdiff_t>(size_));
  size_ += count;
}

void RawLogLine::append_up_to(std::size_t position) {
  position = std::min(position, format_.size());
  append(format_.substr(0, position));
  format_.remove_prefix(position);
}

}  // namespace oxbowmill::service
