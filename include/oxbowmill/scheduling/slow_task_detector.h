// The source's detector (FLIP-168, "Detect slow tasks"): pure arithmetic on finished run times.
#pragma once

#include <vector>

#include "oxbowmill/cluster/settings.h"

namespace oxbowmill {

/// Finishes that must have been seen before a baseline exists: ceil(N x R), at least one.
std::size_t finishes_needed(std::uint32_t tasks, double ratio);

/// max(median of the earliest ceil(N x R) run times x M, B); below 0 while there are too few.
/// `finished` is in order of finishing.
double slow_baseline(const std::vector<double>& finished, std::uint32_t tasks,
                     const OperatorSettings& operator_settings);

/// At or past the baseline; nothing is slow while there is none.
inline bool is_slow(double elapsed, double baseline) {
  return baseline >= 0 && elapsed >= baseline;
}

}  // namespace oxbowmill
