// One transaction of the leader over several machine records. Owns what it collects until it is queued.
#pragma once

#include <vector>

#include "oxbowmill/autoscaling/environment.h"

namespace oxbowmill::autoscaling {

/// Collects changes of machine records, each guarded by the record's revision.
class MachineTransaction {
 public:
  /// Adds the guard on the leader's ownership of the idle pool. Every transaction needs it once.
  void guard_leadership(const Scheduler& scheduler);
  /// Changes the machine's record, which has this revision; revision 0: it has none yet.
  void write(MachineIndex machine_index, Revision revision, const MachineRecord& record);
  /// Removes the machine's record, which has this revision.
  void remove(MachineIndex machine_index, Revision revision);
  /// Once the transaction is durable, asks the agent to report at once. Epoch 0: no agent is known.
  void wake(MachineIndex machine_index, std::uint64_t agent_epoch);
  /// Machines added so far.
  std::size_t size() const { return machines_.size(); }
  /// Hands everything to the scheduler; the object is used up.
  void queue(Scheduler& scheduler, Urgency urgency, Effects& out);

 private:
  void guard_machine(MachineIndex machine_index, Revision revision);

  Transaction transaction_;
  std::vector<MachineIndex> machines_;
  std::vector<WakeUp> wake_ups_;
};

}  // namespace oxbowmill::autoscaling
