// Which zones are reachable, judged by the heartbeats of their machines. Owns, for each zone, until when it
// counts as unreachable by this controller's checks and by other controllers' reports. No I/O; steady clock.
#pragma once

#include <vector>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

/// A zone becomes unreachable if at least four of its machines should report here and more than three
/// quarters of them are silent while some machine reports, or if another controller has reported it as
/// unreachable. It is reachable again when more than half of them report, or after a timeout. Free, booting
/// and requested machines of an unreachable zone are not used.
class ZoneReachability {
 public:
  /// `state` must outlive this object.
  explicit ZoneReachability(const ClusterState& state) : state_(state) {}

  /// Whether the zone is unreachable by this controller's checks or by another controller's recent report.
  bool is_unreachable(ZoneIndex zone, Seconds now) const;
  /// Zones that are unreachable by this controller's own checks, to be reported to its peers.
  std::vector<ZoneIndex> unreachable_zones(Seconds now) const;
  /// Notes that another controller has reported the zone as unreachable.
  void on_peer_report(ZoneIndex zone, Seconds now);

  /// Starts a check; `count_machine` follows for each machine that should report, then `end_check`.
  void begin_check();
  /// Counts a machine of the zone that should report, and whether it has reported recently.
  void count_machine(ZoneIndex zone, bool reported);
  /// Decides which zones are unreachable from the counted machines.
  void end_check(Seconds now);

 private:
  struct Zone {
    Seconds unreachable_until = -1e9;                      // by this controller's checks
    Seconds reported_unreachable_until = -1e9;             // by other controllers' reports
    std::uint32_t reported_count = 0, expected_count = 0;  // machines counted in the current check
  };

  const ClusterState& state_;
  std::vector<Zone> zones_;
};

}  // namespace oxbowmill
