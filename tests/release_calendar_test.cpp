// Paired editions (docs/release-calendar.md): publishing waits for all twins of a revision, also when
// controllers fail.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

#include "random_faults.h"

namespace oxbowmill {
namespace {

using release_calendar::ReleaseCalendar;
using release_calendar::ReleaseSpec;
using simulation::SimulatedCluster;
using simulation::test_job;

ReleaseSpec manual_terms(const std::string& revision = "r1", const std::string& job_suffix = "") {
  ReleaseSpec terms;
  terms.name = "manual";
  terms.revision = revision;
  for (const char* e : {"ar", "fr"}) {
    std::string of = std::string(e) + job_suffix;
    terms.editions.push_back({e, {{"run-" + of, "", "", 1}}, {"run-pub-" + of, "", "", 1}});
  }
  return terms;
}

/// Controllers that follow a calendar; jobs of both teams' editions.
struct ReleaseFixture {
  explicit ReleaseFixture(const ReleaseCalendar& calendar = {1, {manual_terms()}}, int nodes = 3)
      : cluster(nodes) {
    for (int i = 0; i < nodes; ++i) {
      cluster.controller(static_cast<std::size_t>(i)).enable_decisions(calendar);
      cluster.controller(static_cast<std::size_t>(i)).cluster_state.settings.teams[1].limit = {};
      cluster.controller(static_cast<std::size_t>(i))
          .cluster_state.settings.operator_settings.release_to_pool_s = 1e6;
    }
    for (const char* m : {"m1", "m2"}) cluster.add_machine(m, "a", "red");
    for (const char* m : {"m3", "m4"}) cluster.add_machine(m, "a", "blue");
    run(3);
  }
  void submit(const std::string& ref, bool blue = false) {
    JobSpec s = test_job(ref, 1);
    s.partition = PartitionIndex{blue ? 2U : 1U};
    cluster.submit(s);
  }
  void run(double seconds) {
    for (double end = cluster.now + seconds; cluster.now < end;) {
      cluster.run(0.5, owner);
      check_invariants();
    }
  }
  /// The owner ends; another controller acquires all its partitions.
  void change_owner() {
    cluster.fail_over(owner, (owner + 1) % 3, 4);
    owner = (owner + 1) % 3;
  }
  bool started(const std::string& ref) { return cluster.run_log.starts[ref + "/0"] > 0; }
  bool finish(const std::string& ref, EndCause cause = EndCause::done) {
    for (const char* m : {"m1", "m2", "m3", "m4"}) {
      if (!cluster.worker(m).has(ref + "/0") || cluster.worker(m).phase(ref + "/0") == TaskPhase::ended)
        continue;
      cluster.worker(m).finish(ref + "/0", cause);
      return true;
    }
    return false;
  }
  std::string state(const std::string& name = "manual") const {
    auto it = cluster.store.keys().find("o/d/release/" + name);
    return it == cluster.store.keys().end() ? "" : it->second.value.at("s").get<std::string>();
  }
  /// Checked from outside: a publishing task that has started has all its twins done, by the state service.
  void check_invariants() {
    for (const auto& [publish, renders] : prerequisites) {
      if (!started(publish)) continue;
      for (const std::string& r : renders)
        EXPECT_EQ(cluster.phase(r), "done") << publish << " ran before " << r;
    }
  }
  SimulatedCluster cluster;
  std::size_t owner = 0;
  std::map<std::string, std::vector<std::string>> prerequisites = {{"run-pub-ar", {"run-ar", "run-fr"}},
                                                                   {"run-pub-fr", {"run-ar", "run-fr"}}};
};

TEST(Release, PublishesAllEditionsOnceAllAreRendered) {
  ReleaseFixture fixture;
  for (const char* j : {"run-ar", "run-pub-ar"}) fixture.submit(j);
  for (const char* j : {"run-fr", "run-pub-fr"}) fixture.submit(j, true);
  fixture.run(5);
  EXPECT_TRUE(fixture.started("run-ar") && fixture.started("run-fr"));
  EXPECT_EQ(fixture.cluster.phase("run-pub-ar"),
            "queued" == fixture.cluster.phase("run-pub-ar") ? "queued" : "open");
  ASSERT_TRUE(fixture.finish("run-ar"));
  fixture.run(20);
  EXPECT_FALSE(fixture.started("run-pub-ar"));
  EXPECT_EQ(fixture.state(), "rendering");
  EXPECT_NE(fixture.cluster.controller(0).release_planner->pending_reason("manual").find("run-fr"),
            std::string::npos);
  ASSERT_TRUE(fixture.finish("run-fr"));
  fixture.run(2.5);
  EXPECT_TRUE(fixture.started("run-pub-ar") && fixture.started("run-pub-fr"));
  EXPECT_EQ(fixture.state(), "decided");
  fixture.finish("run-pub-ar");
  fixture.run(3);
  EXPECT_EQ(fixture.state(), "decided");
  fixture.finish("run-pub-fr");
  fixture.run(3);
  EXPECT_EQ(fixture.state(), "published");
}

TEST(Release, StateTransitionsUnderFaults) {
  struct Case {
    const char* description;
    std::function<void(ReleaseFixture&)> action;
    const char* state;
    bool published;
  };
  auto render = [](ReleaseFixture& fixture) {
    fixture.finish("run-ar");
    fixture.finish("run-fr");
    fixture.run(3);
  };
  const Case cases[] = {
      {"a twin is cancelled: the other is held, and known",
       [](ReleaseFixture& fixture) {
         fixture.finish("run-ar");
         fixture.cluster.withdraw("run-fr");
         fixture.run(20);
       },
       "broken", false},
      {"a twin is cancelled and the operators name another",
       [](ReleaseFixture& fixture) {
         fixture.finish("run-ar");
         fixture.cluster.withdraw("run-fr");
         fixture.run(5);
         ReleaseSpec t = manual_terms();
         t.editions[1].render_jobs[0].ref = "run-fr2";
         fixture.prerequisites = {{"run-pub-ar", {"run-ar", "run-fr2"}},
                                  {"run-pub-fr", {"run-ar", "run-fr2"}}};
         fixture.cluster.controller(1).release_planner->load(
             {2, {t}});  // another controller's file has the newer version
         fixture.cluster.controller(1).lease.on_granted(
             fixture.cluster.store.grant_lease(1e6, fixture.cluster.now), fixture.cluster.now);
         fixture.cluster.controller(1).sync(fixture.cluster.now);
         fixture.cluster.controller(1).run_cycle(fixture.cluster.now);
         fixture.submit("run-fr2", true);
         fixture.run(5);
         fixture.finish("run-fr2");
         fixture.run(4);
       },
       "decided", true},
      {"a twin fails for good",
       [](ReleaseFixture& fixture) {
         fixture.finish("run-ar");
         for (int i = 0; i < 10; ++i) {
           fixture.finish("run-fr", EndCause::error);
           fixture.run(3);
         }
       },
       "rendering", false},
      {"a newer revision while the older renders: the older's publishing stays held",
       [](ReleaseFixture& fixture) {
         fixture.finish("run-ar");
         fixture.cluster.controller(0).release_planner->load({2, {manual_terms("r2", "2")}});
         fixture.run(3);
         fixture.finish("run-fr");
         fixture.run(10);
       },
       "rendering", false},
      {"a newer revision once the older is decided: that is completed first",
       [&](ReleaseFixture& fixture) {
         render(fixture);
         fixture.finish("run-pub-ar");
         fixture.cluster.controller(0).release_planner->load({2, {manual_terms("r2", "2")}});
         fixture.submit("run-pub-ar2");
         fixture.run(5);
         EXPECT_EQ(fixture.state(), "decided");
         EXPECT_FALSE(fixture.started("run-pub-ar2"));
         fixture.finish("run-pub-fr");
         fixture.run(5);
         EXPECT_EQ(fixture.cluster.phase("run-pub-fr"), "done");
       },
       "rendering", true},
      {"the release is taken out: its jobs are free",
       [](ReleaseFixture& fixture) {
         fixture.prerequisites.clear();
         fixture.cluster.controller(0).release_planner->load({2, {}});
         fixture.run(6);
       },
       "lifted", true},
      {"the owner ends before the decision",
       [](ReleaseFixture& fixture) {
         fixture.finish("run-ar");
         fixture.finish("run-fr");
         fixture.run(0.5);
         fixture.change_owner();
         fixture.run(30);
       },
       "decided", true},
      {"all twins were done before anybody read the calendar",
       [](ReleaseFixture& fixture) {
         fixture.finish("run-ar");
         fixture.finish("run-fr");
         fixture.run(1);
         fixture.change_owner();
         fixture.change_owner();
         fixture.run(45);
       },
       "decided", true},
      {"the state service is out as the last twin ends",
       [](ReleaseFixture& fixture) {
         fixture.finish("run-ar");
         fixture.run(2);
         fixture.finish("run-fr");
         fixture.cluster.store.set_outage(true, fixture.cluster.now);
         fixture.run(3);
         fixture.cluster.store.set_outage(false, fixture.cluster.now);
         fixture.run(8);
       },
       "decided", true},
      {"a publishing job is lost half way",
       [&](ReleaseFixture& fixture) {
         render(fixture);
         fixture.finish("run-pub-ar", EndCause::error);
         fixture.run(6);
         EXPECT_GE(fixture.cluster.run_log.starts["run-pub-ar/0"], 2);
       },
       "decided", true},
      {"a publishing job is cancelled: the other is not held for it",
       [&](ReleaseFixture& fixture) {
         fixture.cluster.withdraw("run-pub-fr");
         render(fixture);
         fixture.run(3);
       },
       "published", false},
  };
  for (const Case& test_case : cases) {
    SCOPED_TRACE(test_case.description);
    ReleaseFixture fixture;
    for (const char* j : {"run-ar", "run-pub-ar"}) fixture.submit(j);
    for (const char* j : {"run-fr", "run-pub-fr"}) fixture.submit(j, true);
    fixture.run(5);
    test_case.action(fixture);
    EXPECT_EQ(fixture.state(), test_case.state) << test_case.description;
    EXPECT_EQ(fixture.started("run-pub-ar") && fixture.started("run-pub-fr"), test_case.published)
        << test_case.description;
    // Whatever became of the release: no job of it is unknown, or was marked done or cancelled by the
    // scheduler.
    for (const char* j : {"run-pub-ar", "run-pub-fr"})
      EXPECT_NE(fixture.cluster.phase(j), "none") << test_case.description;
  }
}

TEST(Release, JobsMatchedByClassAndImageAreRecordedBeforeTheyRun) {
  // A job that had finished before the new leader took over could not be found again by its class.
  ReleaseSpec terms;
  terms.name = "manual";
  terms.revision = "r1";
  terms.editions = {{"ar", {{"", "render", "img-ar", 2}}, {"", "publish", "img-ar", 1}},
                    {"fr", {{"", "render", "img-fr", 1}}, {"", "publish", "img-fr", 1}}};
  ReleaseFixture fixture({1, {terms}});
  fixture.prerequisites.clear();
  auto submit = [&](const std::string& ref, const char* job_class, const char* image) {
    JobSpec job_spec = test_job(ref, 1);
    Names& n = fixture.cluster.controller(0).cluster_state.names;
    job_spec.job_class = n.classes.intern(job_class);
    job_spec.image = n.images.intern(image);
    fixture.cluster.submit(job_spec);
  };
  submit("run-1", "render", "img-ar");
  submit("run-2", "render", "img-fr");
  submit("run-3", "publish", "img-ar");
  submit("run-4", "publish", "img-fr");
  submit("run-5", "publish", "img-de");  // matches no edition
  fixture.run(4);
  EXPECT_TRUE(fixture.started("run-1") && fixture.started("run-2") && fixture.started("run-5"));
  for (const char* r : {"run-1", "run-2"}) fixture.finish(r);
  fixture.run(3);
  fixture.change_owner();
  fixture.run(20);
  EXPECT_EQ(fixture.state(), "rendering");  // the second Arabic job has not been submitted yet
  submit("run-6", "render", "img-ar");
  simulation::SimulatedController& controller = fixture.cluster.controller(fixture.owner);
  controller.sync(fixture.cluster.now);
  EXPECT_EQ(controller.cluster_state.placement_limits(controller.cluster_state.find_job("run-6")).max_tasks,
            0U);  // not recorded yet
  fixture.run(5);
  EXPECT_EQ(controller.cluster_state.placement_limits(controller.cluster_state.find_job("run-6")).max_tasks,
            PlacementLimits::unlimited);
  ASSERT_TRUE(fixture.finish("run-6"));
  fixture.run(4);
  EXPECT_EQ(fixture.state(), "decided");
  EXPECT_TRUE(fixture.started("run-3") && fixture.started("run-4"));
}

TEST(Release, ChangedRecordBlocksPublishingUntilItIsRead) {
  // Between the watch event and the next cycle it is unknown what the record now says of a job.
  ReleaseFixture fixture;
  for (const char* j : {"run-ar", "run-fr"}) fixture.submit(j);
  fixture.run(3);
  for (const char* j : {"run-ar", "run-fr"}) fixture.finish(j);
  fixture.run(3);
  ASSERT_EQ(fixture.state(), "decided");
  fixture.submit("run-pub-ar");
  simulation::SimulatedController& controller = fixture.cluster.controller(0);
  controller.sync(fixture.cluster.now);
  JobIndex job = controller.cluster_state.find_job("run-pub-ar");
  EXPECT_EQ(controller.cluster_state.placement_limits(job).max_tasks, PlacementLimits::unlimited);
  simulation::Json rec = fixture.cluster.store.keys().at("o/d/release/manual").value;
  rec["s"] = "rendering";
  fixture.cluster.store.txn(
      {{"guards", simulation::Json::array()}, {"apply", {{{"put", "o/d/release/manual"}, {"value", rec}}}}});
  controller.sync(fixture.cluster.now);
  EXPECT_EQ(controller.cluster_state.placement_limits(job).max_tasks, 0U);
}

TEST(Release, NothingIsPublishedBeforeItsTime) {
  ReleaseSpec terms = manual_terms();
  release_calendar::ScheduledTime a;
  a.date = "1970-01-01";
  a.second_of_day = 1100;  // the cluster's clock begins at 1000
  terms.publish_time = a;
  ReleaseFixture fixture({1, {terms}});
  for (const char* j : {"run-ar", "run-fr", "run-pub-ar", "run-pub-fr"}) fixture.submit(j);
  fixture.run(3);
  fixture.finish("run-ar");
  fixture.finish("run-fr");
  while (fixture.cluster.now < 1100.5) fixture.run(0.5);
  EXPECT_FALSE(fixture.started("run-pub-ar"));  // within the clock's error bound
  fixture.run(4);
  EXPECT_TRUE(fixture.started("run-pub-ar") && fixture.started("run-pub-fr"));
}

TEST(Release, ScheduledTimes) {
  struct Case {
    const char* description;
    const char* zone;
    std::vector<unsigned> weekdays;
    const char* date;
    unsigned second;
    std::set<std::string> holidays;
    double from_s;
    double next_s;
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
  for (const Case& test_case : cases) {
    release_calendar::ScheduledTime schedule;
    schedule.zone = test_case.zone;
    schedule.weekdays = test_case.weekdays;
    schedule.date = test_case.date;
    schedule.second_of_day = test_case.second;
    schedule.excluded_dates = test_case.holidays;
    ASSERT_EQ(release_calendar::validation_error(schedule), "") << test_case.description;
    auto next = release_calendar::next_occurrence(schedule, test_case.from_s);
    ASSERT_TRUE(next.has_value()) << test_case.description;
    EXPECT_EQ(*next, test_case.next_s) << test_case.description;
    EXPECT_FALSE(release_calendar::is_open(schedule, test_case.from_s, test_case.next_s - 1))
        << test_case.description;
    EXPECT_TRUE(release_calendar::is_open(schedule, test_case.from_s, test_case.next_s))
        << test_case.description;
    schedule.window_s = 600;
    EXPECT_TRUE(release_calendar::is_open(schedule, test_case.from_s, test_case.next_s + 599))
        << test_case.description;
    EXPECT_FALSE(release_calendar::is_open(schedule, test_case.from_s, test_case.next_s + 601))
        << test_case.description;
  }
}

TEST(Release, TermsRoundTrip) {
  ReleaseSpec terms = manual_terms();
  terms.editions[0].render_jobs.push_back({"", "render", "img-ar", 3});
  release_calendar::ScheduledTime schedule;
  schedule.zone = "Africa/Tunis";
  schedule.weekdays = {1, 4};
  schedule.second_of_day = 21600;
  schedule.window_s = 3600;
  schedule.excluded_dates = {"2026-12-25"};
  terms.publish_time = schedule;
  auto back = release_calendar::from_text(release_calendar::to_text(terms));
  ASSERT_TRUE(back.has_value());
  EXPECT_EQ(release_calendar::to_text(*back), release_calendar::to_text(terms));
  for (const char* bad : {"", "[]", "{\"name\":\"x\"}", "{\"name\":1,\"revision\":\"r\",\"editions\":[]}"})
    EXPECT_FALSE(release_calendar::from_text(bad).has_value()) << bad;
}

/// Random histories: jobs come in any order, owners end at any moment, responses and transactions are lost,
/// the state service fails, late copies arrive. `OXBOW_HISTORIES` sets how many.
TEST(Release, RandomFaultHistories) {
  const char* wanted = std::getenv("OXBOW_HISTORIES");
  int histories = wanted == nullptr ? 150 : std::atoi(wanted);
  int published = 0;
  for (int seed = 1; seed <= histories && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    auto pick = [&random](int position) {
      return std::uniform_int_distribution<int>(0, position - 1)(random);
    };
    ReleaseFixture fixture;
    std::vector<std::string> to_come = {"run-ar", "run-fr", "run-pub-ar", "run-pub-fr"};
    std::shuffle(to_come.begin(), to_come.end(), random);
    bool cancelled = false;
    for (int step = 0; step < 40; ++step) {
      switch (pick(9)) {
        case 0:
        case 1:
          if (to_come.empty()) break;
          fixture.submit(to_come.back(), pick(2) == 0);
          to_come.pop_back();
          break;
        case 2:
        case 3:
          fixture.finish(pick(2) == 0 ? "run-ar" : "run-fr", pick(4) == 0 ? EndCause::error : EndCause::done);
          break;
        case 4:
          inject_fault(fixture, RandomFault::owner_crash, pick);
          break;
        case 5:
          inject_fault(fixture, RandomFault::responses_lost, pick);
          break;
        case 6:
          inject_fault(fixture, RandomFault::state_outage, pick);
          break;
        case 7:
          inject_fault(fixture, RandomFault::delayed_duplicates, pick);
          break;
        default:
          if (pick(20) == 0 && !cancelled) cancelled = fixture.cluster.withdraw("run-fr") == 200;
      }
      fixture.run(0.5 * (1 + pick(3)));
    }
    // All faults are over: whatever can be published is.
    for (const std::string& j : to_come) fixture.submit(j);
    cancelled = cancelled && fixture.cluster.phase("run-fr") == "cancelled";
    for (int i = 0; i < 40 && !(fixture.started("run-pub-ar") && fixture.started("run-pub-fr")); ++i) {
      fixture.run(3);
      fixture.finish("run-ar");
      fixture.finish("run-fr");
    }
    EXPECT_EQ(fixture.started("run-pub-ar") && fixture.started("run-pub-fr"), !cancelled) << fixture.state();
    published += static_cast<int>(fixture.started("run-pub-ar"));
  }
  EXPECT_GT(published, histories / 2);
}

}  // namespace
}  // namespace oxbowmill
