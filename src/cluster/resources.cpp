#include "oxbowmill/cluster/resources.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill {

int how_many_fit(const Resources& need, const Resources& available) {
  double most = 1e6;  // result for tasks that need nothing
  auto limit = [&most](double needed, double capacity) {
    if (needed > 0) most = std::min(most, std::floor((capacity + resource_tolerance) / needed));
  };
  limit(need.cpus, available.cpus);
  limit(need.gpus, available.gpus);
  limit(need.memory_gb, available.memory_gb);
  return most < 0 ? 0 : static_cast<int>(most);
}

}  // namespace oxbowmill
