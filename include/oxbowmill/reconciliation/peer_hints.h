// Hints that other controllers have sent lately: the status of their partitions, and the machines that they
// suspect. PeerHints owns them; they expire, and they prove nothing. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "oxbowmill/reconciliation/partition_status.h"

namespace oxbowmill::reconciliation {

/// Hints of all peers. Times are of the steady clock.
class PeerHints {
 public:
  /// Starts without hints, for the given number of partitions.
  explicit PeerHints(std::size_t partition_count) : statuses_(partition_count) {}

  /// Records the status that a peer has sent of its partition.
  void record_status(const PartitionStatus& status, Seconds now);
  /// Records that a peer suspects this machine.
  void record_suspect(MachineIndex machine_index, Seconds now);
  /// Removes the suspicions that have expired.
  void expire(Seconds now);

  /// Whether a peer suspects this machine.
  [[nodiscard]] bool is_suspected(MachineIndex machine_index) const {
    return suspected_at_.count(machine_index) != 0;
  }
  /// Phase that the owner with this ownership revision sent; none if it has sent no recent status.
  [[nodiscard]] std::optional<PartitionPhase> phase(PartitionIndex partition, Revision ownership_revision,
                                                    Seconds now) const;

 private:
  struct ReceivedStatus {
    PartitionStatus status;
    Seconds received_at = long_ago;
  };
  std::vector<ReceivedStatus> statuses_;          // by partition
  std::map<MachineIndex, Seconds> suspected_at_;  // when a peer last sent the suspicion
};

}  // namespace oxbowmill::reconciliation
