// The client library: when it asks again, and against nodes that refuse, stall, lie and go.
#include "oxbowmill/client/client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <set>
#include <thread>

namespace oxbowmill::client {
namespace {

using net::Request;
using wire::Json;

TEST(ClientAttempts, AskAgainAsTheProtocolSays) {
  struct Step {
    int status;
    double retry_after_s, takes_s;
    AttemptState then;
    double least_pause_s, most_pause_s;
  };
  struct Case {
    const char* what;
    std::size_t nodes;
    std::vector<Step> steps;
  };
  using S = AttemptState;
  const Case cases[] = {
      {"a final answer ends it", 3, {{201, 0, 0.1, S::answered, 0, 0}}},
      {"400 and 422 are final", 1, {{422, 0, 0.1, S::answered, 0, 0}}},
      {"404 is final", 1, {{404, 0, 0.1, S::answered, 0, 0}}},
      {"a refusal pauses a second at least", 1, {{503, 0, 0.1, S::backing_off, 1, 1}}},
      {"pauses double, with jitter",
       1,
       {{503, 0, 0, S::backing_off, 1, 1},
        {429, 0, 0, S::backing_off, 1, 2},
        {504, 0, 0, S::backing_off, 1, 4}}},
      {"the node's own time counts", 1, {{503, 7, 0.1, S::backing_off, 7, 7}}},
      {"but not more than half a minute", 1, {{503, 500, 0.1, S::backing_off, 30, 30}}},
      {"a silent node: the next at once, each once",
       3,
       {{0, 0, 1, S::ready, 0, 0}, {0, 0, 1, S::ready, 0, 0}, {0, 0, 1, S::backing_off, 1, 1}}},
      {"any other status is asked again",
       1,
       {{500, 0, 0, S::backing_off, 1, 1}, {302, 0, 0, S::backing_off, 1, 2}}},
      {"a minute in all", 1, {{503, 29, 5, S::backing_off, 29, 29}, {503, 29, 1, S::gave_up, 0, 0}}},
  };
  for (const Case& c : cases) {
    double now = 100;
    Attempts a(c.nodes, {}, 7, now);
    std::set<std::size_t> asked;
    for (const Step& s : c.steps) {
      ASSERT_EQ(a.state(), S::ready) << c.what;
      asked.insert(a.node());
      a.on_sent(now);
      now += s.takes_s;
      a.on_answer(s.status, s.retry_after_s, now);
      EXPECT_EQ(a.state(), s.then) << c.what << ": " << name_of(a.state());
      if (s.then != S::backing_off) continue;
      EXPECT_GE(a.next_at() - now, s.least_pause_s - 1e-9) << c.what;
      EXPECT_LE(a.next_at() - now, s.most_pause_s + 1e-9) << c.what;
      now = a.next_at();
      a.tick(now);
    }
    EXPECT_EQ(asked.size(), std::min(c.nodes, c.steps.size())) << c.what;
  }
}

TEST(ClientAttempts, NothingComesAfterTheEnd) {
  Attempts a(1, {}, 1, 0);
  a.on_sent(0);
  a.on_answer(200, 0, 1);
  a.on_answer(503, 0, 2);
  a.tick(1000);
  EXPECT_EQ(a.state(), AttemptState::answered);
  Attempts late(1, {}, 1, 0);
  late.on_sent(0);
  late.tick(61);
  EXPECT_EQ(late.state(), AttemptState::gave_up);
  late.on_answer(200, 0, 62);  // its caller has been told
  EXPECT_EQ(late.state(), AttemptState::gave_up);
}

/// A node that answers as it is told, on its own thread.
class FakeNode {
 public:
  using Answer = std::function<void(Request&&)>;
  explicit FakeNode(const Answer& fn)
      : base_(net::make_base()),
        server_(base_.get(), {"127.0.0.1", 0}, 65536,
                [this, fn](Request&& r) {
                  ++asked;
                  fn(std::move(r));
                }),
        stop_(base_.get(), [this] {
          if (stopping_) event_base_loopbreak(base_.get());
          stop_.after(0.01);
        }) {
    stop_.after(0.01);
    thread_ = std::thread([this] { event_base_dispatch(base_.get()); });
  }
  ~FakeNode() {
    stopping_ = true;
    thread_.join();
  }
  net::Address address() const { return server_.address(); }
  std::atomic<int> asked{0};

