// Placement limits of jobs that belong to releases: publishing jobs are withheld until their release is
// decided, render jobs until they are bound to a round. Owns no state. Reads only state that this controller
// already has, so that a job is withheld as soon as it is known. Used on the controller's loop only.
#pragma once

#include "oxbowmill/cluster/placement_constraints.h"
#include "oxbowmill/decisions/decision_log.h"
#include "oxbowmill/release_calendar/final_phases.h"
#include "oxbowmill/release_calendar/job_matching.h"
#include "oxbowmill/release_calendar/release_state.h"

namespace oxbowmill::release_calendar {

/// Narrows the placement limits of jobs according to all releases.
class ReleaseConstraints : public PlacementConstraints {
 public:
  /// All arguments must outlive this object.
  ReleaseConstraints(const ClusterState& state, const decisions::DecisionLog& decision_log,
                     const ReleaseCalendar& calendar, const ReleaseRecords& records,
                     const FinalPhases& final_phases)
      : state_(state),
        decision_log_(decision_log),
        calendar_(calendar),
        records_(records),
        final_phases_(final_phases) {}

  /// Withholds the job, guards its placement with the decision record, or raises its priority.
  void constrain(JobIndex job_index, PlacementLimits& limits) const override;

 private:
  /// Whether this controller's calendar file withholds the job and is newer than the stored spec. Without
  /// this check the job could be placed before the spec is written.
  [[nodiscard]] bool is_withheld_by_unwritten_spec(const JobSpec& spec) const;
  /// The parsed release; null if its records have changed since they were parsed.
  [[nodiscard]] const ReleaseState* find_current(const std::string& name, const Decision& spec_record) const;
  void constrain_by_release(const std::string& name, const ReleaseState& release, const JobSpec& spec,
                            PlacementLimits& limits) const;
  [[nodiscard]] bool is_withheld_for_next_round(const ReleaseState& release, const JobSpec& spec) const;
  void constrain_publishing_job(const std::string& name, const ReleaseState& release, const JobSpec& spec,
                                PlacementLimits& limits) const;
  void constrain_render_job(const ReleaseState& release, const JobSpec& spec, PlacementLimits& limits) const;
  /// Whether this publishing job is bound in the record or named by id in the spec.
  [[nodiscard]] bool is_known_publishing_job(const ReleaseState& release, const JobSpec& spec) const;
  /// Whether all known render jobs of some other edition are done.
  [[nodiscard]] bool has_other_rendered_edition(const ReleaseState& release, const Edition& edition) const;
  [[nodiscard]] bool has_rendered(const ReleaseState& release, const Edition& edition) const;

  const ClusterState& state_;
  const decisions::DecisionLog& decision_log_;
  const ReleaseCalendar& calendar_;
  const ReleaseRecords& records_;
  const FinalPhases& final_phases_;
};

}  // namespace oxbowmill::release_calendar
