#include "oxbowmill/cluster/resources.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill {

int how_many_fit(const Resources& need, const Resources& available) {
  double count = 1e6;  // result for tasks that need nothing
  auto limit = [&count](double needed, double capacity) {
    if (needed > 0) count = std::min(count, std::floor((capacity + resource_tolerance) / needed));
  };
  limit(need.cpus, available.cpus);
  limit(need.gpus, available.gpus);
  limit(need.memory_gb, available.memory_gb);
  limit(need.message_bytes, available.message_bytes);
  return count < 0 ? 0 : static_cast<int>(count);
}

}  // namespace oxbowmill
