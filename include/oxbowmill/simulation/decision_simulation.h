// Releases and models played on a simulated clock, with controllers that fail, beside simpler variants.
#pragma once

#include "oxbowmill/simulation/simulated_cluster.h"

namespace oxbowmill::simulation {

struct DecisionScenario {
  std::string name;
  bool is_release_scenario = false;  // else a model and its calls
  double duration_s = 7200;
  double owner_failure_interval_s = 0;  // mean time between failures of the owner; 0: never
  std::uint32_t machines = 12;
  double arrival_interval_s = 600;           // mean time between bursts of calls, or between revisions
  std::uint32_t calls_per_burst = 5;         // calls a burst
  double call_s = 20, weights_fetch_s = 40;  // a call's run; a replica's fetch of the weights
  double render_s = 60, publish_s = 10;      // medians, a factor of two both ways
  double manual_check_interval_s = 900;      // how often somebody looks, where pairs are held by hand
  serving::ModelSpec terms;
};
DecisionScenario load_decision_scenario(const std::string& file);

struct DecisionRow {
  std::string variant;
  std::uint64_t seed = 0;
  // A model: rounds, replicas started in a round before the first served, waiting of calls, hours with a
  // replica.
  double rounds = 0, starts_before_serving = 0, wait_median = 0, wait_p95 = 0, gpu_hours = 0;
  // Releases: from "all rendered" to "both publishing run", the share of time with one edition stale.
  double to_publish_median = 0, to_publish_max = 0, stale_fraction = 0;
  double changes_per_minute = 0;  // of decisions, a minute
  int violations = 0;  // a task on two machines, a publishing task before all renderings, work left undone
};

/// Every variant on seeds 1 to `seeds`: a model always on, with a fixed idle time, as it is, and with perfect
/// knowledge of the calls; releases unpaired, coordinated by hand, and as they are.
std::vector<DecisionRow> play_decisions(const DecisionScenario& scenario, unsigned seeds, unsigned threads);
std::string table(const DecisionScenario& scenario, const std::vector<DecisionRow>& rows);

}  // namespace oxbowmill::simulation
