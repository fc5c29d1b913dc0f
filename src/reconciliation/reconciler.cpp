#include "oxbowmill/reconciliation/reconciler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace oxbowmill::reconciliation {

namespace {
constexpr double cycle_interval_s = 0.2;
/// After a longer gap between two cycles, missing reports are this controller's own fault.
constexpr double max_cycle_gap_s = 1;
constexpr double peer_status_lifetime_s = 3;         // how long a peer's status and suspicions count
constexpr std::uint32_t min_reporting_machines = 4;  // due in a zone for it to be judged by its reports
constexpr double ramping_down_windows = 2;           // length of that phase, in demand windows
// An agent without an owner reports every second, or after the time-out of a report without an answer.
constexpr double first_report_s = oxbowmill::Settings::report_timeout_s + 2;
// Report intervals, and seconds besides, within which a machine that is up has reported.
constexpr double max_report_intervals = 1.6, report_delay_s = 0.5;
constexpr Seconds never_s = 1e9;  // a threshold that no silence reaches

bool is_doubted(AgentLiveness liveness) {
  return liveness == AgentLiveness::suspected || liveness == AgentLiveness::marked_for_deletion;
}

bool has_reported(AgentLiveness liveness) {
  return liveness == AgentLiveness::reported || liveness == AgentLiveness::mismatched ||
         liveness == AgentLiveness::reconciled;
}

/// The differences that were counted, as " kind=count" each.
std::string describe(const Differences& differences) {
  std::string text;
  for (std::size_t i = 0; i < difference_kind_count; ++i) {
    if (differences.count[i] != 0)
      text += fmt::format(" {}={}", name_of(static_cast<Difference>(i)), differences.count[i]);
  }
  return text;
}
}  // namespace

const char* name_of(PartitionPhase phase) {
  static constexpr const char* names[] = {"not_owned",   "loading_state",    "awaiting_reports",
                                          "reconciling", "observing_demand", "ramping_down",
                                          "serving"};
  return names[static_cast<int>(phase)];
}

Reconciler::Reconciler(const ClusterState& model, const Scheduler& scheduler, Settings settings)
    : state_(model),
      scheduler_(scheduler),
      settings_(settings),
      partitions_(model.partition_count()),
      return_budget_(settings.return_rate_fraction * model.settings.state_write_rps,
                     std::max(1.0, settings.return_rate_fraction * model.settings.state_write_rps)),
      peer_status_(model.partition_count()) {}

AgentLiveness& Reconciler::mutable_liveness(MachineIndex machine_index) {
  if (machine_index.value >= liveness_.size()) liveness_.resize(machine_index.value + 1);
  return liveness_[machine_index.value];
}

void Reconciler::set_state(PartitionIndex partition, PartitionPhase phase, Seconds now) {
  PartitionState& partition_state = partitions_[partition.value];
  if (partition_state.phase == phase) return;
  const Counts& counts = partition_state.counts;
  SPDLOG_INFO(
      "reconciliation phase changed partition={} from={} to={} after_s={:.1f} expected={} reported={} "
      "matched={}{} suspected={} marked_for_deletion={} lost={} unregistered={} stale={} "
      "delayed_scale_outs={} delayed_returns={}",
      state_.names.partitions.name(partition), name_of(partition_state.phase), name_of(phase),
      now - partition_state.since, counts.expected, counts.reported, counts.matched,
      describe(counts.first_differences), counts.suspected, counts.marked_for_deletion, counts.lost,
      counts.unregistered, counts.stale, counts.delayed_scale_outs.size(), counts.delayed_returns.size());
  partition_state.phase = phase;
  if (phase == PartitionPhase::observing_demand || phase == PartitionPhase::serving) {
    if (partition_state.reconciled_at < 0) partition_state.reconciled_at = now;
  }
  if (on_phase_change) on_phase_change();
}

