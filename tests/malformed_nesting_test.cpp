// Bodies that are nested far more deeply than any message, in everything that the controller and the command
// line receive: they are refused with a reason and never end the program. The regression tests of
// docs/incidents/deep-nesting.md.
#include "controller_process.h"
#include "oxbowmill/market/calls.h"
#include "oxbowmill/simulation/simulated_cluster.h"
#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill {
namespace {

/// CBOR: an array of one item, which is an array of one item, and so on; the innermost one is empty.
std::string nested_arrays(std::size_t levels) {
  return std::string(levels, '\x81') + '\x80';
}
/// CBOR: a map with one field, whose value is nested.
std::string map_of_nested_arrays(const std::string& field, std::size_t levels) {
  return std::string("\xa1") + static_cast<char>(0x60 + field.size()) + field + nested_arrays(levels);
}
/// Levels that fit into a body of a user or an agent, whose stack is not exhausted by decoding it.
constexpr std::size_t levels_of_request = 65'000;
/// Levels in a body without a size limit.
constexpr std::size_t levels_of_response = 1'000'000;

TEST(MalformedNesting, BodyIsDecodedUpToTheLimitOfItsNesting) {
  EXPECT_TRUE(wire::decode_map(map_of_nested_arrays("rigs", levels_of_request)));
  EXPECT_TRUE(wire::decode_map(map_of_nested_arrays("items", 20), wire::large_body_rules));
  for (std::size_t levels : {levels_of_request, levels_of_response})
    EXPECT_FALSE(wire::decode_map(map_of_nested_arrays("items", levels), wire::large_body_rules)) << levels;
  wire::BodyRules rules;
  rules.max_nesting = 3;
  EXPECT_TRUE(wire::decode_map(map_of_nested_arrays("items", 1), rules));
  EXPECT_FALSE(wire::decode_map(map_of_nested_arrays("items", 2), rules));
  EXPECT_TRUE(wire::decode_map(wire::encode({{"a", {{1}, {2}}}, {"b", {{3}}}}), rules));
}

TEST(MalformedNesting, DeeplyNestedMarketAnswerIsMalformed) {
  std::string body = map_of_nested_arrays("quotes", wire::max_market_body_size - 100);
  Names names = simulation::test_names();
  EXPECT_EQ(wire::read_market_answer(market::Call{}, 200, body, 0, names).kind,
            market::AnswerKind::malformed);
}

TEST_F(ControllerProcess, DeeplyNestedRequestEndsNoController) {
  // Guards against a controller whose stack is exhausted by the functions that decode, copy or log a value
  // and call themselves for each level.
  start_program();
  run_until_ready();
  for (const char* field : {"host", "ref", "owner", "rigs", "shards"}) {
    std::string body = map_of_nested_arrays(field, levels_of_request);
    EXPECT_EQ(status_of(controller_address_, EVHTTP_REQ_POST, "/submissions", body), 400) << field;
    EXPECT_EQ(status_of(controller_address_, EVHTTP_REQ_POST, "/hello", body), 400) << field;
    EXPECT_EQ(status_of(peer_address_, EVHTTP_REQ_POST, "/relay", body), 400) << field;
    EXPECT_EQ(status_of(peer_address_, EVHTTP_REQ_POST, "/peer", nested_arrays(levels_of_request)), 400);
    ASSERT_TRUE(is_running()) << field;
  }
  Json job = make_submission("run-1");
  job["unknown"] = "value";
  std::string body = wire::encode(job);
  // The value is a text of five bytes, behind the head that holds its length.
  body.replace(body.find("value") - 1, 6, nested_arrays(levels_of_request - body.size()));
  EXPECT_EQ(status_of(controller_address_, EVHTTP_REQ_POST, "/submissions", body), 201)
      << "a field that the receiver does not know is ignored";
}

TEST_F(ControllerProcess, DeeplyNestedResponseIsNoResponse) {
  std::set<std::string> malformed_responses;
  auto answer_once = [&](const Request& request) {
    std::string call = std::to_string(request.method) + request.path.substr(0, request.path.find('/', 1));
    if (!malformed_responses.insert(call).second) return false;
    request.responder->reply(200, map_of_nested_arrays("items", levels_of_response));
    return true;
  };
  answer_for_state_ = answer_once;
  answer_for_cloud_ = answer_once;
  start_program();
  submit_until_accepted(make_submission("run-1"));
  run_until([&] { return !is_running() || (agent_.has("run-1/0") && agent_.has("run-1/1")); }, [] {});
  ASSERT_TRUE(is_running());
  EXPECT_TRUE(has_logged("state service response unreadable path=/txn"));
  EXPECT_TRUE(run_log_.duplicated_tasks.empty());
}

}  // namespace
}  // namespace oxbowmill
