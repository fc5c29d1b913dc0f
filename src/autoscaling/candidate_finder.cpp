#include "oxbowmill/autoscaling/candidate_finder.h"

#include <algorithm>

#include "oxbowmill/autoscaling/machine_kind.h"

namespace oxbowmill::autoscaling {

namespace {
// Values of `CandidateMachine::acquisition_cost` for machines that are not the partition's own.
constexpr int idle_machine_cost = 1;
constexpr int preemption_cost = 2;
// Assumed time until a machine whose tasks are preempted has been handed over.
constexpr Seconds drain_duration_s = 4;
// Multiple of the type's boot time. Jobs do not wait for a machine that takes longer, because it may never
// boot.
constexpr double max_boot_time_factor = 2;
}  // namespace

bool CandidateFinder::is_idle_machine_usable(MachineIndex machine_index, Seconds now) const {
  const Machine& machine = environment_.state.machine(machine_index);
  bool is_assumed_booted = machine.state == MachineState::expected && machine.has_booted &&
                           now - machine.known_since < environment_.state.settings.lease_s;
  return (machine.state == MachineState::ready || is_assumed_booted) && !machine.preemption_notice &&
         !machine.write_in_flight && !machine.reported_failed && machine.placed_tasks.empty() &&
         !environment_.scheduler.is_unreachable(machine.record.zone, now) &&
         !returns_.is_draining(machine_index) && !environment_.is_suspected(machine_index);
}

std::vector<CandidateMachine> CandidateFinder::idle_candidates(Seconds now) const {
  const ClusterState& state = environment_.state;
  std::vector<CandidateMachine> candidates;
  for (MachineIndex machine_index : state.machines_of(idle_pool)) {
    if (!is_idle_machine_usable(machine_index, now)) continue;
    const Machine& machine = state.machine(machine_index);
    candidates.push_back({machine_index, machine.record.type, machine.record.zone, machine.record.spot, 0,
                          state.free_capacity(machine), idle_machine_cost});
  }
  for (const auto& [name, adoption] : adoption_.queued()) {
    MachineIndex machine_index = state.names.machines.find(name);
    const Machine& machine = state.machine(machine_index);
    if (adoption.record.partition != idle_pool || !adoption.record.has_booted || machine.write_in_flight ||
        machine.revision != 0)
      continue;
    candidates.push_back({machine_index, adoption.record.type, adoption.record.zone, adoption.record.spot, 0,
                          state.catalog[adoption.record.type.value].capacity, idle_machine_cost});
  }
  return candidates;
}

Seconds CandidateFinder::remaining_boot_time(TypeIndex type, bool has_booted, Seconds age_s) const {
  const ClusterState& state = environment_.state;
  return has_booted ? 0
                    : std::max(state.settings.report_interval_s, state.catalog[type.value].boot_s - age_s);
}

CandidateMachine CandidateFinder::empty_candidate(const MachineKind& kind, Seconds available_in_s) const {
  return {{},        kind.type,      kind.zone,
          kind.spot, available_in_s, environment_.state.catalog[kind.type.value].capacity};
}

bool CandidateFinder::serves_partition(MachineIndex machine_index, PartitionIndex current,
                                       PartitionIndex partition, Seconds now) const {
  const ClusterState& state = environment_.state;
  const Machine& machine = state.machine(machine_index);
  if (machine.state == MachineState::deleting || machine.reported_failed || machine.preemption_notice)
    return false;
  if (environment_.scheduler.is_unreachable(machine.record.zone, now) ||
      environment_.is_suspected(machine_index))
    return false;
  if (!machine.has_booted &&
      now - machine.known_since > max_boot_time_factor * state.catalog[machine.record.type.value].boot_s)
    return false;
  return (machine.record.requested_by.valid() ? machine.record.requested_by : current) == partition;
}

void CandidateFinder::add_recorded_machines(PartitionIndex partition, Seconds now,
                                            std::vector<CandidateMachine>& candidates) const {
  const ClusterState& state = environment_.state;
  for (std::uint32_t i = 1; i < state.partition_count(); ++i) {
    PartitionIndex current{i};
    for (MachineIndex machine_index : state.machines_of(current)) {
      if (!serves_partition(machine_index, current, partition, now)) continue;
      const Machine& machine = state.machine(machine_index);
      // A machine that is to be handed over is drained first.
      Resources free_capacity = machine.record.requested_by.valid()
                                    ? state.catalog[machine.record.type.value].capacity
                                    : state.free_capacity(machine);
      Seconds wait = remaining_boot_time(machine.record.type, machine.has_booted, now - machine.known_since);
      candidates.push_back({machine_index, machine.record.type, machine.record.zone, machine.record.spot,
                            wait, free_capacity});
      candidates.back().long_running = machine.long_running_tasks > 0;
    }
  }
}

std::vector<CandidateMachine> CandidateFinder::partition_candidates(PartitionIndex partition,
                                                                    Seconds now) const {
  std::vector<CandidateMachine> candidates;
  add_recorded_machines(partition, now, candidates);
  for (const auto& [name, adoption] : adoption_.queued()) {
    const MachineRecord& record = adoption.record;
    if (record.partition == partition)
      candidates.push_back(
          empty_candidate(kind_of(record), remaining_boot_time(record.type, record.has_booted, 0)));
  }
  if (environment_.source != nullptr) {
    for (const MachineSource::ExpectedMachines& expected : environment_.source->expected(partition, now)) {
      for (std::uint32_t i = 0; i < expected.machines; ++i)
        candidates.push_back(empty_candidate({expected.type, expected.zone, expected.spot}, expected.wait_s));
    }
  }
  for (const MachineKind& kind : requests_.expected_for(partition))
    candidates.push_back(empty_candidate(kind, remaining_boot_time(kind.type, false, 0)));
  return candidates;
}

bool CandidateFinder::may_be_drained(MachineIndex machine_index) const {
  const Machine& machine = environment_.state.machine(machine_index);
  return machine.state != MachineState::deleting && !machine.write_in_flight &&
         !machine.record.requested_by.valid() && machine.has_booted && !moves_.contains(machine_index) &&
         !machine.reported_failed && !environment_.is_suspected(machine_index);
}

bool CandidateFinder::may_preempt_all(const Machine& machine, const Job& job, bool guaranteed,
                                      bool beyond_guarantee, Clock clock) const {
  const ClusterState& state = environment_.state;
  // An empty machine is excluded: either it was handed over for tasks that are about to start there, or its
  // owner releases it anyway.
  if (machine.placed_tasks.empty()) return false;
  return std::all_of(machine.placed_tasks.begin(), machine.placed_tasks.end(), [&](TaskId id) {
    const Job* victim = state.live_job(id.job);
    return victim != nullptr && (victim->spec.priority < job.spec.priority || beyond_guarantee) &&
           victim->spec.shape == JobShape::array && victim->spec.checkpoint_interval_s > 0 &&
           // A guarantee takes precedence over the victim's start deadline.
           (guaranteed || is_preemptible(state, *victim, *state.find_placement(id), clock));
  });
}

std::vector<CandidateMachine> CandidateFinder::preemption_candidates(const Job& job, bool guaranteed,
                                                                     Clock clock) const {
  const ClusterState& state = environment_.state;
  std::vector<CandidateMachine> candidates;
  for (std::uint32_t i = 1; i < state.partition_count(); ++i) {
    PartitionIndex other{i};
    if (other == job.spec.partition) continue;
    const Resources& guarantee = state.settings.teams[i].guaranteed;
    const Resources& usage = state.team_usage(other);
    // Tasks of lower priority may always be preempted. Tasks of a team that uses more than its own guarantee
    // may also be preempted to give another team its guarantee.
    bool beyond_guarantee = guaranteed && usage.gpus > guarantee.gpus + resource_tolerance &&
                            usage.cpus > guarantee.cpus + resource_tolerance;
    for (MachineIndex machine_index : state.machines_of(other)) {
      const Machine& machine = state.machine(machine_index);
      if (!may_be_drained(machine_index) ||
          !may_preempt_all(machine, job, guaranteed, beyond_guarantee, clock))
        continue;
      candidates.push_back({machine_index, machine.record.type, machine.record.zone, machine.record.spot,
                            drain_duration_s, state.catalog[machine.record.type.value].capacity,
                            preemption_cost});
    }
  }
  return candidates;
}

}  // namespace oxbowmill::autoscaling
