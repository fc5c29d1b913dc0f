// Placement by a full scan of all machines, as the program did it before the index of free capacity: the
// reference that the index is compared with.
#pragma once

#include <algorithm>

#include "oxbowmill/scheduling/free_capacity.h"

namespace oxbowmill::full_scan {

/// Machines as candidates for a job; whole ordinary ones are excluded where they are to be kept free.
inline std::vector<CandidateMachine> feasible_candidates(const SelectionQuery& query,
                                                         const ClusterState& model,
                                                         std::vector<CandidateMachine> nodes) {
  evaluate_for_job(*query.spec, model, nodes, query.has_start_deadline);
  for (CandidateMachine& node : nodes) {
    const MachineType& type = model.catalog[node.type.value];
    bool spared = query.avoid_whole_machines && !node.spot && is_whole_machine_free(node, type) &&
                  packs_with_others(*query.spec, type);
    bool unreachable = node.zone.value < query.unreachable.size() && query.unreachable[node.zone.value];
    node.excluded = spared || unreachable;
  }
  return nodes;
}

/// The tasks' machines in order; the free capacity of the chosen machines shrinks.
inline std::vector<std::pair<TaskNumber, MachineIndex>> select(const SelectionQuery& query,
                                                               const ClusterState& model,
                                                               const std::vector<TaskNumber>& tasks,
                                                               const std::vector<std::uint32_t>& by_zone,
                                                               std::vector<CandidateMachine>& nodes) {
  auto seen = feasible_candidates(query, model, nodes);
  std::vector<std::pair<TaskNumber, MachineIndex>> out;
  for (const TaskAssignment& choice : choose_machines(*query.spec, tasks, seen, by_zone)) {
    CandidateMachine& node = nodes[choice.candidate];
    node.free_capacity -= query.spec->task_resources;
    out.emplace_back(choice.task, node.machine);
  }
  return out;
}

}  // namespace oxbowmill::full_scan
