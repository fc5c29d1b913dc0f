// Detects the differences between an agent's report and the recorded state, by kind. Pure functions without
// state. The scheduler acts on the differences; docs/reconciliation.md describes the action for each kind and
// the proof that it requires.
#pragma once

#include <array>
#include <cstdint>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill::reconciliation {

/// A kind of difference between a report and the records.
enum class Difference : std::uint8_t {
  stale_token,   ///< the agent has not shown this owner's fencing token: a task missing in its report proves
                 ///< nothing
  not_reported,  ///< a task placed here is not in the report: lost or never started
  not_placed,    ///< the agent runs a task that has no placement
  placed_elsewhere,  ///< the agent runs a task that was placed on another machine after this start was proved
                     ///< to have ended
  other_attempt,     ///< the agent lists another attempt than the one placed here
  ended_unreported,  ///< a task placed here ended while no owner received reports
  job_finished,      ///< the agent runs a task of a job that is done, cancelled or not known
  gang_broken,  ///< a gang member is not reported or did not end as done, while others of its attempt may run
  uncleared_task,  ///< the agent lists an ended task that is not placed here: it is told to forget it
  market_managed,  ///< the machine belongs to a market: only its own report and its lease are proof
};
/// Number of `Difference` kinds.
constexpr std::size_t difference_kind_count = 10;
/// Name for logs.
const char* name_of(Difference difference);

/// Number of differences of each kind.
struct DifferenceCounts {
  std::array<std::uint32_t, difference_kind_count> count{};  ///< indexed by `Difference`
  /// Counts one more difference of this kind.
  void add(Difference difference) { ++count[static_cast<std::size_t>(difference)]; }
  /// Number of differences of this kind.
  std::uint32_t operator[](Difference difference) const {
    return count[static_cast<std::size_t>(difference)];
  }
  /// Adds the counts of `other`, kind by kind.
  DifferenceCounts& operator+=(const DifferenceCounts& other) {
    for (std::size_t i = 0; i < difference_kind_count; ++i) count[i] += other.count[i];
    return *this;
  }
  /// Whether there is a difference that a command, a change of a record or a proof has to settle.
  [[nodiscard]] bool has_unsettled() const;
};

/// Compares a valid report with the recorded state. To be called before the scheduler handles the report.
[[nodiscard]] DifferenceCounts compare(const ClusterState& state, MachineIndex machine_index,
                                       const AgentReport& report);

/// Whether a report may be compared with the records.
enum class ReportValidity : std::uint8_t {
  unregistered,  ///< the machine has no record
  not_owned,     ///< another controller owns the machine's partition
  stale,         ///< not newer than the machine's last handled report
  higher_token,  ///< the agent has a later fencing token than this owner's
  valid,         ///< may be compared
};
/// Checks a report of the machine. `machine_index` is invalid if there is no record; `is_owned` says whether
/// this controller owns the machine's partition.
[[nodiscard]] ReportValidity check_validity(const ClusterState& state, bool is_owned,
                                            MachineIndex machine_index, const AgentReport& report);

}  // namespace oxbowmill::reconciliation
