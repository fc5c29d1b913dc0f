// Fixture of the tests that run the controller program over loopback, with stand-ins for the state service,
// the cloud and an agent.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <thread>

#include "oxbowmill/net/http.h"
#include "oxbowmill/simulation/agent.h"
#include "oxbowmill/simulation/agent_wire.h"
#include "oxbowmill/simulation/state_store.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill {

using net::Request;
using net::Response;
using wire::Json;

/// Runs the controller program beside the stand-ins, in one event loop. Every test uses programs of its own.
class ControllerProcess : public ::testing::Test {
 protected:
  ControllerProcess()
      : base_(net::make_event_base()),
        agent_("host-1", "a", run_log_),
        time_limit_(base_.get(),
                    [this] {
                      timed_out_ = true;
                      event_base_loopbreak(base_.get());
                    }),
        poll_timer_(base_.get(), [this] {
          if (on_poll_) on_poll_();
          poll_timer_.schedule(0.05);
        }) {
    agent_.lease_s = 6;
    state_server_ =
        std::make_unique<net::HttpServer>(base_.get(), net::Address{"127.0.0.1", 0}, 1 << 20,
                                          [this](Request&& request) { serve_state(std::move(request)); });
    cloud_server_ =
        std::make_unique<net::HttpServer>(base_.get(), net::Address{"127.0.0.1", 0}, 1 << 20,
                                          [this](Request&& request) { serve_cloud(std::move(request)); });
  }
  ~ControllerProcess() override {
    stop_program();
    if (!config_file_.empty()) std::remove(config_file_.c_str());
    if (!operator_file_.empty()) std::remove(operator_file_.c_str());
  }

  static double now() {
    timespec clock_time;
    clock_gettime(CLOCK_MONOTONIC, &clock_time);
    return static_cast<double>(clock_time.tv_sec) + 1e-9 * static_cast<double>(clock_time.tv_nsec);
  }

  void serve_state(Request&& request) {
    if (answer_for_state_ && answer_for_state_(request)) return;
    state_.expire_leases(now());
    Json body = request.body.empty() ? Json::object() : Json::from_cbor(request.body);
    auto reply = [&request](int status, const Json& json) {
      request.responder->reply(status, wire::encode(json));
    };
    if (request.path == "/txn") {
      auto result = state_.txn(body);
      answer_watch();
      return reply(result.status, result.body);
    }
    if (request.path == "/holds")
      return reply(
          200, {{"grant",
                 state_.grant_lease(lease_duration_factor_ * body["life_ms"].get<double>() / 1000, now())}});
    if (request.path.rfind("/holds/", 0) == 0 && request.method == EVHTTP_REQ_DELETE) {
      state_.revoke_lease(std::strtoull(request.path.c_str() + 7, nullptr, 10));
      return reply(200, Json::object());
    }
    if (request.path.rfind("/holds/", 0) == 0) {
      return reply(
          state_.renew_lease(std::strtoull(request.path.c_str() + 7, nullptr, 10), now()) ? 200 : 404,
          Json::object());
    }
    if (request.path == "/watch") {
      watch_responder_ = request.responder;
      // Answered from the requested revision, because a restarted process does not know the events that were
      // sent to its predecessor.
      std::size_t parameter = request.query.find("from=");
      watched_from_ = parameter == std::string::npos
                          ? 0
                          : std::strtoull(request.query.c_str() + parameter + 5, nullptr, 10);
      watch_since_ = now();
      return answer_watch();
    }
    if (request.path == "/store") {
      Json items = Json::array();
      for (const auto& [key, entry] : state_.keys()) {
        if (key.rfind("o/", 0) == 0)
          items.push_back({{"k", key}, {"value", entry.value}, {"stamp", entry.revision}});
      }
      return reply(200, {{"items", items}, {"truncated", false}, {"ledger_rev", state_.revision()}});
    }
    std::string key = request.path.substr(std::string("/store/").size());
    if (key.rfind("o/j/", 0) == 0) ++job_reads_;
    auto it = state_.keys().find(key);
    if (it == state_.keys().end()) return reply(404, {{"ledger_rev", state_.revision()}});
    reply(200, {{"k", key}, {"value", it->second.value}, {"stamp", it->second.revision}});
  }

