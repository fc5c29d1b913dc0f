// What a controller leaves on standard error when it ends by a signal or by an exception, and what it counts
// of refused messages.
#include "oxbowmill/service/crash_report.h"

#include "controller_process.h"
#include "oxbowmill/net/current_message.h"
#include "oxbowmill/service/malformed_message_log.h"

namespace oxbowmill {
namespace {

const char* const handled_message = " message=\"POST /submissions\" sender=\"10.3.0.1\" size=60000 version=";

net::MessageScope make_scope() {
  return {"POST", "/submissions", "10.3.0.1", 60000};
}

/// Recurses until the stack is exhausted.
std::size_t exhaust_stack(std::size_t depth) {
  volatile char frame[1024];
  frame[depth % sizeof frame] = 1;
  return depth == SIZE_MAX ? 0 : exhaust_stack(depth + 1) + static_cast<std::size_t>(frame[0]);
}

void throw_error(const char* reason) {
  throw std::runtime_error(reason);
}

TEST(CrashReportDeathTest, ExhaustedStackLeavesALine) {
  EXPECT_EXIT(
      {
        service::report_crashes();
        net::MessageScope scope = make_scope();
        exhaust_stack(0);
      },
      ::testing::KilledBySignal(SIGSEGV),
      std::string("controller ended by signal signal=SIGSEGV") + handled_message);
}

TEST(CrashReportDeathTest, UncaughtExceptionLeavesALine) {
  EXPECT_EXIT(
      {
        service::report_crashes();
        net::MessageScope scope = make_scope();
        // An exception that leaves this function ends the program.
        [](const char* reason) noexcept { throw_error(reason); }("excessive size");
      },
      ::testing::KilledBySignal(SIGABRT),
      std::string("^error controller ended by exception reason=\"excessive size\"") + handled_message +
          "[0-9.]*\n$");
}

TEST(CrashReportDeathTest, CaughtFailureNamesTheMessage) {
  EXPECT_EXIT(
      {
        try {
          net::MessageScope scope = make_scope();
          throw std::runtime_error("excessive size");
        } catch (const std::exception& error) {
          service::log_failure(error.what());
        }
        std::exit(1);
      },
      ::testing::ExitedWithCode(1),
      std::string("controller ended by exception reason=\"excessive size\"") + handled_message);
}

TEST(CurrentMessage, IsSetWhileAMessageIsHandled) {
  EXPECT_STREQ(net::current_message().kind, "");
  {
    net::MessageScope scope("POST", std::string(300, 'x') + "\n", "a\"b\n\xff", 7);
    EXPECT_EQ(std::string(net::current_message().kind).size(), net::CurrentMessage::max_text_size - 1);
    EXPECT_STREQ(net::current_message().sender, "a?b??");
    EXPECT_EQ(net::current_message().size, 7U);
  }
  EXPECT_STREQ(net::current_message().kind, "");
}

TEST(MalformedMessageLog, CountsMessagesThatAreNotLoggedAgain) {
  service::MalformedMessageLog log;
  for (int i = 0; i < 25; ++i) log.record({"submission", "red", "not a map"});
  log.record({"report", "host-1", "not a map"});
  EXPECT_EQ(log.count("submission"), 25U);
  EXPECT_EQ(log.count("report"), 1U);
  EXPECT_EQ(log.count("catalog"), 0U);
}

TEST_F(ControllerProcess, EndBySignalIsLogged) {
  start_program();
  run_until_ready();
  kill(pid_, SIGSEGV);
  run_until([this] { return !is_running() && has_logged("version="); }, [] {});
  EXPECT_TRUE(has_logged("error controller ended by signal signal=SIGSEGV message=\""));
  siginfo_t ended{};
  ASSERT_EQ(waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOWAIT), 0);
  EXPECT_EQ(ended.si_status, SIGSEGV);
}

TEST_F(ControllerProcess, RefusedSubmissionsAreLoggedOnceAndCounted) {
  start_program();
  run_until_ready();
  const std::string body(60'000, '\x81');
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(status_of(controller_address_, EVHTTP_REQ_POST, "/submissions", body), 400);
  EXPECT_TRUE(has_logged(
      "malformed message kind=submission sender=\"127.0.0.1\" reason=\"not CBOR: fewer bytes than items "
      "at byte 60000\" size=60000"));
  EXPECT_TRUE(has_logged("malformed messages refused kind=submission count=10"));
}

}  // namespace
}  // namespace oxbowmill
