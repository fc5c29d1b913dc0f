// The worker's side of the protocol's messages: what the controllers' codec reads and writes from the other
// side.
#pragma once

#include <optional>

#include "oxbowmill/scheduling/scheduler.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill::simulation {

wire::Json write_report(const WorkerReport& report);
/// None where a field is missing or of another kind.
std::optional<ReportAnswer> read_answer(const wire::Json& body);
std::optional<DirectCommands> read_command(const wire::Json& body);

}  // namespace oxbowmill::simulation
