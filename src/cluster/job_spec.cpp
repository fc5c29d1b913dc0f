#include "oxbowmill/cluster/job_spec.h"

namespace oxbowmill {

const char* name_of(JobPhase phase) {
  static constexpr const char* names[] = {"open", "done", "cancelled"};
  return names[static_cast<int>(phase)];
}

const char* name_of(JobShape shape) {
  static constexpr const char* names[] = {"array", "gang", "service"};
  return names[static_cast<int>(shape)];
}

const char* name_of(EndCause cause) {
  static constexpr const char* names[] = {"none",  "done",    "stopped", "peers",  "incomplete",
                                          "error", "no_room", "busy",    "no_such"};
  return names[static_cast<int>(cause)];
}

}  // namespace oxbowmill
