// The controller program over loopback with stand-ins for the state service, the cloud, the markets and an
// agent.
#include "controller_process.h"

#include "oxbowmill/simulation/market_server.h"

namespace oxbowmill {
namespace {

TEST_F(ControllerProcess, JobCompletesAcrossControllerKill) {
  start_program();
  int up_status = 0;
  bool request_in_flight = false;
  auto request_once = [&](evhttp_cmd_type method, const std::string& path, const Json& body, int& status,
                          Json& answer) {
    if (request_in_flight) return;
    request_in_flight = true;
    send_request(method, path, body, [&](int response_status, const Json& json) {
      request_in_flight = false;
      status = response_status;
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
                                 [&](int response_status, const Json&) {
                                   status = response_status == 0 ? -1 : response_status;
                                 });
              });
    EXPECT_EQ(status, invalid_request.status) << invalid_request.path;
  }

  int status = 0;
  run_until([&] { return status == 201; },
            [&] { request_once(EVHTTP_REQ_POST, "/submissions", make_submission("run-1"), status, answer); });
  status = 0;
  run_until([&] { return status == 200; },
            [&] { request_once(EVHTTP_REQ_POST, "/submissions", make_submission("run-1"), status, answer); });
  run_until([&] { return agent_.has("run-1/0") && agent_.has("run-1/1"); }, [] {});
  agent_.finish("run-1/0", EndCause::done);

  stop_program();
  start_program();
  run_until([&] { return status == 200 && answer.value("done", 0) == 1; },
            [&] { request_once(EVHTTP_REQ_GET, "/submissions/run-1", Json(), status, answer); });
  agent_.finish("run-1/1", EndCause::done);
  run_until([&] { return answer.value("phase", "") == "done"; },
            [&] { request_once(EVHTTP_REQ_GET, "/submissions/run-1", Json(), status, answer); });
  EXPECT_EQ(run_log_.starts["run-1/0"], 1);
  EXPECT_EQ(run_log_.starts["run-1/1"], 1);

