// The users' interface: submissions, polls and withdrawals on any controller.
#pragma once

#include <unordered_map>

#include "oxbowmill/service/admission.h"
#include "oxbowmill/service/state_replica.h"
#include "oxbowmill/service/status_query.h"

namespace oxbowmill::service {

class SubmissionService {
 public:
  SubmissionService(state::Store& store, ClusterState& model, std::function<double()> now,
                    std::function<double()> wall)
      : store_(store), state_(model), clock_(std::move(now)), wall_clock_(std::move(wall)) {}

  void submit(const net::Request& request);
  void poll(const std::string& ref, const net::ResponderPtr& responder);
  void withdraw(const std::string& ref, const net::ResponderPtr& responder, int tries = 0);
  void remember_final_phase(const std::string& ref, JobPhase phase);
  /// Calls back when the tables are as new as the state service at this moment; false: read there.
  std::function<void(std::function<void(bool)>)> when_replica_current;
  /// The tables are complete and the state service answers.
  std::function<bool()> ready;
  /// A job was accepted or cancelled at this revision: its owner should know soon.
  std::function<void(Revision)> on_write;

 private:
  struct PendingQuery {
    std::string ref;
    StatusQuery query;
    Revision revision = 0;  // of the job's own key, where that was found
    wire::Json value;
    std::function<void(QueryStep)> on_done;  // answer, absent or refuse
  };
  using PendingQueryPtr = std::shared_ptr<PendingQuery>;
  void advance(const PendingQueryPtr& pending, QueryStep step);
  /// Asks the keys themselves.
  void query_keys(const std::string& ref, std::function<void(const PendingQuery&, QueryStep)> fn);
  void reply_status(const std::string& ref, JobPhase phase, const net::ResponderPtr& responder);
  bool overloaded() const;
  state::Store& store_;
  ClusterState& state_;
  std::function<double()> clock_, wall_clock_;
  std::unordered_map<std::string, JobPhase>
      final_phases_;  // final phases do not change: answered from memory
  std::deque<std::string> final_phase_order_;
  FirstAttempts first_attempts_;
};

}  // namespace oxbowmill::service
