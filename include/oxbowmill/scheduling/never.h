// The time that never comes. Seconds on the steady clock.
#pragma once

#include <limits>

#include "oxbowmill/cluster/index.h"

namespace oxbowmill {

/// Later than every time: nothing is due.
constexpr Seconds never = std::numeric_limits<Seconds>::infinity();

}  // namespace oxbowmill
