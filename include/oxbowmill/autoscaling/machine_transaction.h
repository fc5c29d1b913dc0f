// Builds a transaction of the leader on several machine records. Owns the transaction until it is queued.
#pragma once

#include <vector>

#include "oxbowmill/autoscaling/environment.h"

namespace oxbowmill::autoscaling {

/// Collects changes of machine records, each guarded by the record's revision.
class MachineTransaction {
 public:
  /// Adds the guard on the ownership of the idle pool, which makes this controller the leader. Every
  /// transaction needs it once.
  void guard_leadership(const Scheduler& scheduler);
  /// Writes the machine's record if its present one has this revision; revision 0 means that it has none yet.
  void write(MachineIndex machine_index, Revision revision, const MachineRecord& record);
  /// Removes the machine's record if it has this revision.
  void remove(MachineIndex machine_index, Revision revision);
  /// Has the agent asked to report at once when the transaction is durable. Does nothing for epoch 0, which
  /// means that no agent is known.
  void wake(MachineIndex machine_index, std::uint64_t agent_epoch);
  /// Number of machines added so far.
  std::size_t size() const { return machines_.size(); }
  /// Hands the transaction to the scheduler. The object must not be used afterwards.
  void queue(Scheduler& scheduler, Urgency urgency, Effects& out);

 private:
  void guard_machine(MachineIndex machine_index, Revision revision);

  Transaction transaction_;
  std::vector<MachineIndex> machines_;
  std::vector<WakeUp> wake_ups_;
};

}  // namespace oxbowmill::autoscaling
