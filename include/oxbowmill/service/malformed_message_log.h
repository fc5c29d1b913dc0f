// Logs unreadable messages without letting a faulty sender flood the log. Event loop thread only.
#pragma once

#include <map>
#include <set>
#include <string>

#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::service {

/// A message that was refused.
struct MalformedMessage {
  std::string kind;    ///< what the message was to be, such as "report"; without spaces
  std::string sender;  ///< name or address of who sent it
  std::string reason;  ///< what is wrong with it
};

/// Logs at most one line for each kind of message, sender and reason.
class MalformedMessageLog {
 public:
  /// Logs the message, unless an equal one has been logged before. Stops logging messages of a kind after a
  /// fixed number of lines.
  void record(const MalformedMessage& message);

 private:
  std::map<std::string, std::set<std::string>> logged_;  // senders and reasons by kind
};

/// The text in a field that names the sender, or `otherwise` if there is no body or no such name.
std::string sender_in(const wire::DecodedMap& body, const char* field, const std::string& otherwise);

}  // namespace oxbowmill::service
