// Random bodies for everything that decodes or handles them, in one process and sent to real controllers. The
// environment variable OXBOW_BODIES sets the number of bodies of each test, OXBOW_BODIES_SEED the seed.
#include "body_generator.h"
#include "controller_process.h"
#include "oxbowmill/market/calls.h"
#include "oxbowmill/service/admission.h"
#include "oxbowmill/service/peers.h"
#include "oxbowmill/simulation/simulated_cluster.h"
#include "oxbowmill/state/keys.h"
#include "oxbowmill/state/responses.h"
#include "oxbowmill/utf8.h"
#include "oxbowmill/wire/market_codec.h"

namespace oxbowmill {
namespace {

std::size_t number_from_environment(const char* name, std::size_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}
std::size_t body_count(std::size_t in_ci) {
  return number_from_environment("OXBOW_BODIES", in_ci);
}

/// A message of each kind that a controller receives.
std::vector<Json> messages() {
  const Json task = {
      {"shard", "run-1/0"}, {"try", 1}, {"phase", "ended"}, {"cause", "done"}, {"stored", true}};
  const Json report = {{"host", "host-1"}, {"address", "127.0.0.1:1"},
                       {"rig", "std"},     {"yard", "a"},
                       {"loaners", false}, {"tenure", 1},
                       {"serial", 2},      {"warrant", 3},
                       {"recall_s", 5.0},  {"shards", {task, task}},
                       {"part", nullptr}};
  const Json job_value = {{"p", "open"}, {"spec", make_submission("run-2")}};
  const Json change = {{"put", "o/j/run-8"}, {"value", job_value}, {"stamp", 101}};
  return {make_submission("run-1"),
          report,
          {{"ledger_rev", 5},
           {"items", {{{"k", "o/j/run-8"}, {"value", job_value}, {"stamp", 1}}}},
           {"truncated", false}},
          {{"ledger_rev", 1000}, {"news", {change, {{"delete", "o/m/host-1"}, {"stamp", 102}}}}},
          {{"k", "o/m/host-1"},
           {"value", {{"part", "red"}, {"type", "std"}, {"zone", "a"}, {"spot", false}, {"del", false}}},
           {"stamp", 9}},
          {{"grant", 7}},
          {{"hosts", {{{"host", "host-1"}, {"rig", "std"}, {"yard", "a"}, {"loaners", false}}}},
           {"truncated", false}},
          {{"quotes",
            {{{"quote", "q1"},
              {"rig", "std"},
              {"yard", "a"},
              {"loaners", false},
              {"price", 3.5},
              {"count", 2}}}}},
          {{"bid", "b1"}, {"phase", "won"}, {"price", 2.5}, {"hosts", {"host-1"}}}};
}

BodyGenerator generator(std::uint64_t seed) {
  return {number_from_environment("OXBOW_BODIES_SEED", seed), messages()};
}

std::string as_hex(const std::string& body) {
  constexpr std::size_t max_printed = 200;
  std::string out;
  for (unsigned char byte : body.substr(0, max_printed)) {
    out += "0123456789abcdef"[byte >> 4];
    out += "0123456789abcdef"[byte & 0xf];
  }
  return out;
}

/// Puts an empty byte string in place of each integer below -2^63. The library reads it as a signed number
/// that is not negative, which it makes of no other item.
void cut_integers_below_range(Json& json) {
  bool is_signed = json.is_number_integer() && !json.is_number_unsigned();
  if (is_signed && json.get<std::int64_t>() >= 0) json = Json::binary({});
  if (!json.is_structured()) return;
  for (Json& item : json) cut_integers_below_range(item);
}

/// What the library decodes by itself. Its decoder calls itself for each level.
std::optional<Json> decode_recursively(const std::string& body) {
  if (body.size() > wire::max_body_size) return std::nullopt;
  try {
    Json json = Json::from_cbor(body);
    if (!json.is_object() || wire::find_invalid_text(json)) return std::nullopt;
    cut_integers_below_range(json);
    return json;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

TEST(RandomBodies, DecodedAsByTheRecursiveDecoder) {
  BodyGenerator bodies = generator(1);
  std::size_t readable = 0;
  for (std::size_t i = 0; i < body_count(60'000) && !HasFailure(); ++i) {
    std::string body = bodies.next();
    if (bodies.is_deep()) continue;
    SCOPED_TRACE("body " + std::to_string(i) + ": " + as_hex(body));
    auto decoded = wire::decode_map(body);
    auto expected = decode_recursively(body);
    // RFC 8949 allows strings of definite length alone as parts of a string; the library allows others.
    if (!decoded && decoded.error().find("invalid part of a string") != std::string::npos) continue;
    ASSERT_EQ(static_cast<bool>(decoded), expected.has_value()) << decoded.error();
    if (!decoded) continue;
    ++readable;
    // As CBOR, since a float that is not a number differs from itself.
    EXPECT_EQ(wire::encode(*decoded), wire::encode(*expected));
  }
  EXPECT_GT(readable, body_count(60'000) / 20);
}

// Guards against a report that is read in another way task by task than as a whole.
TEST(RandomBodies, ReportIsReadAsFromTheWholeContent) {
  BodyGenerator bodies = generator(6);
  for (std::size_t i = 0; i < body_count(30'000) && !HasFailure(); ++i) {
    std::string body = bodies.next();
    SCOPED_TRACE("body " + std::to_string(i) + ": " + as_hex(body));
    auto decoded = wire::decode_map(body);
    auto expected = decoded ? wire::read_report(*decoded) : std::nullopt;
    auto received = wire::decode_report(body);
    ASSERT_EQ(received.report.has_value(), expected.has_value()) << received.error;
    if (expected) {
      EXPECT_EQ(received.report->machine, expected->machine);
      EXPECT_EQ(received.report->tasks.size(), expected->tasks.size());
    }
  }
}

/// Does everything that a controller does to a body, whoever sent it.
void handle(const std::string& body, Names& names, ClusterState& cluster) {
  market::Call call;
  wire::read_market_answer(call, 200, body, 0, names);
  service::decode_peer_update(body);
  for (const wire::BodyRules& rules : {wire::BodyRules{}, wire::large_body_rules, wire::submission_rules}) {
    wire::ListReader events{state::events_field, [&](const Json& event) {
                              auto change = state::read_event(event);
                              if (change && is_valid_utf8(change->key) && change->value != nullptr &&
                                  !wire::find_invalid_text(*change->value))
                                state::decode(change->key, change->value, cluster);
                            }};
    wire::decode_map(body, rules, &events);
    auto decoded = wire::decode_map(body, rules);
    if (!decoded) continue;
    service::admit(*decoded, names, cluster.settings, simulation::test_catalog(), 0);
    wire::read_report(*decoded);
    state::read_key(*decoded);
    state::read_page(*decoded);
    state::read_lease_id(*decoded);
    state::read_watch_revision(*decoded);
    wire::to_json_text(*decoded);
    for (const char* key : {"o/j/run-8", "o/m/host-1", "o/p/red", "o/c/run-8/0", "o/b/north-1"})
      state::decode(key, &*decoded, cluster);
  }
}

TEST(RandomBodies, NoHandlerEndsOnASmallStack) {
  run_on_small_stack([] {
    BodyGenerator bodies = generator(2);
    ClusterState cluster(simulation::test_settings("n"), simulation::test_names());
    Names names = simulation::test_names();
    for (std::size_t i = 0; i < body_count(30'000); ++i) handle(bodies.next(), names, cluster);
  });
}

TEST_F(ControllerProcess, RandomBodiesInRequestsAndResponsesEndNoController) {
  BodyGenerator bodies = generator(3);
  std::size_t answers = 0;
  bool answers_are_random = false;
  auto answer_some = [&](const Request& request) {
    if (!answers_are_random || bodies.below(4) != 0) return false;
    ++answers;
    int status = bodies.below(4) == 0 ? 503 : 200;
    request.responder->reply(status, bodies.next());
    return true;
  };
  answer_for_state_ = answer_some;
  answer_for_cloud_ = answer_some;
  start_program();
  run_until_ready();
  struct Target {
    net::Address address;
    const char* path;
  };
  const std::vector<Target> targets = {{controller_address_, "/submissions"},
                                       {controller_address_, "/hello"},
                                       {controller_address_, "/submissions/run-1/withdraw"},
                                       {peer_address_, "/relay"},
                                       {peer_address_, "/peer"}};
  constexpr std::size_t batch_size = 50;
  for (std::size_t sent = 0; sent < body_count(3'000); sent += batch_size) {
    answers_are_random = sent % (2 * batch_size) == 0;
    std::size_t answered = 0;
    for (std::size_t i = 0; i < batch_size; ++i) {
      const Target& target = targets[bodies.below(targets.size())];
      net::send_once(base_.get(), target.address, EVHTTP_REQ_POST, target.path, bodies.next(), 20,
                     [&answered](const Response& response) { answered += response.status != 0 ? 1 : 0; });
    }
    run_until([&] { return answered == batch_size || !is_running(); }, [] {});
    ASSERT_TRUE(is_running()) << "after " << sent << " bodies and " << answers << " answers";
  }
  answers_are_random = false;
  EXPECT_GT(answers, 0U);
  submit_until_accepted(make_submission("run-last"));
}

}  // namespace
}  // namespace oxbowmill
