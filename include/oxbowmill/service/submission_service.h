// Answers users' submissions, polls and withdrawals, on any controller. Every answer is based on what the
// state service is known to hold. Event loop thread only.
#pragma once

#include <unordered_map>

#include "oxbowmill/service/admission.h"
#include "oxbowmill/service/malformed_message_log.h"
#include "oxbowmill/service/state_replica.h"
#include "oxbowmill/service/status_query.h"

namespace oxbowmill::service {

/// Cache of the final phases of recent jobs. Final phases never change, so polls of these jobs need no read.
class FinalPhaseCache {
 public:
  /// Adds the phase. Beyond a fixed number of entries, drops the oldest.
  void remember(const std::string& ref, JobPhase phase);
  /// The final phase of the job; empty if it is not in the cache.
  std::optional<JobPhase> find(const std::string& ref) const;

 private:
  std::unordered_map<std::string, JobPhase> phases_;
  std::deque<std::string> order_;
};

/// Answers users' requests. Owns the cache of final phases and the times of first submission attempts.
class SubmissionService {
 public:
  /// `wall_clock` returns the time of day in seconds. The store must not call back after destruction.
  SubmissionService(state::Store& store, ClusterState& state, MalformedMessageLog& malformed_messages,
                    std::function<double()> wall_clock)
      : store_(store),
        state_(state),
        malformed_messages_(malformed_messages),
        wall_clock_(std::move(wall_clock)) {}

  /// Accepts the submitted job, or answers why it is rejected.
  void submit(const net::Request& request);
  /// Answers with the job's phase and progress.
  void poll(const std::string& ref, const net::ResponderPtr& responder);
  /// Cancels the job unless it is in a final phase. `attempt` counts earlier commits that were refused
  /// because the job's record had changed.
  void withdraw(const std::string& ref, const net::ResponderPtr& responder, int attempt = 0);
  /// Caches the job's final phase, which was read or written by a transaction of this controller.
  void remember_final_phase(const std::string& ref, JobPhase phase) { final_phases_.remember(ref, phase); }
  /// Must be set to StateReplica::when_current.
  std::function<void(FreshnessHandler)> when_replica_current;
  /// Must be set. Returns whether the replica is complete and the state service responds.
  std::function<bool()> is_ready;
  /// Must be set. Called after a job was accepted or withdrawn at this revision, to notify its owner.
  std::function<void(Revision)> on_write;

 private:
  struct PendingQuery {
    std::string ref;
    StatusQuery query;
    Revision revision = 0;                   // of the job's own key; 0 if it was not found
    wire::Json value;                        // of the job's own key; null if it was not found
    std::function<void(QueryStep)> on_done;  // gets `answer`, `absent` or `refuse`
  };
  using PendingQueryPtr = std::shared_ptr<PendingQuery>;
  using QueryHandler = std::function<void(const PendingQuery&, QueryStep)>;
  /// Executes the query's next step, or calls `on_done` if it is a final one.
  void advance(const PendingQueryPtr& pending, QueryStep step);
  void wait_for_replica(const PendingQueryPtr& pending);
  void read_key(const PendingQueryPtr& pending, QueryStep step);
  /// Looks the job up in the state service, not in the replica.
  void query_keys(const std::string& ref, QueryHandler on_done);
  /// Creates a query, which the callbacks of its steps keep alive until `on_done` has been called.
  static PendingQueryPtr make_query(const std::string& ref, QueryHandler on_done);
  void commit_submission(const std::string& ref, const wire::Json& record,
                         const net::ResponderPtr& responder);
  void commit_withdrawal(const PendingQuery& pending, const net::ResponderPtr& responder, int attempt);
  void reply_status(const std::string& ref, JobPhase phase, const net::ResponderPtr& responder);
  void reply_withdrawn(const std::string& ref, JobPhase phase, const net::ResponderPtr& responder);
  /// Logs a submission that is refused as malformed (400), and answers why.
  void refuse_malformed(const net::Request& request, const wire::DecodedMap& body, const std::string& reason);
  bool is_overloaded() const;

  state::Store& store_;
  ClusterState& state_;
  MalformedMessageLog& malformed_messages_;
  std::function<double()> wall_clock_;
  FinalPhaseCache final_phases_;
  FirstAttempts first_attempts_;
};

}  // namespace oxbowmill::service
