// Routes HTTP requests of users, agents and the platform to the objects that answer them.
#pragma once

#include "oxbowmill/service/report_handler.h"
#include "oxbowmill/service/submission_service.h"

namespace oxbowmill::service {

/// Routes requests. Has no state of its own. The referenced objects must outlive it.
class RequestRouter {
 public:
  /// `is_ready` returns whether this controller should receive users' requests.
  RequestRouter(SubmissionService& submission_service, ReportHandler& report_handler,
                std::function<bool()> is_ready);
  /// Has the request answered, at once or later. Answers 404 for an unknown path and 405 for a wrong method.
  void on_request(const net::Request& request);

 private:
  /// `job_path` is the part of the path after "/submissions/".
  void on_job_request(const net::Request& request, const std::string& job_path);

  SubmissionService& submission_service_;
  ReportHandler& report_handler_;
  std::function<bool()> is_ready_;
};

}  // namespace oxbowmill::service
