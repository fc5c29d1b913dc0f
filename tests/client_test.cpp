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

TEST(RequestRetrier, RetriesAndBacksOffAsTheProtocolRequires) {
  struct Step {
    int status;
    double retry_after_s, duration_s;
    RequestState next_state;
    double min_backoff_s, max_backoff_s;
  };
  struct Case {
    const char* description;
    std::size_t controllers;
    std::vector<Step> steps;
  };
  using State = RequestState;
  const Case cases[] = {
      {"201 is final", 3, {{201, 0, 0.1, State::answered, 0, 0}}},
      {"400 and 422 are final", 1, {{422, 0, 0.1, State::answered, 0, 0}}},
      {"404 is final", 1, {{404, 0, 0.1, State::answered, 0, 0}}},
      {"first backoff after a refusal is one second", 1, {{503, 0, 0.1, State::backing_off, 1, 1}}},
      {"maximum backoff doubles with each refusal",
       1,
       {{503, 0, 0, State::backing_off, 1, 1},
        {429, 0, 0, State::backing_off, 1, 2},
        {504, 0, 0, State::backing_off, 1, 4}}},
      {"Retry-After lengthens the backoff", 1, {{503, 7, 0.1, State::backing_off, 7, 7}}},
      {"Retry-After counts up to 30 s", 1, {{503, 500, 0.1, State::backing_off, 30, 30}}},
      {"without a response every other controller is tried once without backoff",
       3,
       {{0, 0, 1, State::ready, 0, 0}, {0, 0, 1, State::ready, 0, 0}, {0, 0, 1, State::backing_off, 1, 1}}},
      {"any other status is retried",
       1,
       {{500, 0, 0, State::backing_off, 1, 1}, {302, 0, 0, State::backing_off, 1, 2}}},
      {"no attempt after the total timeout of 60 s",
       1,
       {{503, 29, 5, State::backing_off, 29, 29}, {503, 29, 1, State::gave_up, 0, 0}}},
  };
  for (const Case& test_case : cases) {
    double now = 100;
    RequestRetrier retrier(test_case.controllers, {}, 7, now);
    std::set<std::size_t> controllers_used;
    for (const Step& step : test_case.steps) {
      ASSERT_EQ(retrier.state(), State::ready) << test_case.description;
      controllers_used.insert(retrier.controller_index());
      retrier.on_sent(now);
      now += step.duration_s;
      retrier.on_response(step.status, step.retry_after_s, now);
      EXPECT_EQ(retrier.state(), step.next_state)
          << test_case.description << ": " << name_of(retrier.state());
      if (step.next_state != State::backing_off) continue;
      EXPECT_GE(retrier.next_attempt_at() - now, step.min_backoff_s - 1e-9) << test_case.description;
      EXPECT_LE(retrier.next_attempt_at() - now, step.max_backoff_s + 1e-9) << test_case.description;
      now = retrier.next_attempt_at();
      retrier.tick(now);
    }
    EXPECT_EQ(controllers_used.size(), std::min(test_case.controllers, test_case.steps.size()))
        << test_case.description;
  }
}

