// Writes the TOML settings file (`--config`) of a controller in a scale run. Stateless.
#pragma once

#include <string>

#include "oxbowmill/simulation/agent_simulator.h"

namespace oxbowmill::simulation {

/// Writes the TOML settings of controller `i`. Throws Error if the file cannot be written.
void write_controller_settings(const std::string& file, std::size_t i, const ScaleSettings& settings,
                               const ScaleAddresses& addresses);

}  // namespace oxbowmill::simulation
