// Liveness of an agent, the silence after which it is suspected, and whether deleting a suspected machine is
// worthwhile. Pure functions, and statistics that the caller owns. Not thread-safe.
#pragma once

#include <vector>

#include "oxbowmill/reconciliation/difference.h"
#include "oxbowmill/reconciliation/settings.h"

namespace oxbowmill::reconciliation {

/// What a controller knows of a machine's agent, during reconciliation and after it.
enum class AgentLiveness : std::uint8_t {
  none,        ///< the machine is in no partition that this controller owns
  booting,     ///< no report is expected, see `is_silence_expected`
  awaited,     ///< has not reported since this controller took over its partition or received the machine
  reported,    ///< has reported, but not yet with the fencing token of this owner
  mismatched,  ///< has reported with that token; some difference from the records is not settled yet
  reconciled,  ///< its report agrees with the records
  suspected,   ///< silent while the other machines of its zone report
  marked_for_deletion,  ///< suspected, and its deletion is expected to be worthwhile
  lost,                 ///< its lease has expired, which proves that it runs nothing
};
/// Name for logs.
const char* name_of(AgentLiveness liveness);
/// Whether the agent is suspected; one that is marked for deletion is as well.
[[nodiscard]] bool is_suspect(AgentLiveness liveness);
/// Whether the agent has reported and has not become suspected since.
[[nodiscard]] bool has_reported(AgentLiveness liveness);

/// How often suspected machines reported again or were lost. The weight of old outcomes decays.
class SuspicionStatistics {
 public:
  /// Records that a suspected machine has reported again.
  void record_return() { add_outcome(1, 0); }
  /// Records that a suspected machine was proved to be lost.
  void record_loss() { add_outcome(0, 1); }
  /// Probability that a suspected machine reports again by itself; never 0.
  [[nodiscard]] double return_probability() const;
  /// Decayed number of suspected machines that reported again.
  [[nodiscard]] double returned_weight() const { return returned_weight_; }
  /// Decayed number of suspected machines that were lost.
  [[nodiscard]] double lost_weight() const { return lost_weight_; }

 private:
  void add_outcome(double returned, double lost);
  double returned_weight_ = 0, lost_weight_ = 0;
};

/// Seconds after a takeover from which a machine without a report is suspected. Computed from the delays of
/// the first reports of its zone (seconds from the takeover, ascending). The latest delay counts, not the
/// median, because first reports are spread over a whole report interval: silence is evidence only after they
/// have ceased. The result is at least `floor` and at most `cap`; it is negative if too few of the
/// `expected_machines` have reported.
[[nodiscard]] Seconds suspicion_threshold(const std::vector<double>& first_report_delays_s,
                                          std::uint32_t expected_machines, Seconds floor, Seconds cap,
                                          const Settings& settings);
/// Probability that a machine that has been silent for `silent_s` reports within the next `within_s`.
/// Temporary silences have no typical duration (scale-free): the longer one has lasted, the longer it is
/// expected to last.
[[nodiscard]] double report_probability(const SuspicionStatistics& statistics, Seconds silent_s,
                                        Seconds within_s);

/// Expected effects of deleting a suspected machine now instead of waiting until its lease proves it empty.
struct DeletionTradeoff {
  /// Machine-seconds of waiting saved if the machine is lost, times the probability of that.
  double saved_machine_s = 0;
  /// Machine-seconds lost if the machine reports again, times the probability of that.
  double lost_machine_s = 0;
  /// Whether deleting the machine now is expected to save more than it loses.
  [[nodiscard]] bool is_worthwhile() const { return saved_machine_s > lost_machine_s; }
};
/// Estimates the effects of deleting a machine that is proved to be empty at `proof_at` and reports before
/// that with probability `return_probability`. Times are of the steady clock.
[[nodiscard]] DeletionTradeoff deletion_tradeoff(const ClusterState& state, MachineIndex machine_index,
                                                 Seconds proof_at, double return_probability, Seconds now);

}  // namespace oxbowmill::reconciliation
