// The largest messages that were exchanged with agents, so that the log shows how near they come to the
// protocol's limit. Event loop thread only.
#pragma once

#include <cstddef>
#include <string>

namespace oxbowmill::service {

/// Keeps the size of the largest message of one kind. Logs a message that is considerably larger than all
/// before it and larger than half of the limit.
class LargestMessage {
 public:
  /// `kind` names the messages in log lines, without spaces.
  explicit LargestMessage(std::string kind) : kind_(std::move(kind)) {}
  /// Records a message of this many bytes, as CBOR, which was exchanged with the machine.
  void record(const std::string& machine, std::size_t size);
  /// Size of the largest message so far, in bytes as CBOR.
  std::size_t size() const { return size_; }

 private:
  std::string kind_;
  std::size_t size_ = 0, logged_size_ = 0;
};

}  // namespace oxbowmill::service
