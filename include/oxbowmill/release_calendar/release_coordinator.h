// Publishes the editions of a release together: their publishing jobs are withheld until all editions have
// rendered from one revision, and one durable decision then allows them. docs/release-calendar.md describes
// the states and the safety points.
//
// ReleaseCoordinator owns the operators' calendar, the parsed records and the cache of final phases. It does
// no I/O: its inputs are the cluster state, final phases and the time, its outputs are changes of records and
// queries. Used on the controller's loop only.
#pragma once

#include "oxbowmill/decisions/decision_log.h"
#include "oxbowmill/release_calendar/final_phases.h"
#include "oxbowmill/release_calendar/release_constraints.h"
#include "oxbowmill/release_calendar/release_lifecycle.h"
#include "oxbowmill/release_calendar/release_spec.h"
#include "oxbowmill/release_calendar/release_state.h"

namespace oxbowmill::release_calendar {

/// Entry point of the package for controllers: stores the operators' specs, advances the releases on the
/// leader, and constrains the placement of their jobs.
class ReleaseCoordinator : public PlacementConstraints {
 public:
  /// `skew_s`: maximum error of the time of day, in seconds; nothing publishes before its time on any clock
  /// within that error. The references must outlive this object.
  ReleaseCoordinator(ClusterState& state, decisions::DecisionLog& decision_log, const Scheduler& scheduler,
                     double skew_s);
  ReleaseCoordinator(const ReleaseCoordinator&) = delete;
  ReleaseCoordinator& operator=(const ReleaseCoordinator&) = delete;

  /// Replaces the operators' calendar. Returns false and keeps the current one if the new version is lower.
  bool load(ReleaseCalendar calendar);
  /// Runs one cycle, only while this controller has full authority: stores newer specs and, on the leader,
  /// advances the releases.
  void run_cycle(Clock clock, Effects& out);
  /// Asks the state service for the final phase of a job that is not live. Set by the owner of this object.
  std::function<void(const std::string& ref)> query_final_phase;
  /// Handles an answer of the state service; none: it has no record of the job (yet).
  void on_final_phase(const std::string& ref, std::optional<JobPhase> phase, Seconds now) {
    final_phases_.on_answer(ref, phase, now);
  }
  /// Handles a query without an answer.
  void on_query_failed(const std::string& ref) { final_phases_.on_query_failed(ref); }

  /// Narrows the limits of a job according to the releases that it belongs to.
  void constrain(JobIndex job_index, PlacementLimits& limits) const override {
    constraints_.constrain(job_index, limits);
  }
  /// Last logged reason why the release waits, for logs and tests; empty if there is none.
  [[nodiscard]] const std::string& pending_reason(const std::string& release) const;

 private:
  void write_specs(Clock clock, Effects& out);
  void write_removals(Clock clock, Effects& out);
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
