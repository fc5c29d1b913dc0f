// Conversions between types of libevent, the system and the standard library.
#pragma once

#include <event2/buffer.h>
#include <sys/time.h>

#include <string>

namespace oxbowmill::net {

constexpr const char* body_content_type = "application/cbor";

inline timeval to_timeval(double seconds) {
  timeval tv;
  tv.tv_sec = static_cast<time_t>(seconds);
  tv.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(tv.tv_sec)) * 1e6);
  return tv;
}

/// Removes the whole content of a buffer and returns it.
inline std::string read_all(evbuffer* buffer) {
  std::string body(evbuffer_get_length(buffer), '\0');
  if (!body.empty()) evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

}  // namespace oxbowmill::net
