#include "oxbowmill/client/client.h"

#include <chrono>

namespace oxbowmill::client {

using wire::Json;

namespace {
constexpr double poll_interval_s = 5, poll_timeout_s = 2, min_poll_interval_s = 0.05;

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string describe(RequestOutcome v) {
  switch (v) {
    case RequestOutcome::ok:
      return "";
    case RequestOutcome::malformed:
      return "malformed";
    case RequestOutcome::impossible:
      return "can never run";
    case RequestOutcome::unknown:
      return "no such job";
    case RequestOutcome::retry:
      return "no node took it in time";
  }
  return "";
}

Reply read_reply(const net::Response& http_response) {
  Reply reply;
  reply.outcome = outcome_of(http_response.status);
  reply.reason = describe(reply.outcome);
  auto body = wire::decode_map(http_response.body);
  if (reply.outcome == RequestOutcome::ok) {
    // A 200 that cannot be read is no answer.
    bool good = body && body->contains("ref") && (*body)["ref"].is_string() && body->contains("phase") &&
                (*body)["phase"].is_string();
    if (!good) return Reply{RequestOutcome::retry, {}, "an answer that cannot be read", 0, false};
    reply.status.ref = (*body)["ref"].get<std::string>();
    reply.status.phase = (*body)["phase"].get<std::string>();
    auto count = [&](const char* key) {
      return body->contains(key) && (*body)[key].is_number_unsigned() ? (*body)[key].get<std::uint32_t>()
                                                                      : 0U;
    };
    reply.status.done = count("done");
    reply.status.running = count("running");
  } else if (body && body->contains("error") && (*body)["error"].is_string()) {
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

AsyncClient::AsyncClient(event_base* base, std::vector<net::Address> nodes, RetryPolicy patience)
    : base_(base),
      controllers_(std::move(nodes)),
      retry_policy_(patience),
      cleanup_timer_(base, [this] { finished_.clear(); }),
      alive_(std::make_shared<bool>(true)) {}

AsyncClient::~AsyncClient() {
  *alive_ = false;
}

void AsyncClient::start(evhttp_cmd_type method, std::string path, std::string body, RetryPolicy patience,
                        ReplyHandler on_reply) {
  std::uint64_t id = ++next_id_;
  auto request = std::unique_ptr<Request>(
      new Request{id,
                  method,
                  std::move(path),
                  std::move(body),
                  std::move(on_reply),
                  RequestRetrier(controllers_.size(), patience, std::random_device{}(), now()),
                  {},
                  net::Timer(base_, [this, id] {
                    auto it = requests_.find(id);
                    if (it == requests_.end()) return;
                    it->second->retrier.tick(now());
                    advance(*it->second);
                  })});
  Request& started = *request;
  requests_[id] = std::move(request);
  // Not before the caller has its thread back.
  started.timer.schedule(0);
}

void AsyncClient::advance(Request& request) {
  double current_time = now();
  switch (request.retrier.state()) {
    case AttemptState::ready: {
      double within = request.retrier.response_timeout(current_time);
      std::size_t node = request.retrier.controller();
      request.retrier.on_sent(current_time);
      net::send_once(base_, controllers_[node], request.method, request.path, request.body, within,
                     [this, id = request.id, alive = alive_](const net::Response& http_response) {
                       if (!*alive) return;
                       auto it = requests_.find(id);
                       if (it == requests_.end()) return;
                       Request& pending_request = *it->second;
                       pending_request.last_reply = read_reply(http_response);
                       int status = pending_request.last_reply.outcome == RequestOutcome::retry &&
                                            http_response.status == 200
                                        ? 0
                                        : http_response.status;
                       pending_request.retrier.on_response(status, http_response.retry_after_s, now());
                       pending_request.timer.schedule(0);
                     });
      return;
    }
    case AttemptState::sent:
      return;
    case AttemptState::backing_off:
      request.timer.schedule(std::max(0.001, request.retrier.next_attempt_at() - current_time));
      return;
    case AttemptState::answered:
      return finish(request, request.last_reply);
    case AttemptState::gave_up: {
      Reply o = request.last_reply;
      o.outcome = RequestOutcome::retry;
      if (o.reason.empty()) o.reason = describe(RequestOutcome::retry);
      return finish(request, std::move(o));
    }
  }
}

void AsyncClient::finish(Request& request, Reply reply) {
  reply.attempts = request.retrier.attempts();
  ReplyHandler on_reply = std::move(request.on_reply);
  // Its timer is what called us: it goes when that has returned.
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
  RetryPolicy p = retry_policy_;
  p.response_timeout_s = std::min(p.response_timeout_s, poll_timeout_s);
  start(EVHTTP_REQ_GET, "/submissions/" + ref, "", p, std::move(on_reply));
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

void AsyncClient::wait(const std::string& ref, double within_s, ReplyHandler progress,
                       ReplyHandler on_reply) {
  std::uint64_t id = ++next_id_;
  waits_[id] = std::unique_ptr<PendingWait>(
      new PendingWait{ref, now() + within_s, std::move(progress), std::move(on_reply),
                      net::Timer(base_, [this, id] { poll_again(id); })});
  poll_again(id);
}

void AsyncClient::poll_again(std::uint64_t id) {
  poll(waits_.at(id)->ref, [this, id](const Reply& reply) {
    auto it = waits_.find(id);
    PendingWait& pending_wait = *it->second;
    bool over = reply.outcome == RequestOutcome::ok ? reply.status.is_final() : !is_retryable(reply.outcome);
    double left = pending_wait.deadline - now();
    if (!over && left > 0) {
      if (pending_wait.on_progress && reply.outcome == RequestOutcome::ok) pending_wait.on_progress(reply);
      pending_wait.timer.schedule(std::min(poll_interval_s, std::max(min_poll_interval_s, left)));
      return;
    }
    Reply last = reply;
    if (!over) {
      last.outcome = RequestOutcome::retry;
      last.reason = "not over in time";
      last.timed_out = true;
    }
    ReplyHandler fn = std::move(pending_wait.on_done);
    waits_.erase(it);
    fn(last);
  });
}

Reply Client::run(const std::function<void(AsyncClient&, ReplyHandler)>& call) const {
  auto base = net::make_event_base();
  Reply out;
  AsyncClient async(base.get(), controllers_, retry_policy_);
  call(async, [&](const Reply& reply) {
    out = reply;
    event_base_loopbreak(base.get());
  });
  event_base_dispatch(base.get());
  return out;
}

Reply Client::submit(const Json& job) const {
  return run([&](AsyncClient& c, ReplyHandler on_reply) { c.submit(job, std::move(on_reply)); });
}
Reply Client::poll(const std::string& ref) const {
  return run([&](AsyncClient& c, ReplyHandler on_reply) { c.poll(ref, std::move(on_reply)); });
}
Reply Client::withdraw(const std::string& ref) const {
  return run([&](AsyncClient& c, ReplyHandler on_reply) { c.withdraw(ref, std::move(on_reply)); });
}
Reply Client::wait(const std::string& ref, double within_s, const ReplyHandler& progress) const {
  return run(
      [&](AsyncClient& c, ReplyHandler on_reply) { c.wait(ref, within_s, progress, std::move(on_reply)); });
}

}  // namespace oxbowmill::client
