// Memory of the controller program. The regression test of docs/incidents/memory-after-silence.md.
#include "controller_process.h"

namespace oxbowmill {
namespace {

/// The smallest memory limit of a controller in the platform's settings (`limits.mem_mb`), in MB.
constexpr double memory_limit_mb = 56;

/// The most memory that the process has held so far, in MB, or what it holds now, by the field of its status.
double memory_mb(pid_t pid, const std::string& field) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(field + ":", 0) == 0) return std::stod(line.substr(field.size() + 1)) / 1024;
  }
  return 0;
}

/// A record of 64 tasks, all placed.
Json make_chunk(int number) {
  Json placements = Json::array();
  for (int task = 0; task < 64; ++task) {
    placements.push_back(
        {64 * number + task, "host-" + std::to_string(100 + task), 1'000'000 + task, 0, 1'000'000 + task});
  }
  return {{"d", "0"}, {"r", "0"}, {"a", placements}};
}

TEST_F(ControllerProcess, MemoryStaysWithinItsLimitAfterASilence) {
  // Guards against a controller that builds one document of everything it missed while it was silent, and is
  // ended by the platform for its memory.
  constexpr int chunk_count = 100;
  constexpr int missed_changes = 10'000;  // as many as the state service keeps
  start_program();
  Json job = make_submission("run-1");
  job["shards"] = 64 * chunk_count;
  submit_until_accepted(job);
  kill(pid_, SIGSTOP);
  std::vector<Json> chunks;
  for (int number = 0; number < chunk_count; ++number) chunks.push_back(make_chunk(number));
  for (int change = 0; change < missed_changes; ++change) {
    int number = change % chunk_count;
    Json put = {{"put", "o/c/run-1/" + std::to_string(number)}, {"value", chunks[number]}};
    ASSERT_EQ(state_.txn({{"guards", Json::array()}, {"apply", {put}}}).status, 200);
  }
  Revision missed_until = state_.revision();
  kill(pid_, SIGCONT);
  run_until([&] { return !is_running() || watched_from_ >= missed_until; }, [] {});
  ASSERT_TRUE(is_running());
  EXPECT_LT(memory_mb(pid_, "VmHWM"), memory_limit_mb);
  EXPECT_LT(memory_mb(pid_, "RssAnon"), memory_limit_mb);
}

}  // namespace
}  // namespace oxbowmill
