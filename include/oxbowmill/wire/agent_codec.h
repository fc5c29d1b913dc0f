// Encodes and decodes the messages between agents and controllers: reports, answers to them, and commands
// that controllers send directly. src/wire/agent_codec.cpp defines the names of the fields. Stateless.
#pragma once

#include <optional>

#include "oxbowmill/scheduling/scheduler.h"
#include "oxbowmill/wire/cbor.h"

namespace oxbowmill::wire {

/// Reports are read beyond the protocol's limit, as far as the server receives bodies. An agent with more
/// tasks than a message can list, placed by an earlier version, would otherwise lose all of them with its
/// lease.
extern const BodyRules report_rules;

/// A report as it was received.
struct ReceivedReport {
  std::optional<AgentReport> report;  ///< empty if the body cannot be used
  std::string error;                  ///< why it cannot be used; empty if it can
  std::string machine;  ///< if it cannot be used: name of the machine; empty if the body does not tell it
};

/// Decodes the body of a report. Of a large one, passes over the tasks behind the first that cannot be read.
ReceivedReport decode_report(const std::string& body);
/// Decodes an agent's report; empty if a field is missing or malformed. An unknown cause of a task's end is
/// read as EndCause::error, so that newer agents can report to this version.
std::optional<AgentReport> read_report(const Json& json);
/// Encodes the answer to a report: commands, or the controller to report to instead.
Json write_report_answer(const ReportAnswer& answer);
/// Encodes commands that a controller sends without waiting for the next report.
Json write_direct_commands(const DirectCommands& commands);

}  // namespace oxbowmill::wire
