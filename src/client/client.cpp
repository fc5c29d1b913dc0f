#include "oxbowmill/client/client.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace oxbowmill::client {

using wire::Json;

namespace {
constexpr double poll_interval_s = 5, poll_response_timeout_s = 2, min_poll_interval_s = 0.05;
constexpr double min_backoff_delay_s = 0.001;

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string describe(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::ok:
      return "";
    case RequestOutcome::malformed:
      return "malformed request";
    case RequestOutcome::impossible:
      return "the job can never run";
    case RequestOutcome::not_found:
      return "no such job";
    case RequestOutcome::retryable:
      return "no controller accepted the request in time";
  }
  return "";
}

std::uint32_t read_count(const Json& body, const char* key) {
  return body.contains(key) && body[key].is_number_unsigned() ? body[key].get<std::uint32_t>() : 0U;
}

bool has_string(const Json& body, const char* key) {
  return body.contains(key) && body[key].is_string();
}

/// Returns nothing if the body has no id or no phase.
std::optional<JobStatus> read_status(const Json& body) {
  if (!has_string(body, "ref") || !has_string(body, "phase")) return std::nullopt;
  return JobStatus{body["ref"].get<std::string>(), body["phase"].get<std::string>(), read_count(body, "done"),
                   read_count(body, "running")};
}

Reply read_reply(const net::Response& http_response) {
  Reply reply;
  reply.outcome = outcome_of(http_response.status);
  reply.reason = describe(reply.outcome);
  auto body = wire::decode_map(http_response.body);
  if (reply.outcome == RequestOutcome::ok) {
    std::optional<JobStatus> status = body ? read_status(*body) : std::nullopt;
    // A success that cannot be decoded says nothing about the job, so the request may be sent again.
    if (!status) return Reply{RequestOutcome::retryable, {}, "the response cannot be decoded", 0, false};
    reply.status = std::move(*status);
  } else if (body && has_string(*body, "error")) {
    reply.reason += ": " + (*body)["error"].get<std::string>();
  }
  return reply;
}
}  // namespace

struct AsyncClient::Request {
  std::uint64_t id;
  evhttp_cmd_type method;
  std::string path, body;
  ReplyHandler on_reply;
  RequestRetrier retrier;
  Reply last_reply;
  net::Timer timer;
};

AsyncClient::AsyncClient(event_base* base, std::vector<net::Address> controllers, RetryPolicy policy)
    : base_(base),
      controllers_(std::move(controllers)),
      retry_policy_(policy),
      cleanup_timer_(base, [this] { finished_.clear(); }),
      alive_(std::make_shared<bool>(true)) {}

AsyncClient::~AsyncClient() {
  *alive_ = false;
}

void AsyncClient::start(evhttp_cmd_type method, std::string path, std::string body, RetryPolicy policy,
                        ReplyHandler on_reply) {
  std::uint64_t id = ++next_id_;
  auto request = std::unique_ptr<Request>(
      new Request{id,
                  method,
                  std::move(path),
                  std::move(body),
                  std::move(on_reply),
                  RequestRetrier(controllers_.size(), policy, std::random_device{}(), now()),
                  {},
                  net::Timer(base_, [this, id] {
                    auto it = requests_.find(id);
                    if (it == requests_.end()) return;
                    it->second->retrier.tick(now());
                    advance(*it->second);
                  })});
  Request& started = *request;
  requests_[id] = std::move(request);
  // Sent from the event loop, because a handler must not be called from within the call it was passed to.
  started.timer.schedule(0);
}

void AsyncClient::advance(Request& request) {
  double current_time = now();
  switch (request.retrier.state()) {
    case RequestState::ready:
      return send(request, current_time);
    case RequestState::sent:
      return;
    case RequestState::backing_off:
      request.timer.schedule(std::max(min_backoff_delay_s, request.retrier.next_attempt_at() - current_time));
      return;
    case RequestState::answered:
      return finish(request, request.last_reply);
    case RequestState::gave_up:
      return give_up(request);
  }
}

void AsyncClient::send(Request& request, double current_time) {
  double timeout = request.retrier.response_timeout(current_time);
  std::size_t controller_index = request.retrier.controller_index();
  request.retrier.on_sent(current_time);
  net::send_once(base_, controllers_[controller_index], request.method, request.path, request.body, timeout,
                 [this, id = request.id, alive = alive_](const net::Response& http_response) {
                   if (*alive) on_response(id, http_response);
                 });
}

void AsyncClient::on_response(std::uint64_t id, const net::Response& http_response) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Request& request = *it->second;
  request.last_reply = read_reply(http_response);
  bool is_undecodable =
      request.last_reply.outcome == RequestOutcome::retryable && http_response.status == 200;
  request.retrier.on_response(is_undecodable ? 0 : http_response.status, http_response.retry_after_s, now());
  request.timer.schedule(0);
}

