// Answers agents' reports: decodes them, passes them to reconciliation and the scheduler, and turns the
// scheduler's answer into an HTTP response. Event loop thread only.
#pragma once

#include "oxbowmill/reconciliation/reconciler.h"
#include "oxbowmill/service/largest_message.h"
#include "oxbowmill/service/malformed_message_log.h"
#include "oxbowmill/service/report_relay.h"
#include "oxbowmill/service/state_replica.h"

namespace oxbowmill::service {

/// The sender of a report.
enum class ReportOrigin : std::uint8_t {
  agent,
  peer,  // another controller, which relays it because the agent cannot reach this one
};

/// Handles reports.
class ReportHandler {
 public:
  /// `reconciler` is null if reconciliation is off. The referenced objects must outlive the handler.
  ReportHandler(const StateReplica& replica, const ControllerLease& lease, Scheduler& scheduler,
                reconciliation::Reconciler* reconciler, ReportRelay& relay,
                MalformedMessageLog& malformed_messages, std::function<Clock()> clock);
  /// Answers the request, either at once or when the owner has answered the relayed report.
  void on_report(const net::Request& request, ReportOrigin origin);

 private:
  std::optional<AgentReport> read(const net::Request& request);
  void reply(const net::Request& request, ReportOrigin origin, const std::string& machine,
             const ReportAnswer& answer);

  const StateReplica& replica_;
  const ControllerLease& lease_;
  Scheduler& scheduler_;
  reconciliation::Reconciler* reconciler_;
  ReportRelay& relay_;
  MalformedMessageLog& malformed_messages_;
  std::function<Clock()> clock_;
  LargestMessage largest_report_{"report"}, largest_response_{"response"};
};

}  // namespace oxbowmill::service
