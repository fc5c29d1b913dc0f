#include "oxbowmill/scheduling/gangs.h"

namespace oxbowmill {

GangState gang_state(const Job& job) {
  if (job.placements.empty()) return GangState::idle;
  Attempt attempt = job.placements.begin()->second.attempt;
  bool unknown = false, running = false, leaving = false;
  for (const auto& [task, placement] : job.placements) {
    if (placement.attempt != attempt) return GangState::stopping;
    unknown = unknown || placement.inherited;
    running = running || placement.phase == TaskPhase::running || placement.phase == TaskPhase::saving;
    leaving = leaving || placement.state == PlacementState::terminated ||
              placement.state == PlacementState::stopping;
  }
  // Either all tasks of a gang run or none, so one running task shows that all run.
  bool whole = job.placements.size() == job.spec.tasks && !leaving;
  if (running) return whole ? GangState::running : GangState::stopping;
  return unknown ? GangState::unknown : GangState::gathering;
}

GangAction gang_action(const Job& job) {
  bool open = false;
  for (const auto& [task, placement] : job.placements) {
    // The tasks of a gang complete together: if one is done, all are.
    if (placement.state == PlacementState::finished) return GangAction::finish_all;
    open = open ||
           (placement.state != PlacementState::terminated && placement.state != PlacementState::stopping);
  }
  return open && gang_state(job) == GangState::stopping ? GangAction::stop_all : GangAction::none;
}

}  // namespace oxbowmill
