// Phases of the jobs that releases wait for, including jobs that are final and no longer in the cluster
// state. FinalPhases caches final phases, which never change, and tracks the queries to the state service.
// Used on the controller's loop only; answers may arrive during the query or later.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill::release_calendar {

/// Looks up phases in the cluster state and asks the state service for jobs that are not live.
class FinalPhases {
 public:
  /// Asks the state service for the final phase of a job. The caller passes the answer to `on_answer` or
  /// `on_query_failed`.
  using Query = std::function<void(const std::string& ref)>;

  /// Both must outlive this object. While `query` is empty, the state service is not asked.
  FinalPhases(const ClusterState& state, const Query& query) : state_(state), query_(query) {}

  /// Phase of the job; none if it is not known yet. The state service is then asked at once, and again after
  /// a pause.
  std::optional<JobPhase> phase_of(const std::string& ref, Seconds now);
  /// Whether the job is known to be done. Sends no query.
  [[nodiscard]] bool is_known_done(const std::string& ref) const;
  /// Handles an answer of the state service; none: it has no record of the job (yet).
  void on_answer(const std::string& ref, std::optional<JobPhase> phase, Seconds now);
  /// Handles a query without an answer: the next `phase_of` asks again.
  void on_query_failed(const std::string& ref) { queries_.erase(ref); }

 private:
  struct PhaseQuery {
    Seconds updated_at = 0;  // when it was sent; once answered, when the answer arrived
    bool in_flight = false;
  };

  const ClusterState& state_;
  const Query& query_;
  std::map<std::string, JobPhase> final_phases_;  // by job id
  std::map<std::string, PhaseQuery> queries_;     // by job id; only for jobs without a known phase
};

}  // namespace oxbowmill::release_calendar
