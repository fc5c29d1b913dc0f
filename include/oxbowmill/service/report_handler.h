// Answers agents' reports: reads them, hands them to reconciliation and the scheduler, and turns the
// scheduler's answer into HTTP. For the event loop's thread.
#pragma once

#include "oxbowmill/reconciliation/reconciler.h"
#include "oxbowmill/service/malformed_message_log.h"
#include "oxbowmill/service/report_relay.h"
#include "oxbowmill/service/state_replica.h"

namespace oxbowmill::service {

/// Who sent a report.
enum class ReportOrigin : std::uint8_t {
  agent,
  peer,  // relayed by another controller, because the agent cannot reach this one
};

/// Holds no state of its own.
class ReportHandler {
 public:
  /// `reconciler`: null if reconciliation is switched off. The referenced objects must outlive the handler.
  ReportHandler(const StateReplica& replica, const ControllerLease& lease, Scheduler& scheduler,
                reconciliation::Reconciler* reconciler, ReportRelay& relay,
                MalformedMessageLog& malformed_messages, std::function<Clock()> clock);
  /// Answers the request, at once or once the owner has answered the relayed report.
  void on_report(const net::Request& request, ReportOrigin origin);

 private:
  std::optional<WorkerReport> read(const net::Request& request);
  void reply(const net::Request& request, ReportOrigin origin, const std::string& machine,
             const ReportAnswer& answer);

  const StateReplica& replica_;
  const ControllerLease& lease_;
  Scheduler& scheduler_;
  reconciliation::Reconciler* reconciler_;
  ReportRelay& relay_;
  MalformedMessageLog& malformed_messages_;
  std::function<Clock()> clock_;
};

}  // namespace oxbowmill::service
