// Differences between an agent's report and the recorded state, by kind. Pure functions without state. What
// follows from each difference, and on which proof, is in docs/reconciliation.md; the scheduler acts on it.
#pragma once

#include <array>
#include <cstdint>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill::reconciliation {

/// A kind of difference between report and record.
enum class Difference : std::uint8_t {
  stale_token,   ///< the agent has not shown the present owner's fencing token: what it lacks proves nothing
  not_reported,  ///< placed here, and the agent does not list it: lost, or never started
  not_placed,    ///< the agent runs a task that has no placement anywhere
  placed_elsewhere,  ///< it runs a task placed on another machine: an earlier start whose end was proved
  other_attempt,     ///< it runs another attempt than the one placed here
  ended_unreported,  ///< placed here, and it ended while no owner received reports
  job_finished,      ///< it runs a task of a job that is done or cancelled
  gang_broken,       ///< a gang member is not reported, ended or lost while others of its attempt are there
  uncleared_task,    ///< it lists an ended task without a placement: to be cleared
  market_managed,    ///< its record belongs to a market: only its own report and its lease count
};
/// Number of `Difference` kinds.
constexpr std::size_t difference_kind_count = 10;
/// Name for logs.
const char* name_of(Difference difference);

/// How many differences of each kind there are.
struct Differences {
  std::array<std::uint32_t, difference_kind_count> count{};  ///< by `Difference`
  /// Counts one more of this kind.
  void add(Difference difference) { ++count[static_cast<std::size_t>(difference)]; }
  /// Number of differences of this kind.
  std::uint32_t operator[](Difference difference) const {
    return count[static_cast<std::size_t>(difference)];
  }
  /// Adds the counts of `other`, kind by kind.
  Differences& operator+=(const Differences& other) {
    for (std::size_t i = 0; i < difference_kind_count; ++i) count[i] += other.count[i];
    return *this;
  }
  /// Whether a command, a record or a proof has yet to settle something.
  [[nodiscard]] bool any() const;
};

/// Compares a valid report with the recorded state, before anything is concluded from it.
[[nodiscard]] Differences compare(const ClusterState& model, MachineIndex machine_index,
                                  const WorkerReport& report);

/// Whether a report may be compared at all.
enum class ReportValidity : std::uint8_t {
  unregistered,  ///< from a machine without a record
  not_owned,     ///< the machine is another controller's
  stale,         ///< older than a report that was judged already, or from before the takeover
  higher_token,  ///< the agent has seen a later fencing token than this owner's
  valid,         ///< to be compared
};
/// Checks a report from `machine_index` (invalid: no record); `owned`: its partition is this controller's.
[[nodiscard]] ReportValidity check_validity(const ClusterState& model, bool owned, MachineIndex machine_index,
                                            const WorkerReport& report);

}  // namespace oxbowmill::reconciliation
