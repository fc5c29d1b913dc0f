// The message that is being handled, for the line that a crash leaves. Event loop thread only; may be read in
// a signal handler of that thread.
#pragma once

#include <cstddef>
#include <string_view>

namespace oxbowmill::net {

/// A request or response, described without pointers, so that a signal handler can read it.
struct CurrentMessage {
  static constexpr std::size_t max_text_size =
      96;                      ///< of each text, with its final zero; longer ones are cut
  char kind[max_text_size];    ///< method or "response", and path; empty: no message
  char sender[max_text_size];  ///< address or host of the sender
  std::size_t size;            ///< of the body, in bytes
};

/// The message that is being handled, or the one whose handler threw the exception that is being handled.
const CurrentMessage& current_message();

/// Sets the current message while it is handled. If the handler ends by an exception, the message stays.
class MessageScope {
 public:
  /// `kind` is the method of a request, or "response". Characters that are not printable ASCII, quotes and
  /// backslashes become '?'.
  MessageScope(std::string_view kind, std::string_view path, std::string_view sender, std::size_t size);
  MessageScope(const MessageScope&) = delete;
  MessageScope& operator=(const MessageScope&) = delete;
  ~MessageScope();

 private:
  int exceptions_before_;
};

}  // namespace oxbowmill::net