  void answer_watch() {
    const auto& events = state_.events();
    if (!watch_responder_ || (watched_from_ >= state_.revision() && now() - watch_since_ < long_poll_s_))
      return;
    Json updates = Json::array();
    for (const auto& event : events) {
      if (event.revision <= watched_from_ || event.key.rfind("o/", 0) != 0) continue;
      Json entry = {{"stamp", event.revision}};
      if (event.value) {
        entry["put"] = event.key;
        entry["value"] = *event.value;
      } else {
        entry["delete"] = event.key;
      }
      updates.push_back(entry);
    }
    auto responder = std::move(watch_responder_);
    responder->reply(200, wire::encode({{"ledger_rev", state_.revision()}, {"news", updates}}));
  }

  void serve_cloud(Request&& request) {
    if (answer_for_cloud_ && answer_for_cloud_(request)) return;
    Json answer = Json::object();
    if (request.path == "/catalog") {
      answer = {{"rigs",
                 {{{"sku", "std"},
                   {"vcpus", type_vcpus_},
                   {"accelerators", 2.0},
                   {"memory_gb", 32.0},
                   {"cache_gb", 50.0},
                   {"fetch_gb_per_s", 1.0},
                   {"rate", 3.0},
                   {"low_price", 1.0},
                   {"ready_s", 1.0},
                   {"yards", {"a"}}}}}};
    } else if (request.path == "/rentals" && request.method == EVHTTP_REQ_POST) {
      Json hosts = Json::array();
      if (!cloud_exhausted_) {
        hosts.push_back("host-1");
        cloud_exhausted_ = machine_is_up_ = true;
      }
      if (hosts.empty()) return request.responder->reply(503, wire::encode({{"error", "no capacity"}}));
      answer = {{"hosts", hosts}};
    } else if (request.path == "/rentals") {
      answer = {{"hosts", Json::array()}, {"truncated", false}};
    }
    request.responder->reply(200, wire::encode(answer));
  }

  /// Sends the agent's report and passes the response to the agent, unless the machine is not up or another
  /// report is in flight.
  void send_report() {
    if (!machine_is_up_ || report_in_flight_) return;
    report_in_flight_ = true;
    send_request(EVHTTP_REQ_POST, "/hello", simulation::write_report(agent_.report(now())),
                 [this](int status, const Json& body) {
                   report_in_flight_ = false;
                   if (status != 200) return;
                   auto answer = simulation::read_answer(body);
                   ASSERT_TRUE(answer.has_value());
                   agent_.handle_response(*answer, now());
                 });
  }

  void send_request(evhttp_cmd_type method, const std::string& path, const Json& body,
                    const std::function<void(int, const Json&)>& on_response) {
    send_raw_request(method, path, body.is_null() ? "" : wire::encode(body), on_response);
  }
  void send_raw_request(evhttp_cmd_type method, const std::string& path, const std::string& body,
                        const std::function<void(int, const Json&)>& on_response) {
    net::send_once(base_.get(), controller_address_, method, path, body, 5,
                   [on_response](const Response& response) {
                     Json json = Json::from_cbor(response.body, true, false);
                     on_response(response.status, json.is_object() ? json : Json::object());
                   });
  }

