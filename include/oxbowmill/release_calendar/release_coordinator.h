// Paired editions publish together: the publishing jobs of a release are withheld until all of its editions
// have rendered from one revision, and are then allowed by one durable decision. docs/release-calendar.md has
// the states and the safety points.
//
// ReleaseCoordinator owns the operators' calendar, the parsed records and the final phases that were seen. It
// does no I/O: cluster state, final phases and the time come in; changes of records and queries go out. Used
// on the controller's loop only.
#pragma once

#include "oxbowmill/decisions/decision_log.h"
#include "oxbowmill/release_calendar/final_phases.h"
#include "oxbowmill/release_calendar/release_constraints.h"
#include "oxbowmill/release_calendar/release_lifecycle.h"
#include "oxbowmill/release_calendar/release_spec.h"
#include "oxbowmill/release_calendar/release_state.h"

namespace oxbowmill::release_calendar {

/// The entry point of the package for controllers: publishes the operators' specs, advances the releases as
/// the leader, and constrains the placement of their jobs.
class ReleaseCoordinator : public PlacementConstraints {
 public:
  /// `skew_s`: bound of the clock's error in seconds; nothing publishes before its time by any clock within
  /// it. The references must outlive this object.
  ReleaseCoordinator(ClusterState& state, decisions::DecisionLog& decision_log, const Scheduler& scheduler,
                     double skew_s);
  ReleaseCoordinator(const ReleaseCoordinator&) = delete;
  ReleaseCoordinator& operator=(const ReleaseCoordinator&) = delete;

  /// Takes the operators' file. Returns false, and keeps the current one, if its version is lower.
  bool load(ReleaseCalendar calendar);
  /// One cycle; only with full authority. Publishes newer specs and, as the leader, advances the releases.
  void run_cycle(Clock clock, Effects& out);
  /// Asks the state service for the final phase of a job that is not live; to be set by the owner of this
  /// object.
  std::function<void(const std::string& ref)> query_final_phase;
  /// The state service's answer; none: there is no such job (yet).
  void on_final_phase(const std::string& ref, std::optional<JobPhase> phase, Seconds now) {
    final_phases_.on_answer(ref, phase, now);
  }
  /// No answer came.
  void on_query_failed(const std::string& ref) { final_phases_.on_query_failed(ref); }

  /// Narrows the limits of a job by the releases that it belongs to.
  void constrain(JobIndex job_index, PlacementLimits& limits) const override {
    constraints_.constrain(job_index, limits);
  }
  /// Why a release has not been decided, for logs and tests; empty if there is nothing to say.
  [[nodiscard]] const std::string& pending_reason(const std::string& release) const;

 private:
  void publish_specs(Clock clock, Effects& out);
  void publish_removals(Clock clock, Effects& out);
  void write_spec_record(const std::string& name, DecisionRecord next, Clock clock, Effects& out);

  decisions::DecisionLog& decision_log_;
  const Scheduler& scheduler_;
  ReleaseCalendar calendar_;
  decisions::LowerBoundClock lower_bound_clock_;
  ReleaseRecords records_;
  FinalPhases final_phases_;
  ReleaseLifecycle lifecycle_;
  ReleaseConstraints constraints_;
  Seconds next_cycle_at_ = 0;
};

}  // namespace oxbowmill::release_calendar
