// A task that is possibly on a machine, as this controller knows it. Plain data; ClusterState::set_state
// alone changes the state.
#pragma once

#include <cstdint>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

/// A start that is stopped by command sooner than this does not count (PROTOCOL, "How aims are counted").
constexpr Seconds counts_as_started_after_s = 30;

/// A task that is possibly on a machine: from the durable placement until its durable removal.
enum class PlacementState : std::uint8_t {
  placed,      ///< durable, no start sent by this controller
  sent,        ///< a response carried the start
  reported,    ///< the agent reports it
  stopping,    ///< it is to leave the machine; kills are sent until it has
  finished,    ///< reported done; the mark is not durable yet
  terminated,  ///< proved to be off its machine; the removal is not durable yet
};
/// Name for logs.
const char* name_of(PlacementState state);
/// The task is proved to be off its machine; only the record of that may be missing.
inline bool is_off_machine(PlacementState state) {
  return state == PlacementState::finished || state == PlacementState::terminated;
}

/// One task's placement. Times are of the steady clock.
struct Placement {
  TaskNumber task = 0;                            ///< position in its job
  JobIndex job;                                   ///< its job
  MachineIndex machine;                           ///< where it is placed
  Attempt attempt = 0;                            ///< which start of it
  PlacementState state = PlacementState::placed;  ///< changed by ClusterState::set_state only
  bool restarting = false;                        ///< durable mark of a slow task's restart
  bool restart_requested = false;                 ///< that mark is being written
  bool earlier_start_listed = false;  ///< the agent still lists an ended earlier start of the same attempt
  /// From an earlier owner: it may be on its machine though this controller sent nothing.
  bool inherited = false;
  TaskPhase phase = TaskPhase::fetching;   ///< as last reported
  EndCause cause = EndCause::none;         ///< why it ended
  double termination_timeout_s = 0;        ///< time to save that a kill gives it
  Seconds stopping_since = 0;              ///< when its state became `stopping`
  std::uint64_t sent_agent_epoch = 0;      ///< epoch of the report whose response carried the start
  std::uint64_t sent_report_sequence = 0;  ///< sequence of that report
  Seconds started_at = 0;                  ///< first start order by this owner, or the failover
  Seconds running_at = time_not_set;       ///< first report that showed it running; below 0: none
  Seconds known_at = 0;                    ///< when this controller first saw the record
  Seconds last_running_at = time_not_set;  ///< last report that showed it running; below 0: none
  /// Time between reports that showed it running, close enough together to exclude a hang between them.
  double observed_run_s = 0;
  /// Seconds from the job's submission to the placement, by any owner; below 0: not known.
  double placed_after_s = time_not_set;
  bool checkpoint_saved = false;  ///< its agent reported that it saved its progress as it stopped
  /// Whether it has run for so long that its start counts, however it ends.
  bool has_started(Seconds now) const {
    return running_at >= 0 && now - running_at >= counts_as_started_after_s;
  }
};

}  // namespace oxbowmill
