// Logs unreadable messages without letting a faulty sender flood the log. Event loop thread only.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "oxbowmill/logged_count.h"
#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::service {

/// A message that was refused.
struct MalformedMessage {
  std::string kind;    ///< what the message was to be, such as "report"; without spaces
  std::string sender;  ///< name or address of who sent it
  std::string reason;  ///< what is wrong with it
};

/// Counts refused messages. Logs at most one line for each kind of message, sender and reason, and one
/// whenever the count of a kind reaches 10, 100 and so on.
class MalformedMessageLog {
 public:
  /// Counts the message that is being handled, and logs it with its size unless an equal one has been logged
  /// before. Stops logging messages of a kind after a fixed number of lines.
  void record(const MalformedMessage& message);
  /// Number of messages of this kind that were refused.
  std::uint64_t count(const std::string& kind) const;

 private:
  static constexpr std::uint64_t first_logged_count = 10;  // the first messages have lines of their own
  struct Refused {
    std::set<std::string> logged;  // senders and reasons
    LoggedCount count{first_logged_count};
  };
  std::map<std::string, Refused> refused_;  // by kind
};

/// The text in a field that names the sender, or `otherwise` if there is no body or no such name.
std::string sender_in(const wire::DecodedMap& body, const char* field, const std::string& otherwise);

}  // namespace oxbowmill::service
