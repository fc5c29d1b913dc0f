#include "oxbowmill/scheduling/transaction_queue.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "oxbowmill/scheduling/done_mark_collector.h"

namespace oxbowmill {

namespace {
constexpr double min_wake_up_saving_s = 1;  // an agent is woken only if its report comes earlier by this much
constexpr double unanswered_backoff_s = 0.3;  // after an outcome that is unknown or "not executed"
constexpr double refused_backoff_s = 0.1;
}  // namespace

void TransactionQueue::send(Effects& out, PendingTransaction transaction) {
  std::uint64_t id = ++next_write_id_;
  write_rate_.add(transaction.txn.changes.size());
  out.writes.push_back({id, transaction.urgency, transaction.txn});
  pending_[id] = std::move(transaction);
}

void TransactionQueue::queue(Effects& out, Urgency urgency, Transaction txn,
                             const std::vector<MachineIndex>& machines, std::vector<WakeUp> wake_ups,
                             std::function<void()> on_settled) {
  for (MachineIndex machine_index : machines) state_.edit_machine(machine_index).write_in_flight = true;
  PendingTransaction transaction;
  transaction.txn = std::move(txn);
  transaction.urgency = urgency;
  transaction.machines = machines;
  transaction.wake_ups = std::move(wake_ups);
  transaction.on_settled = std::move(on_settled);
  send(out, std::move(transaction));
}

void TransactionQueue::queue_job(Effects& out, JobTransaction transaction) {
  Job& job = state_.job(transaction.job);
  job.write_in_flight = true;
  for (const PlacedTask& placed : transaction.placed_tasks) state_.reserve(placed.machine, job.spec, 1);
  PendingTransaction pending;
  pending.txn = std::move(transaction.txn);
  pending.urgency = transaction.urgency;
  pending.job = transaction.job;
  pending.placed_tasks = std::move(transaction.placed_tasks);
  pending.released_tasks = std::move(transaction.released_tasks);
  pending.spec = job.spec;
  send(out, std::move(pending));
}

bool TransactionQueue::on_outcome(std::uint64_t write_id, TransactionOutcome outcome, Revision revision,
                                  Seconds now) {
  auto position = pending_.find(write_id);
  if (position == pending_.end()) return false;
  PendingTransaction& pending = position->second;
  switch (outcome) {
    case TransactionOutcome::applied:
      send_clears(pending);
      wake_agents(pending, revision, now);
      settle(position, now, 0);
      break;
    case TransactionOutcome::not_executed:
      // The answer concerns this copy only: an earlier copy that got no answer may still be applied, with its
      // reservations and payments.
      if (pending.unconfirmed) {
        pending.resend_at = now + unanswered_backoff_s;
        return true;
      }
      settle(position, now, unanswered_backoff_s);
      break;
    case TransactionOutcome::refused:
      // A guarded key has changed, possibly through an earlier copy of this transaction. Capacity and job
      // stay reserved until the watch has shown what happened.
      pending.refused_at_revision = revision;
      if (ownership_.applied_revision() >= revision) settle(position, now, refused_backoff_s);
      break;
    case TransactionOutcome::unknown:
      // The transaction may still be applied. It is resent until the answer is definite; once one copy is
      // applied, the guards of the others fail.
      pending.unconfirmed = true;
      pending.resend_at = now + unanswered_backoff_s;
      return true;
  }
  return false;
}

void TransactionQueue::settle(Pending::iterator position, Seconds now, double backoff_s) {
  PendingTransaction settled = std::move(position->second);
  pending_.erase(position);
  for (MachineIndex machine_index : settled.machines)
    state_.edit_machine(machine_index).write_in_flight = false;
  Job* job = settled.job.valid() ? state_.live_job(settled.job) : nullptr;
  if (job != nullptr) {
    job->write_in_flight = false;
    if (backoff_s > 0) job->write_backoff_until = now + backoff_s;
    state_.dirty_jobs.insert(settled.job);
  }
  for (const PlacedTask& placed : settled.placed_tasks) state_.reserve(placed.machine, settled.spec, -1);
  if (settled.on_settled) settled.on_settled();
}

void TransactionQueue::settle_refused_and_resend(Seconds now, Effects& out) {
  for (auto next = pending_.begin(); next != pending_.end();) {
    auto position = next++;
    PendingTransaction& pending = position->second;
    if (pending.refused_at_revision != 0 && ownership_.applied_revision() >= pending.refused_at_revision) {
      settle(position, now, refused_backoff_s);
    } else if (pending.resend_at > 0 && now >= pending.resend_at) {
      pending.resend_at = 0;
      out.writes.push_back({position->first, pending.urgency, pending.txn});
    }
  }
}

void TransactionQueue::take_direct_commands(Effects& out) {
  out.direct_commands.insert(out.direct_commands.end(), std::make_move_iterator(direct_commands_.begin()),
                             std::make_move_iterator(direct_commands_.end()));
  direct_commands_.clear();
}

void TransactionQueue::send_clears(const PendingTransaction& transaction) {
  // Clearing a task changes the agent's task list, so that the agent reports at once and gets its next
  // commands.
  std::map<MachineIndex, std::vector<AgentCommand>> by_machine;
  for (const ReleasedTask& released : transaction.released_tasks) {
    by_machine[released.machine].push_back(
        {CommandKind::clear, transaction.spec.ref, released.task, released.attempt, 0});
  }
  for (auto& [machine_index, commands] : by_machine) {
    const Machine& machine = state_.machine(machine_index);
    if (machine.state != MachineState::ready || machine.address.empty() ||
        !ownership_.owns(machine.record.partition))
      continue;
    direct_commands_.push_back(
        {machine_index, machine.agent_epoch, state_.fencing_token(machine), std::move(commands)});
  }
}

void TransactionQueue::wake_agents(const PendingTransaction& transaction, Revision revision, Seconds now) {
  for (const WakeUp& wake_up : transaction.wake_ups) {
    if (!state_.machine(wake_up.machine).address.empty())
      direct_commands_.push_back({wake_up.machine, wake_up.agent_epoch, revision, {}});
  }
  std::set<MachineIndex> machines;
  for (const PlacedTask& placed : transaction.placed_tasks) machines.insert(placed.machine);
  for (MachineIndex machine_index : machines) wake_for_placement(machine_index, revision, now);
}

void TransactionQueue::wake_for_placement(MachineIndex machine_index, Revision revision, Seconds now) {
  const Settings& settings = state_.settings;
  Machine& machine = state_.edit_machine(machine_index);
  if (machine.state != MachineState::ready || !ownership_.owns(machine.record.partition) ||
      machine.address.empty())
    return;
  // An agent reports at once for a higher token at most once per half lease, and waking it is useless if its
  // next report is due soon.
  Seconds next_report_in = machine.last_answered_report_at + settings.report_interval_s - now;
  if (next_report_in < min_wake_up_saving_s) return;
  if (now - machine.woken_at < settings.lease_s / 2) {
    // Clearing an ended task makes the agent report as well.
    request_done_marks(state_, machine_index);
    return;
  }
  // The transaction was guarded by the ownership and the machine's record, so every later owner of the
  // machine has a higher fencing token than this revision.
  machine.last_placement_revision = std::max(machine.last_placement_revision, revision);
  machine.woken_at = now;
  direct_commands_.push_back({machine_index, machine.agent_epoch, state_.fencing_token(machine), {}});
}

}  // namespace oxbowmill
