#include "oxbowmill/reconciliation/partition_status.h"

namespace oxbowmill::reconciliation {

const char* name_of(PartitionPhase phase) {
  static constexpr const char* names[] = {"not_owned",   "loading_state",    "awaiting_reports",
                                          "reconciling", "observing_demand", "ramping_down",
                                          "serving"};
  return names[static_cast<int>(phase)];
}

}  // namespace oxbowmill::reconciliation
