// Keeps warm machines: idle on-demand machines of the pool that save gangs of whole machines the wait for a
// boot. Owns the recent acquisitions of whole machines by gangs and the target per kind that follows from
// them. Not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "oxbowmill/autoscaling/machine_adoption.h"
#include "oxbowmill/autoscaling/scale_out_requests.h"

namespace oxbowmill::autoscaling {

/// Keeps as many machines of each kind warm as gangs acquire during the boot time of that kind.
class WarmMachines {
 public:
  /// All arguments must outlive this object.
  WarmMachines(const Environment& environment, const MachineAdoption& adoption, ScaleOutRequests& requests)
      : environment_(environment), adoption_(adoption), requests_(requests) {}

  /// Records that `count` machines of the candidate's kind were assigned to or requested for the job. Only
  /// on-demand machines of gangs whose tasks fill more than half a machine count.
  void record_gang_acquisition(const Job& job, const CandidateMachine& candidate, std::uint32_t count,
                               Seconds now);
  /// Updates the targets and requests the machines that the pool lacks.
  void replenish(const std::vector<CandidateMachine>& idle_machines, Seconds now);
  /// Number of machines of the kind to keep idle, as of the last `replenish`.
  double target(const MachineKind& kind) const;

 private:
  struct GangAcquisition {
    Seconds at = 0;
    MachineKind kind;
    std::uint32_t count = 0;
  };
  struct MachineCounts {
    double booted_on_demand = 0;  // on-demand machines that are up, with or without tasks
    /// Idle in the pool, booting for it, or queued for adoption into it.
    std::map<MachineKind, double> pool_machines_by_kind;
  };
  /// Sets the targets to acquisitions per second, which `replenish` multiplies by the boot time.
  void update_targets(Seconds now);
  MachineCounts count_machines(const std::vector<CandidateMachine>& idle_machines) const;

  const Environment& environment_;
  const MachineAdoption& adoption_;
  ScaleOutRequests& requests_;
  std::deque<GangAcquisition> recent_acquisitions_;  // within the window
  std::map<MachineKind, double> targets_;
};

}  // namespace oxbowmill::autoscaling
