// Logs unreadable messages without letting a faulty sender flood the log. Event loop thread only.
#pragma once

#include <set>
#include <string>

namespace oxbowmill::service {

/// Logs at most one line for each kind of message and sender.
class MalformedMessageLog {
 public:
  /// Logs that a message of this kind from this sender was malformed, unless that has been logged before.
  /// Stops logging after a fixed number of lines.
  void record(const std::string& kind, const std::string& sender);

 private:
  std::set<std::string> logged_;
};

}  // namespace oxbowmill::service
