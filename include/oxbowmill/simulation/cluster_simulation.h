// A whole cluster on a simulated clock: the decisions of several controllers, a state service and a cloud
// with limits and outages, and hundreds of agents that report, fetch images, run tasks, save and lose
// progress. Faults come from a scenario. A simulation owns all of that state; each may run on a thread of its
// own.
#pragma once

#include <array>
#include <memory>
#include <random>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill::simulation {

/// How a cluster is played.
enum class SimulationVariant : std::uint8_t {
  without_faults,          ///< with reconciliation and without the faults, except cancellations by users
  without_reconciliation,  ///< nothing reconciled, no machine suspected, and the read-only period of the old
                           ///< owner awaited
  with_reconciliation,     ///< as `deploy/recovery.yaml` switches it on
  oracle,                  ///< reconciliation that knows at once, and without errors, which machines are dead
};
/// All variants, in the order of the enumerators.
constexpr SimulationVariant simulation_variants[] = {
    SimulationVariant::without_faults, SimulationVariant::without_reconciliation,
    SimulationVariant::with_reconciliation, SimulationVariant::oracle};
/// As options and reports spell it.
const char* name_of(SimulationVariant variant);

/// What a fault does; `count`, `fraction`, `duration_s` and `stagger_s` are fields of `Fault`.
enum class FaultKind : std::uint8_t {
  all_controllers_down,  ///< every controller ends; they return after `duration_s`, each `stagger_s` after
                         ///< the one before
  owner_down,            ///< the owner of the most machines ends
  owner_without_state,   ///< the owner of the most machines cannot reach the state service
  state_outage,          ///< the state service answers nobody
  state_slow,            ///< the state service accepts `fraction` of its changes a second
  cloud_outage,          ///< the cloud answers nobody
  machines_die,          ///< machines are gone for good
  machines_hang,         ///< machines send nothing and make no progress for `duration_s`
  zone_workers_cut_off,  ///< the agents of one zone reach nobody
  owner_frozen,          ///< the process of the owner of the most machines is suspended
  all_tasks_finish,      ///< every running task ends at this moment
  jobs_cancelled,        ///< users cancel `fraction` of the running jobs
  gang_member_dies,      ///< the first machine of `count` gangs dies
  delayed_reports,    ///< a copy of each of the next `count` reports is delivered to every controller at the
                      ///< end of `duration_s`
  duplicate_reports,  ///< a copy of `fraction` of the reports is delivered again, after 2 s to 1.3 times the
                      ///< agent's lease
  delayed_writes,     ///< `fraction` of the transactions get no response and are applied 2 to 12 s later
  delayed_responses,  ///< `fraction` of the responses and commands to agents are late by up to `stagger_s`,
                      ///< or 6 s
  machines_receive_nothing,  ///< reports of the machines arrive, responses and commands to them do not
  owner_refused_by_state,    ///< the state service refuses requests of the owner of the most machines
  owner_isolated,  ///< the owner of the most machines reaches neither the state service nor other controllers
  state_delay,     ///< the state service responds after `stagger_s`
  lost_write_responses,  ///< `fraction` of the transactions are applied at once and their responses lost
  replayed_reports,  ///< a copy of `fraction` of the reports is retained and delivered to every controller
                     ///< when a partition gets a new owner
  machines_send_nothing,             ///< the machines reach no controller, direct commands reach them
  zone_isolated,                     ///< agents and controllers of a zone reach each other and nobody else
  jobs_cancelled_and_machines_hang,  ///< users cancel `fraction` of the running jobs, and `count` of their
                                     ///< machines hang for `duration_s`
  jobs_cancelled_at_end,  ///< `fraction` of the jobs that end are cancelled by their users at the moment of
                          ///< the end
  repeated_queries,  ///< users query all controllers repeatedly, right after a job was accepted, ended or
                     ///< cancelled
  invalid_requests,  ///< submissions of running jobs, withdrawals of ended ones, submissions that can never
                     ///< run
  fast_boots,  ///< new machines are up within two seconds, also those of a leader that has ended meanwhile
};

/// As scenario files spell it.
const char* name_of(FaultKind k);

/// One fault of a scenario. Fields that its kind does not use are ignored.
struct Fault {
  double at_s = 0;                                   ///< when it is injected, in seconds of simulated time
  FaultKind kind = FaultKind::all_controllers_down;  ///< what it does
  double duration_s = 5,                             ///< seconds
      stagger_s = 0,                                 ///< seconds, see the kind
      fraction = 0;                                  ///< of what it can hit
  std::uint32_t count = 0;  ///< of machines, gangs or reports; of machines 0: `fraction` of them
  std::string zone;         ///< where the kind is about one zone
};

