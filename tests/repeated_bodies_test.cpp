// A user who repeats a malformed body at a controller with little processor time: other users are answered as
// before, and refusing takes no more time than the target of docs/CAPACITY.md.
#include <atomic>

#include "controller_process.h"
#include "nested_bodies.h"

namespace oxbowmill {
namespace {

constexpr std::size_t body_size = 60'000;     // in bytes
constexpr double max_refusal_s = 0.002;       // processor time, the target for each kind of body
constexpr double max_answer_s = 0.8;          // the users' aim for submissions
constexpr double cpu_share = 0.184;           // of a core, as the controllers of the incident had
constexpr double throttling_period_s = 0.05;  // of which the process runs for the share

/// Processor time that the process has used, in seconds.
double cpu_time_of(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string stat((std::istreambuf_iterator<char>(file)), {});
  // User and system time are the 14th and 15th fields; the second one is the name, in parentheses.
  std::istringstream fields(stat.substr(stat.rfind(')') + 2));
  std::string skipped;
  for (int i = 3; i < 14; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Lets a process run for a share of the time while it exists.
class Throttle {
 public:
  Throttle(pid_t pid, double share)
      : thread_([this, pid, share] {
          while (!is_ended_) {
            usleep(static_cast<useconds_t>(1e6 * throttling_period_s * share));
            kill(pid, SIGSTOP);
            usleep(static_cast<useconds_t>(1e6 * throttling_period_s * (1 - share)));
            kill(pid, SIGCONT);
          }
        }) {}
  Throttle(const Throttle&) = delete;
  Throttle& operator=(const Throttle&) = delete;
  ~Throttle() {
    is_ended_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> is_ended_{false};
  std::thread thread_;
};

/// Sends a body that is refused again and again, and measures the controller's processor time.
class RefusedBodies : public ControllerProcess {
 protected:
  /// Processor time of one refusal, in seconds.
  double refusal_time(const net::Address& address, const std::string& path, const std::string& body) {
    constexpr std::size_t bodies = 100, batch_size = 20;
    double before = cpu_time_of(pid_);
    for (std::size_t sent = 0; sent < bodies && is_running(); sent += batch_size) {
      std::size_t refused = 0;
      for (std::size_t i = 0; i < batch_size; ++i) {
        net::send_once(base_.get(), address, EVHTTP_REQ_POST, path, body, 20,
                       [&refused](const Response& response) { refused += response.status == 400 ? 1 : 0; });
      }
      run_until([&] { return refused == batch_size || !is_running(); }, [] {});
    }
    return (cpu_time_of(pid_) - before) / bodies;
  }
};

TEST_F(RefusedBodies, NestedItemTakesLittleProcessorTime) {
  start_program();
  run_until_ready();
  for (const NestingKind& kind : nesting_kinds()) {
    std::string body = nested_item(kind, body_size, false);
    EXPECT_LT(refusal_time(controller_address_, "/submissions", body), max_refusal_s) << kind.name;
    ASSERT_TRUE(is_running()) << kind.name;
  }
}

TEST_F(RefusedBodies, PeerUpdateOfNestedCountsTakesLittleProcessorTime) {
  start_program();
  run_until_ready();
  // MessagePack: lists and maps of a million items, each of which begins with the next.
  for (const char* begin : {"\xdd\x00\x10\x00\x00", "\xdf\x00\x10\x00\x00"}) {
    std::string body;
    while (body.size() < body_size) body.append(begin, 5);
    EXPECT_LT(refusal_time(peer_address_, "/peer", body), max_refusal_s);
    ASSERT_TRUE(is_running());
  }
}

TEST_F(ControllerProcess, RepeatedMalformedBodiesDelayNoOtherUser) {
  // Guards against a body whose refusal takes so long that nothing else is served, each time it is sent
  // again.
  start_program();
  run_until_ready();
  const NestingKind& kind = nesting_kinds().front();
  const std::string malformed_body = nested_item(kind, body_size, false);
  constexpr int rounds = 30;
  constexpr double round_s = 0.2;
  int answered = 0;
  double slowest_up_s = 0, slowest_submission_s = 0;
  auto send = [&](evhttp_cmd_type method, const char* path, const std::string& body, int status,
                  double& slowest_s) {
    net::send_once(base_.get(), controller_address_, method, path, body, 5,
                   [&, status, sent_at = now(), request = std::string(path)](const Response& response) {
                     ++answered;
                     EXPECT_EQ(response.status, status) << request;
                     slowest_s = std::max(slowest_s, now() - sent_at);
                   });
  };
  Throttle throttle(pid_, cpu_share);
  double started_at = now(), slowest_refusal_s = 0;
  for (int round = 0; round < rounds; ++round) {
    send(EVHTTP_REQ_POST, "/submissions", malformed_body, 400, slowest_refusal_s);
    send(EVHTTP_REQ_GET, "/up", "", 200, slowest_up_s);
    send(EVHTTP_REQ_POST, "/submissions", wire::encode(make_submission("run-" + std::to_string(round))), 201,
         slowest_submission_s);
    run_until([&] { return now() - started_at >= (round + 1) * round_s || !is_running(); }, [] {});
  }
  run_until([&] { return answered == 3 * rounds || !is_running(); }, [] {});
  ASSERT_TRUE(is_running());
  EXPECT_LT(slowest_up_s, max_answer_s);
  EXPECT_LT(slowest_submission_s, max_answer_s);
}

}  // namespace
}  // namespace oxbowmill
