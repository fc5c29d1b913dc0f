#include "oxbowmill/reconciliation/suspicion_detector.h"

#include <algorithm>

namespace oxbowmill::reconciliation {

namespace {
// An agent without an owner reports every second, or after the timeout of a report without a response.
constexpr double min_silence_s = oxbowmill::Settings::report_timeout_s + 2;
}  // namespace

void SuspicionDetector::update_exempt(MachineIndex machine_index, const Machine& machine,
                                      ReconciliationCounts& counts) {
  AgentLiveness current = liveness_.of(machine_index);
  if (current == AgentLiveness::none) liveness_.set(machine_index, AgentLiveness::booting, counts);
  if (current == AgentLiveness::suspected && machine.record.mark == MachineMark::deleting)
    liveness_.set(machine_index, AgentLiveness::marked_for_deletion, counts);
}

void SuspicionDetector::update_new(MachineIndex machine_index, const Machine& machine,
                                   ReconciliationCounts& counts) {
  AgentLiveness current = liveness_.of(machine_index);
  if (current != AgentLiveness::none && current != AgentLiveness::booting && current != AgentLiveness::lost)
    return;
  bool has_reported_here = machine.last_answered_report_at >= machine.in_partition_since;
  liveness_.set(machine_index, has_reported_here ? AgentLiveness::reconciled : AgentLiveness::awaited,
                counts);
}

Seconds SuspicionDetector::silent_since(const Machine& machine, const ZoneReports::Zone& zone) const {
  // An earlier owner that has lost only the state service still answers its agents during its read-only
  // period: they are healthy and report to it, not here. Counting silence from the takeover deleted 268
  // healthy machines when one owner lost the state service.
  return std::max(
      {machine.last_answered_report_at,
       machine.inherited ? scheduler_.exclusively_owned_since(machine) : machine.in_partition_since,
       zone.silence_counted_from, silence_counted_from_});
}

std::optional<Seconds> SuspicionDetector::silence_limit_s(const Machine& machine,
                                                          const ZoneReports::Zone& zone) const {
  const Seconds timeout_s = state_.settings.first_report_timeout_s();
  if (!machine.inherited || machine.last_answered_report_at >= 0 || state_.all_leases_reacquired_since() < 0)
    return timeout_s;
  Seconds threshold_s =
      suspicion_threshold(zone.first_report_delays_s, zone.expected, min_silence_s, timeout_s, settings_);
  return threshold_s < 0 ? std::nullopt : std::optional<Seconds>(threshold_s);
}

bool SuspicionDetector::is_deletion_worthwhile(MachineIndex machine_index, Seconds silent_s,
                                               Seconds now) const {
  Seconds proof_at = scheduler_.proven_empty_at(state_.machine(machine_index));
  double return_probability = report_probability(liveness_.statistics(), silent_s, proof_at - now);
  return deletion_tradeoff(state_, machine_index, proof_at, return_probability, now).is_worthwhile();
}

void SuspicionDetector::update(PartitionIndex partition, const ZoneReports& zones,
                               ReconciliationCounts& counts, Seconds now) {
  for (MachineIndex machine_index : state_.machines_of(partition)) {
    const Machine& machine = state_.machine(machine_index);
    if (is_silence_expected(machine)) {
      update_exempt(machine_index, machine, counts);
      continue;
    }
    if (machine.state == MachineState::lease_expired) {
      liveness_.set(machine_index, AgentLiveness::lost, counts);
      continue;
    }
    update_new(machine_index, machine, counts);
    const ZoneReports::Zone& zone = zones.zone(machine.record.zone);
    if (!zone.has_enough_reports) continue;
    const Seconds silent_s = now - silent_since(machine, zone);
    std::optional<Seconds> limit_s = silence_limit_s(machine, zone);
    if (!is_suspect(liveness_.of(machine_index)) && limit_s && silent_s > *limit_s)
      liveness_.set(machine_index, AgentLiveness::suspected, counts);
    // Deletions share the budget of returns, because their writes delay those of other work.
    if (liveness_.of(machine_index) == AgentLiveness::suspected && settings_.delete_suspects &&
        !machine.record.market.valid() && is_deletion_worthwhile(machine_index, silent_s, now) &&
        return_budget_.take(1, now))
      liveness_.set(machine_index, AgentLiveness::marked_for_deletion, counts);
  }
}

}  // namespace oxbowmill::reconciliation