void AsyncClient::give_up(Request& request) {
  Reply reply = request.last_reply;
  reply.outcome = RequestOutcome::retryable;
  if (reply.reason.empty()) reply.reason = describe(RequestOutcome::retryable);
  finish(request, std::move(reply));
}

void AsyncClient::finish(Request& request, Reply reply) {
  reply.attempts = request.retrier.attempts();
  ReplyHandler on_reply = std::move(request.on_reply);
  // This runs in the callback of the request's own timer, which must not destroy that timer. The request is
  // therefore kept until `cleanup_timer_` fires.
  auto it = requests_.find(request.id);
  finished_.push_back(std::move(it->second));
  requests_.erase(it);
  cleanup_timer_.schedule(0);
  on_reply(reply);
}

void AsyncClient::submit(const Json& job, ReplyHandler on_reply) {
  start(EVHTTP_REQ_POST, "/submissions", wire::encode(job), retry_policy_, std::move(on_reply));
}

void AsyncClient::poll(const std::string& ref, ReplyHandler on_reply) {
  RetryPolicy policy = retry_policy_;
  policy.response_timeout_s = std::min(policy.response_timeout_s, poll_response_timeout_s);
  start(EVHTTP_REQ_GET, "/submissions/" + ref, "", policy, std::move(on_reply));
}

void AsyncClient::withdraw(const std::string& ref, ReplyHandler on_reply) {
  start(EVHTTP_REQ_POST, "/submissions/" + ref + "/withdraw", "", retry_policy_, std::move(on_reply));
}

struct AsyncClient::PendingWait {
  std::string ref;
  double deadline;
  ReplyHandler on_progress, on_done;
  net::Timer timer;
};

void AsyncClient::wait(const std::string& ref, double timeout_s, ReplyHandler on_progress,
                       ReplyHandler on_reply) {
  std::uint64_t id = ++next_id_;
  waits_[id] = std::unique_ptr<PendingWait>(
      new PendingWait{ref, now() + timeout_s, std::move(on_progress), std::move(on_reply),
                      net::Timer(base_, [this, id] { poll_again(id); })});
  poll_again(id);
}

void AsyncClient::poll_again(std::uint64_t id) {
  poll(waits_.at(id)->ref, [this, id](const Reply& reply) { on_poll_reply(id, reply); });
}

void AsyncClient::on_poll_reply(std::uint64_t id, const Reply& reply) {
  auto it = waits_.find(id);
  PendingWait& pending_wait = *it->second;
  bool is_final =
      reply.outcome == RequestOutcome::ok ? reply.status.is_final() : !is_retryable(reply.outcome);
  double remaining_s = pending_wait.deadline - now();
  if (!is_final && remaining_s > 0) {
    if (pending_wait.on_progress && reply.outcome == RequestOutcome::ok) pending_wait.on_progress(reply);
    pending_wait.timer.schedule(std::min(poll_interval_s, std::max(min_poll_interval_s, remaining_s)));
    return;
  }
  Reply final_reply = reply;
  if (!is_final) {
    final_reply.outcome = RequestOutcome::retryable;
    final_reply.reason = "the job did not end in time";
    final_reply.timed_out = true;
  }
  ReplyHandler on_done = std::move(pending_wait.on_done);
  waits_.erase(it);
  on_done(final_reply);
}

Reply Client::run(const std::function<void(AsyncClient&, ReplyHandler)>& call) const {
  auto base = net::make_event_base();
  Reply result;
  AsyncClient async(base.get(), controllers_, retry_policy_);
  call(async, [&](const Reply& reply) {
    result = reply;
    event_base_loopbreak(base.get());
  });
  event_base_dispatch(base.get());
  return result;
}

Reply Client::submit(const Json& job) const {
  return run([&](AsyncClient& async, ReplyHandler on_reply) { async.submit(job, std::move(on_reply)); });
}
Reply Client::poll(const std::string& ref) const {
  return run([&](AsyncClient& async, ReplyHandler on_reply) { async.poll(ref, std::move(on_reply)); });
}
Reply Client::withdraw(const std::string& ref) const {
  return run([&](AsyncClient& async, ReplyHandler on_reply) { async.withdraw(ref, std::move(on_reply)); });
}
Reply Client::wait(const std::string& ref, double timeout_s, const ReplyHandler& on_progress) const {
  return run([&](AsyncClient& async, ReplyHandler on_reply) {
    async.wait(ref, timeout_s, on_progress, std::move(on_reply));
  });
}

}  // namespace oxbowmill::client
