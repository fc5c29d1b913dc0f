// Logs messages that could not be read, without letting a faulty sender flood the log. For the event loop's
// thread.
#pragma once

#include <set>
#include <string>

namespace oxbowmill::service {

/// Remembers what it has logged: one line for each kind of message and sender.
class MalformedMessageLog {
 public:
  /// Logs the message, unless one of this kind from this sender was logged before.
  void record(const std::string& kind, const std::string& sender);

 private:
  std::set<std::string> logged_;
};

}  // namespace oxbowmill::service
