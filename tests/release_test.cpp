// Paired editions (docs/release.md): publishing waits for all twins of a revision, through failing
// controllers.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

#include "troubles.h"

namespace oxbowmill {
namespace {

using lab::Cluster;
using lab::test_job;
using release::Calendar;
using release::Terms;

Terms manual(const std::string& revision = "r1", const std::string& tag = "") {
  Terms t;
  t.name = "manual";
  t.revision = revision;
  for (const char* e : {"ar", "fr"}) {
    std::string of = std::string(e) + tag;
    t.editions.push_back({e, {{"run-" + of, "", "", 1}}, {"run-pub-" + of, "", "", 1}});
  }
  return t;
}

/// Controllers that keep to a calendar; editions' jobs of both teams.
struct Paired {
  explicit Paired(const Calendar& calendar = {1, {manual()}}, int nodes = 3) : c(nodes) {
    for (int i = 0; i < nodes; ++i) {
      c.node(static_cast<std::size_t>(i)).agree(calendar);
      c.node(static_cast<std::size_t>(i)).model.settings.teams[1].most = {};
      c.node(static_cast<std::size_t>(i)).model.settings.op.give_back_s = 1e6;
    }
    for (const char* m : {"m1", "m2"}) c.add_machine(m, "a", "red");
    for (const char* m : {"m3", "m4"}) c.add_machine(m, "a", "blue");
    run(3);
  }
  void submit(const std::string& ref, bool blue = false) {
    JobSpec s = test_job(ref, 1);
    s.part = PartIndex{blue ? 2U : 1U};
    c.submit(s);
  }
  void run(double seconds) {
    for (double end = c.now + seconds; c.now < end;) {
      c.run(0.5, owner);
      check();
    }
  }
  /// The owner ends; another takes all of it up.
  void change_owner() {
    c.hand_over(owner, (owner + 1) % 3, 4);
    owner = (owner + 1) % 3;
  }
  bool started(const std::string& ref) { return c.log.starts[ref + "/0"] > 0; }
  bool finish(const std::string& ref, EndCause cause = EndCause::done) {
    for (const char* m : {"m1", "m2", "m3", "m4"}) {
      if (!c.worker(m).has(ref + "/0") || c.worker(m).phase(ref + "/0") == TaskPhase::ended) continue;
      c.worker(m).finish(ref + "/0", cause);
      return true;
    }
    return false;
  }
  std::string state(const std::string& name = "manual") const {
    auto it = c.state.keys().find("o/d/release/" + name);
    return it == c.state.keys().end() ? "" : it->second.value.at("s").get<std::string>();
  }
  /// From outside: a publishing task that has started has all its twins done, by the state service.
  void check() {
    for (const auto& [publish, renders] : twins) {
      if (!started(publish)) continue;
      for (const std::string& r : renders) EXPECT_EQ(c.phase(r), "done") << publish << " ran before " << r;
    }
  }
  Cluster c;
  std::size_t owner = 0;
  std::map<std::string, std::vector<std::string>> twins = {{"run-pub-ar", {"run-ar", "run-fr"}},
                                                           {"run-pub-fr", {"run-ar", "run-fr"}}};
};

TEST(Release, PublishesBothOnceBothHaveRendered) {
  Paired p;
  for (const char* j : {"run-ar", "run-pub-ar"}) p.submit(j);
  for (const char* j : {"run-fr", "run-pub-fr"}) p.submit(j, true);
  p.run(5);
  EXPECT_TRUE(p.started("run-ar") && p.started("run-fr"));
  EXPECT_EQ(p.c.phase("run-pub-ar"), "queued" == p.c.phase("run-pub-ar") ? "queued" : "open");
  ASSERT_TRUE(p.finish("run-ar"));
  p.run(20);
  EXPECT_FALSE(p.started("run-pub-ar"));
  EXPECT_EQ(p.state(), "rendering");
  EXPECT_NE(p.c.node(0).planner->waits_for("manual").find("run-fr"), std::string::npos);
  ASSERT_TRUE(p.finish("run-fr"));
  p.run(2.5);
  EXPECT_TRUE(p.started("run-pub-ar") && p.started("run-pub-fr"));
  EXPECT_EQ(p.state(), "decided");
  p.finish("run-pub-ar");
  p.run(3);
  EXPECT_EQ(p.state(), "decided");
  p.finish("run-pub-fr");
  p.run(3);
  EXPECT_EQ(p.state(), "published");
}

TEST(Release, HardCases) {
  struct Case {
    const char* what;
    std::function<void(Paired&)> act;
    const char* state;
    bool published;
  };
  auto render = [](Paired& p) {
    p.finish("run-ar");
    p.finish("run-fr");
    p.run(3);
  };
  const Case cases[] = {
      {"a twin is cancelled: the other is held, and known",
       [](Paired& p) {
         p.finish("run-ar");
         p.c.withdraw("run-fr");
         p.run(20);
       },
       "broken", false},
      {"a twin is cancelled and the operators name another",
       [](Paired& p) {
         p.finish("run-ar");
         p.c.withdraw("run-fr");
         p.run(5);
         Terms t = manual();
         t.editions[1].renders[0].ref = "run-fr2";
         p.twins = {{"run-pub-ar", {"run-ar", "run-fr2"}}, {"run-pub-fr", {"run-ar", "run-fr2"}}};
         p.c.node(1).planner->load({2, {t}});  // another controller's file is the newer one
         p.c.node(1).hold.opened(p.c.state.open_hold(1e6, p.c.now), p.c.now);
         p.c.node(1).sync(p.c.now);
         p.c.node(1).pass(p.c.now);
         p.submit("run-fr2", true);
         p.run(5);
         p.finish("run-fr2");
         p.run(4);
       },
       "decided", true},
      {"a twin fails for good",
       [](Paired& p) {
         p.finish("run-ar");
         for (int i = 0; i < 10; ++i) {
           p.finish("run-fr", EndCause::error);
           p.run(3);
         }
       },
       "rendering", false},
      {"a newer revision while the older renders: the older's publishing stays held",
       [](Paired& p) {
         p.finish("run-ar");
         p.c.node(0).planner->load({2, {manual("r2", "2")}});
         p.run(3);
         p.finish("run-fr");
         p.run(10);
       },
       "rendering", false},
      {"a newer revision once the older is decided: that is completed first",
       [&](Paired& p) {
         render(p);
         p.finish("run-pub-ar");
         p.c.node(0).planner->load({2, {manual("r2", "2")}});
         p.submit("run-pub-ar2");
         p.run(5);
         EXPECT_EQ(p.state(), "decided");
         EXPECT_FALSE(p.started("run-pub-ar2"));
         p.finish("run-pub-fr");
         p.run(5);
         EXPECT_EQ(p.c.phase("run-pub-fr"), "done");
       },
       "rendering", true},
      {"the release is taken out: its jobs are free",
       [](Paired& p) {
         p.twins.clear();
         p.c.node(0).planner->load({2, {}});
         p.run(6);
       },
       "lifted", true},
      {"the owner ends before the decision",
       [](Paired& p) {
         p.finish("run-ar");
         p.finish("run-fr");
         p.run(0.5);
         p.change_owner();
         p.run(30);
       },
       "decided", true},
      {"all twins were done before anybody read the calendar",
       [](Paired& p) {
         p.finish("run-ar");
         p.finish("run-fr");
         p.run(1);
         p.change_owner();
         p.change_owner();
         p.run(45);
       },
       "decided", true},
      {"the state service is out as the last twin ends",
       [](Paired& p) {
         p.finish("run-ar");
         p.run(2);
         p.finish("run-fr");
         p.c.state.set_outage(true, p.c.now);
         p.run(3);
         p.c.state.set_outage(false, p.c.now);
         p.run(8);
       },
       "decided", true},
      {"a publishing job is lost half way",
       [&](Paired& p) {
         render(p);
         p.finish("run-pub-ar", EndCause::error);
         p.run(6);
         EXPECT_GE(p.c.log.starts["run-pub-ar/0"], 2);
       },
       "decided", true},
      {"a publishing job is cancelled: the other is not held for it",
       [&](Paired& p) {
         p.c.withdraw("run-pub-fr");
         render(p);
         p.run(3);
       },
       "published", false},
  };
  for (const Case& k : cases) {
    SCOPED_TRACE(k.what);
    Paired p;
    for (const char* j : {"run-ar", "run-pub-ar"}) p.submit(j);
    for (const char* j : {"run-fr", "run-pub-fr"}) p.submit(j, true);
    p.run(5);
    k.act(p);
    EXPECT_EQ(p.state(), k.state) << k.what;
    EXPECT_EQ(p.started("run-pub-ar") && p.started("run-pub-fr"), k.published) << k.what;
    // Whatever became of the release: no job of it is unknown, or called done or cancelled by us.
    for (const char* j : {"run-pub-ar", "run-pub-fr"}) EXPECT_NE(p.c.phase(j), "none") << k.what;
  }
}

TEST(Release, JobsNamedByClassAndImageAreWrittenDownBeforeTheyRun) {
  // One that had finished before the new leader came could not be found again by its class.
  Terms t;
  t.name = "manual";
  t.revision = "r1";
  t.editions = {{"ar", {{"", "render", "img-ar", 2}}, {"", "publish", "img-ar", 1}},
                {"fr", {{"", "render", "img-fr", 1}}, {"", "publish", "img-fr", 1}}};
  Paired p({1, {t}});
  p.twins.clear();
  auto submit = [&](const std::string& ref, const char* job_class, const char* image) {
    JobSpec s = test_job(ref, 1);
    Names& n = p.c.node(0).model.names;
    s.job_class = n.classes.intern(job_class);
    s.image = n.images.intern(image);
    p.c.submit(s);
  };
  submit("run-1", "render", "img-ar");
  submit("run-2", "render", "img-fr");
  submit("run-3", "publish", "img-ar");
  submit("run-4", "publish", "img-fr");
  submit("run-5", "publish", "img-de");  // nobody's
  p.run(4);
  EXPECT_TRUE(p.started("run-1") && p.started("run-2") && p.started("run-5"));
  for (const char* r : {"run-1", "run-2"}) p.finish(r);
  p.run(3);
  p.change_owner();
  p.run(20);
  EXPECT_EQ(p.state(), "rendering");  // the second Arabic one has not come yet
  submit("run-6", "render", "img-ar");
  lab::Controller& n = p.c.node(p.owner);
  n.sync(p.c.now);
  EXPECT_EQ(n.model.advice(n.model.find_job("run-6")).most, 0U);  // not written down yet
  p.run(5);
  EXPECT_EQ(n.model.advice(n.model.find_job("run-6")).most, Advice::any);
  ASSERT_TRUE(p.finish("run-6"));
  p.run(4);
  EXPECT_EQ(p.state(), "decided");
  EXPECT_TRUE(p.started("run-3") && p.started("run-4"));
}

TEST(Release, RecordThatHasChangedHoldsUntilItIsRead) {
  // Between the watch's news and the next pass nobody knows what the record now says of a job.
  Paired p;
  for (const char* j : {"run-ar", "run-fr"}) p.submit(j);
  p.run(3);
  for (const char* j : {"run-ar", "run-fr"}) p.finish(j);
  p.run(3);
  ASSERT_EQ(p.state(), "decided");
  p.submit("run-pub-ar");
  lab::Controller& n = p.c.node(0);
  n.sync(p.c.now);
  JobIndex job = n.model.find_job("run-pub-ar");
  EXPECT_EQ(n.model.advice(job).most, Advice::any);
  lab::Json rec = p.c.state.keys().at("o/d/release/manual").value;
  rec["s"] = "rendering";
  p.c.state.txn(
      {{"guards", lab::Json::array()}, {"apply", {{{"put", "o/d/release/manual"}, {"value", rec}}}}});
  n.sync(p.c.now);
  EXPECT_EQ(n.model.advice(job).most, 0U);
}

TEST(Release, NothingIsPublishedBeforeItsTime) {
  Terms t = manual();
  release::Appointed a;
  a.date = "1970-01-01";
  a.second_of_day = 1100;  // the cluster's clock begins at 1000
  t.when = a;
  Paired p({1, {t}});
  for (const char* j : {"run-ar", "run-fr", "run-pub-ar", "run-pub-fr"}) p.submit(j);
  p.run(3);
  p.finish("run-ar");
  p.finish("run-fr");
  while (p.c.now < 1100.5) p.run(0.5);
  EXPECT_FALSE(p.started("run-pub-ar"));  // within the clock's error
  p.run(4);
  EXPECT_TRUE(p.started("run-pub-ar") && p.started("run-pub-fr"));
}

TEST(Release, AppointedTimes) {
  struct Case {
    const char* what;
    const char* zone;
    std::vector<unsigned> weekdays;
    const char* date;
    unsigned second;
    std::set<std::string> holidays;
    double from;
    double next;
  };
  constexpr double mar29 = 1774742400;  // 2026-03-29 00:00 UTC, a Sunday; Paris goes from 2 to 3 o'clock
  constexpr double oct25 = 1792886400;  // 2026-10-25 00:00 UTC, a Sunday; Paris goes from 3 to 2 o'clock
  const Case cases[] = {
      {"dated", "Africa/Tunis", {}, "2026-03-29", 6 * 3600, {}, mar29 - 86400, mar29 + 5 * 3600},
      {"weekly", "Europe/Paris", {1}, "", 6 * 3600, {}, mar29, mar29 + 86400 + 4 * 3600},
      {"spring forward: skipped, so the end of the gap",
       "Europe/Paris",
       {0},
       "",
       9000,
       {},
       mar29,
       mar29 + 3600},
      {"fall back: twice, so the later", "Europe/Paris", {0}, "", 9000, {}, oct25, oct25 + 5400},
      {"a holiday is passed over",
       "Europe/Paris",
       {0},
       "",
       0,
       {"2026-03-29"},
       mar29 - 7200,
       mar29 + 7 * 86400 - 7200},
  };
  for (const Case& k : cases) {
    release::Appointed a;
    a.zone = k.zone;
    a.weekdays = k.weekdays;
    a.date = k.date;
    a.second_of_day = k.second;
    a.holidays = k.holidays;
    ASSERT_EQ(release::fault_of(a), "") << k.what;
    auto next = release::next_instant(a, k.from);
    ASSERT_TRUE(next.has_value()) << k.what;
    EXPECT_EQ(*next, k.next) << k.what;
    EXPECT_FALSE(release::is_open(a, k.from, k.next - 1)) << k.what;
    EXPECT_TRUE(release::is_open(a, k.from, k.next)) << k.what;
    a.window_s = 600;
    EXPECT_TRUE(release::is_open(a, k.from, k.next + 599)) << k.what;
    EXPECT_FALSE(release::is_open(a, k.from, k.next + 601)) << k.what;
  }
}

TEST(Release, TermsSurviveTheirRecord) {
  Terms t = manual();
  t.editions[0].renders.push_back({"", "render", "img-ar", 3});
  release::Appointed a;
  a.zone = "Africa/Tunis";
  a.weekdays = {1, 4};
  a.second_of_day = 21600;
  a.window_s = 3600;
  a.holidays = {"2026-12-25"};
  t.when = a;
  auto back = release::from_text(release::to_text(t));
  ASSERT_TRUE(back.has_value());
  EXPECT_EQ(release::to_text(*back), release::to_text(t));
  for (const char* bad : {"", "[]", "{\"name\":\"x\"}", "{\"name\":1,\"revision\":\"r\",\"editions\":[]}"})
    EXPECT_FALSE(release::from_text(bad).has_value()) << bad;
}

/// Random histories: jobs come in any order, owners end at any moment, answers and transactions are lost, the
/// state service goes out, late copies arrive. `OXBOW_HISTORIES` says how many.
TEST(Release, RandomHistories) {
  const char* wanted = std::getenv("OXBOW_HISTORIES");
  int histories = wanted == nullptr ? 150 : std::atoi(wanted);
  int published = 0;
  for (int seed = 1; seed <= histories && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    auto pick = [&random](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
    Paired p;
    std::vector<std::string> to_come = {"run-ar", "run-fr", "run-pub-ar", "run-pub-fr"};
    std::shuffle(to_come.begin(), to_come.end(), random);
    bool cancelled = false;
    for (int step = 0; step < 40; ++step) {
      switch (pick(9)) {
        case 0:
        case 1:
          if (to_come.empty()) break;
          p.submit(to_come.back(), pick(2) == 0);
          to_come.pop_back();
          break;
        case 2:
        case 3:
          p.finish(pick(2) == 0 ? "run-ar" : "run-fr", pick(4) == 0 ? EndCause::error : EndCause::done);
          break;
        case 4:
          trouble(p, Trouble::owner_ends, pick);
          break;
        case 5:
          trouble(p, Trouble::answers_lost, pick);
          break;
        case 6:
          trouble(p, Trouble::state_outage, pick);
          break;
        case 7:
          trouble(p, Trouble::late_copies, pick);
          break;
        default:
          if (pick(20) == 0 && !cancelled) cancelled = p.c.withdraw("run-fr") == 200;
      }
      p.run(0.5 * (1 + pick(3)));
    }
    // All troubles are over: what can be published is.
    for (const std::string& j : to_come) p.submit(j);
    cancelled = cancelled && p.c.phase("run-fr") == "cancelled";
    for (int i = 0; i < 40 && !(p.started("run-pub-ar") && p.started("run-pub-fr")); ++i) {
      p.run(3);
      p.finish("run-ar");
      p.finish("run-fr");
    }
    EXPECT_EQ(p.started("run-pub-ar") && p.started("run-pub-fr"), !cancelled) << p.state();
    published += static_cast<int>(p.started("run-pub-ar"));
  }
  EXPECT_GT(published, histories / 2);
}

}  // namespace
}  // namespace oxbowmill
