#include "oxbowmill/scheduling/whole_machines.h"

#include <algorithm>

namespace oxbowmill {

namespace {

constexpr double whole_machine_fraction = 0.5;  // a task that takes more leaves no room for a second one

bool accepts_spot(const Job& job, const CandidateMachine& candidate) {
  return candidate.spot && is_allowed_on(job.spec, candidate.type, candidate.zone, true);
}

/// Number of the job's tasks that fit on expected spot machines shared with other tasks.
std::size_t count_expected_places(const ClusterState& state, const Job& job, const CycleCapacity& capacity) {
  std::size_t places = 0;
  for (const ForecastMachine& machine : capacity.expected) {
    if (accepts_spot(job, machine.candidate) &&
        packs_with_others(job.spec, state.catalog[machine.candidate.type.value]))
      places += static_cast<std::size_t>(how_many_fit(job.spec.task_resources, machine.expected_capacity));
  }
  return places;
}

/// Takes expected capacity for that many tasks, so that later jobs in the queue do not count on it.
void reserve_expected(const Job& job, std::size_t tasks, CycleCapacity& capacity) {
  for (ForecastMachine& machine : capacity.expected) {
    if (!accepts_spot(job, machine.candidate)) continue;
    while (tasks > 0 && fits(job.spec.task_resources, machine.expected_capacity)) {
      machine.expected_capacity -= job.spec.task_resources;
      --tasks;
    }
  }
}

}  // namespace

bool needs_whole_machines(const ClusterState& state, PartitionIndex partition) {
  const auto& live = state.live_jobs(partition);
  return std::any_of(live.begin(), live.end(), [&state](JobIndex job_index) {
    const Job& job = state.job(job_index);
    return job.spec.shape == JobShape::gang && job.machine_fraction > whole_machine_fraction;
  });
}

std::vector<TaskNumber> keep_whole_machines_free(const ClusterState& state, const Job& job, Seconds now,
                                                 CycleCapacity& capacity, SelectionQuery& query,
                                                 std::vector<TaskNumber> tasks) {
  if (job.spec.shape != JobShape::array || !job.spec.spot) return tasks;
  query.avoid_whole_machines = true;
  std::size_t packed_places = capacity.free->count_packed_places(query, tasks.size());
  if (tasks.size() <= packed_places) return tasks;
  std::size_t expected_places = count_expected_places(state, job, capacity);
  bool within_scale_out_delay = now - job.waiting_since < state.settings.operator_settings.scale_out_delay_s;
  if (!within_scale_out_delay && tasks.size() > packed_places + expected_places) {
    query.avoid_whole_machines = false;  // more tasks than expected capacity: they may use whole machines
    return tasks;
  }
  reserve_expected(job, tasks.size() - packed_places, capacity);
  tasks.resize(packed_places);
  return tasks;
}

}  // namespace oxbowmill