  status = 0;
  run_until([&] { return status == 201; },
            [&] { request_once(EVHTTP_REQ_POST, "/submissions", make_submission("run-2"), status, answer); });
  run_until([&] { return agent_.has("run-2/0"); }, [] {});
  run_until([&] { return answer.value("phase", "") == "cancelled"; },
            [&] { request_once(EVHTTP_REQ_POST, "/submissions/run-2/withdraw", Json(), status, answer); });
  run_until([&] { return !agent_.has("run-2/0") && !agent_.has("run-2/1"); }, [] {});
  EXPECT_TRUE(run_log_.duplicated_tasks.empty());
  EXPECT_EQ(waitpid(pid_, nullptr, WNOHANG), 0);  // the controller is still running
}

TEST_F(ControllerProcess, RestartedControllerDoesNotWaitForItsEarlierLease) {
  // No controller lease expires in this test, so the partitions become free only if the new process ends the
  // lease of the old one.
  lease_duration_factor_ = 1e6;
  int status = 0;
  bool request_in_flight = false;
  auto submit = [&](const std::string& ref) {
    if (request_in_flight) return;
    request_in_flight = true;
    send_request(EVHTTP_REQ_POST, "/submissions", make_submission(ref),
                 [&](int response_status, const Json&) {
                   request_in_flight = false;
                   status = response_status;
                 });
  };
  start_program();
  run_until([&] { return status == 201; }, [&] { submit("run-1"); });
  run_until([&] { return agent_.has("run-1/0") && agent_.has("run-1/1"); }, [] {});
  stop_program();
  start_program();
  status = 0;
  run_until([&] { return status == 201; }, [&] { submit("run-2"); });
  // Only the partition's owner marks the job as done and starts the next one.
  for (const char* task : {"run-1/0", "run-1/1"}) agent_.finish(task, EndCause::done);
  run_until([&] { return agent_.has("run-2/0"); }, [] {});
  EXPECT_EQ(run_log_.starts["run-1/0"], 1);
  EXPECT_TRUE(run_log_.duplicated_tasks.empty());
}

TEST_F(ControllerProcess, RepeatedSubmissionIsConfirmedAfterCatalogChange) {
  // The repeated submission reaches a process whose catalog has no machine type that fits the job.
  int status = 0;
  bool request_in_flight = false;
  Json answer;
  auto submit = [&](const std::string& ref, double vcpus) {
    if (request_in_flight) return;
    request_in_flight = true;
    Json body = make_submission(ref);
    body["vcpus"] = vcpus;
    send_request(EVHTTP_REQ_POST, "/submissions", body, [&](int response_status, const Json& json) {
      request_in_flight = false;
      status = response_status;
      answer = json;
    });
  };
  auto has_status = [&](int expected) { return !request_in_flight && status == expected; };
  start_program();
  run_until([&] { return has_status(201); }, [&] { submit("run-1", 8); });
  stop_program();
  type_vcpus_ = 4;
  start_program();
  // New jobs are submitted until one is rejected, which shows that the process uses the changed catalog.
  std::uint64_t job_number = 1;
  run_until([&] { return has_status(422); }, [&] { submit("run-" + std::to_string(++job_number), 8); });
  status = 0;
  run_until([&] { return !request_in_flight && status != 0 && status != 503; }, [&] { submit("run-1", 8); });
  EXPECT_EQ(status, 200);
  EXPECT_EQ(answer.value("ref", ""), "run-1");
}

TEST_F(ControllerProcess, ReleaseIsWithheldAcrossControllerKillAndCalendarReloaded) {
  operator_file_ = ::testing::TempDir() + "oxbowmill-loop-" + std::to_string(::getpid()) + ".yaml";
  auto write_calendar =
      [this](int version, const std::string& french_render_job) {
        std::ofstream(operator_file_)
            << "calendar:\n  version: " << version
            << "\n  releases:\n    - name: manual\n      revision: r1\n      editions:\n"
               "        ar: {render: [run-1], publish: run-3}\n        fr: {render: ["
            << french_render_job << "], publish: run-4}\n";
      };
  write_calendar(1, "run-2");
  start_program();
  int status = 0;
  bool request_in_flight = false;
  auto submit = [&](const std::string& ref) {
    status = 0;
    run_until([&] { return status == 201; },
              [&] {
                if (request_in_flight) return;
                request_in_flight = true;
                send_request(
                    EVHTTP_REQ_POST, "/submissions",
                    [&] {
                      Json job = make_submission(ref);
                      job["shards"] = 1;
                      job["accelerators"] = 0.0;
                      return job;
                    }(),
                    [&](int response_status, const Json&) {
                      request_in_flight = false;
                      status = response_status;
                    });
              });
  };
  for (const char* ref : {"run-3", "run-4", "run-1"}) submit(ref);
  run_until([&] { return agent_.has("run-1/0"); }, [] {});
  agent_.finish("run-1/0", EndCause::done);
  run_until([&] { return state_.keys().count("f/run-1") != 0; }, [] {});
  stop_program();
  start_program();
  // In the new calendar another job renders the French edition.
  write_calendar(2, "run-5");
  kill(pid_, SIGHUP);
  submit("run-5");
  run_until([&] { return agent_.has("run-5/0"); }, [] {});
  EXPECT_EQ(run_log_.starts["run-3/0"] + run_log_.starts["run-4/0"], 0);
  agent_.finish("run-5/0", EndCause::done);
  run_until([&] { return agent_.has("run-3/0") && agent_.has("run-4/0"); }, [] {});
  EXPECT_EQ(state_.keys().at("o/d/release/manual").value.at("s"), "decided");
}

TEST_F(ControllerProcess, ConnectionsBeyondTheLimitAreNotKeptAlive) {
  for (int limit : {1 << 20, 0}) {
    net::HttpServer server(base_.get(), {"127.0.0.1", 0}, 1024,
                           [](Request&& request) { request.responder->reply(200, "x"); });
    server.keep_alive_below(limit);
    struct ConnectionResult {
      event_base* base;
      int status = 0;
      bool closes_connection = false;
    } result{base_.get()};
    net::ConnectionPtr connection(
        evhttp_connection_base_new(base_.get(), nullptr, "127.0.0.1", server.address().port));
    evhttp_request* raw_request = evhttp_request_new(
        [](evhttp_request* response, void* arg) {
          auto* connection_result = static_cast<ConnectionResult*>(arg);
          connection_result->status = response != nullptr ? evhttp_request_get_response_code(response) : -1;
          const char* connection_header =
              response != nullptr
                  ? evhttp_find_header(evhttp_request_get_input_headers(response), "Connection")
                  : nullptr;
          connection_result->closes_connection =
              connection_header != nullptr && std::string(connection_header) == "close";
          event_base_loopbreak(connection_result->base);
        },
        &result);
    evhttp_make_request(connection.get(), raw_request, EVHTTP_REQ_GET, "/");
    event_base_dispatch(base_.get());
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.closes_connection, limit == 0);
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
    FILE* output_pipe = popen(command.c_str(), "r");
    ASSERT_NE(output_pipe, nullptr);
    std::string output;
    char buffer[512];
    while (fgets(buffer, sizeof buffer, output_pipe) != nullptr) output += buffer;
    int status = WEXITSTATUS(pclose(output_pipe));
    EXPECT_EQ(status, test_case.status) << test_case.args;
    EXPECT_NE(output.find(test_case.message), std::string::npos) << test_case.args << ": " << output;
    if (status == 2) {
      EXPECT_EQ(std::count(output.begin(), output.end(), '\n'), 1) << output;
    }
  }
}

