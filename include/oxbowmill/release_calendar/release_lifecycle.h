// Progress of one release: begins rounds, binds jobs to them, and decides once all editions have rendered.
// States and safety points: docs/release-calendar.md. Owns no state: it reads ReleaseState and writes
// decision records. Used on the controller's loop only.
#pragma once

#include "oxbowmill/decisions/decision_log.h"
#include "oxbowmill/release_calendar/final_phases.h"
#include "oxbowmill/release_calendar/job_matching.h"
#include "oxbowmill/release_calendar/release_state.h"

namespace oxbowmill::release_calendar {

/// The leader's part of a release: at most one change of the decision record for each `reconcile`.
class ReleaseLifecycle {
 public:
  /// All arguments must outlive this object.
  ReleaseLifecycle(const ClusterState& state, decisions::DecisionLog& decision_log, FinalPhases& final_phases)
      : state_(state), decision_log_(decision_log), final_phases_(final_phases) {}

  /// Takes the next step of the release, if there is one. Only for the leader, and only while no change of
  /// the record is pending. `earliest_time`: a time of day that is not ahead of the true one.
  void reconcile(const std::string& name, ReleaseState& release, Clock clock, double earliest_time,
                 Effects& out);

 private:
  /// What a release waits for.
  struct MissingRequirement {
    std::string description;
    bool cancelled = false;
  };
  /// One call of `reconcile`.
  struct Step {
    const std::string& name;
    Clock clock;
    double earliest_time;
    Effects& out;
  };
  enum class WriteUrgency : std::uint8_t { deferrable, urgent };

  /// Withdraws the release or begins a round where the operators' spec asks for it. Returns whether that was
  /// all that can be done now.
  bool apply_desired_spec(const ReleaseState& release, const Step& step);
  void begin_round(const ReleaseState& release, bool is_new_epoch, const Step& step);
  /// Binds new jobs that are named by class and image; they may not run before, because finished jobs are not
  /// live and could not be found again. Returns whether a change was sent.
  bool bind_jobs(const ReleaseState& release, const Step& step);
  bool bind_matching_jobs(const ReleaseState& release, const RequiredJobs& required,
                          std::set<std::string>& bound, Seconds now);
  void advance_undecided(ReleaseState& release, const Step& step);
  void advance_decided(ReleaseState& release, const Step& step);
  /// The first missing job of the role; a cancelled one goes first.
  std::optional<MissingRequirement> find_missing_requirement(const ReleaseState& release, JobRole role,
                                                             Seconds now);
  [[nodiscard]] DecisionRecord current_record(const std::string& name) const;
  bool write_decision(const Step& step, DecisionRecord next, WriteUrgency urgency);

  const ClusterState& state_;
  decisions::DecisionLog& decision_log_;
  FinalPhases& final_phases_;
};

}  // namespace oxbowmill::release_calendar
