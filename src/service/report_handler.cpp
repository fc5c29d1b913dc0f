#include "oxbowmill/service/report_handler.h"

namespace oxbowmill::service {

namespace {
constexpr int retry_after_s = 1;
}  // namespace

ReportHandler::ReportHandler(const StateReplica& replica, const ControllerLease& lease, Scheduler& scheduler,
                             reconciliation::Reconciler* reconciler, ReportRelay& relay,
                             MalformedMessageLog& malformed_messages, std::function<Clock()> clock)
    : replica_(replica),
      lease_(lease),
      scheduler_(scheduler),
      reconciler_(reconciler),
      relay_(relay),
      malformed_messages_(malformed_messages),
      clock_(std::move(clock)) {}

std::optional<AgentReport> ReportHandler::read(const net::Request& request) {
  wire::ReceivedReport received = wire::decode_report(request.body);
  if (!received.report) {
    const std::string& sender = received.machine.empty() ? request.peer_host : received.machine;
    malformed_messages_.record({"report", sender, received.error});
  }
  return std::move(received.report);
}

void ReportHandler::on_report(const net::Request& request, ReportOrigin origin) {
  auto report = read(request);
  if (!report) return request.responder->reply(400, "");
  if (!replica_.is_live()) return request.responder->reply(503, "", retry_after_s);
  if (reconciler_ != nullptr && lease_.authority(clock_().now) == Authority::full) {
    scheduler_.detect_failovers(clock_().now);
    reconciler_->on_report(*report, clock_().now);
  }
  largest_report_.record(report->machine, request.body.size());
  reply(request, origin, report->machine, scheduler_.on_report(*report, clock_()));
}

void ReportHandler::reply(const net::Request& request, ReportOrigin origin, const std::string& machine,
                          const ReportAnswer& answer) {
  switch (answer.kind) {
    case ReportAnswer::Kind::ok: {
      std::string body = wire::encode(wire::write_report_answer(answer));
      largest_response_.record(machine, body.size());
      return request.responder->reply(200, body);
    }
    case ReportAnswer::Kind::redirect:
      // A relayed report is not relayed again, because it could circulate between controllers.
      if (origin == ReportOrigin::agent && answer.owner_unreachable)
        return relay_.relay(machine, answer.owner, request);
      return request.responder->reply(421, wire::encode(wire::write_report_answer(answer)));
    case ReportAnswer::Kind::refuse:
      return request.responder->reply(503, "", retry_after_s);
  }
}

}  // namespace oxbowmill::service
