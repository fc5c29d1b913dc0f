// A task that may be on a machine, as this controller knows it. Plain data; only ClusterState::set_state
// changes the state.
#pragma once

#include <cstdint>

#include "oxbowmill/cluster/types.h"

namespace oxbowmill {

/// A start does not count if a command stops the task sooner than this (PROTOCOL, "How aims are counted").
constexpr Seconds counts_as_started_after_s = 30;

/// State of a task that may be on a machine, from its durable placement until its durable removal.
enum class PlacementState : std::uint8_t {
  placed,      ///< durable; this controller has not sent a start command
  sent,        ///< a response carried the start command
  reported,    ///< the agent reports it
  stopping,    ///< it must leave the machine; kill commands are sent until it has
  finished,    ///< reported as done; its done mark is not durable yet
  terminated,  ///< proved to be off its machine; the removal is not durable yet
};
/// Name for logs.
const char* name_of(PlacementState state);
/// Whether the task is proved to be off its machine. Its removal from the records may still be pending.
inline bool is_off_machine(PlacementState state) {
  return state == PlacementState::finished || state == PlacementState::terminated;
}

/// One task's placement. Times are of the steady clock.
struct Placement {
  TaskNumber task = 0;                            ///< position in its job
  JobIndex job;                                   ///< its job
  MachineIndex machine;                           ///< machine on which it is placed
  Attempt attempt = 0;                            ///< attempt of the task
  PlacementState state = PlacementState::placed;  ///< changed by ClusterState::set_state only
  bool restarting = false;                        ///< durable mark: stopped as slow, for a restart
  bool restart_requested = false;                 ///< `restarting` is to be made durable
  bool earlier_start_listed = false;  ///< the agent still lists an ended earlier start of the same attempt
  /// Placed by an earlier owner: it may be on its machine although this controller sent no start command.
  bool inherited = false;
  TaskPhase phase = TaskPhase::fetching;   ///< as last reported
  EndCause cause = EndCause::none;         ///< why it ended, as last reported
  double termination_timeout_s = 0;        ///< seconds to save its progress that a kill command gives it
  Seconds stopping_since = 0;              ///< when its state became `stopping`
  std::uint64_t sent_agent_epoch = 0;      ///< agent epoch of the report whose response carried the start
  std::uint64_t sent_report_sequence = 0;  ///< sequence number of that report
  std::uint64_t kill_report_sequence = 0;  ///< that of the last report whose response carried a kill; 0: none
  Seconds started_at = 0;             ///< first start command by this owner, or estimate at failover; 0: none
  Seconds running_at = time_not_set;  ///< first report that showed it running; below 0: none
  Seconds known_at = 0;               ///< when this controller first read the record
  Seconds last_running_at = time_not_set;  ///< last report that showed it running; below 0: none
  /// Total time between consecutive reports that showed it running, as far as they were close enough together
  /// to exclude that the machine hung in between.
  double observed_run_s = 0;
  /// Seconds from the job's submission to this placement, by whichever owner; below 0: not known.
  double placed_after_s = time_not_set;
  bool checkpoint_saved = false;  ///< its agent reported that it saved its progress when it stopped
  /// Whether it has run long enough for its start to count, however it ends.
  bool has_started(Seconds now) const {
    return running_at >= 0 && now - running_at >= counts_as_started_after_s;
  }
};

}  // namespace oxbowmill
