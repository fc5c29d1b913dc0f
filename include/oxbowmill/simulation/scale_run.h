// Runs a scale run: real controllers as processes on loopback, beside processes with simulated agents, users,
// cloud and state service. It owns these processes and ends all of them, also when it is interrupted.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "oxbowmill/simulation/scale_settings.h"

namespace oxbowmill::simulation {

/// How a scale run is started.
struct ScaleOptions {
  std::string program;                 ///< path of the controller
  std::vector<std::string> operators;  ///< operators' settings files (YAML) for the controllers
  std::string directory;               ///< for settings and logs; created where it does not exist
  bool progress = true;                ///< print a line every ten seconds to standard error
};

/// What a scale run came to.
struct ScaleReport {
  nlohmann::json figures;                    ///< measured values by name
  std::vector<std::string> violations;       ///< violated invariants and processes that ended by themselves
  std::vector<std::string> missing_figures;  ///< why a simulator, not the controllers, limited the run; its
                                             ///< figures do not count then
};

/// Plays a scale run. Throws Error, in one line, where a process cannot be started or the run is
/// interrupted.
ScaleReport play_scale(const ScaleSettings& settings, const ScaleOptions& options);
/// For reading.
std::string table(const ScaleReport& report);

}  // namespace oxbowmill::simulation
