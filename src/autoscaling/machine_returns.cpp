#include "oxbowmill/autoscaling/machine_returns.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/autoscaling/machine_kind.h"
#include "oxbowmill/autoscaling/machine_transaction.h"

namespace oxbowmill::autoscaling {

namespace {
constexpr std::size_t max_deletions_per_request = 100;  // limit of the cloud
}  // namespace

void MachineReturns::request_handovers(MachineMoves& moves) const {
  for (MachineIndex machine_index : draining_) {
    const Machine& machine = environment_.state.machine(machine_index);
    if (machine.revision != 0 && machine.record.partition != idle_pool &&
        machine.record.requested_by != idle_pool && !machine.write_in_flight &&
        machine.state != MachineState::deleting)
      moves.add(machine_index, idle_pool, MoveMode::request_handover);
  }
}

void MachineReturns::run_cycle(Seconds now, Effects& out) {
  Plan plan = plan_cycle(now);
  if (!plan.to_mark.empty()) write_marks(plan.to_mark, out);
  if (!plan.to_remove.empty()) write_removals(plan.to_remove, out);
  for (MachineIndex machine_index : plan.to_delete) {
    deletions_.start(machine_index);
    out.deletions.push_back(machine_index);
  }
  if (!plan.to_release.empty()) {
    for (MachineIndex machine_index : plan.to_release) deletions_.start(machine_index);
    environment_.source->release(plan.to_release, now);
  }
}

MachineReturns::Plan MachineReturns::plan_cycle(Seconds now) const {
  const ClusterState& state = environment_.state;
  Plan plan;
  for (std::uint32_t i = 0; i < state.machine_count(); ++i) {
    MachineIndex machine_index{i};
    const Machine& machine = state.machine(machine_index);
    if (machine.revision == 0 || machine.write_in_flight) continue;
    if (machine.record.mark == MachineMark::deleting) {
      plan_marked(machine_index, machine, plan);
    } else if (should_mark(machine_index, machine, plan, now) &&
               plan.to_mark.size() < state.settings.max_transaction_ops) {
      plan.to_mark.push_back(machine_index);
    }
  }
  return plan;
}

void MachineReturns::plan_marked(MachineIndex machine_index, const Machine& machine, Plan& plan) const {
  bool is_market_machine = machine.record.market.valid();
  if (deletions_.is_confirmed(machine_index)) {
    // A market's confirmation does not prove that the machine's tasks have ended, and removing the record
    // would free their placements. The record therefore stays until reports, a later agent epoch or the
    // expiry of the lease has proved the machine empty.
    if (!is_market_machine || machine.placed_tasks.empty()) plan.to_remove.push_back(machine_index);
  } else if (is_market_machine) {
    if (environment_.source != nullptr && !deletions_.is_in_flight(machine_index))
      plan.to_release.push_back(machine_index);
  } else if (!deletions_.is_in_flight(machine_index) && plan.to_delete.size() < max_deletions_per_request) {
    plan.to_delete.push_back(machine_index);
  }
}

bool MachineReturns::should_mark(MachineIndex machine_index, const Machine& machine, Plan& plan,
                                 Seconds now) const {
  if (machine.record.partition != idle_pool || !machine.placed_tasks.empty()) return machine.reported_failed;
  bool is_surplus = is_past_retention(machine, now);
  // Every machine past its retention counts towards the warm target, even if returned for another reason.
  if (is_surplus) {
    MachineKind kind = kind_of(machine.record);
    is_surplus = plan.retained_by_kind[kind]++ >= warm_machines_.target(kind);
  }
  if (machine.reported_failed || is_unusable(machine_index, machine, now)) return true;
  if (!is_surplus || plan.to_mark.size() >= environment_.state.settings.max_transaction_ops) return false;
  // This check comes last, because reconciliation charges every machine that it admits to its budget.
  RecoveryAdmission* recovery_admission = environment_.recovery_admission;
  return recovery_admission == nullptr || recovery_admission->may_return(machine_index, now);
}

bool MachineReturns::is_unusable(MachineIndex machine_index, const Machine& machine, Seconds now) const {
  return is_boot_overdue(machine, now) || is_draining(machine_index) || machine.preemption_notice ||
         machine.faulty_until > now || machine.state == MachineState::lease_expired;
}

bool MachineReturns::is_boot_overdue(const Machine& machine, Seconds now) const {
  const Settings& settings = environment_.state.settings;
  const MachineType& type = environment_.state.catalog[machine.record.type.value];
  return !machine.has_booted &&
         now - machine.known_since >
             settings.operator_settings.boot_timeout_factor * type.boot_s + settings.lease_s;
}

bool MachineReturns::is_past_retention(const Machine& machine, Seconds now) const {
  const OperatorSettings& settings = environment_.state.settings.operator_settings;
  double retention_s = settings.idle_retention_s * (machine.record.spot ? settings.spot_retention_factor : 1);
  return machine.state == MachineState::ready && now - machine.idle_since > retention_s;
}

void MachineReturns::write_marks(const std::vector<MachineIndex>& machines, Effects& out) {
  // Deletions are sent only for durable marks, so that no later owner uses a machine that is being deleted.
  MachineTransaction transaction;
  transaction.guard_leadership(environment_.scheduler);
  for (MachineIndex machine_index : machines) {
    const Machine& machine = environment_.state.machine(machine_index);
    MachineRecord record = machine.record;
    record.mark = MachineMark::deleting;
    transaction.write(machine_index, machine.revision, record);
    SPDLOG_INFO("machine marked for deletion machine={}",
                environment_.state.names.machines.name(machine_index));
  }
  transaction.queue(environment_.scheduler, Urgency::other, out);
}

void MachineReturns::write_removals(const std::vector<MachineIndex>& machines, Effects& out) {
  const ClusterState& state = environment_.state;
  MachineTransaction transaction;
  transaction.guard_leadership(environment_.scheduler);
  for (MachineIndex machine_index : machines) {
    if (transaction.size() == state.settings.max_transaction_ops) break;
    transaction.remove(machine_index, state.machine(machine_index).revision);
  }
  transaction.queue(environment_.scheduler, Urgency::done_mark, out);
}

}  // namespace oxbowmill::autoscaling
