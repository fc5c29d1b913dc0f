// Coordinated releases and models that scale to zero, played on a simulated clock with failovers of the
// owner, and simpler variants for comparison. No state outside a run.
#pragma once

#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill::simulation {

/// A cluster of three controllers, one of which owns all partitions, with a workload. Times are in seconds.
struct DecisionScenario {
  std::string name;                     ///< for reports
  bool is_release_scenario = false;     ///< revisions to publish; otherwise a model and its calls
  double duration_s = 7200;             ///< simulated time
  double owner_failure_interval_s = 0;  ///< mean time between failures of the owner; 0: never
  std::uint32_t machines = 12;          ///< of the cluster
  double arrival_interval_s = 600;      ///< mean time between bursts of calls, or time between revisions
  std::uint32_t calls_per_burst = 5;    ///< jobs that call the model
  double call_s = 20,                   ///< run time of a call
      weights_fetch_s = 40;             ///< time in which a replica fetches the weights
  double render_s = 60,  ///< median run time of a rendering job, varied by up to a factor of two
      publish_s = 10;    ///< of a publishing job, likewise
  double manual_check_interval_s =
      900;  ///< how often a person looks, in the variant in which releases are coordinated by hand
  serving::ModelSpec terms;  ///< the model
};
/// Reads a scenario file (YAML). Throws yaml::Error with file, key and reason.
DecisionScenario load_decision_scenario(const std::string& file);

/// One run.
struct DecisionRow {
  std::string variant;     ///< its name in reports
  std::uint64_t seed = 0;  ///< of all its random draws
  // A model:
  double rounds = 0,              ///< epochs of its decision, that is scale-outs from zero
      starts_before_serving = 0,  ///< most replicas started in an epoch before the model served
      wait_median = 0,            ///< seconds that calls waited, median
      wait_p95 = 0,               ///< and 95th percentile
      gpu_hours = 0;              ///< GPU hours of its replicas
  // Releases:
  double to_publish_median =
             0,  ///< seconds from the last rendering until both publishing jobs run, median over revisions
      to_publish_max = 0,  ///< and maximum
      stale_fraction = 0;  ///< fraction of the time in which one edition is published and the other is not
  double changes_per_minute = 0;  ///< changes of decision records
  int violations = 0;  ///< tasks on two machines, epochs skipped, publishing before all renderings, calls or
                       ///< revisions left unfinished
};

/// Plays every variant with seeds 1 to `seeds`, on several threads. Models: always on, with a fixed idle
/// time, as implemented, and with perfect knowledge of the calls. Releases: unpaired, coordinated by hand,
/// and as implemented.
std::vector<DecisionRow> play_decisions(const DecisionScenario& scenario, unsigned seeds, unsigned threads);
/// For reading.
std::string table(const DecisionScenario& scenario, const std::vector<DecisionRow>& rows);

}  // namespace oxbowmill::simulation
