// Items of every kind that CBOR can nest, in everything that the programs receive: the stack that is used
// does not depend on the body. The regression tests of docs/incidents/nested-strings.md.
#include "controller_process.h"
#include "nested_bodies.h"
#include "oxbowmill/market/calls.h"
#include "oxbowmill/service/peers.h"
#include "oxbowmill/simulation/simulated_cluster.h"
#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill {
namespace {

constexpr std::size_t request_size = 60'000;      // in bytes
constexpr std::size_t response_size = 3'000'000;  // in bytes

/// Does everything that the programs do to a body whatever it holds.
bool handle_body(const std::string& body, const wire::BodyRules& rules) {
  auto decoded = wire::decode_map(body, rules);
  if (!decoded) return false;
  Json copy = *decoded;
  bool is_valid = !wire::find_invalid_text(copy) && !wire::to_json_text(copy).empty();
  return is_valid && wire::decode_map(wire::encode(copy), rules);
}

/// Whether a body with a closed nested item at this position is a map whose keys are texts.
bool is_readable(const NestingKind& kind, const BodyPosition& position) {
  if (!kind.is_well_formed || !kind.is_in_json || position.name == "the key of a field") return false;
  return position.name != "the body" || kind.name == "maps" || kind.name == "maps of indefinite length";
}

void expect_handled(const NestingKind& kind, const BodyPosition& position, bool is_closed) {
  SCOPED_TRACE(kind.name + " as " + position.name + (is_closed ? "" : ", not closed"));
  std::string request = position.before + nested_item(kind, request_size, is_closed) + position.after;
  EXPECT_EQ(handle_body(request, {}), is_closed && is_readable(kind, position));
  std::string response = position.before + nested_item(kind, response_size, is_closed) + position.after;
  EXPECT_FALSE(handle_body(response, wire::large_body_rules));
}

TEST(MalformedDepth, DecodingTakesAFixedAmountOfStack) {
  run_on_small_stack([] {
    for (const NestingKind& kind : nesting_kinds()) {
      for (const BodyPosition& position : body_positions()) {
        expect_handled(kind, position, true);
        expect_handled(kind, position, false);
      }
    }
  });
}

TEST(MalformedDepth, MarketAnswersAndPeerUpdatesTakeAFixedAmountOfStack) {
  run_on_small_stack([] {
    Names names = simulation::test_names();
    for (const NestingKind& kind : nesting_kinds()) {
      for (const BodyPosition& position : body_positions()) {
        std::string body =
            position.before + nested_item(kind, wire::max_market_body_size - 100, true) + position.after;
        EXPECT_EQ(wire::read_market_answer(market::Call{}, 200, body, 0, names).kind,
                  market::AnswerKind::malformed)
            << kind.name;
      }
    }
    for (const char* level : {"\x91", "\x81\xa0", "\x81", "\xdc\x00\x01"})
      EXPECT_FALSE(service::decode_peer_update(nested_item({"", level, "", "", true}, request_size, true)));
  });
}

TEST(MalformedDepth, TextOfSeveralPartsIsReadable) {
  auto body = wire::decode_map("\xa1\x63ref\x7f\x62ru\x62n-\x61\x31\xff");
  ASSERT_TRUE(body);
  EXPECT_EQ(body->at("ref"), "run-1");
}

TEST(MalformedDepth, UnknownFieldsAreIgnoredAtAnyDepth) {
  for (const NestingKind& kind : nesting_kinds()) {
    if (!kind.is_well_formed || !kind.is_in_json) continue;
    std::string unknown = "\x67unknown" + nested_item(kind, request_size, true);
    auto body = wire::decode_map("\xa2" + unknown + "\x63ref\x65run-1");
    ASSERT_TRUE(body) << kind.name << ": " << body.error();
    EXPECT_EQ(body->at("ref"), "run-1") << kind.name;
  }
}

TEST(MalformedDepth, ContentIsKeptUpToTheLevelsOfMessages) {
  auto levels_of = [](const Json& json) {
    std::size_t levels = 0;
    for (const Json* item = &json; item->is_array() && !item->empty(); item = &item->front()) ++levels;
    return levels;
  };
  for (std::size_t levels : {std::size_t{5}, wire::max_kept_nesting - 1}) {
    auto body = wire::decode_map("\xa1\x61x" + std::string(levels, '\x81') + "\x01");
    ASSERT_TRUE(body);
    EXPECT_EQ(levels_of(body->at("x")), levels);
  }
  auto body = wire::decode_map("\xa2\x61x" + std::string(1000, '\x81') + "\x80\x61y\x81\x81\x02");
  ASSERT_TRUE(body);
  EXPECT_EQ(levels_of(body->at("x")), wire::max_kept_nesting - 1);
  EXPECT_EQ(body->at("y"), Json({{2}}));
}

TEST(MalformedDepth, FieldWithMoreItemsThanAllowedIsCutOut) {
  wire::BodyRules rules;
  rules.max_field_items = 4;
  Json deep = 1;
  for (int level = 0; level < 100; ++level) deep = Json::array({deep});
  const Json message = {{"a", {1, 2, 3, 4, 5}},
                        {"b", {1, {{"x", "y"}}}},
                        {"c", {1, deep, 2, 3, 4}},
                        {"d", {{"e", 1}, {"f", 2}, {"g", 3}}},
                        {"ref", "run-1"}};
  auto body = wire::decode_map(wire::encode(message), rules);
  ASSERT_TRUE(body) << body.error();
  const Json cut_out = Json::binary({});
  EXPECT_EQ(*body,
            Json({{"a", cut_out}, {"b", message["b"]}, {"c", cut_out}, {"d", cut_out}, {"ref", "run-1"}}));
  auto indefinite = wire::decode_map("\xbf\x61\x61\x9f\x01\x02\x03\x04\x05\xff\x61\x62\x01\xff", rules);
  ASSERT_TRUE(indefinite) << indefinite.error();
  EXPECT_EQ(*indefinite, Json({{"a", cut_out}, {"b", 1}}));
}

TEST(MalformedDepth, ListOfTooManyMachineTypesIsMalformedAndInAnUnknownFieldIgnored) {
  Names names = simulation::test_names();
  Json submission = make_submission("run-1");
  auto read = [&] {
    JobSpec spec;
    auto body = wire::decode_map(wire::encode(submission), wire::submission_rules);
    return body ? wire::read_submission(*body, names, spec) : wire::Rejection{400, body.error()};
  };
  submission["unknown"] = std::vector<int>(60'000, 1);
  EXPECT_FALSE(read());
  submission["rigs"] = std::vector<std::string>(64, names.types.name(TypeIndex{0}));
  EXPECT_FALSE(read());
  for (std::size_t count : {65, 1000}) {
    submission["rigs"] = std::vector<std::string>(count, names.types.name(TypeIndex{0}));
    ASSERT_TRUE(read()) << count;
    EXPECT_EQ(read()->reason, "rigs: missing or invalid") << count;
  }
}

TEST_F(ControllerProcess, NestedStringsOfIndefiniteLengthInRequestsEndNoController) {
  start_program();
  run_until_ready();
  struct Target {
    net::Address address;
    evhttp_cmd_type method;
    const char* path;
    int status;
  };
  for (const NestingKind& kind : nesting_kinds()) {
    for (const BodyPosition& position : body_positions()) {
      std::string body = position.before + nested_item(kind, request_size, true) + position.after;
      for (const Target& target : {Target{controller_address_, EVHTTP_REQ_POST, "/submissions", 400},
                                   {controller_address_, EVHTTP_REQ_POST, "/hello", 400},
                                   {controller_address_, EVHTTP_REQ_POST, "/submissions/run-9/withdraw", 404},
                                   {peer_address_, EVHTTP_REQ_POST, "/relay", 400},
                                   {peer_address_, EVHTTP_REQ_POST, "/peer", 400}}) {
        EXPECT_EQ(status_of(target.address, target.method, target.path, body), target.status)
            << target.path << " " << kind.name;
        ASSERT_TRUE(is_running()) << target.path << ": " << kind.name << " as " << position.name;
      }
    }
  }
  Json job = make_submission("run-1");
  job["unknown"] = "value";
  std::string body = wire::encode(job);
  // The value is a text of five bytes, behind the head that holds its length.
  body.replace(body.find("value") - 1, 6, std::string(30'000, '\x81') + '\x80');
  EXPECT_EQ(status_of(controller_address_, EVHTTP_REQ_POST, "/submissions", body), 201)
      << "a field that the receiver does not know is ignored";
}

TEST_F(ControllerProcess, NestedStringsOfIndefiniteLengthInResponsesEndNoController) {
  std::map<std::string, std::size_t> malformed_responses;
  auto answer_in_turn = [&](const Request& request) {
    std::string call = std::to_string(request.method) + request.path.substr(0, request.path.find('/', 1));
    std::size_t number = malformed_responses[call]++;
    if (number >= 4) return false;
    const NestingKind& kind = nesting_kinds().at(7 + number % 2);
    const BodyPosition& position = body_positions().at(number);
    request.responder->reply(
        200, position.before + nested_item(kind, response_size, number % 2 == 0) + position.after);
    return true;
  };
  answer_for_state_ = answer_in_turn;
  answer_for_cloud_ = answer_in_turn;
  start_program();
  submit_until_accepted(make_submission("run-1"));
  run_until([&] { return !is_running() || (agent_.has("run-1/0") && agent_.has("run-1/1")); }, [] {});
  ASSERT_TRUE(is_running());
  EXPECT_TRUE(has_logged("state service response unreadable path=/txn"));
  EXPECT_TRUE(run_log_.duplicated_tasks.empty());
}

TEST_F(ControllerProcess, NestedStringsOfIndefiniteLengthInAnswersEndNoCommandLine) {
  const NestingKind& kind = nesting_kinds().at(7);
  net::HttpServer server(base_.get(), {"127.0.0.1", 0}, wire::max_body_size, [&](Request&& request) {
    bool is_refusal = request.path.find("run-2") != std::string::npos;
    request.responder->reply(is_refusal ? 404 : 200, "\xa1\x65phase" + nested_item(kind, request_size, true));
  });
  controller_address_ = server.address();
  std::string output;
  EXPECT_EQ(run_command_line("--patience 1 status run-1", output), 5) << output;
  EXPECT_EQ(run_command_line("--patience 1 status run-2", output), 4) << output;
}

}  // namespace
}  // namespace oxbowmill
