#include "oxbowmill/scheduling/slow_task_detector.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill {

std::size_t finishes_needed(std::uint32_t tasks, double ratio) {
  // The small subtrahend keeps 100 x 0.75 from becoming 76 through rounding.
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(tasks * ratio - 1e-9)));
}

double slow_baseline(const std::vector<double>& finished, std::uint32_t tasks,
                     const OperatorSettings& operator_settings) {
  std::size_t need = finishes_needed(tasks, operator_settings.finished_ratio);
  if (finished.size() < need) return -1;
  std::vector<double> t(finished.begin(), finished.begin() + static_cast<std::ptrdiff_t>(need));
  std::sort(t.begin(), t.end());
  double median = need % 2 == 1 ? t[need / 2] : (t[need / 2 - 1] + t[need / 2]) / 2;
  return std::max(median * operator_settings.slow_multiplier, operator_settings.baseline_floor_s);
}

}  // namespace oxbowmill