void Reconciler::set_state(MachineIndex machine_index, AgentLiveness liveness) {
  AgentLiveness& current_liveness = mutable_liveness(machine_index);
  if (current_liveness == liveness) return;
  // Another owner's now, perhaps without a record: it is no longer counted.
  if (liveness == AgentLiveness::none) {
    current_liveness = liveness;
    return;
  }
  SPDLOG_DEBUG("agent liveness changed machine={} from={} to={}", state_.names.machines.name(machine_index),
               name_of(current_liveness), name_of(liveness));
  const Machine& machine = state_.machine(machine_index);
  Counts& counts = partitions_[machine.record.partition.value].counts;
  bool doubted = is_doubted(current_liveness);
  if (liveness == AgentLiveness::suspected && !doubted) {
    ++counts.suspected;
    SPDLOG_INFO("agent suspected machine={} zone={}", state_.names.machines.name(machine_index),
                state_.names.zones.name(machine.record.zone));
  }
  if (liveness == AgentLiveness::marked_for_deletion) ++counts.marked_for_deletion;
  if (liveness == AgentLiveness::lost) ++counts.lost;
  if (doubted && has_reported(liveness)) {
    suspicion_statistics_.record_return();
    ++counts.returned;
    SPDLOG_INFO("agent reachable again machine={}", state_.names.machines.name(machine_index));
  }
  // The deletion of a suspect does not show whether the suspicion was right.
  if (current_liveness == AgentLiveness::suspected && liveness == AgentLiveness::lost)
    suspicion_statistics_.record_loss();
  current_liveness = liveness;
}

bool Reconciler::may_be_silent(const Machine& machine) const {
  return (!machine.has_booted && machine.placed_tasks.empty()) ||
         machine.record.mark == MachineMark::deleting || machine.reported_failed;
}

void Reconciler::start_reconciliation(PartitionIndex partition, Seconds now) {
  PartitionState& partition_state = partitions_[partition.value];
  partition_state.ownership_revision = state_.ownership(partition).revision;
  partition_state.since = now;
  partition_state.reconciled_at = -1;
  partition_state.counts = {};
  partition_state.zones.assign(state_.names.zones.size(), {});
  for (Zone& z : partition_state.zones) z.silence_counted_from = now;
  for (MachineIndex machine_index : state_.machines_of(partition)) {
    const Machine& machine = state_.machine(machine_index);
    bool silent = may_be_silent(machine);
    set_state(machine_index, AgentLiveness::none);
    set_state(machine_index, silent ? AgentLiveness::booting : AgentLiveness::awaited);
    partition_state.counts.expected += silent ? 0 : 1;
    if (!silent) ++partition_state.zones[machine.record.zone.value].expected;
  }
  set_state(partition, PartitionPhase::awaiting_reports, now);
}

