// A time that is later than every other. Seconds of the steady clock.
#pragma once

#include <limits>

#include "oxbowmill/cluster/index.h"

namespace oxbowmill {

/// Due time of something that is not scheduled.
constexpr Seconds never = std::numeric_limits<Seconds>::infinity();

}  // namespace oxbowmill
