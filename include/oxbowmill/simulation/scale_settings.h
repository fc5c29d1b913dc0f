// Settings of a scale run: the cluster of real controllers, simulated agents and users, and its faults. Jobs
// follow from the settings and their names alone, so that all processes of a run know them. No state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::simulation {

/// What a fault does; `count` and `duration_s` are fields of `ScaleFault`.
enum class ScaleFaultKind : std::uint8_t {
  controller_killed,   ///< `count` controllers get SIGKILL and start again after `duration_s`
  controllers_killed,  ///< all controllers at the same moment
  controller_stopped,  ///< SIGSTOP, and SIGCONT after `duration_s`
  state_outage,        ///< the state service answers 503 to every request
  workers_gone,        ///< `count` machines are gone for good, as with a rack
  workers_replaced,    ///< `count` machines are gone, and as many new ones come up
  workers_cut,         ///< `count` machines reach nobody for `duration_s`
};
/// As settings files spell it.
const char* name_of(ScaleFaultKind kind);

/// One fault of a run.
struct ScaleFault {
  ScaleFaultKind kind = ScaleFaultKind::controller_killed;  ///< what it does
  double at_s = 0,                                          ///< when, in seconds from the start of the run
      duration_s = 0;                                       ///< seconds
  std::uint32_t count = 1;                                  ///< of controllers or machines
};

/// Jobs of one class. Times are in seconds, rates per second.
struct ScaleClass {
  std::string name;                      ///< for reports
  JobShape shape = JobShape::array;      ///< array, gang or service
  Priority priority = Priority::normal;  ///< of each job
  double rate = 0;                       ///< arrivals
  std::uint32_t initial = 0,             ///< jobs submitted at the start
      tasks = 1;                         ///< tasks of a job
  double run_s = 60,                     ///< mean run time of a task
      spread = 0.3;                      ///< a task's run time differs from `run_s` by up to this fraction
  Resources resources;                   ///< of each task
  double image_gb = 1;                   ///< size of each image
  std::uint32_t images = 4;              ///< number of different images
  double withdrawn_fraction = 0;         ///< fraction of the jobs that their users withdraw
};

/// A scale run. Times are in seconds.
struct ScaleSettings {
  std::string name;                 ///< for reports
  std::uint64_t seed = 1;           ///< of all random draws
  std::uint32_t workers = 50,       ///< machines, each with an agent
      controllers = 3,              ///< processes
      zones = 2,                    ///< over which the machines are spread
      teams = 2;                    ///< partitions besides the idle pool
  double duration_s = 60,           ///< of the run
      warm_up_s = 20;               ///< measurements begin after the warm-up
  double report_interval_s = 4,     ///< between reports of an agent
      lease_s = 22,                 ///< the agent's lease
      cancel_timeout_s = 52,        ///< deadline of a cancellation
      gang_wait_s = 30,             ///< how long members of a gang wait for the others
      gang_peer_s = 8;              ///< within which the members end after one was lost
  double state_rps = 2000,          ///< requests a second to the state service
      state_write_rps = 1000,       ///< changes a second
      value_kb = 8,                 ///< largest value in KiB
      cloud_rps = 20;               ///< calls a second to the cloud
  std::uint32_t txn_ops = 48;       ///< most changes of one transaction
  Resources machine_resources;      ///< of each machine
  double fetch_gb_per_s = 1,        ///< download rate of images
      boot_s = 10;                  ///< boot time of a machine
  double team_gpus = 0;             ///< quota of each team; 0: none
  std::vector<ScaleClass> classes;  ///< of the jobs
  std::vector<ScaleFault> faults;   ///< injected at their times
  /// When the last fault is over, its consequences included, in seconds from the start.
  double fault_free_from_s() const;
};

/// Reads a file (YAML). Throws yaml::Error with file, key and reason for what is unknown or out of bounds.
ScaleSettings load_scale_settings(const std::string& file);

/// A job as it follows from its name: users submit it and simulated agents run it without further
/// communication.
struct ScaleJob {
  const ScaleClass* job_class = nullptr;  ///< in the settings it was made from; null: no such job
  std::uint32_t number = 0,               ///< within its class
      team = 0,                           ///< index of its team
      image = 0;                          ///< index of its image
  bool withdrawn = false;                 ///< its user is going to withdraw it
};
/// Name of a job.
std::string scale_job_ref(std::size_t class_index, std::uint32_t number);
/// Its `job_class` is null where the name is not one of such a job.
ScaleJob scale_job(const ScaleSettings& settings, const std::string& ref);
/// Run time of a task, in seconds; the same for all members of a gang.
double scale_run_time_s(const ScaleSettings& settings, const std::string& ref, TaskNumber task);

}  // namespace oxbowmill::simulation
