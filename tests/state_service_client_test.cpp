// Tests of the client of the state service against a server that accepts connections and never responds.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "oxbowmill/state/store.h"

namespace oxbowmill {
namespace {

/// Accepts connections and never responds.
class SilentServer {
 public:
  SilentServer() : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    EXPECT_EQ(::listen(fd_, 16), 0);
    socklen_t n = sizeof address;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &n);
    port = ntohs(address.sin_port);
  }
  ~SilentServer() { ::close(fd_); }
  SilentServer(const SilentServer&) = delete;
  SilentServer& operator=(const SilentServer&) = delete;
  std::uint16_t port = 0;

 private:
  int fd_;
};

TEST(StateServiceClient, RequestsDoNotQueueBehindTimeoutsOfASilentService) {
  // Guards against a queue in which each request waits for the timeouts of those before it, until its user
  // gives up.
  SilentServer mute;
  auto base = net::make_event_base();
  double now = 100;
  Settings settings;
  state::Store store(base.get(), {"127.0.0.1", mute.port}, settings, [&now] { return now; });
  int given_up = 0, placements = 0;
  constexpr int calls = 60;  // more calls than connections
  for (int i = 0; i < calls; ++i) {
    store.get("o/j/run-" + std::to_string(i), Urgency::user, [&given_up](const state::StoreResponse& a) {
      EXPECT_EQ(a.status, 0);
      ++given_up;
    });
  }
  store.commit({{"guards", wire::Json::array()}, {"apply", wire::Json::array()}}, Urgency::placement,
               [&placements](const state::StoreResponse&) { ++placements; });
  EXPECT_EQ(given_up, 0);
  EXPECT_EQ(store.unresponsive_for(), 0);
  std::size_t out = calls + 1 - store.backlog();  // calls in flight, which end by their own timeout
  ASSERT_LT(out, static_cast<std::size_t>(calls));
  now += 1;
  EXPECT_GE(store.unresponsive_for(), 0.9);
  store.get("o/j/run-60", Urgency::user, [](const state::StoreResponse&) {});
  EXPECT_EQ(given_up, calls - static_cast<int>(out));
  EXPECT_EQ(placements, 0);  // only users' requests are dropped from the queue
}

TEST(StateServiceClient, ReadsDoNotWaitBehindSubmissionWrites) {
  SilentServer mute;
  auto base = net::make_event_base();
  double now = 100;
  Settings settings;
  state::Store store(base.get(), {"127.0.0.1", mute.port}, settings, [&now] { return now; });
  const wire::Json submission = {{"guards", wire::Json::array()},
                                 {"apply", {{{"put", "o/j/run-1"}, {"value", 1}}}}};
  for (int i = 0; i < 25; ++i) store.commit(submission, Urgency::user, [](const state::StoreResponse&) {});
  std::size_t waiting = store.backlog();
  ASSERT_GT(waiting, 5U) << "the write limit holds changes back";
  store.get("f/run-2", Urgency::user, [](const state::StoreResponse&) {});
  EXPECT_EQ(store.backlog(), waiting) << "the read was sent at once";
  // A read must not overtake a more urgent write.
  store.commit(submission, Urgency::ownership, [](const state::StoreResponse&) {});
  store.get("f/run-3", Urgency::user, [](const state::StoreResponse&) {});
  EXPECT_EQ(store.backlog(), waiting + 2)
      << "the ownership write waits for the write limit, and less urgent requests wait behind it";
}

}  // namespace
}  // namespace oxbowmill
