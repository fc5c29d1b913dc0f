// Runs a scale run: real controller processes on loopback, together with processes that simulate the agents,
// users, cloud and state service. The run owns these processes and ends all of them, even if it is
// interrupted.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "oxbowmill/simulation/scale_settings.h"

namespace oxbowmill::simulation {

/// Options of a scale run.
struct ScaleOptions {
  std::string program;                 ///< path of the controller program
  std::vector<std::string> operators;  ///< operator settings files (YAML) that the controllers get
  std::string directory;               ///< for settings and logs; created if it does not exist
  bool progress = true;                ///< print a line every ten seconds to standard error
};

/// Results of a scale run.
struct ScaleReport {
  nlohmann::json figures;               ///< measured values by name
  std::vector<std::string> violations;  ///< violated invariants, and processes that ended unexpectedly
  /// Reasons why the figures are invalid because a simulator and not the controllers limited the run; empty
  /// if they are valid.
  std::vector<std::string> invalid_figure_reasons;
};

/// Runs a scale run to its end. Throws an Error with a one-line message if a process cannot be started, a
/// simulator ends unexpectedly or the run is interrupted.
ScaleReport run_scale_simulation(const ScaleSettings& settings, const ScaleOptions& options);
/// Formats the report as a table for people.
std::string table(const ScaleReport& report);

}  // namespace oxbowmill::simulation
