#include "oxbowmill/reconciliation/reconciler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace oxbowmill::reconciliation {

namespace {
constexpr double cycle_interval_s = 0.2;
/// After a longer gap between two cycles, missing reports may be this controller's own fault.
constexpr double max_cycle_gap_s = 1;
constexpr double ramping_down_windows = 2;  // length of the phase, in demand windows
/// First-report timeouts after which a controller that becomes leader knows the running machines.
constexpr double leader_warm_up_timeouts = 2;

/// The kinds of differences that occurred, as " kind=count" each.
std::string describe(const DifferenceCounts& differences) {
  std::string text;
  for (std::size_t i = 0; i < difference_kind_count; ++i) {
    if (differences.count[i] != 0)
      text += fmt::format(" {}={}", name_of(static_cast<Difference>(i)), differences.count[i]);
  }
  return text;
}
}  // namespace

Reconciler::Reconciler(const ClusterState& state, const Scheduler& scheduler, Settings settings)
    : state_(state),
      scheduler_(scheduler),
      settings_(settings),
      partitions_(state.partition_count()),
      liveness_(state),
      return_budget_(settings.return_rate_fraction * state.settings.state_write_rps,
                     std::max(1.0, settings.return_rate_fraction * state.settings.state_write_rps)),
      suspicion_(state, scheduler, settings_, liveness_, return_budget_),
      peer_hints_(state.partition_count()),
      replacements_(state, scheduler, settings_) {}

void Reconciler::set_phase(PartitionIndex partition, PartitionPhase phase, Seconds now) {
  PartitionState& partition_state = partitions_[partition.value];
  if (partition_state.phase == phase) return;
  const Counts& counts = partition_state.counts;
  SPDLOG_INFO(
      "reconciliation phase changed partition={} from={} to={} after_s={:.1f} expected={} reported={} "
      "matched={}{} suspected={} marked_for_deletion={} lost={} unregistered={} stale={} "
      "delayed_scale_outs={} delayed_returns={}",
      state_.names.partitions.name(partition), name_of(partition_state.phase), name_of(phase),
      now - partition_state.started_at, counts.expected, counts.reported, counts.matched,
      describe(counts.first_differences), counts.suspected, counts.marked_for_deletion, counts.lost,
      counts.unregistered, counts.stale, counts.delayed_scale_outs.size(), counts.delayed_returns.size());
  partition_state.phase = phase;
  if (phase == PartitionPhase::observing_demand || phase == PartitionPhase::serving) {
    if (partition_state.reconciled_at < 0) partition_state.reconciled_at = now;
  }
  if (on_phase_change) on_phase_change();
}

void Reconciler::start_reconciliation(PartitionIndex partition, Seconds now) {
  PartitionState& partition_state = partitions_[partition.value];
  partition_state.ownership_revision = state_.ownership(partition).revision;
  partition_state.started_at = now;
  partition_state.reconciled_at = time_not_set;
  partition_state.counts = {};
  partition_state.zones.start(state_.names.zones.size(), now);
  for (MachineIndex machine_index : state_.machines_of(partition)) {
    const Machine& machine = state_.machine(machine_index);
    bool is_exempt = is_silence_expected(machine);
    liveness_.forget(machine_index);
    liveness_.set(machine_index, is_exempt ? AgentLiveness::booting : AgentLiveness::awaited,
                  partition_state.counts);
    if (is_exempt) continue;
    ++partition_state.counts.expected;
    partition_state.zones.expect_first_report(machine.record.zone);
  }
  set_phase(partition, PartitionPhase::awaiting_reports, now);
}

void Reconciler::on_report(const AgentReport& report, Seconds now) {
  MachineIndex machine_index = state_.find_recorded(report.machine);
  PartitionIndex partition =
      machine_index.valid() ? state_.machine(machine_index).record.partition : idle_pool;
  PartitionState& partition_state = partitions_[partition.value];
  bool is_owned = scheduler_.owns(partition) &&
                  partition_state.ownership_revision == state_.ownership(partition).revision;
  switch (check_validity(state_, is_owned, machine_index, report)) {
    case ReportValidity::unregistered:
      if (is_owned) ++partition_state.counts.unregistered;
      return;
    case ReportValidity::stale:
      ++partition_state.counts.stale;
      return;
    case ReportValidity::not_owned:
    case ReportValidity::higher_token:
      return;
    case ReportValidity::valid:
      break;
  }
  const AgentLiveness current = liveness_.of(machine_index);
  if (current == AgentLiveness::reconciled) return;
  const Machine& machine = state_.machine(machine_index);
  DifferenceCounts differences = compare(state_, machine_index, report);
  bool has_shown_fencing_token = report.fencing_token >= state_.lowest_fencing_token(machine);
  if (current == AgentLiveness::awaited) {
    ++partition_state.counts.reported;
    if (machine.inherited)
      partition_state.zones.record_first_report(machine.record.zone, now - partition_state.started_at);
    partition_state.counts.first_differences += differences;
    if (!differences.has_unsettled()) ++partition_state.counts.matched;
  }
  AgentLiveness compared_liveness =
      differences.has_unsettled() ? AgentLiveness::mismatched : AgentLiveness::reconciled;
  liveness_.set(machine_index, has_shown_fencing_token ? compared_liveness : AgentLiveness::reported,
                partition_state.counts);
}

