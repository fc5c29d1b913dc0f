// Sends what a cycle has decided: transactions to the state service, commands to agents, calls to the cloud.
// For the event loop's thread.
#pragma once

#include "oxbowmill/service/cloud_client.h"
#include "oxbowmill/service/submission_service.h"
#include "oxbowmill/service/write_queue.h"

namespace oxbowmill::service {

/// Owns the transactions that have no final outcome yet, and reports outcomes to the scheduler.
class EffectSender {
 public:
  /// `clock`: steady time in seconds. The referenced objects must outlive the sender, and the store must not
  /// call back once it is gone.
  EffectSender(event_base* base, state::Store& store, StateReplica& replica, ClusterState& state,
               Scheduler& scheduler, SubmissionService& submission_service, CloudClient& cloud_client,
               std::function<double()> clock);
  /// Sends all effects of one cycle: writes first, then commands, then calls to the cloud.
  void send(const Effects& effects);
  /// An own transaction was committed at this revision and is in the replica.
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
};

}  // namespace oxbowmill::service
