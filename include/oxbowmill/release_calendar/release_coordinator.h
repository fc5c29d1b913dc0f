// Holds the publishing jobs of paired editions until all of them have rendered from one revision, and then
// lets all go by one durable decision. Pure: tables, final phases and the time come in; changes of records
// and questions go out; placing asks through core's `PlacementConstraints`. docs/release-calendar.md has the
// states and the safety points.
#pragma once

#include <functional>

#include "oxbowmill/decisions/decision_log.h"
#include "oxbowmill/release_calendar/release_spec.h"

namespace oxbowmill::release_calendar {

// States of a release's decision. One round of them is an epoch: one revision.
inline const std::string rendering = "rendering";  // not all editions have rendered, or it is not time yet
inline const std::string decided = "decided";      // all have: the publishing jobs of this revision may run
inline const std::string published = "published";  // they have run
inline const std::string broken = "broken";        // a job it needs was cancelled: it waits for another
inline const std::string withdrawn = "lifted";     // the operators took the release out: its jobs are free

const decisions::DecisionKind& decision_kind();
/// What operators want, as the newest file among the controllers has it: "stands" or "removed".
const decisions::DecisionKind& spec_kind();

class ReleaseCoordinator : public PlacementConstraints {
 public:
  /// `clock_skew_s`: bound of the clock's error; nothing publishes before its time by any clock within it.
  ReleaseCoordinator(ClusterState& model, decisions::DecisionLog& decision_log, const Scheduler& scheduler,
                     double skew_s);

  /// The operators' file; a lower version than before is an error of theirs and is not taken.
  bool load(ReleaseCalendar calendar);
  /// Under full authority. Writes newer terms down, and, as the leader, decides.
  void run_cycle(Clock clock, Effects& out);
  /// To be asked of the state service: the final phase of a job that is not in the tables.
  std::function<void(const std::string& ref)> query_final_phase;
  /// Its answer; none: there is no such job (yet).
  void on_final_phase(const std::string& ref, std::optional<JobPhase> phase, Seconds now);
  /// No answer came.
  void on_query_failed(const std::string& ref) { phase_queries_.erase(ref); }

  // core's Counsel
  void constrain(JobIndex job_index, PlacementLimits& limits) const override;
  /// Why a release has not been decided, for logs and tests.
  const std::string& pending_reason(const std::string& release) const;

 private:
  /// One release as the shared state has it, read once per change of it.
  struct ReleaseState {
    Revision spec_revision = 0, decision_revision = 0;
    std::optional<ReleaseSpec> desired_spec;  // by the operators; none: taken out, or not readable
    std::optional<ReleaseSpec> active_spec;   // of the round under way
    bool is_readable = true;                  // what is wanted
    std::string state;
    std::map<std::string, std::set<std::string>> bound_jobs;  // by edition and matcher: jobs that were seen
    std::set<std::string> withheld_jobs;  // publishing jobs of revisions that were given up: they stay held
    std::string pending_reason;
  };
  void read_records();
  void write_specs(Clock clock, Effects& out);
  void reconcile(const std::string& name, ReleaseState& plan, Clock clock, double earliest, Effects& out);
  /// Jobs named by class and image are written down before they run: what has finished and is not live any
  /// more could not be found again.
  bool bind_jobs(const std::string& name, const ReleaseState& plan, Clock clock, Effects& out);
  /// All that these terms need is done; else what is missing, and whether it was cancelled.
  struct MissingRequirement {
    std::string description;
    bool cancelled = false;
  };
  std::optional<MissingRequirement> find_missing_requirement(const ReleaseState& plan, bool publishing);
  std::vector<std::string> jobs_of(const ReleaseState& plan, std::size_t edition, std::size_t matcher) const;
  std::optional<JobPhase> final_phase_of(const std::string& ref);
  bool matches(const JobMatcher& matcher, const JobSpec& spec) const;
  bool is_publishing_job(const ReleaseSpec& release_spec, const JobSpec& spec) const;
  DecisionRecord next_record(const std::string& name) const;
  bool write_decision(const std::string& name, DecisionRecord next, Clock clock, Effects& out, bool urgent);
  void set_reason(ReleaseState& plan, const std::string& name, const std::string& why);

  ClusterState& state_;
  decisions::DecisionLog& decision_log_;
  const Scheduler& scheduler_;
  ReleaseCalendar calendar_;
  decisions::LowerBoundClock lower_bound_clock_;
  std::map<std::string, ReleaseState> releases_;
  std::map<std::string, JobPhase> final_phases_;  // final phases never change
  struct PhaseQuery {
    Seconds sent_at = 0;
    bool in_flight = false;
  };
  std::map<std::string, PhaseQuery> phase_queries_;
  Seconds now_ = 0, next_cycle_at_ = 0;
};

}  // namespace oxbowmill::release_calendar
