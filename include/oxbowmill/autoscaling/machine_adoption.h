// Adoption of machines that have no record yet: delivered by a scale-out or a market, found in the cloud's
// list, or reporting by themselves. Owns the adoptions that are not durable. Not thread-safe.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "oxbowmill/autoscaling/deletion_tracker.h"
#include "oxbowmill/autoscaling/environment.h"

namespace oxbowmill::autoscaling {

/// A machine that is to get a record.
struct Adoption {
  MachineRecord record;           ///< the record to be written
  std::uint64_t agent_epoch = 0;  ///< epoch of the agent that reported; 0: none has reported
};

/// Queues machines without a record and writes their records.
class MachineAdoption {
 public:
  /// Both outlive this object.
  MachineAdoption(const Environment& environment, const DeletionTracker& deletions)
      : environment_(environment), deletions_(deletions) {}

  /// Queues a machine for its record, unless it has one or is known to be deleted. An entry that is queued
  /// already keeps its partition; a nonzero `agent_epoch` marks it as booted.
  void queue(const std::string& name, const MachineRecord& record, std::uint64_t agent_epoch = 0);
  /// Queues a machine that reported without having a record; ignored where its type or zone is unknown.
  void on_unregistered(const WorkerReport& report);
  /// Changes the partition that a queued machine is to get; it must be queued.
  void assign(MachineIndex machine_index, PartitionIndex partition);
  /// Writes as many records as transactions take in one cycle, booted machines first.
  void write(Effects& out);
  /// Forgets everything queued: this controller is not the leader.
  void clear() { queued_.clear(); }
  /// Machines without a durable record, by name.
  const std::map<std::string, Adoption>& queued() const { return queued_; }

 private:
  enum class BootState : std::uint8_t { booted, booting };
  void write(BootState boot_state, Effects& out);

  const Environment& environment_;
  const DeletionTracker& deletions_;
  std::map<std::string, Adoption> queued_;
};

}  // namespace oxbowmill::autoscaling
