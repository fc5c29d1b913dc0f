// Saved progress (docs/progress.md): bounds against the truth, resumption after losses, the detector through
// takeovers, records of earlier versions.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "oxbowmill/lab/cluster.h"
#include "oxbowmill/progress/saved.h"

namespace oxbowmill {
namespace {

using lab::Cluster;
using lab::test_job;
using progress::Ran;
using progress::Saved;

progress::Settings on() {
  progress::Settings s;
  s.enabled = true;
  return s;
}

TEST(Progress, Bounds) {
  struct Case {
    const char* what;
    Saved before;
    Ran ran;
    double every;
    bool stored;
    Saved after;
  };
  const Case cases[] = {
      {"lost between two saves", {}, {100, 105}, 30, false, {0, 90, 120}},
      {"never seen running, but it may have", {}, {0, 35}, 30, false, {0, 0, 30}},
      {"stored as it stopped", {}, {100, 105}, 30, true, {12.5, 100, 131.25}},
      {"a save between multiples is not lost again", {45, 45, 45}, {4, 5}, 30, false, {45, 45, 45}},
      {"resumed and lost", {60, 60, 60}, {80, 80}, 30, false, {60, 120, 150}},
      {"never saves", {30, 30, 30}, {100, 100}, 0, true, {0, 0, 0}},
  };
  for (const Case& k : cases) {
    Saved a = k.stored ? progress::after_store(k.before, k.ran, k.every, on())
                       : progress::after_loss(k.before, k.ran, k.every, on());
    EXPECT_DOUBLE_EQ(a.low, k.after.low) << k.what;
    EXPECT_DOUBLE_EQ(a.likely, k.after.likely) << k.what;
    EXPECT_DOUBLE_EQ(a.high, k.after.high) << k.what;
  }
}

/// A task that runs on machines of changing speed, is lost or stopped again and again, and is reported now
/// and then: the truth lies between the bounds, and the lower one never falls.
RC_GTEST_PROP(ProgressProps, TruthLiesBetweenTheBounds, ()) {
  double every = *rc::gen::element(10.0, 30.0, 45.0), truth = 0;
  Saved saved;
  int attempts = *rc::gen::inRange(1, 8);
  for (int i = 0; i < attempts; ++i) {
    double report_s = *rc::gen::element(1.0, 4.0, 5.0);
    double speed = *rc::gen::element(0.13, 0.17, 0.9, 1.0, 1.1);
    double wait = *rc::gen::inRange(0, 200) / 10.0, ran = *rc::gen::inRange(0, 3000) / 10.0;
    bool stored = *rc::gen::inRange(0, 3) == 0;
    // Reports show it running within what it ran; the start order came before, its end is heard of later.
    double first = *rc::gen::inRange(0, 10) / 10.0 * report_s,
           last = ran - *rc::gen::inRange(0, 10) / 10.0 * report_s;
    Ran seen{std::max(0.0, last - first), wait + ran + report_s};
    double reached = truth + ran * speed;
    truth = stored ? reached : std::max(truth, std::floor(reached / every) * every);
    Saved next = stored ? progress::after_store(saved, seen, every, on())
                        : progress::after_loss(saved, seen, every, on());
    RC_ASSERT(next.low >= saved.low);
    saved = progress::merged(saved, next);
    RC_ASSERT(saved.low <= truth + 1e-9);
    RC_ASSERT(saved.high >= truth - 1e-9);
    RC_ASSERT(saved.low <= saved.likely && saved.likely <= saved.high);
  }
}

struct Tracked {
  explicit Tracked(std::uint32_t tasks, Shape shape = Shape::array, double gpus = 4) : c(3) {
    for (std::size_t i = 0; i < 3; ++i) {
      Model& m = c.node(i).model;
      m.settings.teams[1].most = {};
      m.settings.progress = on();
      m.wall_ahead = 1e-6;  // known
      m.settings.op.give_back_s = 1e6;
    }
    for (std::uint32_t i = 0; i < tasks + 1; ++i)
      c.add_machine("m" + std::to_string(i), i % 2 == 0 ? "a" : "b");
    JobSpec s = test_job("run-1", tasks, gpus);
    s.shape = shape;
    s.estimate_s = 100;
    s.save_every_s = 30;
    c.run(2);
    c.submit(s);
    c.run(2);
  }
  Job& job(std::size_t n = 0) { return c.node(n).model.job(c.node(n).model.find_job("run-1")); }
  std::string at(TaskNo t) const { return c.placed("run-1", t).at(0); }
  void change_owner(std::size_t to) {
    for (std::size_t i = 0; i < 3; ++i) {
      if (i != to) c.kill_node(i);
    }
    c.now += 4;
    c.node(to).sync(c.now);
    c.node(to).hold.lost();
    c.node(to).claim_all(c.now);
  }
  Cluster c;
};

TEST(Progress, ZoneLostWorkGoesOnFromWhatWasSavedUnderANewOwnerToo) {
  Tracked t(2);
  t.c.run(75);
  std::string lost = t.at(0);
  t.c.worker(lost).power_off();
  t.c.silenced.insert(lost);
  t.c.run(16);  // its lease is over
  ASSERT_EQ(t.c.placed("run-1", 0).size(), 1U);
  ASSERT_NE(t.at(0), lost);
  Saved s = t.job().saved_of(0);
  EXPECT_DOUBLE_EQ(s.likely, 60);
  EXPECT_EQ(s.low, 0);
  t.change_owner(1);
  EXPECT_DOUBLE_EQ(t.job(1).saved_of(0).likely, 60);
  EXPECT_FALSE(t.job(1).saved_of(1).any());
}

TEST(Progress, ANewOwnerKnowsWhatHasBegun) {
  // Else every old job looks as if it never had, and one that really has not waits behind all of them.
  Tracked t(2);
  t.c.run(75);
  t.change_owner(1);
  t.c.run(0.5, 1);
  EXPECT_TRUE(t.job(1).has_begun(0) && t.job(1).has_begun(1));
  std::string lost = t.at(0);
  t.c.worker(lost).power_off();
  t.c.silenced.insert(lost);
  t.c.run(20, 1);
  EXPECT_FALSE(waits_to_begin(t.job(1)));
}

TEST(Progress, GangHasOneSavedPointWhoeverOfItTells) {
  Tracked t(3, Shape::gang);
  t.c.run(75);
  // One says peers, and another had saved as it was told to stop then: that came too late to count.
  t.c.worker(t.at(0)).finish("run-1/0", EndCause::peers);
  t.c.worker(t.at(1)).finish("run-1/1", EndCause::peers);
  t.c.run(1);
  EXPECT_DOUBLE_EQ(t.job().saved_of(0).likely, 60);
  EXPECT_DOUBLE_EQ(t.job().saved_of(2).likely, 60);  // of the gang, under whichever task it is asked for
  EXPECT_EQ(t.job().saved.size(), 1U);
}

TEST(Progress, DetectorSeesWhatAnUnbrokenOwnerWould) {
  // Four tasks, three finish after 40 s each, under two owners; the fourth is then compared with their
  // median.
  Tracked t(4, Shape::array, 2);
  t.c.run(38);
  t.c.worker(t.at(0)).finish("run-1/0", EndCause::done);
  t.c.run(1);
  t.change_owner(1);
  t.c.run(0.5, 1);
  ASSERT_EQ(t.job(1).finished_times.size(), 1U);
  EXPECT_NEAR(t.job(1).finished_times[0], 40, 2.5);
  t.c.run(1, 1);
  t.c.worker(t.at(1)).finish("run-1/1", EndCause::done);
  t.c.run(1, 1);
  ASSERT_EQ(t.job(1).finished_times.size(), 2U);
  // Without the record this one would count from the takeover, 2 s.
  EXPECT_GT(t.job(1).finished_times[1], 35);
  EXPECT_LT(t.job(1).finished_times[1], 48);
}

TEST(Progress, ResumedTaskCountsWithWhatItHadSaved) {
  EXPECT_DOUBLE_EQ(progress::execution_time(20, {0, 60, 90}), 110);
  EXPECT_DOUBLE_EQ(progress::remaining(100, {0, 60, 90}), 40);
  EXPECT_DOUBLE_EQ(progress::remaining(100, {0, 160, 200}), 10);
  EXPECT_EQ(progress::in_order({{0, 5, 30}, {1, 6, 10}, {2, 7, 20}}), (std::vector<double>{6, 7, 5}));
}

TEST(Progress, RecordsOfTheLastVersionAreReadAndTheirsCanReadOurs) {
  Cluster c;
  Model& m = c.node(0).model;
  c.submit(test_job("run-1", 3));
  c.node(0).sync(c.now);
  lab::Json old = {{"d", "1"}, {"r", "0"}, {"a", {{1, "m1", 77, 0}}}};
  auto change = state::decode("o/c/run-1/0", &old, m);
  ASSERT_TRUE(change.has_value());
  auto& rec = std::get<ChunkRecord>(change->value);
  EXPECT_LT(rec.placed.at(0).at_s, 0);
  EXPECT_TRUE(rec.saved.empty() && rec.finishes.empty());
  EXPECT_EQ(state::encode_value(*change, m), old);  // and written as it was
  rec.placed[0].at_s = 12.7;
  rec.saved[2] = {3.9, 31.2, 60.1};
  rec.finishes = {{0, 41.26, 55.5}};
  lab::Json now = state::encode_value(*change, m);
  EXPECT_EQ(now.dump(),
            R"({"a":[[1,"m1",77,0,12]],"d":"1","r":"0","s":[[2,3.0,31.0,61.0]],"t":[[0,41.3,55.0]]})");
  // What the earlier version reads of it is what it wrote itself.
  for (const char* key : {"d", "r"}) EXPECT_EQ(now.at(key), old.at(key));
  auto back = state::decode("o/c/run-1/0", &now, m);
  ASSERT_TRUE(back.has_value());
  EXPECT_DOUBLE_EQ(std::get<ChunkRecord>(back->value).saved.at(2).low, 3);
  for (const char* junk :
       {R"({"a":[],"s":[[1]],"t":"x"})", R"({"a":[],"s":[["a","b","c","d"]],"t":[null]})"}) {
    lab::Json j = lab::Json::parse(junk);
    auto read = state::decode("o/c/run-1/0", &j, m);
    ASSERT_TRUE(read.has_value()) << junk;
    EXPECT_TRUE(std::get<ChunkRecord>(read->value).saved.empty()) << junk;
  }
}

TEST(Progress, HintsNeverCostAPlacementItsRecord) {
  Cluster c;
  Model& m = c.node(0).model;
  m.settings.value_kb = 4;
  c.submit(test_job("run-1", 64));
  c.node(0).sync(c.now);
  ChunkRecord rec;
  for (TaskNo t = 0; t < 64; ++t) {
    rec.placed.push_back(
        {t, m.intern_machine("market-north.host-" + std::to_string(1000 + t)), 1ULL << 50, false, 99});
    rec.saved[t] = {10000, 20000, 30000};
  }
  lab::Json j = state::encode_value({ChunkKey{m.find_job("run-1"), 0}, rec}, m);
  EXPECT_LE(j.dump().size(), 4096U);
  EXPECT_EQ(j.at("a").size(), 64U);
}

}  // namespace
}  // namespace oxbowmill
