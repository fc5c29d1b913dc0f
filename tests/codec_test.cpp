// Tests of the codecs of messages and records: validation, round trips and malformed input.
#include "oxbowmill/wire/codec.h"

#include <gtest/gtest.h>

#include <cmath>

#include "oxbowmill/service/peers.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill {
namespace {

using wire::Json;

Json valid_submission() {
  return {{"ref", "run-000412"}, {"jobclass", "train"},  {"owner", "red"},   {"shape", "gang"},
          {"rank", "high"},      {"shards", 2},          {"vcpus", 8.0},     {"accelerators", 1.0},
          {"memory_gb", 64.0},   {"bundle", "img-07"},   {"size_gb", 6.2},   {"rigs", {"std"}},
          {"yard", nullptr},     {"same_place", true},   {"scatter", false}, {"loaners", true},
          {"runtime_s", 240.0},  {"save_every_s", 30.0}, {"flush_s", 4.0},   {"due_s", 900.0}};
}

TEST(Codec, SubmissionFieldsAreValidated) {
  struct Case {
    const char* field;
    Json value;  // discarded: the field is removed
    int status;  // expected HTTP status of the rejection; 0: accepted
  };
  const Json missing(Json::value_t::discarded);
  const Case cases[] = {
      {"ref", "run-1", 0},
      {"ref", missing, 400},
      {"ref", "", 400},
      {"ref", "a/b", 400},
      {"ref", 7, 400},
      {"ref", std::string(500, 'x'), 400},
      {"owner", "green", 422},
      {"owner", nullptr, 400},
      {"owner", ".pool", 422},
      {"shape", "ring", 400},
      {"rank", "urgent", 400},
      {"rank", missing, 400},
      {"shards", 0, 400},
      {"shards", 100001, 400},
      {"shards", -1, 400},
      {"shards", 1.5, 400},
      {"shards", "2", 400},
      {"vcpus", -0.1, 400},
      {"vcpus", std::nan(""), 400},
      {"vcpus", INFINITY, 400},
      {"vcpus", 33.0, 422},
      {"accelerators", 5.0, 422},
      {"accelerators", 4.0, 0},
      {"accelerators", true, 400},
      {"memory_gb", missing, 400},
      {"rigs", nullptr, 0},
      {"rigs", missing, 0},
      {"rigs", Json::array({"other"}), 422},
      {"rigs", Json::array({1}), 400},
      {"rigs", "std", 400},
      {"yard", "b", 0},
      {"yard", "nowhere", 422},
      {"yard", 1, 400},
      {"same_place", "yes", 400},
      {"due_s", nullptr, 0},
      {"due_s", missing, 0},
      {"due_s", -1.0, 400},
      {"runtime_s", missing, 400},
      {"unknown_field", Json::object(), 0},
  };
  auto catalog = simulation::test_catalog();
  Settings settings = simulation::test_settings("n");
  for (const Case& test_case : cases) {
    Json json = valid_submission();
    if (test_case.value.is_discarded()) {
      json.erase(test_case.field);
    } else {
      json[test_case.field] = test_case.value;
    }
    Names names = simulation::test_names();
    JobSpec spec;
    auto body = wire::decode_map(wire::encode(json));
    ASSERT_TRUE(body) << test_case.field;
    auto rejection = wire::read_submission(*body, names, spec);
    if (!rejection) rejection = wire::check_runnable(spec, settings, catalog);
    EXPECT_EQ(rejection ? rejection->status : 0, test_case.status)
        << test_case.field << " " << (rejection ? rejection->reason : "");
  }
}

TEST(Codec, TeamLimitCountsAllTasksOfGangsButOneOfAnArray) {
  struct Case {
    const char* shape;
    std::uint32_t tasks;
    bool accepted;
  };
  for (const Case& test_case : {Case{"batch", 1000, true}, Case{"gang", 8, true}, Case{"gang", 9, false},
                                Case{"standing", 9, false}}) {
    Json json = valid_submission();
    json["shape"] = test_case.shape;
    json["shards"] = test_case.tasks;
    Names names = simulation::test_names();
    JobSpec spec;
    ASSERT_FALSE(wire::read_submission(json, names, spec));
    EXPECT_EQ(!wire::check_runnable(spec, simulation::test_settings("n"), simulation::test_catalog()),
              test_case.accepted)
        << test_case.shape;
  }
}

TEST(Codec, UnsatisfiableZoneSpreadIsRejected) {
  struct Case {
    std::uint32_t tasks;
    bool single_zone, spread_zones;
    const char* zone;
    bool accepted;
  };
  for (const Case& test_case :
       {Case{2, false, true, nullptr, true}, Case{2, true, true, nullptr, false},
        Case{2, false, true, "a", false}, Case{1, true, true, "a", true}, Case{2, true, false, "a", true}}) {
    Json json = valid_submission();
    json["shards"] = test_case.tasks;
    json["same_place"] = test_case.single_zone;
    json["scatter"] = test_case.spread_zones;
    json["yard"] = test_case.zone == nullptr ? Json() : Json(test_case.zone);
    Names names = simulation::test_names();
    JobSpec spec;
    ASSERT_FALSE(wire::read_submission(json, names, spec));
    auto rejection = wire::check_runnable(spec, simulation::test_settings("n"), simulation::test_catalog());
    EXPECT_EQ(!rejection, test_case.accepted)
        << test_case.tasks << test_case.single_zone << test_case.spread_zones;
    EXPECT_TRUE(!rejection || rejection->status == 422);
  }
}

TEST(Codec, NonMapBodiesAreRejected) {
  std::string valid_body = wire::encode(valid_submission());
  EXPECT_TRUE(wire::decode_map(valid_body));
  EXPECT_FALSE(wire::decode_map(""));
  EXPECT_FALSE(wire::decode_map("{\"ref\":1}"));
  EXPECT_FALSE(wire::decode_map(valid_body + "x"));                             // trailing bytes
  EXPECT_FALSE(wire::decode_map(valid_body.substr(0, valid_body.size() / 2)));  // cut short
  EXPECT_FALSE(wire::decode_map(wire::encode(Json::array({1}))));
  EXPECT_FALSE(wire::decode_map(wire::encode({{"x", std::string(wire::max_body_size, 'x')}})));
}

TEST(Codec, ListReaderGetsEachItemAndTheContentHasTheRest) {
  // Guards against items that are lost, mixed up or taken from a list of the same name at another place.
  const Json lists[] = {Json::array(), Json::array({1, "two", nullptr, true, -4, 2.5}),
                        Json::array({Json::object(), Json::array(), Json::array({Json::array()})}),
                        Json::array({{{"put", "o/c/1"}, {"value", {{"a", {{1, "m", 2}}}}}, {"stamp", 7}},
                                     {{"delete", "o/c/2"}, {"stamp", 8}},
                                     {{"news", {1, 2}}, {"stamp", 9}}})};
  for (const Json& list : lists) {
    const Json before = {{"news", {5}}}, after = {{{"news", 6}}};
    const Json message = {{"a", before}, {"news", list}, {"z", after}, {"ledger_rev", 9}};
    Json items = Json::array();
    wire::ListReader reader{"news", [&items](const Json& item) { items.push_back(item); }};
    auto content = wire::decode_map(wire::encode(message), {}, &reader);
    ASSERT_TRUE(content);
    EXPECT_EQ(items, list);
    EXPECT_EQ(*content, Json({{"a", before}, {"news", Json::array()}, {"z", after}, {"ledger_rev", 9}}));
    EXPECT_EQ(*wire::decode_map(wire::encode(message)), message) << "without a reader nothing is left out";
  }
}

TEST(Codec, ListReaderIsCalledForListsAlone) {
  int items = 0;
  wire::ListReader reader{"news", [&items](const Json&) { ++items; }};
  for (const Json& message : {Json{{"news", 1}}, Json{{"news", {{"news", {1}}}}}, Json{{"other", {1, 2}}}}) {
    auto content = wire::decode_map(wire::encode(message), {}, &reader);
    ASSERT_TRUE(content);
    EXPECT_EQ(*content, message);
  }
  EXPECT_FALSE(wire::decode_map(wire::encode(Json::array({Json::array({1})})), {}, &reader));
  EXPECT_EQ(items, 0);
  std::string body = wire::encode({{"news", {1, 2, 3}}});
  EXPECT_FALSE(wire::decode_map(body.substr(0, body.size() - 1), {}, &reader));
  EXPECT_EQ(items, 0) << "a body that is cut short has no effect at all";
}

TEST(Codec, SubmissionRoundTrip) {
  Names names = simulation::test_names();
  JobSpec spec;
  ASSERT_FALSE(wire::read_submission(valid_submission(), names, spec));
  JobSpec decoded;
  ASSERT_FALSE(wire::read_submission(wire::write_submission(spec, names), names, decoded));
  EXPECT_EQ(wire::write_submission(decoded, names), wire::write_submission(spec, names));
  EXPECT_EQ(decoded.tasks, 2U);
  EXPECT_EQ(decoded.shape, JobShape::gang);
  EXPECT_TRUE(decoded.single_zone);
  EXPECT_DOUBLE_EQ(decoded.deadline_s, 900);
}

Json valid_report() {
  return {{"host", "host-1"},
          {"address", "10.1.0.1:9000"},
          {"rig", "std"},
          {"yard", "a"},
          {"loaners", false},
          {"tenure", 1},
          {"serial", 8},
          {"warrant", 41},
          {"recall_s", nullptr},
          {"shards",
           {{{"shard", "run-1/3"}, {"try", 2}, {"phase", "ended"}, {"cause", "stopped"}, {"stored", true}}}}};
}

TEST(Codec, ReportsWithAMalformedFieldAreRejected) {
  auto report = wire::read_report(valid_report());
  ASSERT_TRUE(report);
  ASSERT_EQ(report->tasks.size(), 1U);
  EXPECT_EQ(report->tasks[0].job, "run-1");
  EXPECT_EQ(report->tasks[0].task, 3U);
  EXPECT_EQ(report->tasks[0].cause, EndCause::stopped);
  EXPECT_TRUE(report->tasks[0].checkpoint_saved);
  EXPECT_LT(report->preemption_notice_s, 0);
  struct Case {
    const char* field;
    Json value;
  };
  for (const Case& test_case :
       {Case{"host", 1}, Case{"tenure", -1}, Case{"serial", "x"}, Case{"warrant", nullptr},
        Case{"shards", nullptr}, Case{"shards", Json::array({1})}, Case{"recall_s", -1.0},
        Case{"shards", {{{"shard", "run-1"}, {"try", 1}, {"phase", "running"}}}},
        Case{"shards", {{{"shard", "run-1/x"}, {"try", 1}, {"phase", "running"}}}},
        Case{"shards", {{{"shard", "run-1/1"}, {"try", 1}, {"phase", "asleep"}}}}}) {
    Json json = valid_report();
    json[test_case.field] = test_case.value;
    EXPECT_FALSE(wire::read_report(json)) << test_case.field;
  }
}

TEST(Codec, StateRecordsRoundTrip) {
  ClusterState cluster(simulation::test_settings("n"), simulation::test_names());
  ChunkRecord chunk;
  chunk.done = ~0ULL;
  chunk.restarted = 1ULL << 63;
  chunk.placements = {{70, cluster.intern_machine("m1"), (1ULL << 60) + 7, true}};
  Change change{ChunkKey{cluster.intern_job("run-1"), 1}, chunk, 0};
  std::string key = state::encode_key(change.key, cluster);
  EXPECT_EQ(key, "o/c/run-1/1");
  Json value = *wire::decode_map(wire::encode(state::encode_value(change, cluster)));
  auto decoded = state::decode(key, &value, cluster);
  ASSERT_TRUE(decoded);
  const auto& record = std::get<ChunkRecord>(decoded->value);
  EXPECT_EQ(record.done, chunk.done);
  EXPECT_EQ(record.restarted, chunk.restarted);
  ASSERT_EQ(record.placements.size(), 1U);
  EXPECT_EQ(record.placements[0].attempt, chunk.placements[0].attempt);
  EXPECT_TRUE(record.placements[0].restarting);
  EXPECT_EQ(record.placements[0].machine, chunk.placements[0].machine);
}

TEST(Codec, UnreadableRecordsAndBodiesAreRejected) {
  ClusterState cluster(simulation::test_settings("n"), simulation::test_names());
  Json number = 3, empty = Json::object();
  for (const char* key : {"o/j/run-1", "o/c/run-1/0", "o/m/m1", "x", "o/z/a"}) {
    EXPECT_FALSE(state::decode(key, &number, cluster)) << key;
    EXPECT_FALSE(state::decode(key, &empty, cluster)) << key;
  }
  EXPECT_FALSE(wire::read_catalog(empty));
  EXPECT_FALSE(wire::read_catalog({{"rigs", {{{"sku", "x"}}}}}));
  EXPECT_FALSE(wire::read_granted_machines({{"hosts", {1}}}));
  EXPECT_FALSE(wire::read_machine_list({{"hosts", {{{"ref", "h"}}}}}));
}

TEST(PeerStatus, RoundTripAndMalformedInputRejected) {
  auto peer_update = service::decode_peer_update(
      service::encode({"n1", 1ULL << 40, true, {"a"}, {{"red", 7, 2, 9, 3}}, {"m1"}}));
  ASSERT_TRUE(peer_update);
  EXPECT_EQ(peer_update->controller, "n1");
  EXPECT_EQ(peer_update->revision, 1ULL << 40);
  EXPECT_TRUE(peer_update->state_service_ok);
  EXPECT_EQ(peer_update->unreachable_zones, std::vector<std::string>{"a"});
  ASSERT_EQ(peer_update->reconciliations.size(), 1U);
  EXPECT_EQ(peer_update->reconciliations[0].partition, "red");
  EXPECT_EQ(peer_update->reconciliations[0].ownership_revision, 7U);
  EXPECT_EQ(peer_update->reconciliations[0].reported, 3U);
  EXPECT_EQ(peer_update->suspected_machines, std::vector<std::string>{"m1"});
  for (const std::string& malformed :
       {std::string(), std::string("x"), std::string("\x81\xa4node", 6), std::string(100, '\xff')}) {
    EXPECT_FALSE(service::decode_peer_update(malformed));
  }
}

TEST(PeerStatus, UpdatesOfOtherVersionsAreDecoded) {
  // Recorded from the version that did not yet send reconciliations and suspected machines: {node, revision,
  // state_ok, dark}.
  const std::string earlier(
      "\x84\xa4node\xa2n1\xa8revision\x2a\xa8state_ok\xc3\xa4"
      "dark\x91\xa1"
      "a",
      37);
  auto peer_update = service::decode_peer_update(earlier);
  ASSERT_TRUE(peer_update);
  EXPECT_EQ(peer_update->revision, 42U);
  EXPECT_TRUE(peer_update->reconciliations.empty());
  EXPECT_TRUE(peer_update->suspected_machines.empty());
  // A later version may encode the optional fields differently. They are dropped and the other fields are
  // used.
  std::string later = earlier;
  later[0] = '\x86';
  later += std::string("\xa6starts\xa1x\xa8suspects\x07", 19);
  peer_update = service::decode_peer_update(later);
  ASSERT_TRUE(peer_update);
  EXPECT_EQ(peer_update->controller, "n1");
  EXPECT_TRUE(peer_update->reconciliations.empty());
}

TEST(PeerStatus, OnlyAnIsolatedControllerStopsServing) {
  struct Case {
    double since_state_response_s;
    bool peer_reaches_state_service, should_serve;
  };
  for (const Case& test_case : {Case{0.5, true, true}, Case{0.5, false, true}, Case{5, true, false},
                                Case{20, false, true}, Case{100, false, false}}) {
    EXPECT_EQ(service::should_serve(test_case.since_state_response_s, test_case.peer_reaches_state_service),
              test_case.should_serve)
        << test_case.since_state_response_s << test_case.peer_reaches_state_service;
  }
}

}  // namespace
}  // namespace oxbowmill
