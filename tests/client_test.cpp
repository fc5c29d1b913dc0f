// The client library: its retries, and its behavior when controllers refuse requests, do not respond, send
// invalid responses or cannot be reached.
#include "oxbowmill/client/client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <set>
#include <thread>

namespace oxbowmill::client {
namespace {

using net::Request;
using wire::Json;

TEST(ClientAttempts, RetriesFollowTheProtocol) {
  struct Step {
    int status;
    double retry_after_s, duration_s;
    AttemptState next_state;
    double min_pause_s, max_pause_s;
  };
  struct Case {
    const char* description;
    std::size_t controllers;
    std::vector<Step> steps;
  };
  using State = AttemptState;
  const Case cases[] = {
      {"a final answer ends it", 3, {{201, 0, 0.1, State::answered, 0, 0}}},
      {"400 and 422 are final", 1, {{422, 0, 0.1, State::answered, 0, 0}}},
      {"404 is final", 1, {{404, 0, 0.1, State::answered, 0, 0}}},
      {"a refusal pauses a second at least", 1, {{503, 0, 0.1, State::backing_off, 1, 1}}},
      {"pauses double, with jitter",
       1,
       {{503, 0, 0, State::backing_off, 1, 1},
        {429, 0, 0, State::backing_off, 1, 2},
        {504, 0, 0, State::backing_off, 1, 4}}},
      {"the node's own time counts", 1, {{503, 7, 0.1, State::backing_off, 7, 7}}},
      {"but not more than half a minute", 1, {{503, 500, 0.1, State::backing_off, 30, 30}}},
      {"a silent node: the next at once, each once",
       3,
       {{0, 0, 1, State::ready, 0, 0}, {0, 0, 1, State::ready, 0, 0}, {0, 0, 1, State::backing_off, 1, 1}}},
      {"any other status is asked again",
       1,
       {{500, 0, 0, State::backing_off, 1, 1}, {302, 0, 0, State::backing_off, 1, 2}}},
      {"a minute in all", 1, {{503, 29, 5, State::backing_off, 29, 29}, {503, 29, 1, State::gave_up, 0, 0}}},
  };
  for (const Case& test_case : cases) {
    double now = 100;
    RequestRetrier attempts(test_case.controllers, {}, 7, now);
    std::set<std::size_t> asked;
    for (const Step& step : test_case.steps) {
      ASSERT_EQ(attempts.state(), State::ready) << test_case.description;
      asked.insert(attempts.controller());
      attempts.on_sent(now);
      now += step.duration_s;
      attempts.on_response(step.status, step.retry_after_s, now);
      EXPECT_EQ(attempts.state(), step.next_state)
          << test_case.description << ": " << name_of(attempts.state());
      if (step.next_state != State::backing_off) continue;
      EXPECT_GE(attempts.next_attempt_at() - now, step.min_pause_s - 1e-9) << test_case.description;
      EXPECT_LE(attempts.next_attempt_at() - now, step.max_pause_s + 1e-9) << test_case.description;
      now = attempts.next_attempt_at();
      attempts.tick(now);
    }
    EXPECT_EQ(asked.size(), std::min(test_case.controllers, test_case.steps.size())) << test_case.description;
  }
}

TEST(ClientAttempts, FinalStateIsTerminal) {
  RequestRetrier attempts(1, {}, 1, 0);
  attempts.on_sent(0);
  attempts.on_response(200, 0, 1);
  attempts.on_response(503, 0, 2);
  attempts.tick(1000);
  EXPECT_EQ(attempts.state(), AttemptState::answered);
  RequestRetrier late(1, {}, 1, 0);
  late.on_sent(0);
  late.tick(61);
  EXPECT_EQ(late.state(), AttemptState::gave_up);
  late.on_response(200, 0, 62);  // the caller already has the outcome "gave up"
  EXPECT_EQ(late.state(), AttemptState::gave_up);
}

/// A controller whose responses the test's handler sends, on its own thread.
class FakeController {
 public:
  using Handler = std::function<void(Request&&)>;
  explicit FakeController(const Handler& handler)
      : base_(net::make_event_base()),
        server_(base_.get(), {"127.0.0.1", 0}, 65536,
                [this, handler](Request&& request) {
                  ++request_count;
                  handler(std::move(request));
                }),
        stop_timer_(base_.get(), [this] {
          if (stopping_) event_base_loopbreak(base_.get());
          stop_timer_.schedule(0.01);
        }) {
    stop_timer_.schedule(0.01);
    thread_ = std::thread([this] { event_base_dispatch(base_.get()); });
  }
  ~FakeController() {
    stopping_ = true;
    thread_.join();
  }
  net::Address address() const { return server_.address(); }
  std::atomic<int> request_count{0};

