// Sends the effects of a cycle: transactions to the state service, commands to agents, calls to the cloud.
// Event loop thread only.
#pragma once

#include <memory>

#include "oxbowmill/logged_count.h"
#include "oxbowmill/service/cloud_client.h"
#include "oxbowmill/service/submission_service.h"
#include "oxbowmill/service/write_queue.h"

namespace oxbowmill::service {

/// Owns the transactions without a final outcome, and reports their outcomes to the scheduler.
class EffectSender {
 public:
  /// `clock` returns the steady time in seconds. The referenced objects must outlive the sender, and the
  /// store must not call it back after its destruction.
  EffectSender(event_base* base, state::Store& store, StateReplica& replica, ClusterState& state,
               Scheduler& scheduler, SubmissionService& submission_service, CloudClient& cloud_client,
               std::function<double()> clock);
  /// Sends all effects of a cycle: first writes, then commands, then calls to the cloud.
  void send(const Effects& effects);
  /// Called after a transaction of this controller was committed at this revision and applied to the replica.
  std::function<void(Revision)> on_committed;

 private:
  void send_write(const Write& write);
  void on_write_response(std::uint64_t id, const state::StoreResponse& response);
  TransactionOutcome outcome_of(std::uint64_t id, const state::StoreResponse& response) const;
  void apply_committed(const WriteQueue::SentTransaction& sent, Revision revision);
  void send_direct_commands(const DirectCommands& commands);

  event_base* base_;
  state::Store& store_;
  StateReplica& replica_;
  ClusterState& state_;
  Scheduler& scheduler_;
  SubmissionService& submission_service_;
  CloudClient& cloud_client_;
  std::function<double()> clock_;
  WriteQueue write_queue_;
  // Shared with the requests in flight, which may end after the sender.
  std::shared_ptr<LoggedCount> unanswered_commands_ = std::make_shared<LoggedCount>();
};

}  // namespace oxbowmill::service
