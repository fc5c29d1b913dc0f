#include "oxbowmill/scheduling/capacity_forecast.h"

#include <algorithm>

namespace oxbowmill {

namespace {
/// Assumed time until a machine that another partition drains for this one reports here.
constexpr double handover_duration_s = 4;
}  // namespace

std::vector<ForecastMachine> CapacityForecast::expected_machines(PartitionIndex partition,
                                                                 Seconds now) const {
  std::vector<ForecastMachine> expected;
  auto add = [&](MachineIndex machine_index, Seconds wait_s) {
    const MachineRecord& record = state_.machine(machine_index).record;
    expected.push_back({{machine_index, record.type, record.zone, record.spot, wait_s, Resources{}},
                        state_.catalog[record.type.value].capacity});
  };
  const FreeCapacity& capacity = capacity_.free_capacity(partition);
  for (MachineIndex machine_index : capacity.booting()) {
    if (!zones_.is_unreachable(state_.machine(machine_index).record.zone, now))
      add(machine_index,
          std::max(state_.settings.report_interval_s, capacity.find(machine_index)->expected_up_at - now));
  }
  for (MachineIndex machine_index : state_.machines_requested_by(partition))
    add(machine_index, handover_duration_s);
  return expected;
}

std::vector<CandidateMachine> CapacityForecast::candidates_for(const Job& job,
                                                               const std::vector<ForecastMachine>& expected,
                                                               Preemption preemption, Clock clock) const {
  std::vector<CandidateMachine> candidates;
  add_releasing(job, clock.now, candidates);
  for (const ForecastMachine& machine : expected) {
    candidates.push_back(machine.candidate);
    candidates.back().free_capacity = machine.expected_capacity;
  }
  if (preemption == Preemption::lower_priority) add_preemptible(job, clock, candidates);
  evaluate_for_job(job.spec, state_, candidates);
  return candidates;
}

bool CapacityForecast::lacks_capacity(const Job& job, const MachineCapacity& machine, Seconds now) const {
  return !fits(job.spec.task_resources, machine.candidate.free_capacity) &&
         !zones_.is_unreachable(machine.candidate.zone, now);
}

void CapacityForecast::add_releasing(const Job& job, Seconds now,
                                     std::vector<CandidateMachine>& candidates) const {
  const FreeCapacity& capacity = capacity_.free_capacity(job.spec.partition);
  for (MachineIndex machine_index : capacity.with_releasing()) {
    const MachineCapacity& machine = *capacity.find(machine_index);
    if (!lacks_capacity(job, machine, now)) continue;
    candidates.push_back(machine.candidate);
    candidates.back().free_capacity += machine.releasing;
    candidates.back().available_in_s = stop_duration_s;
  }
}

void CapacityForecast::add_preemptible(const Job& job, Clock clock,
                                       std::vector<CandidateMachine>& candidates) const {
  const Resources& need = job.spec.task_resources;
  const FreeCapacity& capacity = capacity_.free_capacity(job.spec.partition);
  for (MachineIndex machine_index : capacity.preemptible()) {
    const MachineCapacity& machine = *capacity.find(machine_index);
    if (machine.lowest_priority >= job.spec.priority || !lacks_capacity(job, machine, clock.now)) continue;
    if (fits(need, machine.candidate.free_capacity + machine.releasing)) continue;
    CandidateMachine candidate = machine.candidate;
    candidate.free_capacity += machine.releasing;
    candidate.available_in_s = stop_duration_s;
    preemptor_.add_preemptible_capacity(job, candidate, clock);
    if (fits(need, candidate.free_capacity)) candidates.push_back(candidate);
  }
}

}  // namespace oxbowmill
