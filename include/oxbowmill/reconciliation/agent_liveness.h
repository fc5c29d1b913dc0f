// What is concluded about single machines: the liveness of an agent, when its silence makes it suspected, and
// whether deleting a suspect pays. Pure functions, and statistics that their owner keeps. Not thread-safe.
#pragma once

#include <vector>

#include "oxbowmill/reconciliation/difference.h"
#include "oxbowmill/reconciliation/settings.h"

namespace oxbowmill::reconciliation {

/// What is known of a machine's agent, during reconciliation and after it.
enum class AgentLiveness : std::uint8_t {
  none,                 ///< not a machine of an owned partition
  booting,              ///< nothing is placed on it and it was never up: its silence means nothing
  awaited,              ///< owned since a takeover or a hand-over, and has not reported since
  reported,             ///< has reported, but not yet with this owner's fencing token
  mismatched,           ///< has reported with it, and some difference is still to be settled
  reconciled,           ///< record and report agree
  suspected,            ///< silent, while the others of its zone report
  marked_for_deletion,  ///< suspected, and its deletion is expected to pay
  lost,                 ///< proved to be empty, by its lease or by its deletion
};
/// Name for logs.
const char* name_of(AgentLiveness liveness);
/// Suspected, whether or not it is to be deleted.
[[nodiscard]] bool is_doubted(AgentLiveness liveness);
/// Has reported and is not suspected since.
[[nodiscard]] bool has_reported(AgentLiveness liveness);

/// How often suspects came back; the weight of old evidence fades.
class SuspicionStatistics {
 public:
  /// A suspect has reported again.
  void record_return() { add_evidence(1, 0); }
  /// A suspect was proved to be lost.
  void record_loss() { add_evidence(0, 1); }
  /// Probability that a suspect comes back by itself; never taken for impossible.
  [[nodiscard]] double return_probability() const;
  /// Weight of the suspects that came back.
  [[nodiscard]] double returns() const { return returned_weight_; }
  /// Weight of the suspects that were lost.
  [[nodiscard]] double losses() const { return lost_weight_; }

 private:
  void add_evidence(double returned, double lost);
  double returned_weight_ = 0, lost_weight_ = 0;
};

/// How long after a takeover a machine that has not reported is suspected, by the delays (from the takeover,
/// ascending) of the first reports of its zone. It rests on the latest of them, not on a median: first
/// reports are spread over a whole report interval, and only once they have ceased does silence mean
/// something. At least `floor`, at most `cap`. Negative: too few of the `expected` machines have reported.
[[nodiscard]] Seconds suspicion_threshold(const std::vector<double>& first_report_delays_s,
                                          std::uint32_t expected, Seconds floor, Seconds cap,
                                          const Settings& settings);
/// Probability that a machine silent for `silent_s` reports within the next `rest_s`: of the troubles that
/// pass by themselves, those that have lasted long last longer (durations without a scale of their own).
[[nodiscard]] double report_probability(const SuspicionStatistics& experience, Seconds silent_s,
                                        Seconds rest_s);

/// What deleting a suspect at once is expected to do, compared with waiting for the proof by its lease.
struct DeletionTradeoff {
  double gain = 0;  ///< machine-seconds of waiting that are saved if it is lost
  double loss = 0;  ///< machine-seconds that are lost if it would have come back
  /// Whether deleting it now is expected to pay.
  [[nodiscard]] bool is_worthwhile() const { return gain > loss; }
};
/// Weighs the deletion of a machine that is proved to be empty at `proof_at` and comes back before with
/// probability `chance_of_return`. Both times are of the steady clock.
[[nodiscard]] DeletionTradeoff deletion_tradeoff(const ClusterState& model, MachineIndex machine_index,
                                                 Seconds proof_at, double chance_of_return, Seconds now);

}  // namespace oxbowmill::reconciliation
