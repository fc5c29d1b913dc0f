// The scale run: real controllers over loopback with simulated agents, whose tasks are timers, and its
// handling of invalid input.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "oxbowmill/simulation/scale_evaluator.h"
#include "oxbowmill/simulation/scale_run.h"
#include "oxbowmill/yaml/map.h"

namespace oxbowmill::simulation {
namespace {

std::string temporary_file(const std::string& name) {
  return ::testing::TempDir() + "oxbow-scale-" + std::to_string(::getpid()) + "-" + name;
}

std::string write_settings(const std::string& text) {
  std::string file = temporary_file("settings.yaml");
  std::ofstream(file) << text;
  return file;
}

std::string valid_settings() {
  return "name: x\nworkers: 10\nduration_s: 20\nwarm_s: 5\nmachine: {cpus: 8, gpus: 4, memory_gb: "
         "32}\nclasses:\n"
         "  - {name: a, shape: array, rank: normal, rate: 1, tasks: 2, run_s: 5, cpus: 1, gpus: 1, "
         "memory_gb: 1}\n";
}

TEST(ScaleSettings, ErrorNamesUnknownOrOutOfRangeSetting) {
  struct Case {
    const char* description;
    std::string text;
    const char* message;
  };
  const Case cases[] = {
      {"unknown key", valid_settings() + "wokers: 3\n", "wokers"},
      {"unknown job shape", "name: x\nclasses:\n  - {name: a, shape: swarm, rank: low}\n", "swarm"},
      {"unknown fault kind", valid_settings() + "faults:\n  - {kind: flood, at_s: 1}\n", "flood"},
      {"more controllers than allowed", valid_settings() + "controllers: 10\n", "controllers"},
      {"number of agents is not an integer", "name: x\nworkers: 1.5\n", "workers"},
      {"no job classes", "name: x\n", "classes"},
      {"fault after the end of the run", valid_settings() + "faults:\n  - {kind: state_outage, at_s: 21}\n",
       "at_s"},
  };
  EXPECT_EQ(load_scale_settings(write_settings(valid_settings())).workers, 10U);
  for (const Case& test_case : cases) {
    std::string file = write_settings(test_case.text);
    try {
      load_scale_settings(file);
      ADD_FAILURE() << test_case.description;
    } catch (const yaml::Error& error) {
      std::string message = error.what();
      EXPECT_NE(message.find(test_case.message), std::string::npos) << message;
      EXPECT_NE(message.find(file), std::string::npos) << message;
      EXPECT_EQ(message.find('\n'), std::string::npos) << message;
    }
  }
}

TEST(ScaleSettings, JobGenerationIsDeterministicAcrossProcesses) {
  ScaleSettings settings = load_scale_settings(write_settings(valid_settings()));
  std::string ref = scale_job_ref(0, 17);
  EXPECT_EQ(scale_job(settings, ref).number, 17U);
  EXPECT_EQ(scale_job(settings, ref).team, scale_job(settings, ref).team);
  EXPECT_EQ(scale_run_time_s(settings, ref, 1), scale_run_time_s(settings, ref, 1));
  EXPECT_EQ(scale_job(settings, "run-9-1").job_class, nullptr);
  EXPECT_EQ(scale_job(settings, "other").job_class, nullptr);
}

TEST(ScaleEvents, RoundTripAndInvalidLinesAreRejected) {
  ScaleEvent event{ScaleEventKind::job_answered, 12.5, "run-0-1", "host-000001", 3, 4.5,
                   JobAnswer::cancelled};
  auto parsed = parse_event(to_line(event));
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(to_line(*parsed), to_line(event));
  EXPECT_FALSE(parse_event("[1,2]").has_value());
  EXPECT_FALSE(parse_event("no event").has_value());
}

TEST(ScaleEvaluator, DetectsDuplicateTasksAndMeasuresWaits) {
  ScaleSettings settings = load_scale_settings(write_settings(valid_settings()));
  ScaleEvaluator evaluator(settings, 0);
  std::string ref = scale_job_ref(0, 1);
  evaluator.add({ScaleEventKind::job_submitted, 6, ref, "", 0, 0, JobAnswer::no_answer});
  evaluator.add({ScaleEventKind::task_starts, 7, ref, "host-000001", 0, 0, JobAnswer::no_answer});
  evaluator.add({ScaleEventKind::task_runs, 8, ref, "host-000001", 0, 0, JobAnswer::no_answer});
  EXPECT_TRUE(evaluator.violations().empty());
  EXPECT_EQ(evaluator.waits()[0].first_task_s.quantile(1), 2);
  EXPECT_EQ(evaluator.waits()[0].fully_started, 0U);
  evaluator.add({ScaleEventKind::task_starts, 9, ref, "host-000002", 0, 0, JobAnswer::no_answer});
  ASSERT_EQ(evaluator.violations().size(), 1U);
  EXPECT_EQ(evaluator.violations()[0].rfind("ran_twice", 0), 0U);
}

TEST(ScaleRun, MissingProgramFailsBeforeAnythingStarts) {
  ScaleSettings settings = load_scale_settings(write_settings(valid_settings()));
  ScaleOptions options;
  options.program = temporary_file("no-such-program");
  options.directory = temporary_file("logs");
  EXPECT_THROW(run_scale_simulation(settings, options), std::runtime_error);
  EXPECT_FALSE(std::filesystem::exists(options.directory));
}

TEST(ScaleRun, FiftyAgentsRunWithoutViolationsAcrossAControllerCrash) {
  ScaleSettings settings = load_scale_settings(std::string(DEPLOY_DIR) + "/lab/scale/small.yaml");
  ScaleOptions options;
  options.program = CONTROLLER_PROGRAM;
  options.directory = temporary_file("logs");
  options.progress = false;
  ScaleReport report = run_scale_simulation(settings, options);
  EXPECT_TRUE(report.violations.empty()) << report.violations.front();
  EXPECT_GT(report.figures.at("starts").get<int>(), 0);
  EXPECT_GT(report.figures.at("classes").at("gang").at("begun").get<int>(), 0);
  // The run has left no child process.
  EXPECT_EQ(waitpid(-1, nullptr, WNOHANG), -1);
  std::filesystem::remove_all(options.directory);
}

}  // namespace
}  // namespace oxbowmill::simulation
