// A machine as this controller knows it: the durable facts, what its agent reported, and the tasks and
// reservations on it. Plain data; only ClusterState::set_state changes the state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oxbowmill/cluster/message_size.h"
#include "oxbowmill/cluster/records.h"

namespace oxbowmill {

/// Whether a machine can be used, and if not, why.
enum class MachineState : std::uint8_t {
  unknown,        ///< its name is known, but it has no record
  expected,       ///< has a record, but has not reported to this controller
  unreconciled,   ///< may have an earlier owner's tasks; has not shown a fencing token of this owner
  ready,          ///< reports and can be used
  lease_expired,  ///< no report for longer than its lease
  deleting,       ///< a deletion may have been sent to the cloud: never used again
};
/// Name for logs.
const char* name_of(MachineState state);

/// One machine. Times are of the steady clock.
struct Machine {
  MachineRecord record;                            ///< valid while `revision` is not `no_record`
  Revision revision = no_record;                   ///< revision of its record
  MachineState state = MachineState::unknown;      ///< changed by ClusterState::set_state only
  Seconds known_since = 0;                         ///< when its record was first read
  Seconds in_partition_since = 0;                  ///< start of its time under its present partition's owner
  Seconds last_answered_report_at = time_not_set;  ///< last report answered with status 200; below 0: none
  Seconds woken_at = long_ago;                     ///< when it was last asked to report at once
  /// Revision of the latest placement on it that was guarded both by this controller's ownership and by the
  /// machine's record.
  Revision last_placement_revision = no_record;
  Seconds first_report_at = time_not_set;  ///< first report to the present owner; below 0: none
  Seconds idle_since = 0;                  ///< since when it has had no placements
  Seconds blocked_until = 0;               ///< no new tasks until then: slow, full or not receiving responses
  Seconds faulty_until = 0;                ///< treated as faulty until then
  std::uint64_t agent_epoch = 0;           ///< agent epoch of the latest report
  std::uint64_t report_sequence = 0;       ///< sequence number of the latest report
  /// Fencing token of the first response since the machine came to this owner; later tokens are never lower.
  /// 0: no response yet.
  Revision first_fencing_token = 0;
  std::uint32_t lost_responses = 0;  ///< consecutive reports that showed that a response was not received
  bool inherited = false;            ///< came to its present owner by a failover, not by a move
  bool preemption_notice = false;    ///< the cloud has announced that it will take the machine back
  bool reported_failed = false;      ///< the cloud lists it as failed
  /// It is known to have booted: it has reported, run a task or been moved. This holds even if it reports to
  /// another owner.
  bool has_booted = false;
  bool write_in_flight = false;   ///< a transaction that concerns it is in flight
  std::uint32_t error_count = 0;  ///< number of errors of tasks on it
  std::string address;            ///< address at which its agent can be reached
  /// Resources used by placed tasks. Their bytes in messages are used until the placement is removed, all
  /// else until the task is off the machine.
  Resources used;
  std::uint32_t long_running_tasks = 0;   ///< tasks of services among those that use its capacity
  std::vector<TaskId> placed_tasks;       ///< tasks that may be on it
  Resources reserved;                     ///< resources reserved for placements that are being written
  std::uint32_t reservations = 0;         ///< number of tasks in `reserved`
  std::vector<ImageIndex> cached_images;  ///< in order of use, the most recently used last
  bool marked_changed = false;            ///< MachineTable already lists it as changed

  /// Whether the state service holds a record of it.
  bool is_recorded() const { return revision != no_record; }
  /// Whether its messages have no room for a further task of any job.
  bool are_messages_full() const {
    return used.message_bytes + reserved.message_bytes + max_task_message_bytes > agent_message_list_bytes;
  }
  /// Whether its cache holds the image.
  bool has_image(ImageIndex image) const;
  /// State in which it comes to a new owner: if tasks may be on it, they have to be reconciled first.
  MachineState initial_state() const {
    return placed_tasks.empty() ? MachineState::expected : MachineState::unreconciled;
  }
  /// Starts a new session, after a move to a partition or a failover: earlier reports no longer count.
  void restart_session(Seconds now);
  /// Resets everything except its tasks, usage and reservations, which are removed with the placement
  /// records.
  void reset_except_usage();
  /// Marks the image as the most recently used and removes the images that no longer fit in a cache of
  /// `cache_gb`. `image_gb` holds the size of every cached image, by image.
  void use_image(ImageIndex image, double cache_gb, const std::vector<double>& image_gb);
};

}  // namespace oxbowmill
