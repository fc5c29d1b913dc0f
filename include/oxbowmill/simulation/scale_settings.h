// Settings of a scale run: the cluster with its real controllers, the simulated agents and users, and the
// faults. A job is computed from the settings and its name alone, so that all processes of a run agree on it
// without communication. Stateless.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill::simulation {

/// Kind of a fault; `count` and `duration_s` are fields of `ScaleFault`.
enum class ScaleFaultKind : std::uint8_t {
  controller_killed,   ///< SIGKILL to `count` controllers, which start again after `duration_s`
  controllers_killed,  ///< the same for all controllers at once
  controller_stopped,  ///< SIGSTOP to `count` controllers, and SIGCONT after `duration_s`
  state_outage,        ///< the state service answers 503 and leaves watches unanswered
  workers_gone,        ///< `count` machines are lost permanently, as in the failure of a rack
  workers_replaced,    ///< `count` machines are lost, and as many new ones boot
  workers_cut,         ///< `count` machines have no network for `duration_s`
};
/// Name of the fault in settings files.
const char* name_of(ScaleFaultKind kind);

/// One fault of a run.
struct ScaleFault {
  ScaleFaultKind kind = ScaleFaultKind::controller_killed;  ///< kind of the fault
  double at_s = 0,                                          ///< start, in seconds from the start of the run
      duration_s = 0;                                       ///< duration in seconds
  std::uint32_t count = 1;                                  ///< number of controllers or machines affected
};

/// A class of similar jobs. Times are in seconds, rates per second.
struct ScaleClass {
  std::string name;                      ///< for reports
  JobShape shape = JobShape::array;      ///< array, gang or service
  Priority priority = Priority::normal;  ///< priority of each job
  double rate = 0;                       ///< arrivals per second
  std::uint32_t initial = 0,             ///< jobs submitted at the start
      tasks = 1;                         ///< tasks of a job
  double run_s = 60,                     ///< mean run time of a task
      spread = 0.3;                      ///< a task's run time differs from `run_s` by up to this fraction
  Resources resources;                   ///< resources of each task
  double image_gb = 1;                   ///< size of each image in GB
  std::uint32_t images = 4;              ///< number of different images
  double withdrawn_fraction = 0;         ///< fraction of the jobs that their users withdraw
};

/// Settings of a scale run. Times are in seconds.
struct ScaleSettings {
  std::string name;                 ///< for reports
  std::uint64_t seed = 1;           ///< seed of all random draws
  std::uint32_t workers = 50,       ///< machines, each with an agent
      controllers = 3,              ///< controller processes
      zones = 2,                    ///< zones over which the machines are spread
      teams = 2;                    ///< partitions besides the idle pool
  double duration_s = 60,           ///< duration of the run
      warm_up_s = 20;               ///< measurements begin after the warm-up
  double report_interval_s = 4,     ///< time between heartbeats of an agent
      lease_s = 22,                 ///< duration of an agent's lease
      cancel_timeout_s = 52,        ///< deadline of a cancellation
      gang_wait_s = 30,             ///< how long members of a gang wait for the others
      gang_peer_s = 8;              ///< within which the other members of a gang end after one was lost
  double state_rps = 2000,          ///< limit of requests per second to the state service
      state_write_rps = 1000,       ///< limit of changes per second in the state service
      value_kb = 8,                 ///< largest value in KiB
      cloud_rps = 20;               ///< limit of calls per second to the cloud
  std::uint32_t txn_ops = 48;       ///< most changes of one transaction
  Resources machine_resources;      ///< resources of each machine
  double fetch_gb_per_s = 1,        ///< download rate of images in GB per second
      boot_s = 10;                  ///< boot time of a machine
  double team_gpus = 0;             ///< GPU quota of each team; 0: unlimited
  std::vector<ScaleClass> classes;  ///< classes of the jobs
  std::vector<ScaleFault> faults;   ///< faults to inject
  /// Time in seconds from the start when the last fault and its consequences are over.
  double fault_free_from_s() const;
};

/// Reads a YAML file. Throws yaml::Error with file, key and reason if a key is missing or unknown or a value
/// is out of range.
ScaleSettings load_scale_settings(const std::string& file);

/// A job as computed from its name. Users submit it and simulated agents run it without any other
/// communication between their processes.
struct ScaleJob {
  const ScaleClass* job_class = nullptr;  ///< class in the settings; null: there is no such job
  std::uint32_t number = 0,               ///< number within its class
      team = 0,                           ///< index of its team
      image = 0;                          ///< index of its image
  bool withdrawn = false;                 ///< its user withdraws it at some time
};
/// Name of job `number` of a class.
std::string scale_job_ref(std::size_t class_index, std::uint32_t number);
/// Computes the job with the given name; its `job_class` is null if the name is not from `scale_job_ref`.
ScaleJob scale_job(const ScaleSettings& settings, const std::string& ref);
/// Run time of a task in seconds; all members of a gang have the same.
double scale_run_time_s(const ScaleSettings& settings, const std::string& ref, TaskNumber task);

}  // namespace oxbowmill::simulation
