// Phase of a partition's reconciliation, and the status of it that controllers send each other. Plain data.
#pragma once

#include <cstdint>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill::reconciliation {

/// Phases of a partition from its takeover to normal operation, in this order. Controllers send the values to
/// each other as numbers.
enum class PartitionPhase : std::uint8_t {
  not_owned,         ///< another controller or none owns the partition
  loading_state,     ///< taken over, but the scheduler has not noticed the takeover in the loaded state yet
  awaiting_reports,  ///< waiting for the first reports of the agents
  reconciling,       ///< enough agents have reported; differences and suspected machines are being settled
  observing_demand,  ///< idle pool only: demand is observed, and no idle machine is returned
  ramping_down,      ///< idle pool only: idle machines are returned at a limited rate
  serving,           ///< normal operation
};
/// Name for logs.
const char* name_of(PartitionPhase phase);

/// Status of a partition's reconciliation, as its owner sends it to the other controllers.
struct PartitionStatus {
  PartitionIndex partition;         ///< the partition
  Revision ownership_revision = 0;  ///< revision of the ownership record under which it is reconciled
  PartitionPhase phase = PartitionPhase::not_owned;  ///< phase at the owner
  std::uint32_t expected = 0;                        ///< machines whose first report was awaited
  std::uint32_t reported = 0;                        ///< first reports received
};

}  // namespace oxbowmill::reconciliation
