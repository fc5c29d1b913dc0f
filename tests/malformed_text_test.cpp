// Texts that are not UTF-8, in everything that the controller and the command line receive: they are refused
// with a reason, or read as unreadable, and never end the program. The regression tests of
// docs/incidents/text-not-utf8.md.
#include "controller_process.h"
#include "oxbowmill/market/calls.h"
#include "oxbowmill/simulation/simulated_cluster.h"
#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill {
namespace {

/// Stands in a message where the bytes are to be that are not UTF-8. Of the same length as these.
const std::string placeholder = "INVALID";
/// Latin-1, an overlong form, a surrogate, and a lead byte without its continuation.
const std::string invalid_texts[] = {"img-\xe9-1", "/\xc0\xaf/img", "\xed\xa0\x80/img", "image-\xc3"};

/// Encodes a message and puts the bytes in the place of each placeholder.
std::string encode_with(const Json& message, const std::string& bytes) {
  std::string body = wire::encode(message);
  for (std::size_t at = 0; (at = body.find(placeholder, at)) != std::string::npos;)
    body.replace(at, placeholder.size(), bytes);
  return body;
}

Json make_report() {
  return {{"host", "host-9"},
          {"address", "127.0.0.1:1"},
          {"rig", "std"},
          {"yard", "a"},
          {"loaners", false},
          {"tenure", 1},
          {"serial", 1},
          {"warrant", 0},
          {"shards", {{{"shard", "run-1/0"}, {"try", 1}, {"phase", "ended"}, {"cause", "done"}}}}};
}

TEST(MalformedText, BodyWithATextThatIsNotUtf8IsNotDecoded) {
  for (const std::string& bytes : invalid_texts) {
    ASSERT_EQ(bytes.size(), placeholder.size());
    for (const Json& message :
         {Json{{"bundle", placeholder}}, Json{{placeholder, 1}}, Json{{"rigs", {"std", placeholder}}},
          Json{{"unknown", {{"deeper", {{placeholder, true}}}}}}}) {
      EXPECT_FALSE(wire::decode_map(encode_with(message, bytes))) << message;
      EXPECT_TRUE(wire::decode_map(encode_with(message, "größe"))) << message;
    }
  }
}

TEST(MalformedText, MarketAnswerWithATextThatIsNotUtf8IsMalformed) {
  Names names = simulation::test_names();
  market::Call call;
  call.kind = market::CallKind::release;
  auto kind_of = [&](const std::string& bytes) {
    std::string body = encode_with({{"returned", {placeholder}}}, bytes);
    return wire::read_market_answer(call, 200, body, 0, names).kind;
  };
  EXPECT_EQ(kind_of("host-17"), market::AnswerKind::ok);
  for (const std::string& bytes : invalid_texts) EXPECT_EQ(kind_of(bytes), market::AnswerKind::malformed);
}

TEST_F(ControllerProcess, SubmissionWithATextThatIsNotUtf8IsRefused) {
  // Guards against a controller that ends when it measures or logs the record of such a job. Its user repeats
  // the submission, which ends the next controllers.
  start_program();
  run_until_ready();
  for (const char* field : {"bundle", "jobclass", "ref", "owner", "shape", "yard", "unknown"}) {
    Json job = make_submission("run-1");
    job[field] = placeholder;
    for (const std::string& bytes : invalid_texts) {
      EXPECT_EQ(status_of(controller_address_, EVHTTP_REQ_POST, "/submissions", encode_with(job, bytes)), 400)
          << field;
      ASSERT_TRUE(is_running()) << field;
    }
  }
  EXPECT_TRUE(has_logged("malformed message kind=submission"));
  EXPECT_TRUE(has_logged("bundle: text is not UTF-8"));
  Json job = make_submission("run-2");
  job["bundle"] = "größe";
  submit_until_accepted(job);
  EXPECT_EQ(status_of(controller_address_, EVHTTP_REQ_GET, "/submissions/run-1", ""), 404);
  EXPECT_EQ(status_of(controller_address_, EVHTTP_REQ_GET, "/submissions/run-2", ""), 200);
}

TEST_F(ControllerProcess, ReportWithATextThatIsNotUtf8IsRefused) {
  // Guards against a controller that ends when it logs the sender of a malformed report, sent by an agent or
  // relayed by another controller.
  start_program();
  run_until_ready();
  for (const char* field : {"host", "address", "rig", "yard", "unknown"}) {
    Json report = make_report();
    report[field] = placeholder;
    for (const std::string& bytes : invalid_texts) {
      std::string body = encode_with(report, bytes);
      EXPECT_EQ(status_of(controller_address_, EVHTTP_REQ_POST, "/hello", body), 400) << field;
      ASSERT_TRUE(is_running()) << field;
      EXPECT_EQ(status_of(peer_address_, EVHTTP_REQ_POST, "/relay", body), 400) << field;
      ASSERT_TRUE(is_running()) << field;
    }
  }
  EXPECT_TRUE(has_logged("malformed message kind=report"));
  EXPECT_TRUE(has_logged("rig: text is not UTF-8"));
  submit_until_accepted(make_submission("run-1"));
}

TEST_F(ControllerProcess, CloudAnswersWithATextThatIsNotUtf8AreRefused) {
  // Guards against names from the cloud that end a controller when it logs a record that holds them.
  std::set<std::string> malformed_answers;
  answer_for_cloud_ = [&](const Request& request) {
    bool is_list = request.path == "/rentals" && request.method == EVHTTP_REQ_GET;
    if (request.path != "/catalog" && !is_list) return false;
    if (!malformed_answers.insert(request.path).second) return false;
    Json type = {{"sku", placeholder}, {"vcpus", 8.0},          {"accelerators", 2.0}, {"memory_gb", 32.0},
                 {"cache_gb", 50.0},   {"fetch_gb_per_s", 1.0}, {"rate", 3.0},         {"low_price", 1.0},
                 {"ready_s", 1.0},     {"yards", {"a"}}};
    Json machine = {{"ref", "host-7"}, {"address", placeholder}, {"rig", "std"}, {"yard", "a"},
                    {"loaners", true}, {"phase", "running"},     {"age_s", 60.0}};
    Json answer = is_list ? Json{{"hosts", {machine}}, {"truncated", false}} : Json{{"rigs", {type}}};
    request.responder->reply(200, encode_with(answer, invalid_texts[0]));
    return true;
  };
  start_program();
  submit_until_accepted(make_submission("run-1"));
  run_until([&] { return !is_running() || (agent_.has("run-1/0") && malformed_answers.size() == 2); }, [] {});
  ASSERT_TRUE(is_running());
  EXPECT_TRUE(has_logged("malformed message kind=catalog"));
  EXPECT_TRUE(has_logged("malformed message kind=machine_list"));
}

TEST_F(ControllerProcess, StoredValueWithATextThatIsNotUtf8IsSkipped) {
  // Guards against a stored text that ends every controller when a record with it is written again, and
  // against one that hides the other records of the same answer.
  const std::string& bytes = invalid_texts[0];
  Json spec = make_submission("run-9");
  spec["bundle"] = bytes;
  Json machine = {{"part", "red"}, {"type", bytes}, {"zone", "a"}, {"spot", false}, {"del", false}};
  const Json puts = {
      {{"put", "o/j/run-9"}, {"value", {{"s", spec}, {"p", "open"}, {"at", 1.0}}}},
      {{"put", "o/m/host-8"}, {"value", machine}},
      {{"put", "o/n/" + bytes}, {"value", {{"node", bytes}, {"hold", 1}}}},
  };
  ASSERT_EQ(state_.txn({{"guards", Json::array()}, {"apply", puts}}).status, 200);
  start_program();
  submit_until_accepted(make_submission("run-1"));
  run_until([&] { return !is_running() || (agent_.has("run-1/0") && agent_.has("run-1/1")); }, [] {});
  ASSERT_TRUE(is_running());
  EXPECT_TRUE(has_logged("unreadable value in state service key=\"o/j/run-9\""));
  EXPECT_TRUE(has_logged("unreadable value in state service key=\"o/m/host-8\""));
}

TEST_F(ControllerProcess, RefusalByTheStateServiceWithATextThatIsNotUtf8IsLogged) {
  // Guards against a controller that ends when it logs why the state service refused a transaction.
  bool was_refused = false;
  answer_for_state_ = [&](const Request& request) {
    bool is_placement = request.path == "/txn" && request.body.find("o/c/run-1") != std::string::npos;
    if (!is_placement || was_refused) return false;
    was_refused = true;
    request.responder->reply(400, encode_with({{"error", placeholder}}, invalid_texts[0]));
    return true;
  };
  start_program();
  submit_until_accepted(make_submission("run-1"));
  run_until([&] { return !is_running() || (agent_.has("run-1/0") && agent_.has("run-1/1")); }, [] {});
  ASSERT_TRUE(is_running());
  EXPECT_TRUE(was_refused);
  EXPECT_TRUE(has_logged("transaction malformed"));
}

TEST_F(ControllerProcess, CalendarWithATextThatIsNotUtf8IsNotLoaded) {
  // Guards against a reloaded calendar that ends each controller that writes its terms down.
  operator_file_ = ::testing::TempDir() + "oxbowmill-text-" + std::to_string(::getpid()) + ".yaml";
  auto write_calendar = [this](int version, const std::string& revision) {
    std::ofstream(operator_file_) << "calendar:\n  version: " << version
                                  << "\n  releases:\n    - name: manual\n      revision: " << revision
                                  << "\n      editions:\n        ar: {render: [run-1], publish: run-3}\n"
                                     "        fr: {render: [run-2], publish: run-4}\n";
  };
  write_calendar(1, "r1");
  start_program();
  submit_until_accepted(make_submission("run-5"));
  write_calendar(2, "r\xe9");
  kill(pid_, SIGHUP);
  run_until([&] { return !is_running() || has_logged("release calendar not reloaded"); }, [] {});
  ASSERT_TRUE(is_running());
  EXPECT_TRUE(has_logged("line 5: text is not UTF-8"));
  submit_until_accepted(make_submission("run-6"));
}

TEST_F(ControllerProcess, CommandLineNamesATextThatIsNotUtf8) {
  // Guards against a message of the JSON library in place of the name of the field or of the file.
  start_program();
  run_until_ready();
  std::string output;
  EXPECT_EQ(run_command_line("--team red submit --ref run-1 --bundle \"$(printf 'img-\\351')\"", output), 2);
  EXPECT_NE(output.find("bundle: text is not UTF-8"), std::string::npos) << output;
  std::string job_file = ::testing::TempDir() + "oxbowmill-job-" + std::to_string(::getpid()) + ".yaml";
  std::ofstream(job_file) << "ref: run-1\nbundle: img-\xe9\n";
  EXPECT_EQ(run_command_line("--team red submit " + job_file, output), 2);
  EXPECT_NE(output.find(job_file + ": line 2: text is not UTF-8"), std::string::npos) << output;
  std::remove(job_file.c_str());
  EXPECT_EQ(run_command_line("--json status \"$(printf 'run-\\351')\"", output), 4);
  EXPECT_NE(output.find("no such job"), std::string::npos) << output;
}

}  // namespace
}  // namespace oxbowmill
