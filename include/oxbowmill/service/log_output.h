// The controller's log on standard error. Whoever reads it may be late or gone, so writing never waits for
// the reader and keeps nothing for it. Event loop thread only, apart from the functions that are safe in a
// signal handler.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace oxbowmill::service {

/// Makes standard error the output of the default logger. Lines that cannot be written at once are dropped
/// and counted; the count is logged when lines can be written again.
void log_to_standard_error();

/// Writes the text to a file, pipe or socket and returns how many bytes were written. They are fewer if the
/// rest would have to wait for the reader, or if there is no reader any more. Expects that SIGPIPE is
/// ignored. Safe in a signal handler.
std::size_t write_without_waiting(int descriptor, std::string_view text);

/// Builds a log line without the logger, by means that are safe in a signal handler. The values take the
/// places of "{}" in the format in turn. A line that is too long is cut.
class RawLogLine {
 public:
  /// A line of level error. `format` must outlive the object.
  explicit RawLogLine(std::string_view format) : format_(format) { append("error "); }
  /// Adds a text.
  RawLogLine& value(std::string_view text);
  /// Adds a number.
  RawLogLine& value(std::uint64_t number);
  /// The whole line, with its line break. To be called once, after all values.
  std::string_view finish();

 private:
  static constexpr std::size_t max_size = 1024;  // bytes
  static constexpr std::string_view placeholder = "{}";
  void append(std::string_view text);
  void append_up_to(std::size_t position);

  std::string_view format_;
  std::array<char, max_size> line_{};
  std::size_t size_ = 0;
};

}  // namespace oxbowmill::service
