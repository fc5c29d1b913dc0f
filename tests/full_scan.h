// Placement by a full scan of all machines, as the program had it before the index of free capacity: the
// reference that the index is compared with.
#pragma once

#include <algorithm>

#include "oxbowmill/core/free_capacity.h"

namespace oxbowmill::full_scan {

/// Nodes as a job sees them, with whole ordinary ones left out where they are spared.
inline std::vector<CandidateNode> seen_by(const SelectionQuery& query, const Model& model,
                                          std::vector<CandidateNode> nodes) {
  see_as(*query.spec, model, nodes, query.pressed);
  for (CandidateNode& node : nodes) {
    const MachineType& type = model.catalog[node.type.v];
    bool spared = query.spare_whole && !node.spot && is_whole(node, type) && fills_cheaply(*query.spec, type);
    bool unreachable = node.zone.v < query.unreachable.size() && query.unreachable[node.zone.v];
    node.shut = spared || unreachable;
  }
  return nodes;
}

/// The tasks' machines in order; the rooms of the chosen nodes shrink.
inline std::vector<std::pair<TaskNo, MachineIndex>> select(const SelectionQuery& query, const Model& model,
                                                           const std::vector<TaskNo>& tasks,
                                                           const std::vector<std::uint32_t>& by_zone,
                                                           std::vector<CandidateNode>& nodes) {
  auto seen = seen_by(query, model, nodes);
  std::vector<std::pair<TaskNo, MachineIndex>> out;
  for (const Choice& choice : choose(*query.spec, tasks, seen, by_zone)) {
    CandidateNode& node = nodes[choice.node];
    node.room -= query.spec->need;
    out.emplace_back(choice.task, node.machine);
  }
  return out;
}

}  // namespace oxbowmill::full_scan
