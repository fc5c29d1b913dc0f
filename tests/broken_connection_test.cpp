// Writes whose other end is gone: connections of servers and clients, the log, and the output of the command
// line.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "controller_process.h"
#include "oxbowmill/net/broken_pipe.h"

namespace oxbowmill {
namespace {

/// A TCP connection of a peer that sends a request and does not wait for the answer.
class AbandonedConnection {
 public:
  explicit AbandonedConnection(const net::Address& destination) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(destination.port);
    inet_pton(AF_INET, destination.host.c_str(), &address.sin_addr);
    EXPECT_EQ(connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  }
  AbandonedConnection(const AbandonedConnection&) = delete;
  AbandonedConnection& operator=(const AbandonedConnection&) = delete;
  ~AbandonedConnection() { close(socket_); }

  void send(const std::string& text) const {
    EXPECT_EQ(::send(socket_, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
  }
  /// Closes the connection and resets it, as a host does that no longer knows it.
  void close_and_reset() const {
    shutdown(socket_, SHUT_WR);
    linger reset{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }

 private:
  int socket_;
};

class BrokenConnection : public ControllerProcess {
 protected:
  /// Sends requests while the program is stopped, so that it answers on connections that are gone.
  void send_abandoned_requests(const net::Address& destination, const std::string& request) {
    constexpr int request_count = 3;
    kill(pid_, SIGSTOP);
    for (int i = 0; i < request_count; ++i) {
      AbandonedConnection connection(destination);
      connection.send(request);
      connection.close_and_reset();
    }
    kill(pid_, SIGCONT);
  }
  /// Sends a body that is refused with a log line of its own.
  void cause_log_line(int number) {
    Json job = make_submission("run-000001");
    job["shape"] = "none-" + std::to_string(number);
    job["owner"] = "team-" + std::to_string(number);
    status_of(controller_address_, EVHTTP_REQ_POST, "/submissions", wire::encode(job));
  }
};

// Guards against an end by SIGPIPE, in a controller that answers a user or worker that is gone.
TEST_F(BrokenConnection, AnswerOnAResetConnectionLeavesTheControllerRunning) {
  start_program();
  run_until_ready();
  send_abandoned_requests(controller_address_, "GET /submissions/run-000001 HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(is_ready());
  EXPECT_TRUE(is_running());
  run_until([this] { return has_logged("answers not delivered bind=") || !is_running(); }, [] {});
}

// Guards against the same on the port for other controllers.
TEST_F(BrokenConnection, AnswerToAnotherControllerThatIsGoneLeavesTheControllerRunning) {
  start_program();
  run_until_ready();
  send_abandoned_requests(peer_address_, "POST /peer HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(is_ready());
  EXPECT_TRUE(is_running());
}

// Guards against an end by SIGPIPE at the first log line after the reader of the log has ended.
TEST_F(BrokenConnection, LogWithoutAReaderLeavesTheControllerRunning) {
  start_program();
  run_until_ready();
  log_reading_ = LogReading::ended;
  for (int i = 0; i < 3 && is_running(); ++i) cause_log_line(i);
  EXPECT_TRUE(is_running());
  EXPECT_TRUE(is_ready());
}

// Guards against a controller that waits for a reader of its log who has stopped reading.
TEST_F(BrokenConnection, LogWithABlockedReaderDelaysNoRequest) {
  constexpr int log_lines = 100;  // more than the pipe holds
  constexpr double time_limit_s = 30;
  log_pipe_size_ = 4096;
  start_program();
  run_until_ready();
  log_reading_ = LogReading::paused;
  double started_at = now();
  for (int i = 0; i < log_lines && now() - started_at < time_limit_s; ++i) cause_log_line(i);
  EXPECT_TRUE(is_ready());
  EXPECT_LT(now() - started_at, time_limit_s);
  log_reading_ = LogReading::normal;
  for (int i = log_lines; i < 2 * log_lines && !has_logged("log lines dropped count="); ++i)
    cause_log_line(i);
  EXPECT_TRUE(has_logged("error log lines dropped count="));
}

// Guards against an error message of a tool whose output is cut off, as in `oxbowctl ... | head -1`.
TEST_F(BrokenConnection, CommandLineWithoutAReaderEndsQuietly) {
  start_program();
  run_until_ready();
  submit_until_accepted(make_submission("run-000001"));
  std::string output;
  const std::string status_command = std::string(CLIENT_PROGRAM) + " status run-000001";
  EXPECT_EQ(run_shell(status_command + " >/dev/full", output), 2);
  EXPECT_EQ(output, "oxbowctl: standard output cannot be written\n");
  EXPECT_EQ(run_shell("{ sleep 0.5; " + status_command + "; echo status $? >&2; } | true", output), 0);
  EXPECT_EQ(output, "status 141\n");  // 128 + SIGPIPE, and no message
}

// Guards against an end by SIGPIPE in every program that opens connections, clients included.
TEST(BrokenPipeDeathTest, WriteToAClosedPipeFailsOnceThereIsAnEventLoop) {
  EXPECT_EXIT(
      {
        std::signal(SIGPIPE, SIG_DFL);
        net::EventBasePtr base = net::make_event_base();
        int ends[2];
        if (pipe(ends) != 0) std::exit(1);
        close(ends[0]);
        ssize_t written = write(ends[1], "x", 1);
        std::exit(written == -1 && errno == EPIPE ? 0 : 1);
      },
      ::testing::ExitedWithCode(0), "");
}

}  // namespace
}  // namespace oxbowmill
