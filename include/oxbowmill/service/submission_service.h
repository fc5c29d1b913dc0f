// The users' interface: submissions, polls and withdrawals, on any controller. Any of them is answered only
// from what the state service is known to hold. For the event loop's thread.
#pragma once

#include <unordered_map>

#include "oxbowmill/service/admission.h"
#include "oxbowmill/service/state_replica.h"
#include "oxbowmill/service/status_query.h"

namespace oxbowmill::service {

/// Final phases of recent jobs. They never change, so that polls of them need no read.
class FinalPhaseCache {
 public:
  /// Remembers the phase; the oldest entries are dropped beyond a fixed number.
  void remember(const std::string& ref, JobPhase phase);
  /// Nothing where the job is not among the remembered ones.
  std::optional<JobPhase> find(const std::string& ref) const;

 private:
  std::unordered_map<std::string, JobPhase> phases_;
  std::deque<std::string> order_;
};

/// Answers users' requests. Owns recent final phases and the times of first attempts.
class SubmissionService {
 public:
  /// `wall_clock`: time of day in seconds. The store must not call back once the service is gone.
  SubmissionService(state::Store& store, ClusterState& state, std::function<double()> wall_clock)
      : store_(store), state_(state), wall_clock_(std::move(wall_clock)) {}

  /// Admits a job and commits it, or says why it is rejected.
  void submit(const net::Request& request);
  /// Answers the job's phase and progress.
  void poll(const std::string& ref, const net::ResponderPtr& responder);
  /// Cancels the job unless it is in a final phase; `attempt` counts commits that were refused because its
  /// record had changed.
  void withdraw(const std::string& ref, const net::ResponderPtr& responder, int attempt = 0);
  /// A transaction of this controller has written the job's final phase.
  void remember_final_phase(const std::string& ref, JobPhase phase) { final_phases_.remember(ref, phase); }
  /// StateReplica::when_current.
  std::function<void(CurrencyHandler)> when_replica_current;
  /// The replica is complete and the state service responds.
  std::function<bool()> ready;
  /// A job was accepted or withdrawn at this revision: its owner should learn of it soon.
  std::function<void(Revision)> on_write;

 private:
  struct PendingQuery {
    std::string ref;
    StatusQuery query;
    Revision revision = 0;                   // of the job's own key, where that was found
    wire::Json value;                        // likewise
    std::function<void(QueryStep)> on_done;  // gets `answer`, `absent` or `refuse`
  };
  using PendingQueryPtr = std::shared_ptr<PendingQuery>;
  using QueryHandler = std::function<void(const PendingQuery&, QueryStep)>;
  /// Takes the query's next step, and calls `on_done` when there is none.
  void advance(const PendingQueryPtr& pending, QueryStep step);
  void wait_for_replica(const PendingQueryPtr& pending);
  void read_key(const PendingQueryPtr& pending, QueryStep step);
  /// Looks the job up in the state service without asking the replica.
  void query_keys(const std::string& ref, QueryHandler on_done);
  /// A query that keeps itself alive until `on_done` has been called.
  static PendingQueryPtr make_query(const std::string& ref, QueryHandler on_done);
  void commit_submission(const std::string& ref, const wire::Json& record,
                         const net::ResponderPtr& responder);
  void commit_withdrawal(const PendingQuery& pending, const net::ResponderPtr& responder, int attempt);
  void reply_status(const std::string& ref, JobPhase phase, const net::ResponderPtr& responder);
  void reply_withdrawn(const std::string& ref, JobPhase phase, const net::ResponderPtr& responder);
  bool is_overloaded() const;

  state::Store& store_;
  ClusterState& state_;
  std::function<double()> wall_clock_;
  FinalPhaseCache final_phases_;
  FirstAttempts first_attempts_;
};

}  // namespace oxbowmill::service
