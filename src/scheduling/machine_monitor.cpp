#include "oxbowmill/scheduling/machine_monitor.h"

#include <spdlog/spdlog.h>

namespace oxbowmill {

namespace {
constexpr double idle_retention_factor = 3;  // multiple of `release_to_pool_s` while jobs wait for the kind
constexpr double recent_report_intervals = 1.6;  // a report counts as recent up to this many intervals
constexpr double recent_report_slack_s = 0.5;    // plus this much
}  // namespace

void MachineMonitor::check_partition(PartitionIndex partition, Clock clock, Effects& out) {
  const Seconds now = clock.now;
  WaitingWork waiting = waiting_work(partition);
  auto machines = state_.machines_of(partition);
  for (MachineIndex machine_index : machines) {
    const Machine& machine = state_.machine(machine_index);
    count_for_zone(machine, now);
    check_lease(machine_index, now);
    if (machine.state == MachineState::deleting) continue;
    if (delete_if_suspected(machine_index, out)) continue;
    evict_if_leaving(machine_index, now);
    return_if_unneeded(machine_index, waiting, now, out);
  }
}

MachineMonitor::WaitingWork MachineMonitor::waiting_work(PartitionIndex partition) const {
  // Array jobs that accept spot machines are no reason to keep on-demand machines.
  WaitingWork waiting;
  for (JobIndex job_index : state_.live_jobs(partition)) {
    const JobSpec& spec = state_.job(job_index).spec;
    if (state_.placeable_task_count(job_index) == 0) continue;
    waiting.spot = waiting.spot || spec.spot;
    waiting.on_demand = waiting.on_demand || !spec.spot || spec.shape != JobShape::array;
  }
  return waiting;
}

void MachineMonitor::count_for_zone(const Machine& machine, Seconds now) {
  if (machine.last_answered_report_at < 0 || machine.state == MachineState::deleting) return;
  double recent_s = recent_report_intervals * state_.settings.report_interval_s + recent_report_slack_s;
  zones_.count_machine(machine.record.zone, now - machine.last_answered_report_at < recent_s);
}

void MachineMonitor::check_lease(MachineIndex machine_index, Seconds now) {
  const Machine& machine = state_.machine(machine_index);
  // Until an inherited machine shows this owner's token, an earlier owner in its read-only period may have
  // kept its tasks alive; `proven_empty_at` allows for that.
  bool lease_applies = machine.last_answered_report_at >= 0 || machine.state == MachineState::unreconciled ||
                       (machine.state == MachineState::deleting && machine.inherited);
  if (!lease_applies || now <= ownership_.proven_empty_at(machine)) return;
  bool known_silent = machine.state == MachineState::lease_expired || machine.state == MachineState::deleting;
  if (known_silent && !evictor_.may_run_tasks(machine)) return;
  SPDLOG_INFO("machine lease expired machine={}", state_.names.machines.name(machine_index));
  evictor_.mark_empty(machine_index, now);
  if (machine.state != MachineState::deleting)
    state_.set_state(machine_index, MachineState::lease_expired, now);
}

bool MachineMonitor::delete_if_suspected(MachineIndex machine_index, Effects& out) {
  const Machine& machine = state_.machine(machine_index);
  if (recovery_admission_ == nullptr || machine.write_in_flight ||
      !recovery_admission_->is_marked_for_deletion(machine_index))
    return false;
  // In the cluster state its tasks stay on it until the deletion is confirmed and its record is removed.
  SPDLOG_INFO("suspected machine marked for deletion machine={}", state_.names.machines.name(machine_index));
  MachineRecord record = machine.record;
  record.mark = MachineMark::deleting;
  record.requested_by = PartitionIndex{};
  write_record(machine_index, Urgency::placement, record, out);
  return true;
}

bool MachineMonitor::is_overdue(const Machine& machine, Seconds now) const {
  return machine.state == MachineState::expected &&
         now - machine.in_partition_since > 2 * state_.settings.first_report_timeout_s();
}

void MachineMonitor::evict_if_leaving(MachineIndex machine_index, Seconds now) {
  const Machine& machine = state_.machine(machine_index);
  if (machine.preemption_notice || machine.faulty_until > now || machine.record.requested_by.valid())
    evictor_.stop_all(machine_index, now);
  // Tasks placed in advance on a machine that does not report can be stopped: their starts were never sent.
  if (is_overdue(machine, now)) evictor_.stop_unsent(machine_index, now);
}

MachineMonitor::EmptyMachineDisposition MachineMonitor::disposition_of_empty(const Machine& machine,
                                                                             const WaitingWork& waiting,
                                                                             Seconds now) const {
  const OperatorSettings& operator_settings = state_.settings.operator_settings;
  double boot_s = state_.catalog[machine.record.type.value].boot_s;
  bool boot_timed_out =
      !machine.has_booted &&
      now - machine.known_since > operator_settings.boot_timeout_factor * boot_s + state_.settings.lease_s;
  bool has_waiting_jobs = waiting.can_use(machine);
  double retention_s = has_waiting_jobs ? idle_retention_factor * operator_settings.release_to_pool_s
                                        : operator_settings.release_to_pool_s;
  bool idle = machine.state == MachineState::ready && now - machine.idle_since > retention_s;
  bool unneeded = !has_waiting_jobs && now - machine.known_since > boot_s && is_overdue(machine, now);
  EmptyMachineDisposition disposition;
  disposition.must_be_deleted = machine.preemption_notice || machine.faulty_until > now ||
                                machine.state == MachineState::lease_expired || boot_timed_out;
  disposition.is_requested = machine.record.requested_by.valid();
  disposition.leaves_partition = idle || disposition.must_be_deleted || unneeded || disposition.is_requested;
  return disposition;
}

void MachineMonitor::return_if_unneeded(MachineIndex machine_index, const WaitingWork& waiting, Seconds now,
                                        Effects& out) {
  const Machine& machine = state_.machine(machine_index);
  // A placement that is being written may become durable before the move. Its task would then be on a machine
  // of a partition whose owner does not know the job.
  if (machine.record.partition == idle_pool || !machine.placed_tasks.empty() || machine.write_in_flight ||
      machine.reservations != 0)
    return;
  EmptyMachineDisposition disposition = disposition_of_empty(machine, waiting, now);
  if (!disposition.leaves_partition) return;
  MachineRecord record = machine.record;
  record.partition =
      disposition.is_requested && !disposition.must_be_deleted ? machine.record.requested_by : idle_pool;
  record.requested_by = PartitionIndex{};
  // The next owner cannot know why this machine cannot be used, so its record says that it is to be deleted.
  if (disposition.must_be_deleted) record.mark = MachineMark::deleting;
  write_record(machine_index, disposition.is_requested ? Urgency::placement : Urgency::other, record, out);
}

void MachineMonitor::write_record(MachineIndex machine_index, Urgency urgency, const MachineRecord& record,
                                  Effects& out) {
  const Machine& machine = state_.machine(machine_index);
  Transaction txn;
  txn.guards = {ownership_.guard(machine.record.partition), {MachineKey{machine_index}, machine.revision}};
  txn.changes = {{MachineKey{machine_index}, record}};
  transactions_.queue(out, urgency, std::move(txn), {machine_index}, {}, nullptr);
}

}  // namespace oxbowmill
