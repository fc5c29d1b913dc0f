// Which zones' machines can be heard. Owns, per zone, until when it counts as unreachable by what this
// controller sees and by what others reported. Pure.
#pragma once

#include <vector>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

/// A zone is unreachable while most of its machines that should report here do not, or while another
/// controller says so: free, booting or requested machines there are of no use then.
class ZoneReachability {
 public:
  /// `state` must outlive this object.
  explicit ZoneReachability(const ClusterState& state) : state_(state) {}

  /// By what this controller sees or by what another has reported lately.
  bool is_unreachable(ZoneIndex zone, Seconds now) const;
  /// By what this controller sees itself: to be reported to the others.
  std::vector<ZoneIndex> unreachable_zones(Seconds now) const;
  /// Another controller has reported the zone as unreachable.
  void on_peer_report(ZoneIndex zone, Seconds now);

  /// Starts a check; `count_machine` follows for each machine that should report, then `end_check`.
  void begin_check();
  /// One machine of the zone and whether it has reported recently.
  void count_machine(ZoneIndex zone, bool reported);
  /// Decides from the machines that were counted.
  void end_check(Seconds now);

 private:
  struct Zone {
    Seconds unreachable_until = -1e9;           // by what this controller sees
    Seconds reported_unreachable_until = -1e9;  // by what others reported
    std::uint32_t reported = 0, expected = 0;   // machines in the check under way
  };

  const ClusterState& state_;
  std::vector<Zone> zones_;
};

}  // namespace oxbowmill
