// Adopts machines that have no record yet: those delivered by a scale-out or a market, found in the cloud's
// list, or reporting to a controller. Owns the adoptions that are not yet durable. Not thread-safe.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "oxbowmill/autoscaling/deletion_tracker.h"
#include "oxbowmill/autoscaling/environment.h"

namespace oxbowmill::autoscaling {

/// A machine whose record is to be written.
struct Adoption {
  MachineRecord record;           ///< the record to be written
  std::uint64_t agent_epoch = 0;  ///< epoch of the agent that reported; 0 if none has
};

/// Queues machines without a record and writes their records.
class MachineAdoption {
 public:
  /// Both arguments must outlive this object.
  MachineAdoption(const Environment& environment, const DeletionTracker& deletions)
      : environment_(environment), deletions_(deletions) {}

  /// Queues a machine for adoption, unless it has a record or its deletion is confirmed. A machine that is
  /// already queued keeps its record. A nonzero `agent_epoch` marks the machine as booted.
  void queue(const std::string& name, const MachineRecord& record, std::uint64_t agent_epoch = 0);
  /// Queues a machine that reported without having a record. Ignores it if its type or zone is unknown.
  void on_unregistered(const AgentReport& report);
  /// Sets the partition of a queued machine. Throws std::out_of_range if the machine is not queued.
  void assign(MachineIndex machine_index, PartitionIndex partition);
  /// Writes records in at most one transaction for booted machines and one for booting machines.
  void write(Effects& out);
  /// Discards the queue; called when this controller is not the leader.
  void clear() { queued_.clear(); }
  /// Machines without a durable record, by machine name.
  const std::map<std::string, Adoption>& queued() const { return queued_; }

 private:
  enum class BootState : std::uint8_t { booted, booting };
  void write(BootState boot_state, Effects& out);

  const Environment& environment_;
  const DeletionTracker& deletions_;
  std::map<std::string, Adoption> queued_;
};

}  // namespace oxbowmill::autoscaling
