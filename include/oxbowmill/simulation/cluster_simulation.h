// Simulates a whole cluster on a simulated clock: the decisions of several controllers, a state service and a
// cloud with limits and outages, and hundreds of agents that report, fetch images, run tasks, and save and
// lose progress. A scenario defines the faults. A simulation owns all of its state, so different simulations
// may run on different threads.
#pragma once

#include <array>
#include <memory>
#include <random>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill::simulation {

/// How a scenario is simulated.
enum class SimulationVariant : std::uint8_t {
  without_faults,          ///< with reconciliation; the only faults are cancellations by users
  without_reconciliation,  ///< nothing is reconciled, no machine is suspected, and a new owner waits for the
                           ///< end of the previous owner's read-only period
  with_reconciliation,     ///< with reconciliation as in `deploy/recovery.yaml`
  oracle,                  ///< reconciliation that knows at once, and without errors, which machines are dead
};
/// All variants, in the order of the enumerators.
constexpr SimulationVariant simulation_variants[] = {
    SimulationVariant::without_faults, SimulationVariant::without_reconciliation,
    SimulationVariant::with_reconciliation, SimulationVariant::oracle};
/// The name of the variant in command-line options and reports.
const char* name_of(SimulationVariant variant);

/// What a fault does; `count`, `fraction`, `duration_s` and `stagger_s` are fields of `Fault`.
enum class FaultKind : std::uint8_t {
  all_controllers_down,  ///< every controller ends; they restart after `duration_s`, each `stagger_s` after
                         ///< the one before
  owner_down,            ///< the owner of the most machines ends; it restarts after `duration_s`
  owner_without_state,   ///< the owner of the most machines cannot reach the state service
  state_outage,          ///< the state service answers no request
  state_slow,            ///< the state service accepts `fraction` of its usual changes per second
  cloud_outage,          ///< every request to the cloud fails
  machines_die,          ///< machines fail permanently
  machines_hang,         ///< machines send nothing and make no progress for `duration_s`
  zone_agents_cut_off,   ///< the agents of one zone can neither send nor receive
  owner_frozen,          ///< the process of the owner of the most machines is suspended
  all_tasks_finish,      ///< every running task ends at once
  jobs_cancelled,        ///< users cancel `fraction` of the running jobs
  gang_member_dies,      ///< the first machine of `count` gangs dies
  delayed_reports,    ///< a copy of each of the next `count` reports is delivered to every controller at the
                      ///< end of `duration_s`
  duplicate_reports,  ///< a copy of `fraction` of the reports is delivered again, after 2 s to 1.3 times the
                      ///< agent's lease
  delayed_writes,     ///< `fraction` of the transactions get no response and are applied 2 to 12 s later
  delayed_responses,  ///< `fraction` of the responses and commands to agents arrive up to `stagger_s` late
                      ///< (0: up to 6 s)
  machines_receive_nothing,  ///< reports of the machines arrive, responses and commands to them do not
  owner_refused_by_state,    ///< the state service refuses requests of the owner of the most machines
  owner_isolated,  ///< the owner of the most machines reaches neither the state service nor other controllers
  state_delay,     ///< the state service responds after `stagger_s`
  lost_write_responses,  ///< `fraction` of the transactions are applied at once and their responses lost
  replayed_reports,  ///< a copy of `fraction` of the reports is retained and delivered to every controller
                     ///< when a partition gets a new owner
  machines_send_nothing,             ///< the machines reach no controller, direct commands reach them
  zone_isolated,                     ///< the agents and controllers of a zone reach only each other
  jobs_cancelled_and_machines_hang,  ///< users cancel `fraction` of the running jobs, and `count` of their
                                     ///< machines hang for `duration_s`
  jobs_cancelled_at_end,  ///< users cancel `fraction` of the jobs that end, at the moment of their end
  repeated_queries,       ///< users query all controllers repeatedly right after a job was accepted, ended or
                          ///< cancelled
  invalid_requests,  ///< users repeat submissions of running jobs, withdraw ended jobs, and submit jobs that
                     ///< can never run
  fast_boots,        ///< new machines are up within 2 s, also those that a leader requested before it ended
};

/// The name of the fault in scenario files.
const char* name_of(FaultKind kind);

/// One fault of a scenario. Fields that its kind does not use are ignored.
struct Fault {
  double at_s = 0;                                   ///< time of injection, in seconds of simulated time
  FaultKind kind = FaultKind::all_controllers_down;  ///< kind of the fault
  double duration_s = 5,                             ///< how long the fault lasts, in seconds
      stagger_s = 0,                                 ///< seconds; its meaning depends on the kind
      fraction = 0;                                  ///< fraction of what the kind can affect
  std::uint32_t count = 0;  ///< number of machines, gangs or reports affected; of machines and reports, 0
                            ///< stands for `fraction` of the machines
  std::string zone;         ///< the zone affected; `zone_isolated`: empty for a random one
};