void Reconciler::on_report(const WorkerReport& report, Seconds now) {
  MachineIndex machine_index = state_.find_recorded(report.machine);
  PartitionIndex p = machine_index.valid() ? state_.machine(machine_index).record.partition : idle_pool;
  PartitionState& partition_state = partitions_[p.value];
  bool ours = scheduler_.owns(p) && partition_state.ownership_revision == state_.ownership(p).revision;
  switch (check_validity(state_, ours, machine_index, report)) {
    case ReportValidity::unregistered:
      if (ours) ++partition_state.counts.unregistered;
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
  AgentLiveness& w = mutable_liveness(machine_index);
  if (w == AgentLiveness::reconciled) return;
  const Machine& machine = state_.machine(machine_index);
  bool first = w == AgentLiveness::awaited;
  Differences differences = compare(state_, machine_index, report);
  bool fencing_token_shown = report.fencing_token >= state_.lowest_fencing_token(machine);
  if (first) {
    ++partition_state.counts.reported;
    if (machine.inherited)
      partition_state.zones[machine.record.zone.value].first_report_delays_s.push_back(now -
                                                                                       partition_state.since);
    partition_state.counts.first_differences += differences;
    if (!differences.any()) ++partition_state.counts.matched;
  }
  set_state(machine_index, !fencing_token_shown ? AgentLiveness::reported
                           : differences.any()  ? AgentLiveness::mismatched
                                                : AgentLiveness::reconciled);
}

void Reconciler::count_zones(PartitionIndex partition, Seconds now) {
  PartitionState& partition_state = partitions_[partition.value];
  partition_state.zones.resize(state_.names.zones.size());
  for (Zone& z : partition_state.zones) z.reports_due = z.reported = 0;
  const double recent = max_report_intervals * state_.settings.report_interval_s + report_delay_s;
  for (MachineIndex m : state_.machines_of(partition)) {
    const Machine& machine = state_.machine(m);
    if (may_be_silent(machine) || machine.state == MachineState::lease_expired) continue;
    Zone& z = partition_state.zones[machine.record.zone.value];
    ++z.reports_due;
    z.reported +=
        machine.last_answered_report_at >= 0 && now - machine.last_answered_report_at < recent ? 1 : 0;
  }
  for (std::uint32_t i = 0; i < partition_state.zones.size(); ++i) {
    Zone& zone = partition_state.zones[i];
    zone.has_enough_reports = zone.reports_due >= min_reporting_machines &&
                              zone.reported >= settings_.reported_fraction * zone.reports_due;
    // Where a zone as a whole is silent, no single machine of it is suspected. While first reports are
    // awaited all machines have had the same time, so their silence counts from the takeover.
    if ((!zone.has_enough_reports && partition_state.phase != PartitionPhase::awaiting_reports) ||
        scheduler_.is_unreachable(ZoneIndex{i}, now))
      zone.silence_counted_from = now;
  }
}

void Reconciler::update_suspicions(PartitionIndex partition, Seconds now) {
  PartitionState& partition_state = partitions_[partition.value];
  Seconds patience = state_.settings.first_report_timeout_s();
  for (MachineIndex machine_index : state_.machines_of(partition)) {
    const Machine& machine = state_.machine(machine_index);
    AgentLiveness& current_liveness = mutable_liveness(machine_index);
    // Handed over, adopted or booted since the last cycle.
    if (may_be_silent(machine)) {
      if (current_liveness == AgentLiveness::none) set_state(machine_index, AgentLiveness::booting);
      if (current_liveness == AgentLiveness::suspected && machine.record.mark == MachineMark::deleting)
        set_state(machine_index, AgentLiveness::marked_for_deletion);
      continue;
    }
    if (machine.state == MachineState::lease_expired) {
      set_state(machine_index, AgentLiveness::lost);
      continue;
    }
    bool spoken = machine.last_answered_report_at >= machine.in_partition_since;
    if (current_liveness == AgentLiveness::none || current_liveness == AgentLiveness::booting ||
        current_liveness == AgentLiveness::lost)
      set_state(machine_index, spoken ? AgentLiveness::reconciled : AgentLiveness::awaited);
    Zone& zone = partition_state.zones[machine.record.zone.value];
    // An earlier owner that lacks only the state service keeps its agents through its read-only period: they
    // are healthy and report to it. (Without this, one owner's loss of the state service had 268 healthy
    // machines deleted.)
    Seconds from = std::max(
        {machine.last_answered_report_at,
         machine.inherited ? scheduler_.exclusively_owned_since(machine) : machine.in_partition_since,
         zone.silence_counted_from, silence_counted_from_});
    Seconds after = patience;
    if (machine.inherited && machine.last_answered_report_at < 0 && state_.all_reacquired_since() >= 0) {
      double t =
          suspicion_threshold(zone.first_report_delays_s, zone.expected, first_report_s, patience, settings_);
      after = t < 0 ? never_s : t;
    }
    if (!is_doubted(current_liveness)) {
      if (zone.has_enough_reports && now - from > after) set_state(machine_index, AgentLiveness::suspected);
    }
    if (current_liveness == AgentLiveness::suspected && settings_.delete_suspects &&
        zone.has_enough_reports && !machine.record.market.valid()) {
      Seconds proof_at = scheduler_.proven_empty_at(machine);
      DeletionTradeoff s =
          deletion_tradeoff(state_, machine_index, proof_at,
                            report_probability(suspicion_statistics_, now - from, proof_at - now), now);
      // A deletion costs writes that other work waits for: it is paid from the same budget as returns.
      if (s.is_worthwhile() && return_budget_.take(1, now))
        set_state(machine_index, AgentLiveness::marked_for_deletion);
    }
  }
}

void Reconciler::advance_phase(PartitionIndex partition, Seconds now) {
  PartitionState& partition_state = partitions_[partition.value];
  std::uint32_t open = 0, waited_for = 0;
  for (MachineIndex m : state_.machines_of(partition)) {
    AgentLiveness liveness = agent_liveness(m);
    const Machine& machine = state_.machine(m);
    bool at_start = machine.inherited && !may_be_silent(machine);
    open += static_cast<unsigned int>(
        at_start && (liveness == AgentLiveness::awaited || liveness == AgentLiveness::reported ||
                     liveness == AgentLiveness::mismatched || is_doubted(liveness)));
    waited_for += static_cast<unsigned int>(at_start && liveness == AgentLiveness::awaited);
  }
  if (partition_state.phase == PartitionPhase::awaiting_reports) {
    // By the reports received; the timeout only ends the wait for machines that never report.
    bool enough =
        partition_state.counts.reported >= settings_.sufficient_fraction * partition_state.counts.expected;
    if (enough || waited_for == 0 || now - partition_state.since > state_.settings.first_report_timeout_s())
      set_state(partition, PartitionPhase::reconciling, now);
  }
  // Nothing was running before: there is nothing to reconcile and no demand to learn anew.
  bool fresh = partition_state.counts.expected == 0;
  for (std::uint32_t i = 0; i < partitions_.size(); ++i)
    fresh = fresh && state_.machines_of(PartitionIndex{i}).empty();
  // Once silence proves every machine empty, open ones hold nothing back any more: a machine that no lease
  // covers (empty, and handed over to this owner) must not keep all others from being returned.
  bool proved =
      now - partition_state.since > state_.settings.failover_silence_s() + state_.settings.report_interval_s;
  if (partition_state.phase == PartitionPhase::reconciling && (open == 0 || proved))
    set_state(partition,
              partition == idle_pool && !fresh ? PartitionPhase::observing_demand : PartitionPhase::serving,
              now);
  if (partition_state.phase == PartitionPhase::observing_demand &&
      now - partition_state.since > settings_.demand_window_s)
    set_state(partition, PartitionPhase::ramping_down, now);
  if (partition_state.phase == PartitionPhase::ramping_down &&
      now - partition_state.since > (1 + ramping_down_windows) * settings_.demand_window_s)
    set_state(partition, PartitionPhase::serving, now);
}

void Reconciler::run_cycle(Seconds now) {
  if (now - last_cycle_at_ < cycle_interval_s) return;
  if (first_cycle_at_ < 0) first_cycle_at_ = now;
  if (now - last_cycle_at_ > max_cycle_gap_s) silence_counted_from_ = now;
  last_cycle_at_ = now;
  for (std::uint32_t i = 0; i < partitions_.size(); ++i) {
    PartitionIndex partition{i};
    PartitionState& partition_state = partitions_[i];
    const Ownership& ownership = state_.ownership(partition);
    if (!scheduler_.owns(partition)) {
      bool ours = ownership.revision != 0 && ownership.record.controller == state_.settings.controller_name &&
                  partition_state.phase == PartitionPhase::not_owned;
      if (ours) partition_state.since = now;
      set_state(partition, ours ? PartitionPhase::loading_state : PartitionPhase::not_owned, now);
      if (!ours) partition_state.ownership_revision = 0;
      continue;
    }
    if (partition_state.ownership_revision != ownership.revision) start_reconciliation(partition, now);
    count_zones(partition, now);
    update_suspicions(partition, now);
    advance_phase(partition, now);
  }
  expire_peer_hints(now);
}

void Reconciler::expire_peer_hints(Seconds now) {
  for (auto it = peer_suspects_.begin(); it != peer_suspects_.end();) {
    it = now - it->second > peer_status_lifetime_s ? peer_suspects_.erase(it) : std::next(it);
  }
  for (auto it = replacement_requested_at_.begin(); it != replacement_requested_at_.end();) {
    it = now - it->second > state_.settings.failover_silence_s() ? replacement_requested_at_.erase(it)
                                                                 : std::next(it);
  }
  for (std::uint32_t i = 0; i < liveness_.size(); ++i) {
    MachineIndex m{i};
    const Machine& machine = state_.machine(m);
    bool ours = machine.revision != 0 && scheduler_.owns(machine.record.partition);
    if (!ours && liveness_[i] != AgentLiveness::none) set_state(m, AgentLiveness::none);
  }
}

std::vector<PartitionStatus> Reconciler::partition_statuses() const {
  std::vector<PartitionStatus> out;
  for (std::uint32_t i = 0; i < partitions_.size(); ++i) {
    const PartitionState& p = partitions_[i];
    if (p.ownership_revision != 0)
      out.push_back({PartitionIndex{i}, p.ownership_revision, p.phase, p.counts.expected, p.counts.reported});
  }
  return out;
}

std::vector<MachineIndex> Reconciler::suspects(std::size_t most) const {
  std::vector<MachineIndex> out;
  for (std::uint32_t i = 0; i < partitions_.size(); ++i) {
    if (partitions_[i].ownership_revision == 0) continue;
    for (MachineIndex m : state_.machines_of(PartitionIndex{i})) {
      AgentLiveness s = agent_liveness(m);
      if (out.size() < most && is_doubted(s)) out.push_back(m);
    }
  }
  return out;
}

void Reconciler::on_peer_status(const PartitionStatus& w, Seconds now) {
  // Messages of successive ownerships may cross: the later ownership counts.
  if (w.partition.valid() && w.partition.value < peer_status_.size() &&
      w.ownership_revision >= peer_status_[w.partition.value].status.ownership_revision)
    peer_status_[w.partition.value] = {w, now};
}

void Reconciler::on_peer_suspect(MachineIndex machine_index, Seconds now) {
  if (machine_index.valid()) peer_suspects_[machine_index] = now;
}

bool Reconciler::suspected(MachineIndex machine_index) const {
  return is_doubted(agent_liveness(machine_index)) || peer_suspects_.count(machine_index) != 0;
}

bool Reconciler::marked_for_deletion(MachineIndex machine_index) const {
  return agent_liveness(machine_index) == AgentLiveness::marked_for_deletion;
}

bool Reconciler::still_awaiting_reports(PartitionIndex partition, Seconds now) const {
  if (partitions_[partition.value].ownership_revision != 0)
    return partitions_[partition.value].phase <= PartitionPhase::awaiting_reports;
  const Ownership& ownership = state_.ownership(partition);
  const PeerStatus& peer_status = peer_status_[partition.value];
  if (ownership.revision != 0 && peer_status.status.ownership_revision == ownership.revision &&
      now - peer_status.received_at < peer_status_lifetime_s)
    return peer_status.status.phase <= PartitionPhase::awaiting_reports;
  // Without an owner, or one that publishes no status (an older version): as long as first reports may take.
  return now - std::max(ownership.since, partitions_[idle_pool.value].since) <=
         state_.settings.first_report_timeout_s();
}

bool Reconciler::may_scale_out(PartitionIndex partition, JobIndex job, bool guaranteed, Seconds now) {
  if (guaranteed || !scheduler_.owns(idle_pool)) return true;
  // A leader that was up before knows the running machines. (Delayed by 16 s in the middle of a burst, while
  // an earlier owner kept its agents, scale-outs came too late on maktaba-monastir-voice.)
  if (first_cycle_at_ < 0 || now - first_cycle_at_ > 2 * state_.settings.first_report_timeout_s())
    return true;
  PartitionState& pool = partitions_[idle_pool.value];
  // Without recorded machines none can yet report and make a scale-out needless.
  bool nothing = state_.machines_of(partition).empty() && state_.machines_of(idle_pool).empty();
  bool delayed = pool.ownership_revision != 0 && !nothing &&
                 (still_awaiting_reports(partition, now) || still_awaiting_reports(idle_pool, now));
  if (delayed && job.valid()) pool.counts.delayed_scale_outs.insert(job);
  return !delayed;
}

bool Reconciler::may_return(MachineIndex machine_index, Seconds now) {
  PartitionState& pool = partitions_[idle_pool.value];
  if (pool.phase == PartitionPhase::serving || pool.phase == PartitionPhase::not_owned) return true;
  bool may = pool.phase == PartitionPhase::ramping_down && return_budget_.take(1, now);
  if (!may) pool.counts.delayed_returns.insert(machine_index);
  return may;
}

std::vector<Replacement> Reconciler::replacements(Seconds now) const {
  std::vector<Replacement> out;
  std::size_t running_machines = 0;
  double gone = 0;  // how many are expected not to come back
  for (std::uint32_t i = 0; i < state_.machine_count(); ++i) {
    MachineIndex machine_index{i};
    const Machine& machine = state_.machine(machine_index);
    if (machine.revision == 0) continue;
    running_machines += machine.has_booted ? 1 : 0;
    if (machine.placed_tasks.empty() || !suspected(machine_index) ||
        scheduler_.is_unreachable(machine.record.zone, now))
      continue;
    Seconds from = std::max(machine.last_answered_report_at, machine.in_partition_since);
    Seconds proof_at = from + state_.settings.lease_expiry_s();
    gone += 1 - report_probability(suspicion_statistics_, now - from, proof_at - now);
    if (replacement_requested_at_.count(machine_index) == 0)
      out.push_back({machine_index,
                     machine.record.partition,
                     {machine.record.type, machine.record.zone, machine.record.spot}});
  }
  double wanted = std::min(gone, settings_.max_replacement_fraction * static_cast<double>(running_machines));
  auto rest =
      static_cast<std::size_t>(std::max(0.0, wanted - static_cast<double>(replacement_requested_at_.size())));
  if (out.size() > rest) out.resize(rest);
  return out;
}

void Reconciler::replacement_started(MachineIndex suspect) {
  replacement_requested_at_.emplace(suspect, last_cycle_at_);
}

}  // namespace oxbowmill::reconciliation
