// Simulates coordinated releases and models that scale to zero, with failovers of the owner, and simpler
// variants of both for comparison. No state outside a run.
#pragma once

#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill::simulation {

/// The workload of a cluster of three controllers, one of which owns all partitions. Times are in seconds.
struct DecisionScenario {
  std::string name;  ///< name of the scenario in reports
  bool is_release_scenario =
      false;  ///< whether the workload is revisions to publish; if not, it is a model and its calls
  double duration_s = 7200;             ///< simulated time
  double owner_failure_interval_s = 0;  ///< mean time between failures of the owner; 0: no failures
  std::uint32_t machines = 12;          ///< number of machines
  double arrival_interval_s = 600;      ///< mean time between bursts of calls, or time between revisions
  std::uint32_t calls_per_burst = 5;    ///< jobs in a burst, each of which is one call to the model
  double call_s = 20,                   ///< run time of a call
      weights_fetch_s = 40;             ///< time in which a model replica fetches the weights
  double render_s = 60,  ///< median run time of a rendering job, varied by up to a factor of two
      publish_s = 10;    ///< median run time of a publishing job, varied likewise
  double manual_check_interval_s = 900;  ///< time between the checks of a person, in the variant in which
                                         ///< releases are coordinated by hand
  serving::ModelSpec model;              ///< settings of the model
};
/// Reads a scenario file (YAML). Throws yaml::Error with file, key and reason.
DecisionScenario load_decision_scenario(const std::string& file);

/// The results of one run.
struct DecisionRow {
  std::string variant;     ///< name of the variant in reports
  std::uint64_t seed = 0;  ///< seed of all random draws of the run
  // For a model:
  double epochs = 0,              ///< epochs of its decision, that is, scale-outs from zero
      starts_before_serving = 0,  ///< most model replicas started in one epoch before the model served
      wait_median_s = 0,          ///< median wait of the calls, in seconds
      wait_p95_s = 0,             ///< 95th percentile of that wait
      gpu_hours = 0;              ///< GPU hours of its model replicas
  // For releases:
  double time_to_publish_median_s = 0,  ///< seconds from the end of the last rendering until both publishing
                                        ///< jobs run, median over the revisions
      time_to_publish_max_s = 0,        ///< maximum of that time
      stale_fraction = 0;         ///< fraction of the time in which only one of the two editions is published
  double changes_per_minute = 0;  ///< changes of decision records
  int violations =
      0;  ///< number of tasks on two machines, skipped epochs, publications before all renderings had
  ///< ended, and unfinished calls and revisions
};

/// Runs every variant with seeds 1 to `seeds` on `threads` threads. The variants of a model are: always on,
/// with a fixed idle time, as implemented, and with perfect knowledge of the calls. Those of releases are:
/// unpaired, coordinated by hand, and as implemented.
std::vector<DecisionRow> run_decision_variants(const DecisionScenario& scenario, unsigned seeds,
                                               unsigned threads);
/// Formats the medians over the seeds as a text table, one line for each variant.
std::string table(const DecisionScenario& scenario, const std::vector<DecisionRow>& rows);

}  // namespace oxbowmill::simulation