Reconciler::UnsettledMachines Reconciler::count_unsettled(PartitionIndex partition) const {
  UnsettledMachines unsettled;
  for (MachineIndex machine_index : state_.machines_of(partition)) {
    const Machine& machine = state_.machine(machine_index);
    if (!machine.inherited || is_silence_expected(machine)) continue;
    AgentLiveness liveness = agent_liveness(machine_index);
    if (liveness == AgentLiveness::awaited || liveness == AgentLiveness::reported ||
        liveness == AgentLiveness::mismatched || is_suspect(liveness))
      ++unsettled.unreconciled_machines;
    if (liveness == AgentLiveness::awaited) ++unsettled.awaited_machines;
  }
  return unsettled;
}

bool Reconciler::is_first_start(const PartitionState& partition_state) const {
  if (partition_state.counts.expected != 0) return false;
  for (std::uint32_t i = 0; i < partitions_.size(); ++i) {
    if (!state_.machines_of(PartitionIndex{i}).empty()) return false;
  }
  return true;
}

void Reconciler::advance_phase(PartitionIndex partition, Seconds now) {
  PartitionState& partition_state = partitions_[partition.value];
  const UnsettledMachines unsettled = count_unsettled(partition);
  const Seconds elapsed_s = now - partition_state.started_at;
  if (partition_state.phase == PartitionPhase::awaiting_reports) {
    // Normally the received reports end this phase; the timeout is for machines that never report.
    bool has_enough_reports =
        partition_state.counts.reported >= settings_.sufficient_fraction * partition_state.counts.expected;
    if (has_enough_reports || unsettled.awaited_machines == 0 ||
        elapsed_s > state_.settings.first_report_timeout_s())
      set_phase(partition, PartitionPhase::reconciling, now);
  }
  // Once every silent machine is proved to be empty, unsettled machines no longer delay the next phase.
  // Otherwise a machine without a lease (empty, and handed over to this owner) would block the return of all
  // others.
  bool is_silence_proof =
      elapsed_s > state_.settings.failover_silence_s() + state_.settings.report_interval_s;
  if (partition_state.phase == PartitionPhase::reconciling &&
      (unsettled.unreconciled_machines == 0 || is_silence_proof)) {
    // On a first start nothing was running before, so there is no demand to observe.
    bool must_observe_demand = partition == idle_pool && !is_first_start(partition_state);
    set_phase(partition, must_observe_demand ? PartitionPhase::observing_demand : PartitionPhase::serving,
              now);
  }
  if (partition_state.phase == PartitionPhase::observing_demand && elapsed_s > settings_.demand_window_s)
    set_phase(partition, PartitionPhase::ramping_down, now);
  if (partition_state.phase == PartitionPhase::ramping_down &&
      elapsed_s > (1 + ramping_down_windows) * settings_.demand_window_s)
    set_phase(partition, PartitionPhase::serving, now);
}

void Reconciler::update_unowned(PartitionIndex partition, Seconds now) {
  PartitionState& partition_state = partitions_[partition.value];
  const Ownership& ownership = state_.ownership(partition);
  bool is_taken_over = ownership.revision != 0 &&
                       ownership.record.controller == state_.settings.controller_name &&
                       partition_state.phase == PartitionPhase::not_owned;
  if (is_taken_over) partition_state.started_at = now;
  set_phase(partition, is_taken_over ? PartitionPhase::loading_state : PartitionPhase::not_owned, now);
  if (!is_taken_over) partition_state.ownership_revision = 0;
}

void Reconciler::run_cycle(Seconds now) {
  if (now - last_cycle_at_ < cycle_interval_s) return;
  if (first_cycle_at_ < 0) first_cycle_at_ = now;
  if (now - last_cycle_at_ > max_cycle_gap_s) suspicion_.ignore_silence_before(now);
  last_cycle_at_ = now;
  for (std::uint32_t i = 0; i < partitions_.size(); ++i) {
    PartitionIndex partition{i};
    PartitionState& partition_state = partitions_[i];
    if (!scheduler_.owns(partition)) {
      update_unowned(partition, now);
      continue;
    }
    if (partition_state.ownership_revision != state_.ownership(partition).revision)
      start_reconciliation(partition, now);
    partition_state.zones.update(state_, scheduler_, settings_, partition, partition_state.phase, now);
    suspicion_.update(partition, partition_state.zones, partition_state.counts, now);
    advance_phase(partition, now);
  }
  peer_hints_.expire(now);
  replacements_.expire(now);
  liveness_.forget_unless_owned([this](PartitionIndex partition) { return scheduler_.owns(partition); });
}

