// Placement of jobs that belong to releases: publishing jobs are withheld until their release is decided,
// render jobs until they are bound to a round. Owns no state; answers by the shared state only, so that a job
// is withheld as soon as it is known. Used on the controller's loop only.
#pragma once

#include "oxbowmill/cluster/placement_constraints.h"
#include "oxbowmill/decisions/decision_log.h"
#include "oxbowmill/release_calendar/final_phases.h"
#include "oxbowmill/release_calendar/job_matching.h"
#include "oxbowmill/release_calendar/release_state.h"

namespace oxbowmill::release_calendar {

/// Narrows the placement limits of jobs by all releases.
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

  /// Withholds the job, guards its placement by the decision, or raises its priority.
  void constrain(JobIndex job_index, PlacementLimits& limits) const override;

 private:
  /// By this controller's file, where it is newer than the shared state: a job could be placed before its
  /// spec is written otherwise.
  [[nodiscard]] bool is_withheld_by_unwritten_spec(const JobSpec& spec) const;
  /// The release, if it was parsed from the records as they are now; else null.
  [[nodiscard]] const ReleaseState* find_current(const std::string& name, const Decision& spec_record) const;
  void constrain_by_release(const std::string& name, const ReleaseState& release, const JobSpec& spec,
                            PlacementLimits& limits) const;
  [[nodiscard]] bool is_withheld_for_next_round(const ReleaseState& release, const JobSpec& spec) const;
  void constrain_publishing_job(const std::string& name, const ReleaseState& release, const JobSpec& spec,
                                PlacementLimits& limits) const;
  void constrain_render_job(const ReleaseState& release, const JobSpec& spec, PlacementLimits& limits) const;
  /// Whether the record has the publishing job, or its spec names it by id.
  [[nodiscard]] bool is_known_publishing_job(const ReleaseState& release, const JobSpec& spec) const;
  /// Whether some other edition has rendered, as far as its jobs are known.
  [[nodiscard]] bool has_rendered_twin(const ReleaseState& release, const Edition& edition) const;
  [[nodiscard]] bool has_rendered(const ReleaseState& release, const Edition& edition) const;

  const ClusterState& state_;
  const decisions::DecisionLog& decision_log_;
  const ReleaseCalendar& calendar_;
  const ReleaseRecords& records_;
  const FinalPhases& final_phases_;
};

}  // namespace oxbowmill::release_calendar
