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
    socklen_t address_size = sizeof address;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &address_size);
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
  SilentServer silent_server;
  auto base = net::make_event_base();
  double now = 100;
  Settings settings;
  state::Store store(base.get(), {"127.0.0.1", silent_server.port}, settings, [&now] { return now; });
  int dropped = 0, placement_responses = 0;
  constexpr int call_count = 60;  // more calls than connections
  for (int i = 0; i < call_count; ++i) {
    store.get("o/j/run-" + std::to_string(i), Urgency::user,
              [&dropped](const state::StoreResponse& response) {
                EXPECT_EQ(response.status, 0);
                ++dropped;
              });
  }
  store.commit({{"guards", wire::Json::array()}, {"apply", wire::Json::array()}}, Urgency::placement,
               [&placement_responses](const state::StoreResponse&) { ++placement_responses; });
  EXPECT_EQ(dropped, 0);
  EXPECT_EQ(store.unresponsive_for(), 0);
  std::size_t in_flight = call_count + 1 - store.backlog();  // these end by their own timeout
  ASSERT_LT(in_flight, static_cast<std::size_t>(call_count));
  now += 1;
  EXPECT_GE(store.unresponsive_for(), 0.9);
  store.get("o/j/run-60", Urgency::user, [](const state::StoreResponse&) {});
  EXPECT_EQ(dropped, call_count - static_cast<int>(in_flight));
  EXPECT_EQ(placement_responses, 0);  // only users' requests are dropped from the queue
}

TEST(StateServiceClient, ReadsDoNotWaitBehindSubmissionWrites) {
  SilentServer silent_server;
  auto base = net::make_event_base();
  double now = 100;
  Settings settings;
  state::Store store(base.get(), {"127.0.0.1", silent_server.port}, settings, [&now] { return now; });
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
