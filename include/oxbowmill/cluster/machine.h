// A machine as this controller knows it: the durable facts, what its agent reported and what is booked on it.
// Plain data; ClusterState::set_state alone changes the state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oxbowmill/cluster/records.h"

namespace oxbowmill {

/// How far a machine can be used.
enum class MachineState : std::uint8_t {
  unknown,        ///< named somewhere, but no record
  expected,       ///< recorded, has not reported to this controller
  unreconciled,   ///< inherited with tasks possibly on it; has not shown a fencing token of this owner
  ready,          ///< reports; usable
  lease_expired,  ///< no report for longer than its lease
  deleting,       ///< a delete may have been sent: never used again
};
/// Name for logs.
const char* name_of(MachineState state);

/// One machine. Times are of the steady clock.
struct Machine {
  MachineRecord record;                            ///< valid while `revision` is not `no_record`
  Revision revision = no_record;                   ///< of its record
  MachineState state = MachineState::unknown;      ///< changed by ClusterState::set_state only
  Seconds known_since = 0;                         ///< record first seen
  Seconds in_partition_since = 0;                  ///< in its present partition, as far as this node saw
  Seconds last_answered_report_at = time_not_set;  ///< last report answered with 200; below 0: none
  Seconds woken_at = long_ago;                     ///< when it was last asked to report at once
  /// Latest placement here that was guarded by both our ownership and the machine's record.
  Revision last_placement_revision = no_record;
  Seconds first_report_at = time_not_set;  ///< since it came to this owner; below 0: none
  Seconds idle_since = 0;                  ///< without placements since
  Seconds blocked_until = 0;               ///< slow or full: no new tasks until then
  Seconds faulty_until = 0;                ///< taken for faulty until then
  std::uint64_t agent_epoch = 0;           ///< of the latest report
  std::uint64_t report_sequence = 0;       ///< of the latest report
  /// Of our first answer since it came to us: all later ones are no lower. 0: none.
  Revision first_fencing_token = 0;
  std::uint32_t lost_responses = 0;  ///< consecutive reports that showed a response as not received
  bool inherited = false;            ///< in its partition since a failover, not since a move
  bool preemption_notice = false;    ///< the cloud announced that it takes it back
  bool reported_failed = false;      ///< the cloud lists it as failed
  /// Has run a task or been moved: known to have booted, also where it reports to another owner.
  bool has_booted = false;
  bool writing = false;                   ///< a transaction about it is in flight
  std::uint32_t error_count = 0;          ///< errors of tasks on it
  std::string address;                    ///< where its agent can be reached
  Resources used;                         ///< by placed tasks
  std::uint32_t long_running_tasks = 0;   ///< tasks of services among those that use capacity
  std::vector<TaskId> placed_tasks;       ///< tasks possibly on it
  Resources reserved;                     ///< for placements that are being written
  std::uint32_t reservations = 0;         ///< number of those
  std::vector<ImageIndex> cached_images;  ///< most recently used last
  bool change_noted = false;              ///< already among the changed machines (MachineTable)

  /// Whether the state service holds a record of it.
  bool is_recorded() const { return revision != no_record; }
  /// Whether its cache holds the image.
  bool has_image(ImageIndex image) const;
  /// State in which it comes to a new owner: tasks possibly on it have to be reconciled first.
  MachineState initial_state() const {
    return placed_tasks.empty() ? MachineState::expected : MachineState::unreconciled;
  }
  /// Starts its time in a partition or under an owner: nothing reported before counts any longer.
  void restart_session(Seconds now);
  /// Forgets everything but what is booked on it, which goes with its placements' records.
  void forget_all_but_usage();
  /// Marks the image as the most recently used and evicts what the cache of `cache_gb` no longer holds.
  /// `image_gb` has the size of every cached image.
  void use_image(ImageIndex image, double cache_gb, const std::vector<double>& image_gb);
};

}  // namespace oxbowmill
