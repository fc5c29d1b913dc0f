// A whole cluster on a simulated clock: several controllers' cores, a state service and a cloud with limits
// and outages, and workers by the hundred that report, fetch, run, save and lose work. Faults come by script.
#pragma once

#include <array>
#include <memory>
#include <random>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill::simulation {

/// How a cluster is played.
enum class SimulationVariant : std::uint8_t {
  without_faults,          // without its faults
  without_reconciliation,  // the start as it was: nothing squared, nobody suspected, the old owner's grace
                           // waited for
  with_reconciliation,     // as `deploy/recovery.yaml` switches it on
  oracle,                  // told at once who is dead, and never wrong
};
constexpr SimulationVariant simulation_variants[] = {
    SimulationVariant::without_faults, SimulationVariant::without_reconciliation,
    SimulationVariant::with_reconciliation, SimulationVariant::oracle};
const char* name_of(SimulationVariant variant);

enum class FaultKind : std::uint8_t {
  all_controllers_down,  // every controller ends; back after `duration_s`, each `stagger_s` after the one
                         // before
  owner_down,            // the owner of the most machines ends
  owner_without_state,   // the owner of the most machines alone lacks the state service
  state_outage,
  state_slow,  // the state service takes `share` of its changes a second
  cloud_outage,
  machines_die,
  machines_hang,         // silent and at a standstill for `duration_s`
  zone_workers_cut_off,  // one zone's workers reach nobody
  owner_frozen,          // the owner of the most machines stands still
  all_tasks_finish,      // what runs ends at this moment
  jobs_cancelled,        // users cancel `share` of the running jobs
  gang_member_dies,      // the first machine of `count` gangs dies
  delayed_reports,       // reports of `count` machines are held back here and delivered after `duration_s`
  duplicate_reports,     // of `share` of the reports a copy comes again, from 2 s to well over a lease later
  delayed_writes,        // `share` of the transactions get no answer and are carried out 2 to 12 s later
  delayed_responses,     // `share` of answers and commands to workers take up to `stagger_s`, or 6 s
  machines_receive_nothing,  // their reports arrive, answers and commands to them do not
  owner_refused_by_state,    // the state service refuses the owner of the most machines
  owner_isolated,            // that owner has neither state service nor peers
  state_delay,               // the state service answers after `stagger_s`
  lost_write_responses,  // of `share` of the transactions only the answer is lost: they are carried out at
                         // once
  replayed_reports,  // of `share` of the reports a copy is kept and reaches every controller as a new owner
                     // begins
  machines_send_nothing,             // they reach no controller, direct commands reach them
  zone_isolated,                     // a zone's workers and controllers reach each other, and nobody else
  jobs_cancelled_and_machines_hang,  // users cancel `share` of the running jobs, and `count` of their
                                     // machines hang for `duration_s`
  jobs_cancelled_at_end,             // `share` of the jobs that end is called off at the moment of the end
  repeated_queries,  // users ask at all nodes, and repeat, right after a job was accepted, ended or called
                     // off
  invalid_requests,  // repeats of what runs, withdrawals of what is over, submissions that are unsound
  fast_boots,  // new machines are up within two seconds, also those of a leader that has ended meanwhile
};

const char* name_of(FaultKind k);

struct Fault {
  double at_s = 0;
  FaultKind kind = FaultKind::all_controllers_down;
  double duration_s = 5, stagger_s = 0, fraction = 0;
  std::uint32_t count = 0;
  std::string zone;
};

struct ClusterScenario {
  std::string name, cluster;
  double warm_up_s = 86, duration_s = 200;  // faults count from the first on
  std::uint32_t controllers = 3, zones = 4;
  std::uint32_t initial_machines = 600, machine_capacity = 820,
                spot_machines = 100;  // machines: at the start, in all, spot ones among them
  double report_interval_s = 4, lease_s = 22, cancel_timeout_s = 52, boot_s = 25, fetch_gb_per_s = 0.5;
  double write_rps = 300, cloud_rps = 12;
  std::size_t txn_ops = 48;
  std::uint32_t initial_gangs = 200, initial_arrays = 90;  // at the start
  double gangs_per_s = 0.45, arrays_per_s = 0.8;           // arrivals
  double gang_run_s = 150, array_run_s = 70;               // medians of run times
  double guaranteed_gpus = 1200, max_gpus = 3500;
  double small_array_fraction =
      0;  // share of the arrays that have one to `small_array_max_tasks` tasks, which end far apart
  std::uint32_t small_array_max_tasks = 3;
  double zone_bound_fraction =
      0;  // share of the arrays that are bound to one zone, to a named one, or have to be in two
  double withdrawn_fraction = 0;  // share of the jobs that their users withdraw, some time after submission
  double gang_wait_s = 30;
  double controller_lease_s = 0;  // 0: the default; shortened where cancel_s asks for it, as settings are
  std::vector<Fault> faults;
};
/// Reads the faults from one file and the cluster that has them from another (YAML); throws yaml::Error with
/// file, key and reason.
ClusterScenario load_cluster_scenario(const std::string& file, const std::string& fleet);

struct SecondSample {
  double gpus_in_use = 0;  // in use by running tasks
  std::uint32_t returns = 0, rentals = 0, starts = 0, kills = 0, changes = 0;
};

/// Jobs that were accepted, not withdrawn, and early enough to begin; begun with all their tasks, by starts
/// that were not stopped within 30 s (PROTOCOL, "How aims are counted").
struct ServedJobs {
  std::uint32_t jobs = 0, started = 0;
  double longest_wait_s = 0;  // of what has not begun: so far
  void count(double wait_s, bool has_begun);
};

struct ClusterResult {
  std::vector<SecondSample> samples;
  std::array<std::uint32_t, 2> done_by_class{}, tasks_by_class{};  // tasks by class: gang, array
  std::array<std::uint32_t, 2> tasks_by_team{};
  std::uint32_t wasted_scale_outs =
      0;                       // machines returned alive and rented again, or rented and returned unused
  double lost_run_time_s = 0;  // run time that has to be repeated
  std::uint32_t suspected = 0, returned = 0, marked_for_deletion_alive = 0;
  double reconciled_s = -1;  // from the first fault until every part was squared; below 0: not
  std::array<ServedJobs, 2> class_served, team_served;
  std::array<ServedJobs, 2> largest_served;  // of each class the tenth that is largest by tasks x GPUs
  std::uint32_t answers = 0, refusals = 0;   // users' questions
  std::uint32_t late_starts = 0;             // after a confirmed cancellation
  std::vector<std::string> violations;       // rules
};

class ClusterSimulation {
 public:
  ClusterSimulation(const ClusterScenario& scenario, SimulationVariant way, std::uint64_t seed);
  ~ClusterSimulation();
  ClusterResult run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oxbowmill::simulation
