#include "oxbowmill/scheduling/pending_reason.h"

#include <spdlog/spdlog.h>

namespace oxbowmill {

const char* name_of(PendingReason reason) {
  static constexpr const char* names[] = {
      "none",          "queue_order",      "quota",           "no_capacity",       "message_limit",
      "awaiting_spot", "capacity_coming",  "awaiting_leader", "write_budget",      "transaction_pending",
      "error_backoff", "previous_attempt", "agent_silent",    "start_unconfirmed", "image_fetch",
      "gang_members",  "stopping"};
  return names[static_cast<int>(reason)];
}

namespace {

constexpr double wait_log_delay_s = 60;     // jobs that have waited less are not logged
constexpr double wait_log_interval_s = 30;  // between two log lines about the same job

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

PendingStatus pending_status_of(const ClusterState& state, const Job& job, Seconds now) {
  PendingStatus status;
  if (job.phase != JobPhase::open || state.settings.operator_settings.start_deadline_s <= 0) return status;
  for (const auto& [task, placement] : job.placements) {
    if (placement.state == PlacementState::finished || job.has_started(task) || placement.has_started(now))
      continue;
    PendingReason reason = pending_reason_of(placement);
    if (reason == PendingReason::none) continue;  // it runs, but not long enough to count as started
    ++status.tasks;
    if (status.reason == PendingReason::none) status.reason = reason;
  }
  // Tasks without a machine wait longest, so their reason is the one that is reported.
  if (!awaits_first_start(job)) return status;
  status.tasks += job.pending_count();
  status.reason = job.pending_reason;
  return status;
}

void log_wait_reasons(ClusterState& state, PartitionIndex partition, Clock clock) {
  for (JobIndex job_index : state.live_jobs(partition)) {
    Job& job = state.job(job_index);
    Seconds waited = clock.wall - job.spec.submitted_at;
    if (waited < wait_log_delay_s || clock.now - job.pending_reason_logged_at < wait_log_interval_s) continue;
    PendingStatus status = pending_status_of(state, job, clock.now);
    if (status.tasks == 0) continue;
    job.pending_reason_logged_at = clock.now;
    SPDLOG_INFO("job pending job={} pending={} tasks={} waited_s={:.0f} reason={} start_deadline={}",
                job.spec.ref, status.tasks, job.spec.tasks, waited, name_of(status.reason),
                name_of(start_urgency_of(state, job.spec, clock.wall)));
  }
}

}  // namespace oxbowmill
