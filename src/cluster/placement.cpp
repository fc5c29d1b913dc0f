#include "oxbowmill/cluster/placement.h"

namespace oxbowmill {

const char* name_of(PlacementState state) {
  static constexpr const char* names[] = {"placed", "sent", "reported", "stopping", "finished", "terminated"};
  return names[static_cast<int>(state)];
}

}  // namespace oxbowmill
