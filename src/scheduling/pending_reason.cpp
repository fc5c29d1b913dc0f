#include "oxbowmill/scheduling/pending_reason.h"

namespace oxbowmill {

const char* name_of(PendingReason reason) {
  static constexpr const char* names[] = {"nothing",
                                          "its turn",
                                          "its team's limit",
                                          "machines with room",
                                          "cheap machines that come",
                                          "room that is being left or comes",
                                          "machines with its image, which the leader is asked for",
                                          "the rest of it, while changes are scarce",
                                          "a transaction",
                                          "a pause after failures",
                                          "its earlier attempt to end",
                                          "word from its machine after a takeover",
                                          "its start order to be taken",
                                          "its image",
                                          "the rest of its gang",
                                          "its stop"};
  return names[static_cast<int>(reason)];
}

namespace {

PendingReason pending_reason_of(const Placement& placement) {
  switch (placement.state) {
    case PlacementState::placed:
      return placement.inherited ? PendingReason::agent_silent : PendingReason::start_unconfirmed;
    case PlacementState::sent:
      return PendingReason::start_unconfirmed;
    case PlacementState::reported:
      return placement.phase == TaskPhase::fetching    ? PendingReason::image_fetch
             : placement.phase == TaskPhase::gathering ? PendingReason::gang_members
                                                       : PendingReason::none;
    case PlacementState::stopping:
      return PendingReason::stopping;
    case PlacementState::finished:
    case PlacementState::terminated:
      return PendingReason::transaction_pending;
  }
  return PendingReason::none;
}

}  // namespace

PendingStatus pending_status_of(const ClusterState& model, const Job& job, Seconds now) {
  PendingStatus wait;
  if (job.phase != JobPhase::open || model.settings.operator_settings.start_deadline_s <= 0) return wait;
  for (const auto& [t, p] : job.placements) {
    if (p.state == PlacementState::finished || job.has_started(t) || p.has_started(now)) continue;
    PendingReason cause = pending_reason_of(p);
    if (cause == PendingReason::none) continue;  // it runs, though not for long
    ++wait.tasks;
    if (wait.reason == PendingReason::none) wait.reason = cause;
  }
  // What has no place waits longest.
  if (!awaits_first_start(job)) return wait;
  wait.tasks += job.pending_count();
  wait.reason = job.pending_reason;
  return wait;
}

}  // namespace oxbowmill
