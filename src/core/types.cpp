#include "oxbowmill/core/types.h"

#include <algorithm>
#include <cmath>

namespace oxbowmill {

int how_many_fit(const Amounts& need, const Amounts& room) {
  double n = 1e6;
  auto limit = [&n](double want, double have) {
    if (want > 0) n = std::min(n, std::floor((have + amount_slack) / want));
  };
  limit(need.cpus, room.cpus);
  limit(need.gpus, room.gpus);
  limit(need.memory_gb, room.memory_gb);
  return n < 0 ? 0 : static_cast<int>(n);
}

const char* name_of(JobPhase p) {
  static constexpr const char* names[] = {"open", "done", "cancelled"};
  return names[static_cast<int>(p)];
}

const char* name_of(Shape s) {
  static constexpr const char* names[] = {"array", "gang", "service"};
  return names[static_cast<int>(s)];
}

const char* name_of(EndCause c) {
  static constexpr const char* names[] = {"none",  "done",    "stopped", "peers",  "incomplete",
                                          "error", "no_room", "busy",    "no_such"};
  return names[static_cast<int>(c)];
}

}  // namespace oxbowmill
