#include "oxbowmill/service/request_router.h"

namespace oxbowmill::service {

namespace {
constexpr const char* submissions_path = "/submissions";
constexpr const char* withdraw_suffix = "/withdraw";

/// Returns whether the request has this method; if not, answers 405.
bool require_method(const net::Request& request, evhttp_cmd_type method) {
  if (request.method == method) return true;
  request.responder->reply(405, "");
  return false;
}
}  // namespace

RequestRouter::RequestRouter(SubmissionService& submission_service, ReportHandler& report_handler,
                             std::function<bool()> is_ready)
    : submission_service_(submission_service),
      report_handler_(report_handler),
      is_ready_(std::move(is_ready)) {}

void RequestRouter::on_request(const net::Request& request) {
  static const std::string job_prefix = std::string(submissions_path) + "/";
  if (request.path == "/hello") {
    if (require_method(request, EVHTTP_REQ_POST)) report_handler_.on_report(request, ReportOrigin::agent);
  } else if (request.path == "/up") {
    if (require_method(request, EVHTTP_REQ_GET)) request.responder->reply(is_ready_() ? 200 : 503, "");
  } else if (request.path == submissions_path) {
    if (require_method(request, EVHTTP_REQ_POST)) submission_service_.submit(request);
  } else if (request.path.compare(0, job_prefix.size(), job_prefix) == 0) {
    on_job_request(request, request.path.substr(job_prefix.size()));
  } else {
    request.responder->reply(404, "");
  }
}

void RequestRouter::on_job_request(const net::Request& request, const std::string& job_path) {
  std::size_t slash = job_path.find('/');
  if (slash == std::string::npos) {
    if (require_method(request, EVHTTP_REQ_GET)) submission_service_.poll(job_path, request.responder);
  } else if (job_path.substr(slash) == withdraw_suffix) {
    if (require_method(request, EVHTTP_REQ_POST))
      submission_service_.withdraw(job_path.substr(0, slash), request.responder);
  } else {
    request.responder->reply(404, "");
  }
}

}  // namespace oxbowmill::service
