// The agent's side of the protocol's messages: writes what the controllers' codec reads and reads what it
// writes. No state.
#pragma once

#include <optional>

#include "oxbowmill/scheduling/scheduler.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill::simulation {

/// The body of `POST /hello`.
wire::Json write_report(const AgentReport& report);
/// The response to a report; none where a field is missing or has the wrong type.
std::optional<ReportAnswer> read_answer(const wire::Json& body);
/// The body of `POST /commands`; none where a field is missing or has the wrong type.
std::optional<DirectCommands> read_command(const wire::Json& body);

}  // namespace oxbowmill::simulation
