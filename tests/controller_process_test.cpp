// The controller program over loopback with stand-ins for the state service, the cloud, the markets and an
// agent.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>

#include "oxbowmill/net/http.h"
#include "oxbowmill/simulation/agent.h"
#include "oxbowmill/simulation/agent_wire.h"
#include "oxbowmill/simulation/market_server.h"
#include "oxbowmill/simulation/state_store.h"
#include "oxbowmill/wire/codec.h"

namespace oxbowmill {
namespace {

using net::Request;
using net::Response;
using wire::Json;

class Loopback : public ::testing::Test {
 protected:
  Loopback()
      : base_(net::make_event_base()),
        worker_("host-1", "a", run_log_),
        time_limit_(base_.get(),
                    [this] {
                      timed_out_ = true;
                      event_base_loopbreak(base_.get());
                    }),
        poll_timer_(base_.get(), [this] {
          if (on_poll_) on_poll_();
          poll_timer_.schedule(0.05);
        }) {
    worker_.lease_s = 6;
    state_server_ =
        std::make_unique<net::HttpServer>(base_.get(), net::Address{"127.0.0.1", 0}, 1 << 20,
                                          [this](Request&& request) { serve_state(std::move(request)); });
    cloud_server_ =
        std::make_unique<net::HttpServer>(base_.get(), net::Address{"127.0.0.1", 0}, 1 << 20,
                                          [this](Request&& request) { serve_cloud(std::move(request)); });
  }
  ~Loopback() override {
    stop_program();
    if (!config_file_.empty()) std::remove(config_file_.c_str());
    if (!operator_file_.empty()) std::remove(operator_file_.c_str());
  }

  static double now() {
    timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return static_cast<double>(t.tv_sec) + 1e-9 * static_cast<double>(t.tv_nsec);
  }

