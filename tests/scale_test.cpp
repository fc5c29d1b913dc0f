// The scale run: a cell of real controllers on loopback beside hollow workers, and what it does with bad
// input.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "oxbowmill/lab/scale_judge.h"
#include "oxbowmill/lab/scale_run.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::lab {
namespace {

std::string temporary(const std::string& name) {
  return ::testing::TempDir() + "oxbow-scale-" + std::to_string(::getpid()) + "-" + name;
}

std::string written(const std::string& text) {
  std::string file = temporary("settings.yaml");
  std::ofstream(file) << text;
  return file;
}

std::string valid_text() {
  return "name: x\nworkers: 10\nduration_s: 20\nwarm_s: 5\nmachine: {cpus: 8, gpus: 4, memory_gb: "
         "32}\nclasses:\n"
         "  - {name: a, shape: array, rank: normal, rate: 1, tasks: 2, run_s: 5, cpus: 1, gpus: 1, "
         "memory_gb: 1}\n";
}

TEST(ScaleSettings, WhatIsUnknownOrOutOfBoundsIsNamed) {
  struct Case {
    const char* what;
    std::string text;
    const char* says;
  };
  const Case cases[] = {
      {"an unknown key", valid_text() + "wokers: 3\n", "wokers"},
      {"an unknown shape", "name: x\nclasses:\n  - {name: a, shape: swarm, rank: low}\n", "swarm"},
      {"an unknown fault", valid_text() + "faults:\n  - {kind: flood, at_s: 1}\n", "flood"},
      {"too many workers", valid_text() + "controllers: 10\n", "controllers"},
      {"half a worker", "name: x\nworkers: 1.5\n", "workers"},
      {"no classes", "name: x\n", "classes"},
      {"a fault after the end", valid_text() + "faults:\n  - {kind: state_outage, at_s: 21}\n", "at_s"},
  };
  EXPECT_EQ(load_scale_settings(written(valid_text())).workers, 10U);
  for (const Case& c : cases) {
    std::string file = written(c.text);
    try {
      load_scale_settings(file);
      ADD_FAILURE() << c.what;
    } catch (const yaml::Error& e) {
      std::string said = e.what();
      EXPECT_NE(said.find(c.says), std::string::npos) << said;
      EXPECT_NE(said.find(file), std::string::npos) << said;
      EXPECT_EQ(said.find('\n'), std::string::npos) << said;
    }
  }
}

TEST(ScaleSettings, AJobIsTheSameForAllProcesses) {
  ScaleSettings settings = load_scale_settings(written(valid_text()));
  std::string ref = scale_job_ref(0, 17);
  EXPECT_EQ(scale_job(settings, ref).number, 17U);
  EXPECT_EQ(scale_job(settings, ref).team, scale_job(settings, ref).team);
  EXPECT_EQ(scale_run_time_s(settings, ref, 1), scale_run_time_s(settings, ref, 1));
  EXPECT_EQ(scale_job(settings, "run-9-1").kind, nullptr);
  EXPECT_EQ(scale_job(settings, "other").kind, nullptr);
}

TEST(ScaleEvents, ComeBackAsTheyWereWritten) {
  ScaleEvent event{ScaleEventKind::job_told, 12.5, "run-0-1", "host-000001", 3, 4.5, Told::cancelled};
  auto read = parse_event(to_line(event));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(to_line(*read), to_line(event));
  EXPECT_FALSE(parse_event("[1,2]").has_value());
  EXPECT_FALSE(parse_event("no event").has_value());
}

TEST(ScaleJudge, SeesATaskOnTwoMachinesAndCountsWaits) {
  ScaleSettings settings = load_scale_settings(written(valid_text()));
  ScaleJudge judge(settings, 0);
  std::string ref = scale_job_ref(0, 1);
  judge.take({ScaleEventKind::job_submitted, 6, ref, "", 0, 0, Told::nothing});
  judge.take({ScaleEventKind::task_starts, 7, ref, "host-000001", 0, 0, Told::nothing});
  judge.take({ScaleEventKind::task_runs, 8, ref, "host-000001", 0, 0, Told::nothing});
  EXPECT_TRUE(judge.broken().empty());
  EXPECT_EQ(judge.waits()[0].first_s.at(1), 2);
  EXPECT_EQ(judge.waits()[0].begun, 0U);
  judge.take({ScaleEventKind::task_starts, 9, ref, "host-000002", 0, 0, Told::nothing});
  ASSERT_EQ(judge.broken().size(), 1U);
  EXPECT_EQ(judge.broken()[0].rfind("ran_twice", 0), 0U);
}

TEST(ScaleRun, AMissingProgramEndsItBeforeAnythingIsStarted) {
  ScaleSettings settings = load_scale_settings(written(valid_text()));
  ScaleOptions options;
  options.program = temporary("no-such-program");
  options.directory = temporary("logs");
  EXPECT_THROW(play_scale(settings, options), std::runtime_error);
  EXPECT_FALSE(std::filesystem::exists(options.directory));
}

TEST(ScaleRun, FiftyWorkersThroughAControllersEnd) {
  ScaleSettings settings = load_scale_settings(std::string(DEPLOY_DIR) + "/lab/scale/small.yaml");
  ScaleOptions options;
  options.program = PROGRAM;
  options.directory = temporary("logs");
  options.progress = false;
  ScaleReport report = play_scale(settings, options);
  EXPECT_TRUE(report.broken.empty()) << report.broken.front();
  EXPECT_GT(report.figures.at("starts").get<int>(), 0);
  EXPECT_GT(report.figures.at("classes").at("gang").at("begun").get<int>(), 0);
  // None of its processes is left.
  EXPECT_EQ(waitpid(-1, nullptr, WNOHANG), -1);
  std::filesystem::remove_all(options.directory);
}

}  // namespace
}  // namespace oxbowmill::lab
