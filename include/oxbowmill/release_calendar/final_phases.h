// Phases of jobs that releases wait for, including jobs that are over and no longer in the cluster state.
// FinalPhases owns the final phases that were seen, which never change, and the queries to the state service.
// Used on the controller's loop only; answers may arrive within the query or later.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill::release_calendar {

/// Looks up phases in the cluster state, and asks the state service for jobs that are not live.
class FinalPhases {
 public:
  /// Asks the state service for the final phase of a job; the answer comes by `on_answer` or
  /// `on_query_failed`.
  using Query = std::function<void(const std::string& ref)>;

  /// `query` may be empty, then nothing is asked; it must outlive this object.
  FinalPhases(const ClusterState& state, const Query& query) : state_(state), query_(query) {}

  /// The phase of the job; none if it is not known (yet), in which case the state service is asked: at once,
  /// and again after a pause.
  std::optional<JobPhase> phase_of(const std::string& ref, Seconds now);
  /// Whether the job is known to be done. Asks nobody.
  [[nodiscard]] bool is_known_done(const std::string& ref) const;
  /// The state service's answer; none: there is no such job (yet).
  void on_answer(const std::string& ref, std::optional<JobPhase> phase, Seconds now);
  /// No answer came; the next `phase_of` asks again.
  void on_query_failed(const std::string& ref) { queries_.erase(ref); }

 private:
  struct PhaseQuery {
    Seconds updated_at = 0;  // when it was sent or, once answered, when the answer came
    bool in_flight = false;
  };

  const ClusterState& state_;
  const Query& query_;
  std::map<std::string, JobPhase> final_phases_;  // by job id
  std::map<std::string, PhaseQuery> queries_;     // by job id; only for jobs without a known phase
};

}  // namespace oxbowmill::release_calendar