 private:
  net::EventBasePtr base_;
  net::HttpServer server_;
  net::Timer stop_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

std::string said(const std::string& ref, const std::string& phase) {
  return wire::encode({{"ref", ref}, {"phase", phase}, {"done", 1}, {"running", 2}});
}

TEST(Client, GoesOnToANodeThatAnswers) {
  net::ResponderPtr held;
  FakeNode stalls([&](Request&& r) { held = r.responder; });
  FakeNode garbles([](Request&& r) { r.responder->reply(200, "not cbor"); });
  FakeNode serves([](Request&& r) {
    auto body = wire::decode_map(r.body);
    r.responder->reply(body && (*body)["ref"] == "run-1" ? 201 : 400, said("run-1", "queued"));
  });
  net::Address closed{"127.0.0.1", 1};
  Patience p;
  p.answer_s = 0.3;
  p.first_pause_s = 0.05;
  p.most_pause_s = 0.2;
  p.total_s = 30;
  Client c({stalls.address(), garbles.address(), closed, serves.address()}, p);
  for (int i = 0; i < 4; ++i) {  // whichever node it begins with
    Reply r = c.submit({{"ref", "run-1"}});
    EXPECT_EQ(r.verdict, Verdict::ok) << r.reason;
    EXPECT_EQ(r.status.phase, "queued");
    EXPECT_EQ(r.status.running, 2U);
    EXPECT_LE(r.tries, 5);
  }
}

TEST(Client, SaysWhetherToTryAgain) {
  std::atomic<int> status{0};
  FakeNode node([&](Request&& r) { r.responder->reply(status, wire::encode({{"error", "why"}}), 0); });
  Patience p;
  p.first_pause_s = 0.02;
  p.most_pause_s = 0.02;
  p.total_s = 2;
  Client c({node.address()}, p);
  struct Case {
    int status;
    Verdict verdict;
    bool again;
  };
  for (const Case& x : {Case{400, Verdict::malformed, false}, Case{422, Verdict::impossible, false},
                        Case{404, Verdict::unknown, false}, Case{503, Verdict::again, true}}) {
    status = x.status;
    int before = node.asked;
    Reply r = c.poll("run-1");
    EXPECT_EQ(r.verdict, x.verdict) << x.status;
    EXPECT_EQ(may_try_again(r.verdict), x.again) << x.status;
    EXPECT_NE(r.reason.find("why"), std::string::npos) << r.reason;
    EXPECT_EQ(node.asked - before > 1, x.again) << x.status;
    EXPECT_EQ(r.tries, node.asked - before);
  }
}

TEST(Client, WaitsForTheFinalPhaseFromManyThreads) {
  std::atomic<int> polls{0};
  FakeNode node([&](Request&& r) {
    std::string ref = r.path.substr(r.path.rfind('/') + 1);
    ++polls;
    r.responder->reply(200, said(ref, "done"));
  });
  Client c({node.address()});
  std::vector<std::thread> crew;
  std::atomic<int> right{0};
  for (int i = 0; i < 8; ++i) {
    crew.emplace_back([&, i] {
      std::string ref = "run-" + std::to_string(i);
      Reply r = c.wait(ref, 20);
      right += r.verdict == Verdict::ok && r.status.ref == ref && r.status.final_phase() ? 1 : 0;
    });
  }
  for (std::thread& t : crew) t.join();
  EXPECT_EQ(right, 8);
  EXPECT_EQ(polls, 8);
}

TEST(Client, AWaitThatRunsOutIsNoFinalAnswer) {
  FakeNode node([](Request&& r) { r.responder->reply(200, said("run-1", "running")); });
  Client c({node.address()});
  int progress = 0;
  Reply r = c.wait("run-1", 0.2, [&](const Reply& p) {
    ++progress;
    EXPECT_FALSE(p.status.final_phase());
  });
  EXPECT_EQ(r.verdict, Verdict::again);
  EXPECT_EQ(r.reason, "not over in time");
  EXPECT_GE(progress, 1);
}

}  // namespace
}  // namespace oxbowmill::client