/// The cluster, its users, and the faults that are injected.
struct ClusterScenario {
  std::string name,       ///< name of the set of faults, for reports
      cluster;            ///< name of the cluster
  double warm_up_s = 86,  ///< warm-up in seconds; times of faults in scenario files count from its end
      duration_s = 200;   ///< total simulated time, in seconds
  std::uint32_t controllers = 3,         ///< number of controllers
      zones = 4;                         ///< number of zones, over which the machines are spread
  std::uint32_t initial_machines = 600,  ///< machines that are up at the start
      machine_capacity = 820,            ///< most machines that the cloud rents out
      spot_machines = 100;  ///< most spot machines that the cloud rents out, included in `machine_capacity`
  double report_interval_s = 4,  ///< mean time between reports of an agent, in seconds
      lease_s = 22,              ///< the agent's lease, in seconds
      cancel_timeout_s = 52,     ///< deadline of a cancellation, in seconds
      boot_s = 25,  ///< nominal boot time of a machine, in seconds; it varies from 0.6 to 1.5 times that
      fetch_gb_per_s = 0.5;           ///< download rate of images, in GB per second
  double write_rps = 300,             ///< changes per second that the state service accepts
      cloud_rps = 12;                 ///< calls per second that the cloud accepts
  std::size_t txn_ops = 48;           ///< most changes in one transaction
  std::uint32_t initial_gangs = 200,  ///< gangs submitted at the start
      initial_arrays = 90;            ///< arrays submitted at the start
  double gangs_per_s = 0.45,          ///< gangs submitted per second, on average
      arrays_per_s = 0.8;             ///< arrays submitted per second, on average
  double gang_run_s = 150,            ///< median run time of gangs, in seconds
      array_run_s = 70;               ///< median run time of the tasks of arrays, in seconds
  double guaranteed_gpus = 1200,      ///< GPUs guaranteed to each team
      max_gpus = 3500;                ///< GPU quota of each team
  double small_array_fraction =
      0;  ///< fraction of the arrays that have one to `small_array_max_tasks` tasks, whose ends are far apart
  std::uint32_t small_array_max_tasks = 3;  ///< most tasks of a small array
  double zone_bound_fraction = 0;  ///< fraction of the arrays with a zone constraint: a single zone, a named
                                   ///< zone, or spread over zones
  double withdrawn_fraction = 0;   ///< fraction of the jobs that their users withdraw after a random time
  double gang_wait_s = 30;         ///< how long a member of a gang waits for the others, in seconds
  double controller_lease_s = 0;   ///< controller lease in seconds; 0: the default. Shortened if
                                   ///< `cancel_timeout_s` requires it, as `config::load` does
  std::vector<Fault> faults;       ///< the faults, each injected at its time
};
/// Reads the faults from `file` and the cluster from `fleet`, both YAML. Throws yaml::Error with file, key
/// and reason.
ClusterScenario load_cluster_scenario(const std::string& file, const std::string& fleet);

/// What happened in one second of simulated time.
struct SecondSample {
  double gpus_in_use = 0;     ///< GPUs in use by running tasks, averaged over the second
  std::uint32_t returns = 0,  ///< machines returned while alive
      rentals = 0,            ///< machines rented
      starts = 0,             ///< applied transactions that place tasks
      kills = 0,              ///< kill commands delivered to agents
      changes = 0;            ///< changes by controllers that the state service applied
};

/// Counts jobs that were accepted, not withdrawn, and submitted early enough before the end of the run to
/// start. A job has started when each of its tasks has completed or run for `counts_as_started_after_s`
/// (PROTOCOL, "How aims are counted").
struct ServedJobs {
  std::uint32_t jobs = 0,     ///< number of jobs counted
      started = 0;            ///< number of them that have started
  double longest_wait_s = 0;  ///< longest time from submission until all tasks had started, or until the end
                              ///< of the run for a job that has not started; in seconds
  /// Adds one job; `wait_s` is its time from submission until it started or, if it has not, until the end of
  /// the run.
  void count(double wait_s, bool has_started);
};

/// The result of one run.
struct ClusterResult {
  std::vector<SecondSample> samples;  ///< one sample for each second
  std::array<std::uint32_t, 2>
      completed_tasks_by_class{},                          ///< completed tasks of gangs [0] and of arrays [1]
      submitted_tasks_by_class{};                          ///< submitted tasks of gangs [0] and of arrays [1]
  std::array<std::uint32_t, 2> completed_tasks_by_team{};  ///< completed tasks by team
  std::uint32_t wasted_scale_outs =
      0;  ///< machines returned alive and rented again within 60 s, or rented and returned unused
  double lost_run_time_s = 0;         ///< run time that has to be repeated, in GPU seconds
  std::uint32_t suspected = 0,        ///< machines that were suspected
      returned = 0,                   ///< suspected machines that reported again
      marked_for_deletion_alive = 0;  ///< machines deleted while tasks ran on them
  double reconciled_s = -1;  ///< seconds from the first fault until every partition was reconciled; negative:
                             ///< not within the run
  std::array<ServedJobs, 2> class_served,  ///< by class: gangs [0], arrays [1]
      team_served;                         ///< by team
  std::array<ServedJobs, 2>
      largest_served;  ///< by class, only the tenth of its jobs with the most GPUs (tasks x GPUs per task)
  std::uint32_t answers = 0,            ///< answers that users received
      refusals = 0;                     ///< requests of users that were refused or not answered
  std::uint32_t late_starts = 0;        ///< task starts after a confirmed cancellation
  std::vector<std::string> violations;  ///< violated invariants, see InvariantChecker
};

/// One run of a scenario. Runs with the same scenario, variant and seed have the same result.
class ClusterSimulation {
 public:
  /// Creates the cluster at time 0.
  ClusterSimulation(const ClusterScenario& scenario, SimulationVariant variant, std::uint64_t seed);
  ~ClusterSimulation();
  /// Simulates the whole scenario. May be called only once.
  ClusterResult run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oxbowmill::simulation
