// Plays a cell: real controllers as processes on loopback beside stand-ins that share processes. Ends all
// that it started, also when it is interrupted.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "oxbowmill/simulation/scale_settings.h"

namespace oxbowmill::simulation {

struct ScaleOptions {
  std::string program;                 // the controller
  std::vector<std::string> operators;  // operators' settings files for it
  std::string directory;               // for settings and logs; made if it is not there
  bool progress = true;                // a line each ten seconds on standard error
};

struct ScaleReport {
  nlohmann::json figures;
  std::vector<std::string> violations;       // rules
  std::vector<std::string> missing_figures;  // why the machine, and not the service, was the limit
};

/// Throws Error with one line where a process cannot be started.
ScaleReport play_scale(const ScaleSettings& settings, const ScaleOptions& options);
std::string table(const ScaleReport& report);

}  // namespace oxbowmill::simulation