TEST(RequestRetrier, FinalStateNeverChanges) {
  RequestRetrier answered(1, {}, 1, 0);
  answered.on_sent(0);
  answered.on_response(200, 0, 1);
  answered.on_response(503, 0, 2);
  answered.tick(1000);
  EXPECT_EQ(answered.state(), RequestState::answered);
  RequestRetrier timed_out(1, {}, 1, 0);
  timed_out.on_sent(0);
  timed_out.tick(61);
  EXPECT_EQ(timed_out.state(), RequestState::gave_up);
  timed_out.on_response(200, 0, 62);  // the caller already has the outcome "gave up"
  EXPECT_EQ(timed_out.state(), RequestState::gave_up);
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
  FakeController unresponsive([&](Request&& request) { pending_responder = request.responder; });
  FakeController garbled([](Request&& request) { request.responder->reply(200, "not cbor"); });
  FakeController working([](Request&& request) {
    auto body = wire::decode_map(request.body);
    request.responder->reply(body && (*body)["ref"] == "run-1" ? 201 : 400, status_body("run-1", "queued"));
  });
  net::Address closed_port{"127.0.0.1", 1};
  RetryPolicy retry_policy;
  retry_policy.response_timeout_s = 0.3;
  retry_policy.initial_backoff_s = 0.05;
  retry_policy.max_backoff_s = 0.2;
  retry_policy.total_timeout_s = 30;
  Client client({unresponsive.address(), garbled.address(), closed_port, working.address()}, retry_policy);
  for (int i = 0; i < 4; ++i) {  // the client chooses its first controller at random
    Reply reply = client.submit({{"ref", "run-1"}});
    EXPECT_EQ(reply.outcome, RequestOutcome::ok) << reply.reason;
    EXPECT_EQ(reply.status.phase, "queued");
    EXPECT_EQ(reply.status.running_tasks, 2U);
    EXPECT_LE(reply.attempts, 5);
  }
}

TEST(Client, RetriesOnlyRetryableResponses) {
  std::atomic<int> status{0};
  FakeController controller([&](Request&& request) {
    request.responder->reply(status, wire::encode({{"error", "why"}}), 0);
  });
  RetryPolicy retry_policy;
  retry_policy.initial_backoff_s = 0.02;
  retry_policy.max_backoff_s = 0.02;
  retry_policy.total_timeout_s = 2;
  Client client({controller.address()}, retry_policy);
  struct Case {
    int status;
    RequestOutcome outcome;
    bool is_retryable;
  };
  for (const Case& test_case :
       {Case{400, RequestOutcome::malformed, false}, Case{422, RequestOutcome::impossible, false},
        Case{404, RequestOutcome::not_found, false}, Case{503, RequestOutcome::retryable, true}}) {
    status = test_case.status;
    int requests_before = controller.request_count;
    Reply reply = client.poll("run-1");
    EXPECT_EQ(reply.outcome, test_case.outcome) << test_case.status;
    EXPECT_EQ(is_retryable(reply.outcome), test_case.is_retryable) << test_case.status;
    EXPECT_NE(reply.reason.find("why"), std::string::npos) << reply.reason;
    EXPECT_EQ(controller.request_count - requests_before > 1, test_case.is_retryable) << test_case.status;
    EXPECT_EQ(reply.attempts, controller.request_count - requests_before);
  }
}

TEST(Client, WaitsForTheFinalPhaseConcurrently) {
  std::atomic<int> polls{0};
  FakeController controller([&](Request&& request) {
    std::string ref = request.path.substr(request.path.rfind('/') + 1);
    ++polls;
    request.responder->reply(200, status_body(ref, "done"));
  });
  Client client({controller.address()});
  std::vector<std::thread> threads;
  std::atomic<int> correct_replies{0};
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&, i] {
      std::string ref = "run-" + std::to_string(i);
      Reply reply = client.wait(ref, 20);
      correct_replies +=
          reply.outcome == RequestOutcome::ok && reply.status.ref == ref && reply.status.is_final() ? 1 : 0;
    });
  }
  for (std::thread& thread : threads) thread.join();
  EXPECT_EQ(correct_replies, 8);
  EXPECT_EQ(polls, 8);
}

TEST(Client, WaitThatTimesOutIsRetryable) {
  FakeController controller(
      [](Request&& request) { request.responder->reply(200, status_body("run-1", "running")); });
  Client client({controller.address()});
  int progress_calls = 0;
  Reply reply = client.wait("run-1", 0.2, [&](const Reply& progress) {
    ++progress_calls;
    EXPECT_FALSE(progress.status.is_final());
  });
  EXPECT_EQ(reply.outcome, RequestOutcome::retryable);
  EXPECT_EQ(reply.reason, "the job did not end in time");
  EXPECT_GE(progress_calls, 1);
}

}  // namespace
}  // namespace oxbowmill::client
