// What a scale run plays: a cell of real controllers beside hollow workers and users, and the faults it
// meets.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::simulation {

enum class ScaleFaultKind : std::uint8_t {
  controller_killed,   // `count` controllers get SIGKILL and start again after `duration_s`
  controllers_killed,  // all of them at the same moment
  controller_stopped,  // SIGSTOP, SIGCONT after `duration_s`
  state_outage,        // the state service answers 503 to everybody
  workers_gone,        // `count` machines are gone for good, as a rack is
  workers_replaced,    // `count` machines are gone, and as many new ones come up
  workers_cut,         // `count` machines reach nobody for `duration_s`
};
const char* name_of(ScaleFaultKind kind);

struct ScaleFault {
  ScaleFaultKind kind = ScaleFaultKind::controller_killed;
  double at_s = 0, duration_s = 0;
  std::uint32_t count = 1;
};

/// Jobs of one kind; rates a second, times in seconds.
struct ScaleClass {
  std::string name;
  JobShape shape = JobShape::array;
  Priority priority = Priority::normal;
  double rate = 0;
  std::uint32_t initial = 0, tasks = 1;
  double run_s = 60, spread = 0.3;  // a task's run time lies within this share of `run_s`
  Resources resources;
  double image_gb = 1;
  std::uint32_t images = 4;
  double withdrawn_fraction = 0;  // share of the jobs that their users call off
};

struct ScaleSettings {
  std::string name;
  std::uint64_t seed = 1;
  std::uint32_t workers = 50, controllers = 3, zones = 2, teams = 2;
  double duration_s = 60, warm_up_s = 20;  // what is measured begins after the warm-up
  double report_interval_s = 4, lease_s = 22, cancel_timeout_s = 52, gang_wait_s = 30, gang_peer_s = 8;
  double state_rps = 2000, state_write_rps = 1000, value_kb = 8, cloud_rps = 20;
  std::uint32_t txn_ops = 48;
  Resources machine_resources;  // of each worker
  double fetch_gb_per_s = 1, boot_s = 10;
  double team_gpus = 0;  // each team's limit; 0: none
  std::vector<ScaleClass> classes;
  std::vector<ScaleFault> faults;
  /// When the last trouble is over, with time for the rules to hold again.
  double fault_free_from_s() const;
};

/// Reads a file (YAML); throws yaml::Error with file, key and reason for what is unknown or out of bounds.
ScaleSettings load_scale_settings(const std::string& file);

/// A job by its number within its class: what users submit and what hollow workers run, from the name alone.
struct ScaleJob {
  const ScaleClass* job_class = nullptr;
  std::uint32_t number = 0, team = 0, image = 0;
  bool withdrawn = false;
};
std::string scale_job_ref(std::size_t class_index, std::uint32_t number);
/// None where the name is not one of such a job.
ScaleJob scale_job(const ScaleSettings& settings, const std::string& ref);
double scale_run_time_s(const ScaleSettings& settings, const std::string& ref, TaskNumber task);

}  // namespace oxbowmill::simulation
