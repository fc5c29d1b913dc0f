#include "oxbowmill/autoscaling/machine_transaction.h"

namespace oxbowmill::autoscaling {

void MachineTransaction::guard_leadership(const Scheduler& scheduler) {
  transaction_.guards.push_back(scheduler.ownership_guard(idle_pool));
}

void MachineTransaction::guard_machine(MachineIndex machine_index, Revision revision) {
  transaction_.guards.push_back({MachineKey{machine_index}, revision});
  machines_.push_back(machine_index);
}

void MachineTransaction::write(MachineIndex machine_index, Revision revision, const MachineRecord& record) {
  guard_machine(machine_index, revision);
  transaction_.changes.push_back({MachineKey{machine_index}, record});
}

void MachineTransaction::remove(MachineIndex machine_index, Revision revision) {
  guard_machine(machine_index, revision);
  transaction_.changes.push_back({MachineKey{machine_index}, {}});
}

void MachineTransaction::wake(MachineIndex machine_index, std::uint64_t agent_epoch) {
  if (agent_epoch != 0) wake_ups_.push_back({machine_index, agent_epoch});
}

void MachineTransaction::queue(Scheduler& scheduler, Urgency urgency, Effects& out) {
  scheduler.queue_transaction(out, urgency, std::move(transaction_), machines_, std::move(wake_ups_));
}

}  // namespace oxbowmill::autoscaling