TEST_F(ControllerProcess, StatusPollsShareAWatchAndReadTheLatestState) {
  // Polls that each read the job from the state service once used up its whole request limit.
  long_poll_s_ = 0;
  start_program();
  int up_status = 0, sent_requests = 0, received_responses = 0, status = 0;
  Json answer;
  auto request_once = [&](evhttp_cmd_type method, const std::string& path, const Json& body,
                          int& received_status) {
    if (sent_requests > received_responses) return;
    ++sent_requests;
    send_request(method, path, body, [&](int response_status, const Json& json) {
      ++received_responses;
      received_status = response_status;
      answer = json;
    });
  };
  run_until([&] { return up_status == 200; },
            [&] { request_once(EVHTTP_REQ_GET, "/up", Json(), up_status); });
  run_until([&] { return status == 201; },
            [&] { request_once(EVHTTP_REQ_POST, "/submissions", make_submission("run-1"), status); });
  sent_requests = received_responses = job_reads_ = 0;
  run_until([&] { return received_responses >= job_reads_ + 20; },
            [&] {
              if (sent_requests > received_responses) return;
              for (int i = 0; i < 4; ++i) {
                ++sent_requests;
                send_request(EVHTTP_REQ_GET, "/submissions/run-1", Json(),
                             [&](int response_status, const Json&) {
                               ++received_responses;
                               EXPECT_EQ(response_status, 200);
                             });
              }
            });
  run_until([&] { return sent_requests == received_responses; }, [] {});
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

TEST_F(ControllerProcess, RestartedControllerResumesItsBid) {
  // The cloud has no capacity. One market runs a long auction, the other accepts requests but never responds.
  simulation::MarketBehavior slow;
  slow.name = "north";
  slow.price = 2;
  slow.auction_s = 4;
  slow.delivery_s = 1;
  simulation::MarketBehavior unresponsive = slow;
  unresponsive.name = "south";
  unresponsive.price = 1;
  unresponsive.stall_chance = 1;
  double start = now();
  auto clock = [start] { return now() - start; };
  net::Address any_port{"127.0.0.1", 0};
  simulation::MarketServer north(base_.get(), any_port, simulation::SimulatedMarket(slow, 1, {"std"}, {"a"}),
                                 clock);
  simulation::MarketServer south(base_.get(), any_port,
                                 simulation::SimulatedMarket(unresponsive, 2, {"std"}, {"a"}), clock);
  std::set<std::string> bids;
  int bids_without_record = 0;
  north.on_request = [&](const Request& request) {
    if (request.path != "/bids") return;
    std::string bid = Json::from_cbor(request.body).at("bid").get<std::string>();
    bids.insert(bid);
    bids_without_record += state_.keys().count("o/b/" + bid) == 0 ? 1 : 0;
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
  bool request_in_flight = false;
  Json answer;
  auto request_once = [&](evhttp_cmd_type method, const std::string& path, const Json& body,
                          int& received_status) {
    if (request_in_flight) return;
    request_in_flight = true;
    send_request(method, path, body, [&](int response_status, const Json& json) {
      request_in_flight = false;
      received_status = response_status;
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
  simulation::Agent bought_machine_agent("north.m1", "a", run_log_);
  agent_ = std::move(bought_machine_agent);
  agent_.lease_s = 6;
  run_until([&] { return agent_.has("run-1/0") && agent_.has("run-1/1"); },
            [&] {
              north.market().tick(clock());
              machine_is_up_ = machine_is_up_ || !north.market().hosts().empty();
            });
  EXPECT_EQ(bids.size(), 1U);  // the restarted controller resumed the bid instead of placing another
  EXPECT_EQ(bids_without_record, 0);
  for (const char* task : {"run-1/0", "run-1/1"}) agent_.finish(task, EndCause::done);
  run_until([&] { return answer.value("phase", "") == "done"; },
            [&] { request_once(EVHTTP_REQ_GET, "/submissions/run-1", Json(), status); });
  // The machine has been returned, and its actual cost has replaced the committed amount.
  run_until([&] { return state_.keys().count("o/l/ledger") == 1; }, [] {});
  EXPECT_TRUE(north.market().hosts().at("north.m1").returned);
  for (const auto& [key, entry] : state_.keys()) EXPECT_NE(key.rfind("o/b/", 0), 0U) << key;
  EXPECT_TRUE(run_log_.duplicated_tasks.empty());
  EXPECT_EQ(waitpid(pid_, nullptr, WNOHANG), 0);
}

TEST_F(ControllerProcess, CommandLineSubmitsWaitsAndCancels) {
  start_program();
  std::string output, job_file = ::testing::TempDir() + "oxbow-job-" + std::to_string(::getpid()) + ".yaml";
  std::ofstream(job_file)
      << "ref: run-1\njobclass: c\nshards: 2\naccelerators: 1\nbundle: img\nsize_gb: 1\nloaners: true\n";
  int up_status = 0;
  bool request_in_flight = false;
  run_until([&] { return up_status == 200; },
            [&] {
              if (request_in_flight) return;
              request_in_flight = true;
              send_request(EVHTTP_REQ_GET, "/up", Json(), [&](int response_status, const Json&) {
                request_in_flight = false;
                up_status = response_status;
              });
            });
  struct Case {
    std::string args;
    int exit_code;
    const char* message;
  };
  const Case commands_before_start[] = {
      {"--team red submit " + job_file, 0, "run-1 queued"},
      {"--team red submit " + job_file, 0, "run-1 "},  // repeated submission of the same job
      {"--team nobody submit " + job_file + " --ref run-2", 3, "can never run"},
      {"submit " + job_file, 2, "owner: missing"},
      {"--team red submit " + job_file + " --ref null", 2, "ref: missing or not text"},
      {"--team red submit " + job_file + " --shards many", 2, "--shards: value has the wrong type"},
      {"--team red submit /no/such/file", 2, "/no/such/file"},
      {"status run-77", 4, "no such job"},
      {"--json status run-77", 4, "\"again\":false"},
      {"status", 2, "ref is required"},
      {"--nodes nowhere status run-1", 2, "'nowhere' is not HOST:PORT"},
      {"--nodes 127.0.0.1:1 --patience 1 status run-1", 5, "no controller accepted the request in time"},
      {"--help", 0, "withdraw"},
  };
  for (const Case& test_case : commands_before_start) {
    EXPECT_EQ(run_command_line(test_case.args, output), test_case.exit_code)
        << test_case.args << ": " << output;
    EXPECT_NE(output.find(test_case.message), std::string::npos) << test_case.args << ": " << output;
  }
  run_until([&] { return agent_.has("run-1/0") && agent_.has("run-1/1"); }, [] {});
  EXPECT_EQ(run_command_line("wait run-1 --within 1", output), 6) << output;
  for (const char* task : {"run-1/0", "run-1/1"}) agent_.finish(task, EndCause::done);
  EXPECT_EQ(run_command_line("--json wait run-1", output), 0) << output;
  EXPECT_NE(output.find("\"phase\":\"done\""), std::string::npos) << output;
  EXPECT_EQ(run_command_line("--team red submit " + job_file + " --ref run-3", output), 0) << output;
  EXPECT_EQ(run_command_line("withdraw run-3", output), 0) << output;
  EXPECT_EQ(run_command_line("status run-3", output), 1) << output;
  EXPECT_NE(output.find("run-3 cancelled"), std::string::npos) << output;
  std::remove(job_file.c_str());
}

}  // namespace
}  // namespace oxbowmill
