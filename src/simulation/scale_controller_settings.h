// Writes the platform's settings file of a controller of a scale run. No state.
#pragma once

#include <string>

#include "oxbowmill/simulation/agent_simulator.h"

namespace oxbowmill::simulation {

/// Writes the TOML settings of the controller with number `i`. Throws Error where the file cannot be written.
void write_controller_settings(const std::string& file, std::size_t i, const ScaleSettings& settings,
                               const ScaleAddresses& addresses);

}  // namespace oxbowmill::simulation
