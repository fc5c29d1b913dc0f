#include "oxbowmill/autoscaling/machine_moves.h"

#include <algorithm>

#include "oxbowmill/autoscaling/machine_transaction.h"

namespace oxbowmill::autoscaling {

void MachineMoves::add(MachineIndex machine_index, PartitionIndex target, MoveMode mode) {
  const Machine& machine = environment_.state.machine(machine_index);
  if (machine.revision == 0) {
    adoption_.assign(machine_index, target);
    return;
  }
  MachineRecord record = machine.record;
  (mode == MoveMode::request_handover ? record.requested_by : record.partition) = target;
  moves_.push_back({machine_index, record});
}

bool MachineMoves::contains(MachineIndex machine_index) const {
  return std::any_of(moves_.begin(), moves_.end(),
                     [machine_index](const Move& move) { return move.machine == machine_index; });
}

void MachineMoves::write(Effects& out) {
  std::size_t batch = environment_.state.settings.max_transaction_ops;
  for (std::size_t begin = 0; begin < moves_.size(); begin += batch)
    write_batch(begin, std::min(moves_.size(), begin + batch), out);
  moves_.clear();
}

void MachineMoves::write_batch(std::size_t begin, std::size_t end, Effects& out) {
  MachineTransaction transaction;
  transaction.guard_leadership(environment_.scheduler);
  for (std::size_t i = begin; i < end; ++i) {
    const Move& move = moves_[i];
    const Machine& machine = environment_.state.machine(move.machine);
    transaction.write(move.machine, machine.revision, move.record);
    if (move.record.partition != machine.record.partition)
      transaction.wake(move.machine, machine.agent_epoch);
  }
  transaction.queue(environment_.scheduler, Urgency::placement, out);
}

}  // namespace oxbowmill::autoscaling
