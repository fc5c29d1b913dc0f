// Placement by a full scan of all machines: the reference with which the index of free capacity is compared.
#pragma once

#include <algorithm>

#include "oxbowmill/scheduling/free_capacity.h"

namespace oxbowmill::full_scan {

/// Evaluates the machines as candidates for a job. Machines in unreachable zones are excluded, and so are
/// whole on-demand machines if they are reserved for gangs.
inline std::vector<CandidateMachine> feasible_candidates(const SelectionQuery& query,
                                                         const ClusterState& state,
                                                         std::vector<CandidateMachine> candidates) {
  evaluate_for_job(*query.spec, state, candidates, query.has_start_deadline);
  for (CandidateMachine& candidate : candidates) {
    const MachineType& type = state.catalog[candidate.type.value];
    bool reserved_for_gangs = query.avoid_whole_machines && !candidate.spot &&
                              is_whole_machine_free(candidate, type) && packs_with_others(*query.spec, type);
    bool unreachable =
        candidate.zone.value < query.unreachable.size() && query.unreachable[candidate.zone.value];
    candidate.excluded = reserved_for_gangs || unreachable;
  }
  return candidates;
}

/// Returns the tasks with their machines, in order of assignment; subtracts the tasks from the free capacity
/// of the chosen machines.
inline std::vector<std::pair<TaskNumber, MachineIndex>> select(
    const SelectionQuery& query, const ClusterState& state, const std::vector<TaskNumber>& tasks,
    const std::vector<std::uint32_t>& tasks_per_zone, std::vector<CandidateMachine>& candidates) {
  auto evaluated = feasible_candidates(query, state, candidates);
  std::vector<std::pair<TaskNumber, MachineIndex>> out;
  for (const TaskAssignment& choice : choose_machines(*query.spec, tasks, evaluated, tasks_per_zone)) {
    CandidateMachine& candidate = candidates[choice.candidate];
    candidate.free_capacity -= query.spec->task_resources;
    out.emplace_back(choice.task, candidate.machine);
  }
  return out;
}

}  // namespace oxbowmill::full_scan
