#include "oxbowmill/autoscaling/machine_adoption.h"

#include "oxbowmill/autoscaling/machine_transaction.h"

namespace oxbowmill::autoscaling {

void MachineAdoption::queue(const std::string& name, const MachineRecord& record, std::uint64_t agent_epoch) {
  MachineIndex machine_index = environment_.state.intern_machine(name);
  // A late list or report may still name a deleted machine.
  if (deletions_.is_confirmed(machine_index) || environment_.state.machine(machine_index).revision != 0)
    return;
  Adoption& adoption = queued_.try_emplace(name, Adoption{record, 0}).first->second;
  if (agent_epoch == 0) return;
  adoption.record.has_booted = true;
  adoption.agent_epoch = agent_epoch;
}

void MachineAdoption::on_unregistered(const AgentReport& report) {
  ClusterState& state = environment_.state;
  MachineRecord record;
  record.partition = idle_pool;
  record.type = state.names.types.find(report.type);
  record.zone = state.names.zones.find(report.zone);
  record.spot = report.spot;
  record.has_booted = true;
  // Machines of a market are named "market.machine". One that was delivered without a known bid gets a record
  // too, so that it is used or released to its market.
  if (std::size_t dot = report.machine.find('.'); dot != std::string::npos)
    record.market = state.names.markets.find(report.machine.substr(0, dot));
  if (!record.type.valid() || !record.zone.valid()) return;
  state.edit_machine(state.intern_machine(report.machine)).address = report.address;
  queue(report.machine, record, report.agent_epoch);
}

void MachineAdoption::assign(MachineIndex machine_index, PartitionIndex partition) {
  queued_.at(environment_.state.names.machines.name(machine_index)).record.partition = partition;
}

void MachineAdoption::write(Effects& out) {
  // Booted machines can run tasks at once; the records of those that still boot are not urgent.
  write(BootState::booted, out);
  write(BootState::booting, out);
}

void MachineAdoption::write(BootState boot_state, Effects& out) {
  ClusterState& state = environment_.state;
  bool booted = boot_state == BootState::booted;
  MachineTransaction transaction;
  for (auto it = queued_.begin(); it != queued_.end();) {
    MachineIndex machine_index = state.intern_machine(it->first);
    if (state.machine(machine_index).revision != 0 || deletions_.is_confirmed(machine_index)) {
      it = queued_.erase(it);
      continue;
    }
    const Adoption& adoption = it->second;
    if (adoption.record.has_booted == booted && !state.machine(machine_index).write_in_flight &&
        transaction.size() < state.settings.max_transaction_ops) {
      transaction.write(machine_index, 0, adoption.record);
      transaction.wake(machine_index, adoption.agent_epoch);
    }
    ++it;
  }
  if (transaction.size() == 0) return;
  transaction.guard_leadership(environment_.scheduler);
  transaction.queue(environment_.scheduler, booted ? Urgency::placement : Urgency::other, out);
}

}  // namespace oxbowmill::autoscaling
