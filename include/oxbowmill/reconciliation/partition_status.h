// The phase of a partition's reconciliation, and what controllers publish of it to each other. Plain data.
#pragma once

#include <cstdint>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill::reconciliation {

/// How far a partition's owner is between takeover and ordinary service. The order of the values is that of
/// the phases; they are sent between controllers as numbers.
enum class PartitionPhase : std::uint8_t {
  not_owned,         ///< another controller's, or nobody's
  loading_state,     ///< taken over, but the loaded state has not reached the takeover yet
  awaiting_reports,  ///< the agents report one by one
  reconciling,       ///< enough have reported to judge by; differences and suspects are being settled
  observing_demand,  ///< idle pool only: demand is observed anew, no idle machine is returned
  ramping_down,      ///< idle pool only: idle machines are returned at a limited rate
  serving,           ///< ordinary service
};
/// Name for logs.
const char* name_of(PartitionPhase phase);

/// What controllers publish of a partition's reconciliation.
struct PartitionStatus {
  PartitionIndex partition;                          ///< whose status it is
  Revision ownership_revision = 0;                   ///< of the takeover that it belongs to
  PartitionPhase phase = PartitionPhase::not_owned;  ///< at the owner
  std::uint32_t expected = 0;                        ///< machines that were to report
  std::uint32_t reported = 0;                        ///< machines of these that have reported
};

}  // namespace oxbowmill::reconciliation
