// One machine's word during a start and after it, and what is held of one that does not speak. Pure.
#pragma once

#include <vector>

#include "oxbowmill/reconciliation/difference.h"
#include "oxbowmill/reconciliation/settings.h"

namespace oxbowmill::reconciliation {

enum class AgentLiveness : std::uint8_t {
  none,                 // not a machine of a part of ours
  booting,              // nothing is on it and it was never up: its silence says nothing
  awaited,              // ours since a takeover or a move, and has not spoken since
  reported,             // spoke, but not yet under our token
  mismatched,           // spoke under it, and something is still to be settled
  reconciled,           // record and report agree
  suspected,            // silent, while the others of its zone speak
  marked_for_deletion,  // suspected, and its deletion pays
  lost,                 // proved to be empty, by its lease or by its deletion
};
const char* name_of(AgentLiveness liveness);

/// How often a suspicion turned out right; old evidence fades.
class SuspicionStatistics {
 public:
  void record_return() { add_evidence(1, 0); }
  void record_loss() { add_evidence(0, 1); }
  /// Chance that a suspect's trouble passes by itself; never taken for impossible.
  double return_probability() const;
  double returns() const { return returned_weight_; }
  double losses() const { return lost_weight_; }

 private:
  void add_evidence(double back, double gone);
  double returned_weight_ = 0, lost_weight_ = 0;
};

/// When in a start a machine that has not spoken is suspected: the design's floored, relative threshold, over
/// the times (from the takeover, ascending) in which machines of its zone first spoke. It rests on the latest
/// of them, not on a median: words come spread over a whole report interval, and only once they have ceased
/// does silence mean something. Not later than `cap`. Below 0: too few have spoken.
Seconds suspicion_threshold(const std::vector<double>& first_report_delays_s, std::uint32_t expected,
                            Seconds floor, Seconds cap, const Settings& settings);
/// Chance that a machine silent for `unresponsive_after_s` speaks within the next `rest_s`: of the troubles
/// that pass by themselves, those that have lasted long last longer (durations without a scale of their own).
double report_probability(const SuspicionStatistics& experience, Seconds silent_s, Seconds rest_s);

/// What hangs on a machine, in machine-seconds: what deleting it at once is expected to gain over waiting for
/// its lease, and what it costs if it comes back after all.
struct DeletionTradeoff {
  double gain = 0, loss = 0;
  bool is_worthwhile() const { return gain > loss; }
};
DeletionTradeoff deletion_tradeoff(const ClusterState& model, MachineIndex machine_index, Seconds proof_at,
                                   double chance_of_return, Seconds now);

}  // namespace oxbowmill::reconciliation
