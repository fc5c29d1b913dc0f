// The agent's side of the agent protocol: encodes the messages that a controller decodes, and decodes those
// that it encodes. Stateless.
#pragma once

#include <optional>

#include "oxbowmill/scheduling/scheduler.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill::simulation {

/// Encodes a heartbeat, the body of `POST /hello`.
wire::Json write_report(const AgentReport& report);
/// Whether a message is over the protocol's size limit, which counts it as JSON.
bool exceeds_limit(const wire::Json& message);
/// Decodes the response to a heartbeat; nullopt if a field is missing or has the wrong type.
std::optional<ReportAnswer> read_answer(const wire::Json& body);
/// Decodes the body of `POST /commands`; nullopt if a field is missing or has the wrong type.
std::optional<DirectCommands> read_direct_commands(const wire::Json& body);

}  // namespace oxbowmill::simulation
