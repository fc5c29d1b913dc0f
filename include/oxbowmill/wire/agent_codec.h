// Bodies that agents and controllers exchange: reports, answers to them, and commands sent directly. The
// names of all fields are in src/wire/agent_codec.cpp. Stateless.
#pragma once

#include <optional>

#include "oxbowmill/scheduling/scheduler.h"
#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::wire {

/// An agent's report; nothing where a field is missing or malformed. An unknown cause of a task's end reads
/// as an error, so that newer agents can report to this version.
std::optional<AgentReport> read_report(const Json& json);
/// The answer to a report: commands, or the controller to report to instead.
Json write_report_answer(const ReportAnswer& answer);
/// Commands that a controller sends without waiting for the next report.
Json write_direct_commands(const DirectCommands& commands);

}  // namespace oxbowmill::wire
