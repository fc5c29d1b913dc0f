// Placement by a full scan of all machines: the reference with which the index of free capacity is compared.
#pragma once

#include <algorithm>

#include "oxbowmill/scheduling/free_capacity.h"

namespace oxbowmill::full_scan {

/// Evaluates the machines as candidates for a job. Machines in unreachable zones are excluded, and so are
/// whole on-demand machines if they are reserved for gangs.
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

/// Returns the tasks with their machines, in order of assignment; subtracts the tasks from the free capacity
/// of the chosen machines.
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