  void serve_state(Request&& request) {
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
      std::size_t at = request.query.find("from=");
      watched_from_ =
          at == std::string::npos ? 0 : std::strtoull(request.query.c_str() + at + 5, nullptr, 10);
      watch_since_ = now();
      return answer_watch();
    }
    if (request.path == "/store") {
      Json items = Json::array();
      for (const auto& [key, e] : state_.keys()) {
        if (key.rfind("o/", 0) == 0) items.push_back({{"k", key}, {"value", e.value}, {"stamp", e.revision}});
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
    auto to = std::move(watch_responder_);
    to->reply(200, wire::encode({{"ledger_rev", state_.revision()}, {"news", updates}}));
  }

  void serve_cloud(Request&& request) {
    Json out = Json::object();
    if (request.path == "/catalog") {
      out = {{"rigs",
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
      out = {{"hosts", hosts}};
    } else if (request.path == "/rentals") {
      out = {{"hosts", Json::array()}, {"truncated", false}};
    }
    request.responder->reply(200, wire::encode(out));
  }

  /// Sends the agent's report and passes the response to the agent, unless the machine is not up or another
  /// report is in flight.
  void send_report() {
    if (!machine_is_up_ || reporting_) return;
    reporting_ = true;
    send_request(EVHTTP_REQ_POST, "/hello", simulation::write_report(worker_.report(now())),
                 [this](int status, const Json& body) {
                   reporting_ = false;
                   if (status != 200) return;
                   auto answer = simulation::read_answer(body);
                   ASSERT_TRUE(answer.has_value());
                   worker_.answer(*answer, now());
                 });
  }

  void send_request(evhttp_cmd_type method, const std::string& path, const Json& body,
                    const std::function<void(int, const Json&)>& fn) {
    send_raw_request(method, path, body.is_null() ? "" : wire::encode(body), fn);
  }
  void send_raw_request(evhttp_cmd_type method, const std::string& path, const std::string& body,
                        const std::function<void(int, const Json&)>& fn) {
    net::send_once(base_.get(), controller_address_, method, path, body, 5, [fn](const Response& r) {
      Json j = Json::from_cbor(r.body, true, false);
      fn(r.status, j.is_object() ? j : Json::object());
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
    pid_ = fork();
    ASSERT_GE(pid_, 0);
    if (pid_ == 0) {
      dup2(log_pipe[1], STDERR_FILENO);
      if (operator_file_.empty()) {
        execl(CONTROLLER_PROGRAM, CONTROLLER_PROGRAM, "--config", config_file_.c_str(),
              static_cast<char*>(nullptr));
      } else {
        execl(CONTROLLER_PROGRAM, CONTROLLER_PROGRAM, "--operator", operator_file_.c_str(), "--config",
              config_file_.c_str(), static_cast<char*>(nullptr));
      }
      _exit(127);
    }
    close(log_pipe[1]);
    // The system chooses the program's ports, so that tests can run in parallel; the program logs them.
    std::ifstream lines("/dev/fd/" + std::to_string(log_pipe[0]));
    std::string line;
    while (controller_address_.port == 0 && std::getline(lines, line)) {
      const std::string says = "listening on ";
      std::size_t from = line.find(says), to = line.find(" for users");
      if (from != std::string::npos)
        controller_address_ = net::parse_address(line.substr(from + says.size(), to - from - says.size()));
    }
    ASSERT_NE(controller_address_.port, 0);
    log_reader_ = std::thread([log_fd = log_pipe[0]] {
      char buf[4096];
      for (ssize_t n = 0; (n = read(log_fd, buf, sizeof buf)) > 0;) {
        if (write(STDERR_FILENO, buf, static_cast<std::size_t>(n)) < 0) break;
      }
      close(log_fd);
    });
  }
  void stop_program() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    if (log_reader_.joinable()) log_reader_.join();
    pid_ = -1;
    controller_address_ = {};
  }

  /// Runs oxbowctl while the event loop goes on. Returns its exit status and stores its output in `out`.
  int run_command_line(const std::string& args, std::string& out) {
    std::string file = ::testing::TempDir() + "oxbow-out-" + std::to_string(::getpid());
    std::string command = "OXBOW_NODES=" + net::to_string(controller_address_) + " " + CLIENT_PROGRAM + " " +
                          args + " >" + file + " 2>&1";
    pid_t child = fork();
    if (child == 0) {
      execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    int status = 0;
    run_until([&] { return waitpid(child, &status, WNOHANG) == child; }, [] {});
    std::ifstream in(file);
    out.assign(std::istreambuf_iterator<char>(in), {});
    std::remove(file.c_str());
    return WEXITSTATUS(status);
  }

  /// Runs the event loop and calls `step` periodically until `done` returns true. Fails after a time limit
  /// that only a hang reaches.
  void run_until(const std::function<bool()>& done, const std::function<void()>& step) {
    on_poll_ = [this, done, step] {
      if (done()) {
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
  simulation::Worker worker_;
  net::Address controller_address_;
  std::thread log_reader_;  // forwards the program's log to standard error
  std::unique_ptr<net::HttpServer> state_server_, cloud_server_;
  net::ResponderPtr watch_responder_;
  std::uint64_t watched_from_ = 0;  // the watch wants the changes after this revision
  double watch_since_ = 0, long_poll_s_ = 0.5;
  int job_reads_ = 0;
  double lease_duration_factor_ = 1;  // a controller lease lasts this many times its duration
  bool cloud_exhausted_ = false;      // the cloud has no capacity left
  double type_vcpus_ = 8;             // vCPUs of the cloud's only machine type
  bool machine_is_up_ = false, reporting_ = false, timed_out_ = false;
  net::Timer time_limit_, poll_timer_;
  std::function<void()> on_poll_;
  std::string config_file_, operator_file_;
  pid_t pid_ = -1;
};

Json make_submission(const std::string& ref) {
  return {{"ref", ref},         {"jobclass", "c"},     {"owner", "red"},   {"shape", "batch"},
          {"rank", "standard"}, {"shards", 2},         {"vcpus", 1.0},     {"accelerators", 1.0},
          {"memory_gb", 1.0},   {"bundle", "img"},     {"size_gb", 1.0},   {"rigs", nullptr},
          {"yard", nullptr},    {"same_place", false}, {"scatter", false}, {"loaners", true},
          {"runtime_s", 1.0},   {"save_every_s", 0.0}, {"flush_s", 0.0},   {"due_s", nullptr}};
}

TEST_F(Loopback, JobCompletesAcrossControllerKill) {
  start_program();
  int up_status = 0;
  bool asking = false;
  auto request_once = [&](evhttp_cmd_type m, const std::string& path, const Json& body, int& status,
                          Json& answer) {
    if (asking) return;
    asking = true;
    send_request(m, path, body, [&](int step, const Json& json) {
      asking = false;
      status = step;
      answer = json;
    });
  };
  Json answer;
  run_until([&] { return up_status == 200; },
            [&] { request_once(EVHTTP_REQ_GET, "/up", Json(), up_status, answer); });

  struct InvalidRequest {
    evhttp_cmd_type method;
    const char* path;
    std::string body;
    int status;
  };
  Json unknown_team = make_submission("run-9");
  unknown_team["owner"] = "nobody";
  const InvalidRequest invalid_requests[] = {
      {EVHTTP_REQ_POST, "/submissions", "not cbor", 400},
      {EVHTTP_REQ_POST, "/submissions", std::string(70000, 'x'), 400},
      {EVHTTP_REQ_POST, "/submissions", wire::encode(unknown_team), 422},
      {EVHTTP_REQ_GET, "/submissions", "", 405},
      {EVHTTP_REQ_GET, "/submissions/run-77", "", 404},
      {EVHTTP_REQ_POST, "/submissions/run-77/withdraw", "", 404},
      {EVHTTP_REQ_DELETE, "/submissions/run-77", "", 405},
      {EVHTTP_REQ_GET, "/elsewhere", "", 404},
      {EVHTTP_REQ_POST, "/hello", "junk", 400},
      {EVHTTP_REQ_POST, "/up", "", 405},
  };
  for (const InvalidRequest& invalid_request : invalid_requests) {
    int status = 0;
    bool sent = false;
    run_until([&] { return status != 0; },
              [&] {
                if (sent) return;
                sent = true;
                send_raw_request(invalid_request.method, invalid_request.path, invalid_request.body,
                                 [&](int step, const Json&) { status = step == 0 ? -1 : step; });
              });
    EXPECT_EQ(status, invalid_request.status) << invalid_request.path;
  }

  int status = 0;
  run_until([&] { return status == 201; },
            [&] { request_once(EVHTTP_REQ_POST, "/submissions", make_submission("run-1"), status, answer); });
  status = 0;
  run_until([&] { return status == 200; },
            [&] { request_once(EVHTTP_REQ_POST, "/submissions", make_submission("run-1"), status, answer); });
  run_until([&] { return worker_.has("run-1/0") && worker_.has("run-1/1"); }, [] {});
  worker_.finish("run-1/0", EndCause::done);

  stop_program();
  start_program();
  run_until([&] { return status == 200 && answer.value("done", 0) == 1; },
            [&] { request_once(EVHTTP_REQ_GET, "/submissions/run-1", Json(), status, answer); });
  worker_.finish("run-1/1", EndCause::done);
  run_until([&] { return answer.value("phase", "") == "done"; },
            [&] { request_once(EVHTTP_REQ_GET, "/submissions/run-1", Json(), status, answer); });
  EXPECT_EQ(run_log_.starts["run-1/0"], 1);
  EXPECT_EQ(run_log_.starts["run-1/1"], 1);

  status = 0;
  run_until([&] { return status == 201; },
            [&] { request_once(EVHTTP_REQ_POST, "/submissions", make_submission("run-2"), status, answer); });
  run_until([&] { return worker_.has("run-2/0"); }, [] {});
  run_until([&] { return answer.value("phase", "") == "cancelled"; },
            [&] { request_once(EVHTTP_REQ_POST, "/submissions/run-2/withdraw", Json(), status, answer); });
  run_until([&] { return !worker_.has("run-2/0") && !worker_.has("run-2/1"); }, [] {});
  EXPECT_TRUE(run_log_.duplicated_tasks.empty());
  EXPECT_EQ(waitpid(pid_, nullptr, WNOHANG), 0);  // the controller is still running
}

TEST_F(Loopback, RestartedControllerDoesNotWaitForItsEarlierLease) {
  // No controller lease expires in this test, so the partitions become free only if the new process ends the
  // lease of the old one.
  lease_duration_factor_ = 1e6;
  int status = 0;
  bool asking = false;
  auto submit = [&](const std::string& ref) {
    if (asking) return;
    asking = true;
    send_request(EVHTTP_REQ_POST, "/submissions", make_submission(ref), [&](int step, const Json&) {
      asking = false;
      status = step;
    });
  };
  start_program();
  run_until([&] { return status == 201; }, [&] { submit("run-1"); });
  run_until([&] { return worker_.has("run-1/0") && worker_.has("run-1/1"); }, [] {});
  stop_program();
  start_program();
  status = 0;
  run_until([&] { return status == 201; }, [&] { submit("run-2"); });
  // Only the partition's owner marks the job as done and starts the next one.
  for (const char* task : {"run-1/0", "run-1/1"}) worker_.finish(task, EndCause::done);
  run_until([&] { return worker_.has("run-2/0"); }, [] {});
  EXPECT_EQ(run_log_.starts["run-1/0"], 1);
  EXPECT_TRUE(run_log_.duplicated_tasks.empty());
}

TEST_F(Loopback, RepeatedSubmissionIsAcceptedAfterCatalogChange) {
  // The repeated submission reaches a process whose catalog has no machine type that fits the job.
  int status = 0;
  bool asking = false;
  Json answer;
  auto submit = [&](const std::string& ref, double vcpus) {
    if (asking) return;
    asking = true;
    Json body = make_submission(ref);
    body["vcpus"] = vcpus;
    send_request(EVHTTP_REQ_POST, "/submissions", body, [&](int step, const Json& json) {
      asking = false;
      status = step;
      answer = json;
    });
  };
  auto answered = [&](int wanted) { return !asking && status == wanted; };
  start_program();
  run_until([&] { return answered(201); }, [&] { submit("run-1", 8); });
  stop_program();
  type_vcpus_ = 4;
  start_program();
  // New jobs are submitted until one is rejected, which shows that the process uses the changed catalog.
  std::uint64_t n = 1;
  run_until([&] { return answered(422); }, [&] { submit("run-" + std::to_string(++n), 8); });
  status = 0;
  run_until([&] { return !asking && status != 0 && status != 503; }, [&] { submit("run-1", 8); });
  EXPECT_EQ(status, 200);
  EXPECT_EQ(answer.value("ref", ""), "run-1");
}

TEST_F(Loopback, ReleaseIsWithheldAcrossControllerKillAndCalendarReloaded) {
  operator_file_ = ::testing::TempDir() + "oxbowmill-loop-" + std::to_string(::getpid()) + ".yaml";
  auto calendar =
      [this](int version, const std::string& french) {
        std::ofstream(operator_file_)
            << "calendar:\n  version: " << version
            << "\n  releases:\n    - name: manual\n      revision: r1\n      editions:\n"
               "        ar: {render: [run-1], publish: run-3}\n        fr: {render: ["
            << french << "], publish: run-4}\n";
      };
  calendar(1, "run-2");
  start_program();
  int status = 0;
  bool asking = false;
  auto submit = [&](const std::string& ref) {
    status = 0;
    run_until([&] { return status == 201; },
              [&] {
                if (asking) return;
                asking = true;
                send_request(
                    EVHTTP_REQ_POST, "/submissions",
                    [&] {
                      Json j = make_submission(ref);
                      j["shards"] = 1;
                      j["accelerators"] = 0.0;
                      return j;
                    }(),
                    [&](int step, const Json&) {
                      asking = false;
                      status = step;
                    });
              });
  };
  for (const char* ref : {"run-3", "run-4", "run-1"}) submit(ref);
  run_until([&] { return worker_.has("run-1/0"); }, [] {});
  worker_.finish("run-1/0", EndCause::done);
  run_until([&] { return state_.keys().count("f/run-1") != 0; }, [] {});
  stop_program();
  start_program();
  // In the new calendar another job renders the French edition.
  calendar(2, "run-5");
  kill(pid_, SIGHUP);
  submit("run-5");
  run_until([&] { return worker_.has("run-5/0"); }, [] {});
  EXPECT_EQ(run_log_.starts["run-3/0"] + run_log_.starts["run-4/0"], 0);
  worker_.finish("run-5/0", EndCause::done);
  run_until([&] { return worker_.has("run-3/0") && worker_.has("run-4/0"); }, [] {});
  EXPECT_EQ(state_.keys().at("o/d/release/manual").value.at("s"), "decided");
}

TEST_F(Loopback, ConnectionsBeyondTheLimitAreNotKeptAlive) {
  for (int limit : {1 << 20, 0}) {
    net::HttpServer server(base_.get(), {"127.0.0.1", 0}, 1024,
                           [](Request&& request) { request.responder->reply(200, "x"); });
    server.keep_alive_below(limit);
    struct ConnectionResult {
      event_base* base;
      int status = 0;
      bool closes_connection = false;
    } seen{base_.get()};
    net::ConnectionPtr conn(
        evhttp_connection_base_new(base_.get(), nullptr, "127.0.0.1", server.address().port));
    evhttp_request* raw_request = evhttp_request_new(
        [](evhttp_request* response, void* arg) {
          auto* result = static_cast<ConnectionResult*>(arg);
          result->status = response != nullptr ? evhttp_request_get_response_code(response) : -1;
          const char* c = response != nullptr
                              ? evhttp_find_header(evhttp_request_get_input_headers(response), "Connection")
                              : nullptr;
          result->closes_connection = c != nullptr && std::string(c) == "close";
          event_base_loopbreak(result->base);
        },
        &seen);
    evhttp_make_request(conn.get(), raw_request, EVHTTP_REQ_GET, "/");
    event_base_dispatch(base_.get());
    EXPECT_EQ(seen.status, 200);
    EXPECT_EQ(seen.closes_connection, limit == 0);
  }
}

TEST(Program, InvalidArgumentsAndSettingsExitWithOneLineError) {
  struct Case {
    const char* args;
    int status;
    const char* message;
  };
  const Case cases[] = {
      {"", 2, "--config"},
      {"--config", 2, "--config"},
      {"--config /no/such/file.toml", 2, "/no/such/file.toml"},
      {"--config x --frob", 2, "oxbowmill: "},
      {"--version", 0, "oxbowmill 0."},
      {"--help", 0, "--operator"},
  };
  for (const Case& test_case : cases) {
    std::string command = std::string(CONTROLLER_PROGRAM) + " " + test_case.args + " 2>&1";
    FILE* out = popen(command.c_str(), "r");
    ASSERT_NE(out, nullptr);
    std::string text;
    char buf[512];
    while (fgets(buf, sizeof buf, out) != nullptr) text += buf;
    int status = WEXITSTATUS(pclose(out));
    EXPECT_EQ(status, test_case.status) << test_case.args;
    EXPECT_NE(text.find(test_case.message), std::string::npos) << test_case.args << ": " << text;
    if (status == 2) {
      EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1) << text;
    }
  }
}

TEST_F(Loopback, StatusPollsShareAWatchAndReadTheLatestState) {
  // Polls that each read the job from the state service once used up its whole request limit.
  long_poll_s_ = 0;
  start_program();
  int up_status = 0, asked = 0, answered = 0, status = 0;
  Json answer;
  auto request_once = [&](evhttp_cmd_type m, const std::string& path, const Json& body,
                          int& received_status) {
    if (asked > answered) return;
    ++asked;
    send_request(m, path, body, [&](int step, const Json& json) {
      ++answered;
      received_status = step;
      answer = json;
    });
  };
  run_until([&] { return up_status == 200; },
            [&] { request_once(EVHTTP_REQ_GET, "/up", Json(), up_status); });
  run_until([&] { return status == 201; },
            [&] { request_once(EVHTTP_REQ_POST, "/submissions", make_submission("run-1"), status); });
  asked = answered = job_reads_ = 0;
  run_until([&] { return answered >= job_reads_ + 20; },
            [&] {
              if (asked > answered) return;
              for (int i = 0; i < 4; ++i) {
                ++asked;
                send_request(EVHTTP_REQ_GET, "/submissions/run-1", Json(), [&](int step, const Json&) {
                  ++answered;
                  EXPECT_EQ(step, 200);
                });
              }
            });
  run_until([&] { return asked == answered; }, [] {});
  // Another controller has confirmed the cancellation to the user, so every later poll must return it.
  Json cancelled = state_.keys().at("o/j/run-1").value;
  cancelled["p"] = "cancelled";
  state_.txn({{"guards", Json::array()}, {"apply", {{{"put", "o/j/run-1"}, {"value", cancelled}}}}});
  answer = Json::object();
  run_until([&] { return !answer.empty(); },
            [&] { request_once(EVHTTP_REQ_GET, "/submissions/run-1", Json(), status); });
  EXPECT_EQ(answer["phase"], "cancelled");
  stop_program();
}

TEST_F(Loopback, RestartedControllerResumesItsBid) {
  // The cloud has no capacity. One market runs a long auction, the other accepts requests but never responds.
  simulation::MarketBehavior slow;
  slow.name = "north";
  slow.price = 2;
  slow.auction_s = 4;
  slow.delivery_s = 1;
  simulation::MarketBehavior mute = slow;
  mute.name = "south";
  mute.price = 1;
  mute.stall_chance = 1;
  double start = now();
  auto clock = [start] { return now() - start; };
  net::Address any{"127.0.0.1", 0};
  simulation::MarketServer north(base_.get(), any, simulation::SimulatedMarket(slow, 1, {"std"}, {"a"}),
                                 clock);
  simulation::MarketServer south(base_.get(), any, simulation::SimulatedMarket(mute, 2, {"std"}, {"a"}),
                                 clock);
  std::set<std::string> bids;
  int not_durable = 0;
  north.on_request = [&](const Request& r) {
    if (r.path != "/bids") return;
    std::string bid = Json::from_cbor(r.body).at("bid").get<std::string>();
    bids.insert(bid);
    not_durable += state_.keys().count("o/b/" + bid) == 0 ? 1 : 0;
  };
  operator_file_ = ::testing::TempDir() + "oxbowmill-markets-" + std::to_string(::getpid()) + ".yaml";
  std::ofstream(operator_file_)
      << "give_back_s: 1\nidle_keep_s: 1\nmarkets:\n  answer_s: 1\n  trial_share: 1\n  spare_share: 0\n"
         "  ceiling: {per_hour: 100, per_window: 100}\n  list:\n"
      << "    - {name: north, address: \"" << net::to_string(north.address()) << "\"}\n"
      << "    - {name: south, address: \"" << net::to_string(south.address()) << "\"}\n";
  cloud_exhausted_ = true;
  start_program();
  int up_status = 0, status = 0;
  bool asking = false;
  Json answer;
  auto request_once = [&](evhttp_cmd_type m, const std::string& path, const Json& body,
                          int& received_status) {
    if (asking) return;
    asking = true;
    send_request(m, path, body, [&](int step, const Json& json) {
      asking = false;
      received_status = step;
      answer = json;
    });
  };
  run_until([&] { return up_status == 200; },
            [&] { request_once(EVHTTP_REQ_GET, "/up", Json(), up_status); });
  Json job = make_submission("run-1");
  job["loaners"] = false;
  run_until([&] { return status == 201; },
            [&] { request_once(EVHTTP_REQ_POST, "/submissions", job, status); });
  run_until([&] { return !bids.empty(); }, [] {});
  stop_program();
  EXPECT_TRUE(north.market().hosts().empty());  // the controller was killed before the auction ended
  start_program();
  simulation::Worker bought("north.m1", "a", run_log_);
  worker_ = std::move(bought);
  worker_.lease_s = 6;
  run_until([&] { return worker_.has("run-1/0") && worker_.has("run-1/1"); },
            [&] {
              north.market().tick(clock());
              machine_is_up_ = machine_is_up_ || !north.market().hosts().empty();
            });
  EXPECT_EQ(bids.size(), 1U);  // the restarted controller resumed the bid instead of placing another
  EXPECT_EQ(not_durable, 0);
  for (const char* t : {"run-1/0", "run-1/1"}) worker_.finish(t, EndCause::done);
  run_until([&] { return answer.value("phase", "") == "done"; },
            [&] { request_once(EVHTTP_REQ_GET, "/submissions/run-1", Json(), status); });
  // The machine has been returned, and its actual cost has replaced the committed amount.
  run_until([&] { return state_.keys().count("o/l/ledger") == 1; }, [] {});
  EXPECT_TRUE(north.market().hosts().at("north.m1").returned);
  for (const auto& [key, e] : state_.keys()) EXPECT_NE(key.rfind("o/b/", 0), 0U) << key;
  EXPECT_TRUE(run_log_.duplicated_tasks.empty());
  EXPECT_EQ(waitpid(pid_, nullptr, WNOHANG), 0);
}

TEST_F(Loopback, CommandLineSubmitsWaitsAndCancels) {
  start_program();
  std::string out, job = ::testing::TempDir() + "oxbow-job-" + std::to_string(::getpid()) + ".yaml";
  std::ofstream(job)
      << "ref: run-1\njobclass: c\nshards: 2\naccelerators: 1\nbundle: img\nsize_gb: 1\nloaners: true\n";
  int up_status = 0;
  bool asking = false;
  run_until([&] { return up_status == 200; },
            [&] {
              if (asking) return;
              asking = true;
              send_request(EVHTTP_REQ_GET, "/up", Json(), [&](int step, const Json&) {
                asking = false;
                up_status = step;
              });
            });
  struct Case {
    std::string args;
    int exit_code;
    const char* message;
  };
  const Case before[] = {
      {"--team red submit " + job, 0, "run-1 queued"},
      {"--team red submit " + job, 0, "run-1 "},  // repeated submission of the same job
      {"--team nobody submit " + job + " --ref run-2", 3, "can never run"},
      {"submit " + job, 2, "owner: missing"},
      {"--team red submit " + job + " --shards many", 2, "--shards: not of the right kind"},
      {"--team red submit /no/such/file", 2, "/no/such/file"},
      {"status run-77", 4, "no such job"},
      {"--json status run-77", 4, "\"again\":false"},
      {"status", 2, "ref is required"},
      {"--nodes nowhere status run-1", 2, "'nowhere' is not HOST:PORT"},
      {"--nodes 127.0.0.1:1 --patience 1 status run-1", 5, "no node took it in time"},
      {"--help", 0, "withdraw"},
  };
  for (const Case& c : before) {
    EXPECT_EQ(run_command_line(c.args, out), c.exit_code) << c.args << ": " << out;
    EXPECT_NE(out.find(c.message), std::string::npos) << c.args << ": " << out;
  }
  run_until([&] { return worker_.has("run-1/0") && worker_.has("run-1/1"); }, [] {});
  EXPECT_EQ(run_command_line("wait run-1 --within 1", out), 6) << out;
  for (const char* t : {"run-1/0", "run-1/1"}) worker_.finish(t, EndCause::done);
  EXPECT_EQ(run_command_line("--json wait run-1", out), 0) << out;
  EXPECT_NE(out.find("\"phase\":\"done\""), std::string::npos) << out;
  EXPECT_EQ(run_command_line("--team red submit " + job + " --ref run-3", out), 0) << out;
  EXPECT_EQ(run_command_line("withdraw run-3", out), 0) << out;
  EXPECT_EQ(run_command_line("status run-3", out), 1) << out;
  EXPECT_NE(out.find("run-3 cancelled"), std::string::npos) << out;
  std::remove(job.c_str());
}

}  // namespace
}  // namespace oxbowmill
