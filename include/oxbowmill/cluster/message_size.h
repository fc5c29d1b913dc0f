// Sizes of the messages between controllers and agents, counted as JSON, as the protocol's limit is. A report
// lists all tasks of its machine, so the limit also bounds how many tasks a machine can hold. Pure
// arithmetic.
#pragma once

#include <cstddef>
#include <string>

#include "oxbowmill/cluster/agent_messages.h"

namespace oxbowmill {

/// Limit of a report, of its response and of a direct command message, in bytes (PROTOCOL, first list).
constexpr std::size_t max_agent_message_bytes = std::size_t{64} * 1024;
/// Bytes for everything beside the list of tasks or commands: four names of up to 120 bytes and numbers.
constexpr std::size_t agent_message_head_bytes = 1024;
/// Bytes for the list of tasks or commands.
constexpr std::size_t agent_message_list_bytes = max_agent_message_bytes - agent_message_head_bytes;
/// Upper bound of `task_message_bytes`.
constexpr std::size_t max_task_message_bytes = 256;

/// Bytes that a task takes in a report, in whichever state it is listed.
std::size_t report_entry_bytes(const std::string& job, TaskNumber task, Attempt attempt);
/// Bytes that a command takes in a message; for a kill an upper bound.
std::size_t command_bytes(const AgentCommand& command);
/// Bytes that any task of the job takes in a report, or in the message that stops it, whatever its attempt.
/// If these fit for all tasks of a machine, its fullest report and the commands that stop them all fit, too.
std::size_t task_message_bytes(const std::string& job);

}  // namespace oxbowmill
