// Names on the wire, validation and what bad input becomes.
#include "oxbowmill/wire/codec.h"

#include <gtest/gtest.h>

#include <cmath>

#include "oxbowmill/lab/cluster.h"
#include "oxbowmill/service/peers.h"

namespace oxbowmill {
namespace {

using wire::Json;

Json good_submission() {
  return {{"ref", "run-000412"}, {"jobclass", "train"},  {"owner", "red"},   {"shape", "gang"},
          {"rank", "high"},      {"shards", 2},          {"vcpus", 8.0},     {"accelerators", 1.0},
          {"memory_gb", 64.0},   {"bundle", "img-07"},   {"size_gb", 6.2},   {"rigs", {"std"}},
          {"yard", nullptr},     {"same_place", true},   {"scatter", false}, {"loaners", true},
          {"runtime_s", 240.0},  {"save_every_s", 30.0}, {"flush_s", 4.0},   {"due_s", 900.0}};
}

TEST(Codec, SubmissionFieldsAreChecked) {
  struct Case {
    const char* field;
    Json value;  // discarded: the field is missing
    int status;  // 0: taken
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
      {"unheard_of", Json::object(), 0},
  };
  auto catalog = lab::test_catalog();
  Settings settings = lab::test_settings("n");
  for (const Case& c : cases) {
    Json j = good_submission();
    if (c.value.is_discarded()) {
      j.erase(c.field);
    } else {
      j[c.field] = c.value;
    }
    Names names = lab::test_names();
    JobSpec spec;
    auto body = wire::decode_map(wire::encode(j));
    ASSERT_TRUE(body) << c.field;
    auto rejection = wire::read_submission(*body, names, spec);
    if (!rejection) rejection = wire::check_runnable(spec, settings, catalog);
    EXPECT_EQ(rejection ? rejection->status : 0, c.status)
        << c.field << " " << (rejection ? rejection->reason : "");
  }
}

TEST(Codec, TeamLimitCountsAllTasksOfGangsButOneOfAnArray) {
  struct Case {
    const char* shape;
    std::uint32_t tasks;
    bool taken;
  };
  for (const Case& c : {Case{"batch", 1000, true}, Case{"gang", 8, true}, Case{"gang", 9, false},
                        Case{"standing", 9, false}}) {
    Json j = good_submission();
    j["shape"] = c.shape;
    j["shards"] = c.tasks;
    Names names = lab::test_names();
    JobSpec spec;
    ASSERT_FALSE(wire::read_submission(j, names, spec));
    EXPECT_EQ(!wire::check_runnable(spec, lab::test_settings("n"), lab::test_catalog()), c.taken) << c.shape;
  }
}

TEST(Codec, JobThatHasToBeInTwoZonesAndCannotIsTurnedDown) {
  struct Case {
    std::uint32_t tasks;
    bool same_place, scatter;
    const char* zone;
    bool taken;
  };
  for (const Case& c :
       {Case{2, false, true, nullptr, true}, Case{2, true, true, nullptr, false},
        Case{2, false, true, "a", false}, Case{1, true, true, "a", true}, Case{2, true, false, "a", true}}) {
    Json j = good_submission();
    j["shards"] = c.tasks;
    j["same_place"] = c.same_place;
    j["scatter"] = c.scatter;
    j["yard"] = c.zone == nullptr ? Json() : Json(c.zone);
    Names names = lab::test_names();
    JobSpec spec;
    ASSERT_FALSE(wire::read_submission(j, names, spec));
    auto rejection = wire::check_runnable(spec, lab::test_settings("n"), lab::test_catalog());
    EXPECT_EQ(!rejection, c.taken) << c.tasks << c.same_place << c.scatter;
    EXPECT_TRUE(!rejection || rejection->status == 422);
  }
}

TEST(Codec, BodiesThatAreNoMapAreRefused) {
  std::string good = wire::encode(good_submission());
  EXPECT_TRUE(wire::decode_map(good));
  EXPECT_FALSE(wire::decode_map(""));
  EXPECT_FALSE(wire::decode_map("{\"ref\":1}"));
  EXPECT_FALSE(wire::decode_map(good + "x"));                       // trailing bytes
  EXPECT_FALSE(wire::decode_map(good.substr(0, good.size() / 2)));  // cut short
  EXPECT_FALSE(wire::decode_map(wire::encode(Json::array({1}))));
  EXPECT_FALSE(wire::decode_map(wire::encode({{"x", std::string(wire::most_body, 'x')}})));
}

TEST(Codec, SubmissionSurvivesItsRecord) {
  Names names = lab::test_names();
  JobSpec spec;
  ASSERT_FALSE(wire::read_submission(good_submission(), names, spec));
  JobSpec again;
  ASSERT_FALSE(wire::read_submission(wire::write_submission(spec, names), names, again));
  EXPECT_EQ(wire::write_submission(again, names), wire::write_submission(spec, names));
  EXPECT_EQ(again.tasks, 2U);
  EXPECT_EQ(again.shape, Shape::gang);
  EXPECT_TRUE(again.one_zone);
  EXPECT_DOUBLE_EQ(again.deadline_s, 900);
}

Json good_report() {
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

TEST(Codec, ReportsAreReadOrRefusedWhole) {
  auto r = wire::read_report(good_report());
  ASSERT_TRUE(r);
  ASSERT_EQ(r->tasks.size(), 1U);
  EXPECT_EQ(r->tasks[0].job, "run-1");
  EXPECT_EQ(r->tasks[0].task, 3U);
  EXPECT_EQ(r->tasks[0].cause, EndCause::stopped);
  EXPECT_TRUE(r->tasks[0].saved);
  EXPECT_LT(r->recall_s, 0);
  struct Case {
    const char* field;
    Json value;
  };
  for (const Case& c : {Case{"host", 1}, Case{"tenure", -1}, Case{"serial", "x"}, Case{"warrant", nullptr},
                        Case{"shards", nullptr}, Case{"shards", Json::array({1})}, Case{"recall_s", -1.0},
                        Case{"shards", {{{"shard", "run-1"}, {"try", 1}, {"phase", "running"}}}},
                        Case{"shards", {{{"shard", "run-1/x"}, {"try", 1}, {"phase", "running"}}}},
                        Case{"shards", {{{"shard", "run-1/1"}, {"try", 1}, {"phase", "asleep"}}}}}) {
    Json j = good_report();
    j[c.field] = c.value;
    EXPECT_FALSE(wire::read_report(j)) << c.field;
  }
}

TEST(Codec, RecordsSurviveTheStateService) {
  Model model(lab::test_settings("n"), lab::test_names());
  ChunkRecord chunk;
  chunk.done = ~0ULL;
  chunk.restarted = 1ULL << 63;
  chunk.placed = {{70, model.intern_machine("m1"), (1ULL << 60) + 7, true}};
  Change c{ChunkKey{model.intern_job("run-1"), 1}, chunk, 0};
  std::string key = state::encode_key(c.key, model);
  EXPECT_EQ(key, "o/c/run-1/1");
  Json value = *wire::decode_map(wire::encode(state::encode_value(c, model)));
  auto back = state::decode(key, &value, model);
  ASSERT_TRUE(back);
  const auto& rec = std::get<ChunkRecord>(back->value);
  EXPECT_EQ(rec.done, chunk.done);
  EXPECT_EQ(rec.restarted, chunk.restarted);
  ASSERT_EQ(rec.placed.size(), 1U);
  EXPECT_EQ(rec.placed[0].attempt, chunk.placed[0].attempt);
  EXPECT_TRUE(rec.placed[0].restarting);
  EXPECT_EQ(rec.placed[0].machine, chunk.placed[0].machine);
}

TEST(Codec, UnreadableRecordsAreNoFacts) {
  Model model(lab::test_settings("n"), lab::test_names());
  Json number = 3, empty = Json::object();
  for (const char* key : {"o/j/run-1", "o/c/run-1/0", "o/m/m1", "x", "o/z/a"}) {
    EXPECT_FALSE(state::decode(key, &number, model)) << key;
    EXPECT_FALSE(state::decode(key, &empty, model)) << key;
  }
  EXPECT_FALSE(wire::read_catalog(empty));
  EXPECT_FALSE(wire::read_catalog({{"rigs", {{{"sku", "x"}}}}}));
  EXPECT_FALSE(wire::read_hosts({{"hosts", {1}}}));
  EXPECT_FALSE(wire::read_list({{"hosts", {{{"ref", "h"}}}}}));
}

TEST(Peers, NewsSurvivesTheLinkAndJunkIsRefused) {
  auto n =
      service::decode_news(service::encode({"n1", 1ULL << 40, true, {"a"}, {{"red", 7, 2, 9, 3}}, {"m1"}}));
  ASSERT_TRUE(n);
  EXPECT_EQ(n->node, "n1");
  EXPECT_EQ(n->revision, 1ULL << 40);
  EXPECT_TRUE(n->state_ok);
  EXPECT_EQ(n->dark, std::vector<std::string>{"a"});
  ASSERT_EQ(n->starts.size(), 1U);
  EXPECT_EQ(n->starts[0].part, "red");
  EXPECT_EQ(n->starts[0].claim, 7U);
  EXPECT_EQ(n->starts[0].heard, 3U);
  EXPECT_EQ(n->suspects, std::vector<std::string>{"m1"});
  for (const std::string& junk :
       {std::string(), std::string("x"), std::string("\x81\xa4node", 6), std::string(100, '\xff')}) {
    EXPECT_FALSE(service::decode_news(junk));
  }
}

TEST(Peers, VersionsUnderstandEachOther) {
  // Recorded from the version before starts and suspects were told: {node, revision, state_ok, dark}.
  const std::string earlier(
      "\x84\xa4node\xa2n1\xa8revision\x2a\xa8state_ok\xc3\xa4"
      "dark\x91\xa1"
      "a",
      37);
  auto n = service::decode_news(earlier);
  ASSERT_TRUE(n);
  EXPECT_EQ(n->revision, 42U);
  EXPECT_TRUE(n->starts.empty());
  EXPECT_TRUE(n->suspects.empty());
  // A later one may shape its hints otherwise: they are left out, the rest counts.
  std::string later = earlier;
  later[0] = '\x86';
  later += std::string("\xa6starts\xa1x\xa8suspects\x07", 19);
  n = service::decode_news(later);
  ASSERT_TRUE(n);
  EXPECT_EQ(n->node, "n1");
  EXPECT_TRUE(n->starts.empty());
}

TEST(Peers, OnlyANodeThatIsAloneInTroubleStepsAside) {
  struct Case {
    double since;
    bool peer_ok, serves;
  };
  for (const Case& c : {Case{0.5, true, true}, Case{0.5, false, true}, Case{5, true, false},
                        Case{20, false, true}, Case{100, false, false}}) {
    EXPECT_EQ(service::should_serve(c.since, c.peer_ok), c.serves) << c.since << c.peer_ok;
  }
}

}  // namespace
}  // namespace oxbowmill
