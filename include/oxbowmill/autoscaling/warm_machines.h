// Warm machines: on-demand machines that stay idle in the pool so that gangs of whole machines need not wait
// for a boot. Owns how many whole machines gangs took lately and the target per kind that follows. Not
// thread-safe.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "oxbowmill/autoscaling/machine_adoption.h"
#include "oxbowmill/autoscaling/scale_out_requests.h"

namespace oxbowmill::autoscaling {

/// Keeps as many machines warm as gangs take while one boots.
class WarmMachines {
 public:
  /// All outlive this object.
  WarmMachines(const Environment& environment, const MachineAdoption& adoption, ScaleOutRequests& requests)
      : environment_(environment), adoption_(adoption), requests_(requests) {}

  /// Notes that a job took, or had requested for it, `count` machines like the candidate. Only on-demand
  /// machines of gangs whose tasks fill more than half a machine count.
  void note_turnover(const Job& job, const CandidateMachine& candidate, std::uint32_t count, Seconds now);
  /// Renews the targets and requests what is missing beyond the idle machines.
  void replenish(const std::vector<CandidateMachine>& idle, Seconds now);
  /// How many machines of the kind are to stay idle, by the last `replenish`.
  double target(const MachineKind& kind) const;

 private:
  struct Turnover {
    Seconds at = 0;
    MachineKind kind;
    std::uint32_t count = 0;
  };
  struct Stock {
    double booted_machines = 0;             // on-demand machines that are up, busy ones included
    std::map<MachineKind, double> by_kind;  // idle, booting for the pool or about to
  };
  void update_rates(Seconds now);
  Stock count_stock(const std::vector<CandidateMachine>& idle) const;

  const Environment& environment_;
  const MachineAdoption& adoption_;
  ScaleOutRequests& requests_;
  std::deque<Turnover> turnover_;  // within the window
  std::map<MachineKind, double> targets_;
};

}  // namespace oxbowmill::autoscaling
