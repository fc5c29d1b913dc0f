// Commands that go into one message to an agent, and the division of longer lists. Pure; no state beside the
// batch itself.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <vector>

#include "oxbowmill/cluster/message_size.h"
#include "oxbowmill/scheduling/effects.h"

namespace oxbowmill {

/// Fills a list of commands up to the size limit of a message.
class CommandBatch {
 public:
  /// Appends to `commands`, which must be empty and must outlive this object.
  explicit CommandBatch(std::vector<AgentCommand>& commands) : commands_(commands) {}
  /// Adds all of these commands, or none if the message would become too large. Returns whether they were
  /// added; otherwise they count as held back.
  bool add(std::initializer_list<AgentCommand> added);
  /// Counts commands that the caller does not send with this message for another reason of size.
  void hold_back(std::size_t count) { held_back_ += count; }
  /// Number of commands that were not added.
  std::size_t held_back() const { return held_back_; }

 private:
  std::vector<AgentCommand>& commands_;
  std::size_t free_bytes_ = agent_message_list_bytes;
  std::size_t held_back_ = 0;
};

/// Divides messages that would be too large. The parts keep the order of the commands.
void split_large_messages(std::vector<DirectCommands>& messages);

}  // namespace oxbowmill
