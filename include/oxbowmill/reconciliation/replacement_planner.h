// Replacements for suspected machines, requested ahead of any proof that they are lost. Owns the record of
// what was requested lately. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "oxbowmill/reconciliation/agent_liveness.h"
#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::reconciliation {

/// Decides which suspects are to be replaced now, each once and within a bound.
class ReplacementPlanner {
 public:
  /// All outlive this object.
  ReplacementPlanner(const ClusterState& state, const Scheduler& scheduler, const Settings& settings)
      : state_(state), scheduler_(scheduler), settings_(settings) {}

  /// Replacements to request now, by machine index: as many as suspects are expected not to come back, at
  /// most `max_replacement_fraction` of the machines that are up, less those requested already.
  [[nodiscard]] std::vector<Replacement> replacements(const std::function<bool(MachineIndex)>& is_suspected,
                                                      const SuspicionStatistics& statistics,
                                                      Seconds now) const;
  /// The replacement of this suspect was requested.
  void record_request(MachineIndex suspect, Seconds now) { requested_at_.emplace(suspect, now); }
  /// Forgets requests that are older than the proof of a loss takes.
  void expire(Seconds now);

 private:
  const ClusterState& state_;
  const Scheduler& scheduler_;
  const Settings& settings_;
  /// When the replacement of a suspect was requested. Kept although the suspicion may come and go with the
  /// hints of peers: a suspect is replaced once all the same, and recent requests count against the bound.
  std::map<MachineIndex, Seconds> requested_at_;
};

}  // namespace oxbowmill::reconciliation
