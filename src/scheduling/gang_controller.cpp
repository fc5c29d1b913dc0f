#include "oxbowmill/scheduling/gang_controller.h"

#include <spdlog/spdlog.h>

#include "oxbowmill/scheduling/task_termination.h"

namespace oxbowmill {

void GangController::check(Job& job, Seconds now) {
  GangAction action = gang_action(job);
  if (action == GangAction::none) return;
  for (auto& [task, placement] : job.placements) {
    if (action == GangAction::finish_all) {
      state_.set_state(placement, PlacementState::finished, now);
    } else {
      stop_task(state_, placement, job.phase == JobPhase::open ? job.spec.flush_s : 0, now);
    }
  }
}

void GangController::release_unschedulable(Job& job, Seconds now) {
  if (job.unschedulable_since < 0) job.unschedulable_since = now;
  if (now - job.unschedulable_since < state_.settings.gang_wait_timeout_s) return;
  SPDLOG_INFO("unschedulable gang released job={} placed={} tasks={}", job.spec.ref, job.placements.size(),
              job.spec.tasks);
  job.unschedulable_since = -1;
  for (auto& [task, placement] : job.placements) stop_task(state_, placement, 0, now);
}

}  // namespace oxbowmill
