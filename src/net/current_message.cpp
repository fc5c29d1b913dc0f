#include "oxbowmill/net/current_message.h"

#include <algorithm>
#include <exception>

namespace oxbowmill::net {

namespace {
CurrentMessage message{};

char to_printable(char c) {
  return c >= ' ' && c <= '~' && c != '"' && c != '\\' ? c : '?';
}

/// Appends as much of the text as fits. Returns the new end, at which there is a zero.
char* append(char* end, const char* limit, std::string_view text) {
  auto count = std::min(text.size(), static_cast<std::size_t>(limit - end - 1));
  end = std::transform(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(count), end, to_printable);
  *end = '\0';
  return end;
}
}  // namespace

const CurrentMessage& current_message() {
  return message;
}

MessageScope::MessageScope(std::string_view kind, std::string_view path, std::string_view sender,
                           std::size_t size)
    : exceptions_before_(std::uncaught_exceptions()) {
  const char* limit = message.kind + CurrentMessage::max_text_size;
  char* end = append(message.kind, limit, kind);
  end = append(end, limit, " ");
  append(end, limit, path);
  append(message.sender, message.sender + CurrentMessage::max_text_size, sender);
  message.size = size;
}

MessageScope::~MessageScope() {
  if (std::uncaught_exceptions() == exceptions_before_) message = {};
}

}  // namespace oxbowmill::net
