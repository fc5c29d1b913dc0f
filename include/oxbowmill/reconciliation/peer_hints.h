// What other controllers have published lately: the status of their partitions and whom they suspect. Owns
// these hints; they expire and prove nothing. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "oxbowmill/reconciliation/partition_status.h"

namespace oxbowmill::reconciliation {

/// Hints of the other controllers. Times are of the steady clock.
class PeerHints {
 public:
  /// No hints yet, for so many partitions.
  explicit PeerHints(std::size_t partition_count) : statuses_(partition_count) {}

  /// A peer has published the status of its partition.
  void record_status(const PartitionStatus& status, Seconds now);
  /// A peer suspects this machine.
  void record_suspect(MachineIndex machine_index, Seconds now);
  /// Forgets the suspicions that have expired.
  void expire(Seconds now);

  /// Some peer suspects this machine.
  [[nodiscard]] bool is_suspected(MachineIndex machine_index) const {
    return suspected_at_.count(machine_index) != 0;
  }
  /// Phase that the owner with this ownership revision published; none if nothing recent is known of it.
  [[nodiscard]] std::optional<PartitionPhase> phase(PartitionIndex partition, Revision ownership_revision,
                                                    Seconds now) const;

 private:
  struct ReceivedStatus {
    PartitionStatus status;
    Seconds received_at = -1e9;  // long ago
  };
  std::vector<ReceivedStatus> statuses_;          // by partition
  std::map<MachineIndex, Seconds> suspected_at_;  // when a peer last published the suspicion
};

}  // namespace oxbowmill::reconciliation
