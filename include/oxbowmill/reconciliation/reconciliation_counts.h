// Counts of one reconciliation of a partition. Plain data.
#pragma once

#include <cstdint>
#include <set>

#include "oxbowmill/reconciliation/difference.h"

namespace oxbowmill::reconciliation {

/// Counts since a partition's latest takeover, for logs, tests and the simulation.
struct ReconciliationCounts {
  std::uint32_t expected = 0;              ///< machines whose first report was awaited
  std::uint32_t reported = 0;              ///< first reports received
  std::uint32_t matched = 0;               ///< first reports without a difference that has to be settled
  std::uint32_t suspected = 0;             ///< times that a machine became suspected
  std::uint32_t marked_for_deletion = 0;   ///< suspected machines that were marked for deletion
  std::uint32_t lost = 0;                  ///< machines whose lease has expired
  std::uint32_t returned = 0;              ///< suspected machines that reported again
  std::uint32_t stale = 0;                 ///< reports that were too old to be compared
  std::uint32_t unregistered = 0;          ///< reports of machines without a record
  std::set<JobIndex> delayed_scale_outs;   ///< jobs whose scale out waited for reports
  std::set<MachineIndex> delayed_returns;  ///< idle machines whose return was delayed
  DifferenceCounts first_differences;      ///< differences found in the first reports
};

}  // namespace oxbowmill::reconciliation