 private:
  net::EventBasePtr base_;
  net::HttpServer server_;
  net::Timer stop_timer_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

std::string status_body(const std::string& ref, const std::string& phase) {
  return wire::encode({{"ref", ref}, {"phase", phase}, {"done", 1}, {"running", 2}});
}

TEST(Client, FailsOverToARespondingController) {
  net::ResponderPtr pending_responder;
  FakeController stalls([&](Request&& request) { pending_responder = request.responder; });
  FakeController garbles([](Request&& request) { request.responder->reply(200, "not cbor"); });
  FakeController serves([](Request&& request) {
    auto body = wire::decode_map(request.body);
    request.responder->reply(body && (*body)["ref"] == "run-1" ? 201 : 400, status_body("run-1", "queued"));
  });
  net::Address closed{"127.0.0.1", 1};
  RetryPolicy retry_policy;
  retry_policy.response_timeout_s = 0.3;
  retry_policy.initial_backoff_s = 0.05;
  retry_policy.max_backoff_s = 0.2;
  retry_policy.total_timeout_s = 30;
  Client c({stalls.address(), garbles.address(), closed, serves.address()}, retry_policy);
  for (int i = 0; i < 4; ++i) {  // the client chooses its first controller at random
    Reply reply = c.submit({{"ref", "run-1"}});
    EXPECT_EQ(reply.outcome, RequestOutcome::ok) << reply.reason;
    EXPECT_EQ(reply.status.phase, "queued");
    EXPECT_EQ(reply.status.running, 2U);
    EXPECT_LE(reply.attempts, 5);
  }
}

TEST(Client, ReportsWhetherARequestIsRetryable) {
  std::atomic<int> status{0};
  FakeController node([&](Request&& request) {
    request.responder->reply(status, wire::encode({{"error", "why"}}), 0);
  });
  RetryPolicy retry_policy;
  retry_policy.initial_backoff_s = 0.02;
  retry_policy.max_backoff_s = 0.02;
  retry_policy.total_timeout_s = 2;
  Client client({node.address()}, retry_policy);
  struct Case {
    int status;
    RequestOutcome verdict;
    bool retryable;
  };
  for (const Case& test_case :
       {Case{400, RequestOutcome::malformed, false}, Case{422, RequestOutcome::impossible, false},
        Case{404, RequestOutcome::unknown, false}, Case{503, RequestOutcome::retry, true}}) {
    status = test_case.status;
    int before = node.request_count;
    Reply reply = client.poll("run-1");
    EXPECT_EQ(reply.outcome, test_case.verdict) << test_case.status;
    EXPECT_EQ(is_retryable(reply.outcome), test_case.retryable) << test_case.status;
    EXPECT_NE(reply.reason.find("why"), std::string::npos) << reply.reason;
    EXPECT_EQ(node.request_count - before > 1, test_case.retryable) << test_case.status;
    EXPECT_EQ(reply.attempts, node.request_count - before);
  }
}

TEST(Client, WaitsForTheFinalPhaseConcurrently) {
  std::atomic<int> polls{0};
  FakeController node([&](Request&& request) {
    std::string ref = request.path.substr(request.path.rfind('/') + 1);
    ++polls;
    request.responder->reply(200, status_body(ref, "done"));
  });
  Client client({node.address()});
  std::vector<std::thread> worker_threads;
  std::atomic<int> right{0};
  for (int i = 0; i < 8; ++i) {
    worker_threads.emplace_back([&, i] {
      std::string ref = "run-" + std::to_string(i);
      Reply r = client.wait(ref, 20);
      right += r.outcome == RequestOutcome::ok && r.status.ref == ref && r.status.is_final() ? 1 : 0;
    });
  }
  for (std::thread& t : worker_threads) t.join();
  EXPECT_EQ(right, 8);
  EXPECT_EQ(polls, 8);
}

TEST(Client, WaitTimeoutIsNotFinal) {
  FakeController node(
      [](Request&& request) { request.responder->reply(200, status_body("run-1", "running")); });
  Client c({node.address()});
  int progress = 0;
  Reply reply = c.wait("run-1", 0.2, [&](const Reply& p) {
    ++progress;
    EXPECT_FALSE(p.status.is_final());
  });
  EXPECT_EQ(reply.outcome, RequestOutcome::retry);
  EXPECT_EQ(reply.reason, "not over in time");
  EXPECT_GE(progress, 1);
}

}  // namespace
}  // namespace oxbowmill::client
