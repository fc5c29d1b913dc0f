// Plans replacements for suspected machines before it is proved that they are lost. ReplacementPlanner owns
// the list of recent requests. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "oxbowmill/reconciliation/agent_liveness.h"
#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::reconciliation {

/// Decides which suspected machines to replace now: each one once, and all together within a limit.
class ReplacementPlanner {
 public:
  /// All arguments must outlive this object.
  ReplacementPlanner(const ClusterState& state, const Scheduler& scheduler, const Settings& settings)
      : state_(state), scheduler_(scheduler), settings_(settings) {}

  /// Replacements to request now, ordered by the index of the suspected machine. Their number is the expected
  /// number of lost machines, at most `max_replacement_fraction` of the machines that have booted, minus the
  /// recent requests. Suspected machines without tasks, or in an unreachable zone, are not replaced.
  [[nodiscard]] std::vector<Replacement> replacements(const std::function<bool(MachineIndex)>& is_suspected,
                                                      const SuspicionStatistics& statistics,
                                                      Seconds now) const;
  /// Records that the replacement of this suspected machine was requested.
  void record_request(MachineIndex suspect, Seconds now) { requested_at_.emplace(suspect, now); }
  /// Removes requests that are older than the time in which a loss is proved.
  void expire(Seconds now);

 private:
  const ClusterState& state_;
  const Scheduler& scheduler_;
  const Settings& settings_;
  /// When the replacement of a suspected machine was requested. An entry stays when the suspicion ends,
  /// because suspicions come and go with the hints of peers: each machine is replaced once, and recent
  /// requests count towards the limit.
  std::map<MachineIndex, Seconds> requested_at_;
};

}  // namespace oxbowmill::reconciliation