std::vector<PartitionStatus> Reconciler::partition_statuses() const {
  std::vector<PartitionStatus> statuses;
  for (std::uint32_t i = 0; i < partitions_.size(); ++i) {
    const PartitionState& partition_state = partitions_[i];
    if (partition_state.ownership_revision == 0) continue;
    statuses.push_back({PartitionIndex{i}, partition_state.ownership_revision, partition_state.phase,
                        partition_state.counts.expected, partition_state.counts.reported});
  }
  return statuses;
}

std::vector<MachineIndex> Reconciler::suspects(std::size_t max_count) const {
  std::vector<MachineIndex> suspects;
  for (std::uint32_t i = 0; i < partitions_.size(); ++i) {
    if (partitions_[i].ownership_revision == 0) continue;
    for (MachineIndex machine_index : state_.machines_of(PartitionIndex{i})) {
      if (suspects.size() < max_count && is_suspect(agent_liveness(machine_index)))
        suspects.push_back(machine_index);
    }
  }
  return suspects;
}

bool Reconciler::is_suspected(MachineIndex machine_index) const {
  return is_suspect(agent_liveness(machine_index)) || peer_hints_.is_suspected(machine_index);
}

bool Reconciler::is_marked_for_deletion(MachineIndex machine_index) const {
  return agent_liveness(machine_index) == AgentLiveness::marked_for_deletion;
}

bool Reconciler::still_awaiting_reports(PartitionIndex partition, Seconds now) const {
  if (partitions_[partition.value].ownership_revision != 0)
    return partitions_[partition.value].phase <= PartitionPhase::awaiting_reports;
  const Ownership& ownership = state_.ownership(partition);
  if (std::optional<PartitionPhase> peer_phase = peer_hints_.phase(partition, ownership.revision, now))
    return *peer_phase <= PartitionPhase::awaiting_reports;
  // The partition has no owner, or its owner sends no status (an older version): first reports may arrive
  // until their timeout.
  return now - std::max(ownership.since, partitions_[idle_pool.value].started_at) <=
         state_.settings.first_report_timeout_s();
}

bool Reconciler::may_scale_out(PartitionIndex partition, JobIndex job, bool guaranteed, Seconds now) {
  if (guaranteed || !scheduler_.owns(idle_pool)) return true;
  // A controller that was up before it became leader knows the running machines, so it delays nothing. In the
  // evaluation case maktaba-monastir-voice, scale outs were delayed by 16 s in the middle of a burst, while
  // an earlier owner kept its agents, and came too late.
  if (first_cycle_at_ < 0 ||
      now - first_cycle_at_ > leader_warm_up_timeouts * state_.settings.first_report_timeout_s())
    return true;
  PartitionState& idle_pool_state = partitions_[idle_pool.value];
  // Without recorded machines no report can show that the scale out is not needed.
  bool has_no_machines = state_.machines_of(partition).empty() && state_.machines_of(idle_pool).empty();
  bool is_delayed = idle_pool_state.ownership_revision != 0 && !has_no_machines &&
                    (still_awaiting_reports(partition, now) || still_awaiting_reports(idle_pool, now));
  if (is_delayed && job.valid()) idle_pool_state.counts.delayed_scale_outs.insert(job);
  return !is_delayed;
}

bool Reconciler::may_return(MachineIndex machine_index, Seconds now) {
  PartitionState& idle_pool_state = partitions_[idle_pool.value];
  if (idle_pool_state.phase == PartitionPhase::serving || idle_pool_state.phase == PartitionPhase::not_owned)
    return true;
  bool is_allowed = idle_pool_state.phase == PartitionPhase::ramping_down && return_budget_.take(1, now);
  if (!is_allowed) idle_pool_state.counts.delayed_returns.insert(machine_index);
  return is_allowed;
}

std::vector<Replacement> Reconciler::replacements(Seconds now) const {
  return replacements_.replacements(
      [this](MachineIndex machine_index) { return is_suspected(machine_index); }, liveness_.statistics(),
      now);
}

void Reconciler::replacement_started(MachineIndex suspect) {
  replacements_.record_request(suspect, last_cycle_at_);
}

}  // namespace oxbowmill::reconciliation