  void start_program() {
    config_file_ = ::testing::TempDir() + "oxbowmill-loop-" + std::to_string(::getpid()) + ".toml";
    std::ofstream(config_file_)
        << "node_name = \"n0\"\narea = \"a\"\nbind = \"127.0.0.1:0\"\npeer_bind = "
           "\"127.0.0.1:0\"\n[services]\ncloud = \""
        << net::to_string(cloud_server_->address()) << "\"\nstate = \""
        << net::to_string(state_server_->address())
        << "\"\n[settings]\nzones = [\"a\"]\n[[settings.teams]]\nname = \"red\"\n[settings.workers]\n"
           "report_s = 0.5\nlease_s = 6.0\ngang_wait_s = 8.0\ngang_peer_s = 2.0\ncancel_s = 15.0\n"
           "[settings.state]\nrps = 500.0\nwrite_rps = 200.0\nvalue_kb = 4.0\ntxn_ops = 12\n"
           "[settings.cloud]\nrps = 10.0\nlist_lag_s = 1.0\n";
    int log_pipe[2];
    ASSERT_EQ(pipe(log_pipe), 0);
    if (log_pipe_size_ > 0) {
      ASSERT_GE(fcntl(log_pipe[1], F_SETPIPE_SZ, log_pipe_size_), 0);
    }
    pid_ = fork();
    ASSERT_GE(pid_, 0);
    if (pid_ == 0) execute_program(log_pipe);
    close(log_pipe[1]);
    // The system chooses the program's ports, so that tests can run in parallel; the program logs them.
    std::ifstream lines("/dev/fd/" + std::to_string(log_pipe[0]));
    std::string line;
    while (controller_address_.port == 0 && std::getline(lines, line)) {
      const std::string prefix = "listening on ";
      const std::string peer_prefix = " for users and agents, on ";
      std::size_t begin = line.find(prefix), end = line.find(peer_prefix);
      if (begin == std::string::npos) continue;
      controller_address_ =
          net::parse_address(line.substr(begin + prefix.size(), end - begin - prefix.size()));
      begin = end + peer_prefix.size();
      peer_address_ = net::parse_address(line.substr(begin, line.find(" for controllers") - begin));
    }
    ASSERT_NE(controller_address_.port, 0);
    log_reader_ = std::thread([this, log_fd = log_pipe[0]] { forward_log(log_fd); });
  }
  /// Runs the program in place of the present process, with the pipe as standard error.
  [[noreturn]] void execute_program(const int (&log_pipe)[2]) const {
    dup2(log_pipe[1], STDERR_FILENO);
    close(log_pipe[0]);
    close(log_pipe[1]);
    // As a shell starts it; an ignored signal would stay ignored.
    std::signal(SIGPIPE, SIG_DFL);
    if (operator_file_.empty()) {
      execl(CONTROLLER_PROGRAM, CONTROLLER_PROGRAM, "--config", config_file_.c_str(),
            static_cast<char*>(nullptr));
    } else {
      execl(CONTROLLER_PROGRAM, CONTROLLER_PROGRAM, "--operator", operator_file_.c_str(), "--config",
            config_file_.c_str(), static_cast<char*>(nullptr));
    }
    _exit(127);
  }
  /// Copies the program's log to standard error and to `log_` until the program or the reading ends.
  void forward_log(int log_fd) {
    char buffer[4096];
    for (ssize_t size = 0; wait_to_read_log() && (size = read(log_fd, buffer, sizeof buffer)) > 0;) {
      std::lock_guard<std::mutex> lock(log_mutex_);
      log_.append(buffer, static_cast<std::size_t>(size));
      if (write(STDERR_FILENO, buffer, static_cast<std::size_t>(size)) < 0) break;
    }
    close(log_fd);
  }
  void stop_program() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    if (log_reading_ == LogReading::paused) log_reading_ = LogReading::normal;
    if (log_reader_.joinable()) log_reader_.join();
    pid_ = -1;
    controller_address_ = {};
  }

  /// How the reader of the program's log behaves before its next read.
  enum class LogReading : std::uint8_t { normal, paused, ended };
  /// Returns false if the reader is to close the pipe.
  bool wait_to_read_log() const {
    while (log_reading_ == LogReading::paused) std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return log_reading_ == LogReading::normal;
  }

  /// Whether the program has logged the text since it was listening.
  bool has_logged(const std::string& text) {
    std::lock_guard<std::mutex> lock(log_mutex_);
    return log_.find(text) != std::string::npos;
  }
  /// Whether the program has not ended.
  bool is_running() const {
    siginfo_t ended{};
    // WNOWAIT leaves the process to stop_program().
    return waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           ended.si_pid == 0;
  }

  /// Sends one request while the event loop goes on. Returns the status of the response; 0: no response.
  int status_of(const net::Address& destination, evhttp_cmd_type method, const std::string& path,
                const std::string& body) {
    std::optional<int> status;
    net::send_once(base_.get(), destination, method, path, body, 5,
                   [&status](const Response& response) { status = response.status; });
    run_until([&status] { return status.has_value(); }, [] {});
    return status.value_or(0);
  }
  /// Runs the event loop until the program answers that it is ready.
  void run_until_ready() {
    while (is_running() && !HasFatalFailure() && !is_ready()) {
    }
  }
  bool is_ready() { return status_of(controller_address_, EVHTTP_REQ_GET, "/up", "") == 200; }
  /// Submits a job until it is accepted.
  void submit_until_accepted(const Json& job) {
    while (is_running() && !HasFatalFailure()) {
      int status = status_of(controller_address_, EVHTTP_REQ_POST, "/submissions", wire::encode(job));
      if (status == 200 || status == 201) return;
    }
    FAIL() << "the program ended, or the time limit was reached";
  }

  /// Runs oxbowctl while the event loop goes on. Returns its exit status and stores its output in `output`.
  int run_command_line(const std::string& args, std::string& output) {
    return run_shell(std::string("exec ") + CLIENT_PROGRAM + " " + args, output);
  }
  /// The same for a command of the shell, in which oxbowctl finds the controller.
  int run_shell(const std::string& shell_command, std::string& output) {
    std::string file = ::testing::TempDir() + "oxbow-out-" + std::to_string(::getpid());
    std::string command = "exec >" + file +
                          " 2>&1; export OXBOW_NODES=" + net::to_string(controller_address_) + "; " +
                          shell_command;
    pid_t child = fork();
    if (child == 0) {
      std::signal(SIGPIPE, SIG_DFL);
      execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    int status = 0;
    run_until([&] { return waitpid(child, &status, WNOHANG) == child; }, [] {});
    std::ifstream output_file(file);
    output.assign(std::istreambuf_iterator<char>(output_file), {});
    std::remove(file.c_str());
    return WEXITSTATUS(status);
  }

  /// Runs the event loop and calls `step` periodically until `is_done` returns true. Fails after a time limit
  /// that only a hang reaches.
  void run_until(const std::function<bool()>& is_done, const std::function<void()>& step) {
    on_poll_ = [this, is_done, step] {
      if (is_done()) {
        event_base_loopbreak(base_.get());
        return;
      }
      answer_watch();
      send_report();
      step();
    };
    timed_out_ = false;
    time_limit_.schedule(120);
    poll_timer_.schedule(0);
    event_base_dispatch(base_.get());
    on_poll_ = nullptr;
    ASSERT_FALSE(timed_out_);
  }

  net::EventBasePtr base_;
  simulation::StateStore state_;
  simulation::RunLog run_log_;
  simulation::Agent agent_;
  net::Address controller_address_, peer_address_;
  std::thread log_reader_;  // forwards the program's log to standard error and to `log_`
  std::mutex log_mutex_;
  std::string log_;  // guarded by `log_mutex_`
  std::atomic<LogReading> log_reading_ = LogReading::normal;
  int log_pipe_size_ = 0;  // in bytes; 0: the system's
  std::unique_ptr<net::HttpServer> state_server_, cloud_server_;
  // Answer a request in place of the stand-in and return true, or leave it to the stand-in and return false.
  std::function<bool(const Request&)> answer_for_state_, answer_for_cloud_;
  net::ResponderPtr watch_responder_;
  std::uint64_t watched_from_ = 0;  // the watch wants the changes after this revision
  double watch_since_ = 0, long_poll_s_ = 0.5;
  int job_reads_ = 0;
  double lease_duration_factor_ = 1;  // a controller lease lasts this many times its duration
  bool cloud_exhausted_ = false;      // the cloud has no capacity left
  double type_vcpus_ = 8;             // vCPUs of the cloud's only machine type
  bool machine_is_up_ = false, report_in_flight_ = false, timed_out_ = false;
  net::Timer time_limit_, poll_timer_;
  std::function<void()> on_poll_;
  std::string config_file_, operator_file_;
  pid_t pid_ = -1;
};

/// A submission of an array of two tasks that fits the cloud's machine type.
inline Json make_submission(const std::string& ref) {
  return {{"ref", ref},         {"jobclass", "c"},     {"owner", "red"},   {"shape", "batch"},
          {"rank", "standard"}, {"shards", 2},         {"vcpus", 1.0},     {"accelerators", 1.0},
          {"memory_gb", 1.0},   {"bundle", "img"},     {"size_gb", 1.0},   {"rigs", nullptr},
          {"yard", nullptr},    {"same_place", false}, {"scatter", false}, {"loaners", true},
          {"runtime_s", 1.0},   {"save_every_s", 0.0}, {"flush_s", 0.0},   {"due_s", nullptr}};
}

}  // namespace oxbowmill