/// A cluster, its users and its faults.
struct ClusterScenario {
  std::string name,                      ///< of the faults, for reports
      cluster;                           ///< name of the cluster
  double warm_up_s = 86,                 ///< seconds; times of faults in scenario files count from its end
      duration_s = 200;                  ///< seconds of simulated time in all
  std::uint32_t controllers = 3,         ///< processes
      zones = 4;                         ///< zones, over which the machines are spread
  std::uint32_t initial_machines = 600,  ///< up at the start
      machine_capacity = 820,            ///< most that the cloud rents
      spot_machines = 100;               ///< spot machines among them
  double report_interval_s = 4,          ///< seconds between reports
      lease_s = 22,                      ///< the agent's lease
      cancel_timeout_s = 52,             ///< deadline of a cancellation, in seconds
      boot_s = 25,                       ///< boot time of a machine
      fetch_gb_per_s = 0.5;              ///< download rate of images
  double write_rps = 300,                ///< changes a second that the state service accepts
      cloud_rps = 12;                    ///< calls a second that the cloud accepts
  std::size_t txn_ops = 48;              ///< most changes of one transaction
  std::uint32_t initial_gangs = 200,     ///< gangs submitted at the start
      initial_arrays = 90;               ///< arrays submitted at the start
  double gangs_per_s = 0.45,             ///< arrivals of gangs
      arrays_per_s = 0.8;                ///< arrivals of arrays
  double gang_run_s = 150,               ///< median run time of gangs, in seconds
      array_run_s = 70;                  ///< and of the tasks of arrays
  double guaranteed_gpus = 1200,         ///< guarantee of each team
      max_gpus = 3500;                   ///< quota of each team
  double small_array_fraction =
      0;  ///< fraction of the arrays with one to `small_array_max_tasks` tasks, which end far apart
  std::uint32_t small_array_max_tasks = 3;  ///< tasks of a small array
  double zone_bound_fraction = 0;  ///< fraction of the arrays with a constraint on zones: a single one, a
                                   ///< named one, or spread over zones
  double withdrawn_fraction =
      0;                    ///< fraction of the jobs that their users withdraw some time after submission
  double gang_wait_s = 30;  ///< how long members of a gang wait for the others, in seconds
  double controller_lease_s =
      0;  ///< seconds; 0: the default. Shortened where `cancel_timeout_s` requires it, as by `config::load`
  std::vector<Fault> faults;  ///< injected at their times
};
/// Reads the faults from `file` and the cluster from `fleet` (YAML). Throws yaml::Error with file, key and
/// reason.
ClusterScenario load_cluster_scenario(const std::string& file, const std::string& fleet);

/// What happened in one second of simulated time.
struct SecondSample {
  double gpus_in_use = 0;     ///< by running tasks, on average
  std::uint32_t returns = 0,  ///< machines returned while alive
      rentals = 0,            ///< machines rented
      starts = 0,             ///< transactions applied that place tasks
      kills = 0,              ///< kill commands delivered to agents
      changes = 0;            ///< changes applied by the state service, of controllers
};

/// Jobs that were accepted, not withdrawn, and submitted early enough to start. A job has started when all
/// its tasks have run for the time that counts as started (PROTOCOL, "How aims are counted").
struct ServedJobs {
  std::uint32_t jobs = 0,  ///< such jobs
      started = 0;         ///< those that have started
  double longest_wait_s =
      0;  ///< seconds from submission until all tasks had started; of jobs that have not, until now
  /// Adds one job.
  void count(double wait_s, bool has_begun);
};

/// What one run came to.
struct ClusterResult {
  std::vector<SecondSample> samples;             ///< one for each second
  std::array<std::uint32_t, 2> done_by_class{},  ///< completed tasks of gangs and of arrays
      tasks_by_class{};                          ///< submitted tasks of gangs and of arrays
  std::array<std::uint32_t, 2> tasks_by_team{};  ///< completed tasks
  std::uint32_t wasted_scale_outs =
      0;  ///< machines returned alive and rented again within a minute, or rented and returned unused
  double lost_run_time_s = 0;         ///< GPU seconds of run time that has to be repeated
  std::uint32_t suspected = 0,        ///< machines suspected
      returned = 0,                   ///< suspected machines that came back
      marked_for_deletion_alive = 0;  ///< machines deleted while tasks ran on them
  double reconciled_s =
      -1;  ///< from the first fault until every partition was reconciled; below 0: not within the run
  std::array<ServedJobs, 2> class_served,  ///< by class (gang, array)
      team_served;                         ///< by team
  std::array<ServedJobs, 2>
      largest_served;                   ///< of each class, the tenth of its jobs with the most tasks x GPUs
  std::uint32_t answers = 0,            ///< answers that users got
      refusals = 0;                     ///< requests of users that were refused or not answered
  std::uint32_t late_starts = 0;        ///< starts of tasks after a confirmed cancellation
  std::vector<std::string> violations;  ///< violated invariants, see InvariantChecker
};

/// One run of a scenario. The same scenario, variant and seed give the same result.
class ClusterSimulation {
 public:
  /// Starts the cluster at time 0.
  ClusterSimulation(const ClusterScenario& scenario, SimulationVariant way, std::uint64_t seed);
  ~ClusterSimulation();
  /// Plays the whole scenario; to be called once.
  ClusterResult run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oxbowmill::simulation
