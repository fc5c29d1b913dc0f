#include "oxbowmill/scheduling/command_batch.h"

#include <utility>

namespace oxbowmill {

bool CommandBatch::add(std::initializer_list<AgentCommand> added) {
  std::size_t needed = 0;
  for (const AgentCommand& command : added) needed += command_bytes(command);
  if (needed > free_bytes_) {
    held_back_ += added.size();
    return false;
  }
  free_bytes_ -= needed;
  commands_.insert(commands_.end(), added);
  return true;
}

void split_large_messages(std::vector<DirectCommands>& messages) {
  std::vector<DirectCommands> parts;
  for (DirectCommands& message : messages) {
    std::vector<AgentCommand> commands = std::exchange(message.commands, {});
    std::size_t free_bytes = agent_message_list_bytes;
    parts.push_back(message);
    for (AgentCommand& command : commands) {
      std::size_t needed = command_bytes(command);
      if (needed > free_bytes) {
        parts.push_back(message);
        free_bytes = agent_message_list_bytes;
      }
      free_bytes -= needed;
      parts.back().commands.push_back(std::move(command));
    }
  }
  messages = std::move(parts);
}

}  // namespace oxbowmill
