// Answers and records of the state service whose fields are missing or of another type than the protocol
// says: they are read as unreadable and never end the program. The regression tests of
// docs/incidents/fields-of-another-type.md.
#include "controller_process.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

TEST(MalformedField, StoredFlagOfAnotherTypeMakesTheRecordUnreadable) {
  ClusterState cluster(simulation::test_settings("n"), simulation::test_names());
  const Json machine = {{"part", "red"}, {"type", "std"}, {"zone", "a"}, {"spot", false}, {"del", false}};
  ASSERT_TRUE(state::decode("o/m/host-1", &machine, cluster));
  for (const char* field : {"spot", "del", "up"}) {
    for (const Json& value : {Json("yes"), Json(1), Json(nullptr), Json::object()}) {
      Json malformed = machine;
      malformed[field] = value;
      EXPECT_FALSE(state::decode("o/m/host-1", &malformed, cluster)) << field << " " << value;
    }
  }
  const Json bid = {{"market", "north"}, {"type", "std"}, {"zone", "a"}, {"spot", false},    {"limit", 1000},
                    {"term", 60.0},      {"by", 1.0},     {"in", 2.0},   {"n", {{"red", 1}}}};
  ASSERT_TRUE(state::decode("o/b/north-1", &bid, cluster));
  Json malformed = bid;
  malformed["spot"] = "yes";
  EXPECT_FALSE(state::decode("o/b/north-1", &malformed, cluster));
}

TEST_F(ControllerProcess, AnswerOfTheStateServiceWithAFieldOfAnotherTypeIsUnreadable) {
  // Guards against exceptions of the JSON library for a field of another type, and against changes that are
  // skipped because they stand in such an answer. Each call gets these bodies, in place of its first answers.
  const Json change = {{"put", "o/j/run-8"}, {"value", Json::object()}, {"stamp", 101}};
  auto watch_with = [](const Json& events) { return Json{{"ledger_rev", 1000}, {"news", events}}; };
  auto page_with = [](const Json& items) {
    return Json{{"ledger_rev", 1000}, {"items", items}, {"truncated", false}};
  };
  std::map<std::string, std::vector<Json>> bodies;
  bodies["/store"] = {Json(),
                      {{"items", Json::array()}, {"truncated", false}},
                      {{"items", Json::array()}, {"truncated", false}, {"ledger_rev", "many"}},
                      {{"items", Json::array()}, {"truncated", "no"}, {"ledger_rev", 1}},
                      page_with({1}),
                      page_with({{{"k", 1}, {"value", Json::object()}, {"stamp", 1}}}),
                      page_with({{{"k", "o/j/run-8"}, {"value", Json::object()}, {"stamp", "new"}}}),
                      page_with({{{"k", "o/j/run-8"}, {"stamp", 1}}})};
  bodies["/watch"] = {Json(),
                      {{"news", Json::array()}},
                      {{"news", {change}}, {"ledger_rev", "many"}},
                      {{"news", Json::object()}, {"ledger_rev", 1000}},
                      watch_with({1}),
                      watch_with({{{"put", 1}, {"value", Json::object()}, {"stamp", 101}}}),
                      watch_with({{{"put", "o/j/run-8"}, {"stamp", 101}}}),
                      watch_with({{{"put", "o/j/run-8"}, {"value", Json::object()}, {"stamp", "new"}}}),
                      watch_with({{{"delete", "o/j/run-8"}}})};
  bodies["/holds"] = {Json(), {{"grant", "seven"}}, {{"grant", 1.5}}, Json::object()};
  // These transactions are executed, so that the answer alone is at fault.
  bodies["/txn"] = {Json(), {{"ledger_rev", "many"}}, Json::object()};
  bodies["/store/o/j/run-7"] = {Json(),
                                {{"value", 1}, {"stamp", 1}},
                                {{"k", "o/j/run-7"}, {"value", {{"p", "open"}}}, {"stamp", "new"}}};
  std::map<std::string, std::size_t> answered;
  answer_for_state_ = [&](const Request& request) {
    std::size_t number = answered[request.path];
    auto list = bodies.find(request.path);
    if (list == bodies.end() || number == list->second.size()) return false;
    if (request.path == "/txn" && state_.txn(Json::from_cbor(request.body)).status != 200) return false;
    ++answered[request.path];
    const Json& body = list->second[number];
    request.responder->reply(200, body.is_null() ? "" : wire::encode(body));
    return true;
  };
  start_program();
  submit_until_accepted(make_submission("run-1"));
  while (is_running() && answered["/store/o/j/run-7"] < bodies["/store/o/j/run-7"].size())
    EXPECT_NE(status_of(controller_address_, EVHTTP_REQ_POST, "/submissions/run-7/withdraw", ""), 200);
  run_until([&] { return !is_running() || (agent_.has("run-1/0") && agent_.has("run-1/1")); }, [] {});
  ASSERT_TRUE(is_running());
  for (const auto& [path, list] : bodies) EXPECT_EQ(answered[path], list.size()) << path;
  EXPECT_TRUE(has_logged("state service response unreadable path=/store reason="));
  EXPECT_TRUE(has_logged("state service response unreadable path=/watch reason="));
  EXPECT_TRUE(run_log_.duplicated_tasks.empty());
}

}  // namespace
}  // namespace oxbowmill
