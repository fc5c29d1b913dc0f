// Advances a release: begins rounds, binds jobs to them, and decides when all editions have rendered. Owns no
// state: it reads ReleaseState and writes decision records. docs/release-calendar.md describes the states and
// the safety points. Used on the controller's loop only.
#pragma once

#include "oxbowmill/decisions/decision_log.h"
#include "oxbowmill/release_calendar/final_phases.h"
#include "oxbowmill/release_calendar/job_matching.h"
#include "oxbowmill/release_calendar/release_state.h"

namespace oxbowmill::release_calendar {

/// Advances releases on the leader, with at most one change of the decision record in each `reconcile`.
class ReleaseLifecycle {
 public:
  /// All arguments must outlive this object.
  ReleaseLifecycle(const ClusterState& state, decisions::DecisionLog& decision_log, FinalPhases& final_phases)
      : state_(state), decision_log_(decision_log), final_phases_(final_phases) {}

  /// Takes the next step of the release, if there is one. To be called on the leader only, and only while no
  /// change of the decision record is pending. `earliest_time`: a time of day that is not ahead of the true
  /// one, in seconds since the epoch.
  void reconcile(const std::string& name, ReleaseState& release, Clock clock, double earliest_time,
                 Effects& out);

 private:
  /// A job that a release waits for.
  struct MissingRequirement {
    std::string description;
    bool is_cancelled = false;
  };
  /// Arguments of one call of `reconcile`.
  struct Step {
    const std::string& name;
    Clock clock;
    double earliest_time;
    Effects& out;
  };
  enum class WriteUrgency : std::uint8_t { deferrable, urgent };

  /// Withdraws the release or begins a round if the operators' spec requires it. Returns whether this call of
  /// `reconcile` is complete.
  bool apply_desired_spec(const ReleaseState& release, const Step& step);
  void begin_round(const ReleaseState& release, bool is_new_epoch, const Step& step);
  /// Binds new jobs that are matched by class and image. They may not run before they are bound: once done,
  /// they are no longer live and could not be found again. Returns whether a change was sent.
  bool bind_jobs(const ReleaseState& release, const Step& step);
  bool bind_matching_jobs(const ReleaseState& release, const RequiredJobs& required,
                          std::set<std::string>& bound, Seconds now);
  void advance_undecided(ReleaseState& release, const Step& step);
  void advance_decided(ReleaseState& release, const Step& step);
  /// The first missing job of the role, a cancelled one before all others; none if no job is missing.
  std::optional<MissingRequirement> find_missing_requirement(const ReleaseState& release, JobRole role,
                                                             Seconds now);
  [[nodiscard]] DecisionRecord current_record(const std::string& name) const;
  bool write_decision(const Step& step, DecisionRecord next, WriteUrgency urgency);

  const ClusterState& state_;
  decisions::DecisionLog& decision_log_;
  FinalPhases& final_phases_;
};

}  // namespace oxbowmill::release_calendar
