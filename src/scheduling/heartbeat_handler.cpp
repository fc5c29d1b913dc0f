#include "oxbowmill/scheduling/heartbeat_handler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

namespace oxbowmill {

namespace {
constexpr std::uint32_t lost_responses_threshold = 3;  // consecutive reports that show a lost response
constexpr double lost_response_window = 16;            // length of the average, in reports
/// From this fraction of lost responses on, this controller counts as the cause, not the machine.
constexpr double controller_fault_fraction = 0.5;
constexpr double permanent_fault_duration_s = 1e9;
}  // namespace

ReportAnswer HeartbeatHandler::on_report(const AgentReport& report, Clock clock,
                                         const UnregisteredCallback& on_unregistered) {
  const Seconds now = clock.now;
  Authority authority = controller_lease_.authority(now);
  if (!state_.catalog_known()) return {};
  ownership_.detect_failovers(now);
  MachineIndex machine_index = state_.find_recorded(report.machine);
  PartitionIndex partition =
      machine_index.valid() ? state_.machine(machine_index).record.partition : idle_pool;
  if (!ownership_.owns(partition)) return redirect(partition, machine_index, report, now);
  if (authority == Authority::none) return {};
  if (!machine_index.valid()) return answer_unregistered(report, on_unregistered);

  Machine& machine = state_.edit_machine(machine_index);
  ReportAnswer answer;
  answer.fencing_token = state_.fencing_token(machine);
  std::optional<ReportProof> proof = accept(machine, report, answer.fencing_token, now);
  if (!proof) return {};
  answer.kind = ReportAnswer::Kind::ok;
  if (authority == Authority::read_only) {
    responses_.add_read_only_commands(machine_index, report, now, answer.commands);
    return answer;
  }
  update_machine(machine_index, machine, report, *proof, now);
  if (proof->no_response_received && machine.inherited &&
      now > ownership_.exclusively_owned_since(machine) + state_.settings.lease_expiry_s())
    evictor_.mark_empty(machine_index, now);
  StartUpdate starts = task_reports_.read(machine_index, report, *proof, now);
  count_lost_responses(machine, starts, *proof);
  // If most responses are lost, the cause is not the machine: this controller is late or disconnected, and
  // moving all waiting tasks from one machine to the next would delay them further.
  if (machine.lost_responses >= lost_responses_threshold &&
      lost_response_fraction_ < controller_fault_fraction)
    block_machine(machine_index, now);
  responses_.add_commands(machine_index, report, now, answer.commands);
  return answer;
}

ReportAnswer HeartbeatHandler::redirect(PartitionIndex partition, MachineIndex machine_index,
                                        const AgentReport& report, Seconds now) const {
  ReportAnswer answer;
  const Ownership& ownership = state_.ownership(partition);
  if (ownership.revision == 0 || ownership.record.controller == state_.settings.controller_name)
    return answer;
  answer.kind = ReportAnswer::Kind::redirect;
  answer.owner = ownership.record.controller;
  if (machine_index.valid()) {
    const Machine& machine = state_.machine(machine_index);
    Seconds settling_time_s = 2 * state_.settings.first_report_timeout_s();
    answer.owner_unreachable = report.fencing_token >= state_.lowest_fencing_token(machine) &&
                               now - machine.in_partition_since > settling_time_s &&
                               now - ownership.since > settling_time_s;
  }
  return answer;
}

ReportAnswer HeartbeatHandler::answer_unregistered(const AgentReport& report,
                                                   const UnregisteredCallback& on_unregistered) const {
  ReportAnswer answer;
  answer.fencing_token = state_.ownership(idle_pool).revision;
  if (report.fencing_token > answer.fencing_token) return answer;
  if (on_unregistered) on_unregistered(report);
  answer.kind = ReportAnswer::Kind::ok;
  return answer;
}

std::optional<ReportProof> HeartbeatHandler::accept(Machine& machine, const AgentReport& report,
                                                    Revision fencing_token, Seconds now) const {
  // An agent that has seen a higher token would drop the response.
  if (report.fencing_token > fencing_token) return std::nullopt;
  if (std::tie(report.agent_epoch, report.report_sequence) <=
      std::tie(machine.agent_epoch, machine.report_sequence))
    return std::nullopt;
  // Stored in the read-only period as well: once a report has been answered, no older report counts.
  machine.agent_epoch = report.agent_epoch;
  machine.report_sequence = report.report_sequence;
  ReportProof proof;
  proof.fencing_token_shown = report.fencing_token >= state_.lowest_fencing_token(machine);
  // An agent has one report in flight and drops responses to earlier ones. If a newer report shows a fencing
  // token below every token in this controller's responses to it, it has received none of them.
  proof.no_response_received = report.fencing_token < machine.first_fencing_token;
  if (machine.first_fencing_token == 0) machine.first_fencing_token = fencing_token;
  machine.last_answered_report_at = now;
  return proof;
}

bool HeartbeatHandler::matches_market_record(const Machine& machine, const AgentReport& report) const {
  // A machine from a market is checked by its own report: if its type or zone differs from the bid, a job
  // might run where it must not.
  const MachineRecord& record = machine.record;
  return !record.market.valid() ||
         MachineKind{state_.names.types.find(report.type), state_.names.zones.find(report.zone),
                     report.spot} == MachineKind{record.type, record.zone, record.spot};
}

void HeartbeatHandler::update_machine(MachineIndex machine_index, Machine& machine, const AgentReport& report,
                                      const ReportProof& proof, Seconds now) {
  machine.address = report.address;
  if (machine.first_report_at < 0) machine.first_report_at = now;
  machine.has_booted = true;
  bool as_recorded = matches_market_record(machine, report);
  if (!as_recorded && machine.faulty_until < now) {
    SPDLOG_INFO("market delivered a machine that does not match its bid machine={} type={} zone={}",
                report.machine, report.type, report.zone);
    machine.faulty_until = now + permanent_fault_duration_s;
  }
  if (as_recorded &&
      (machine.state == MachineState::expected || machine.state == MachineState::lease_expired ||
       (machine.state == MachineState::unreconciled && proof.fencing_token_shown))) {
    state_.set_state(machine_index, MachineState::ready, now);
  }
  if (report.preemption_notice_s >= 0 && !machine.preemption_notice) {
    machine.preemption_notice = true;
    SPDLOG_INFO("spot preemption notice machine={} in_s={:.1f}", report.machine, report.preemption_notice_s);
  }
}

void HeartbeatHandler::count_lost_responses(Machine& machine, const StartUpdate& starts,
                                            const ReportProof& proof) {
  bool response_lost = proof.no_response_received || starts.some_lost;
  if (response_lost || starts.some_arrived)
    lost_response_fraction_ += ((response_lost ? 1 : 0) - lost_response_fraction_) / lost_response_window;
  machine.lost_responses = response_lost ? machine.lost_responses + 1 : 0;
}

/// Blocks a machine that does not receive its responses, so that it gets no new tasks for a while, and
/// terminates its tasks that have not started, so that they are placed elsewhere.
void HeartbeatHandler::block_machine(MachineIndex machine_index, Seconds now) {
  Machine& machine = state_.edit_machine(machine_index);
  if (machine.blocked_until < now)
    SPDLOG_INFO("machine blocked because its agent does not receive responses machine={}",
                state_.names.machines.name(machine_index));
  machine.blocked_until =
      std::max(machine.blocked_until, now + state_.settings.operator_settings.slow_block_s);
  // Safe, because the last response that carried these starts was not received either.
  evictor_.terminate_unsent(machine_index, now);
}

}  // namespace oxbowmill
