#include "oxbowmill/cluster/types.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill {

int how_many_fit(const Resources& need, const Resources& room) {
  double sample_weight = 1e6;
  auto limit = [&sample_weight](double want, double have) {
    if (want > 0) sample_weight = std::min(sample_weight, std::floor((have + resource_tolerance) / want));
  };
  limit(need.cpus, room.cpus);
  limit(need.gpus, room.gpus);
  limit(need.memory_gb, room.memory_gb);
  return sample_weight < 0 ? 0 : static_cast<int>(sample_weight);
}

const char* name_of(JobPhase p) {
  static constexpr const char* names[] = {"open", "done", "cancelled"};
  return names[static_cast<int>(p)];
}

const char* name_of(JobShape s) {
  static constexpr const char* names[] = {"array", "gang", "service"};
  return names[static_cast<int>(s)];
}

const char* name_of(EndCause c) {
  static constexpr const char* names[] = {"none",  "done",    "stopped", "peers",  "incomplete",
                                          "error", "no_room", "busy",    "no_such"};
  return names[static_cast<int>(c)];
}

}  // namespace oxbowmill
