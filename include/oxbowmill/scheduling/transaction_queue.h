// Transactions that are in flight: sent, with an outcome that is not known yet. Owns them, their ids and the
// direct commands that their outcomes cause between two cycles. No I/O. `on_settled` callbacks run inside
// `on_outcome` and `settle_refused_and_resend` and must not call either of them.
#pragma once

#include <functional>
#include <map>

#include "oxbowmill/scheduling/effects.h"
#include "oxbowmill/scheduling/partition_ownership.h"
#include "oxbowmill/scheduling/write_rate.h"

namespace oxbowmill {

/// An ended task that its agent may clear from its list once the transaction is durable.
struct ReleasedTask {
  MachineIndex machine;  ///< machine on which it ran
  TaskNumber task = 0;   ///< number of the task in the transaction's job
  Attempt attempt = 0;   ///< the attempt that has ended
};

/// A transaction on a job's records and the tasks that it affects.
struct JobTransaction {
  JobIndex job;                          ///< the job; it has no other transaction until this one is settled
  Urgency urgency = Urgency::other;      ///< rank among the waiting writes
  Transaction txn;                       ///< guards and changes
  std::vector<PlacedTask> placed_tasks;  ///< tasks that reserve capacity and quota until the outcome is known
  std::vector<ReleasedTask> released_tasks;  ///< tasks that are cleared at their agents once it is applied
};

/// Keeps machines, jobs and capacity reserved until the outcome of their transaction is known, and resends a
/// transaction until its outcome is definite.
class TransactionQueue {
 public:
  /// Both arguments must outlive this object.
  TransactionQueue(ClusterState& state, const PartitionOwnership& ownership)
      : state_(state), ownership_(ownership), write_rate_(state.settings) {}

  /// Queues a transaction. No other transaction changes `machines` until its outcome is known. Once it is
  /// durable, the agents in `wake_ups` are made to report at once, so that they learn of their new owner
  /// early. `on_settled` is called once the outcome is known and has been applied.
  void queue(Effects& out, Urgency urgency, Transaction txn, const std::vector<MachineIndex>& machines,
             std::vector<WakeUp> wake_ups, std::function<void()> on_settled);
  /// Queues a transaction on a job's records and reserves capacity for its placed tasks.
  void queue_job(Effects& out, JobTransaction transaction);
  /// Applies the outcome of a transaction. Returns whether the transaction will be sent again.
  bool on_outcome(std::uint64_t write_id, TransactionOutcome outcome, Revision revision, Seconds now);
  /// Settles the refused transactions that the applied revision has caught up with, and resends those that
  /// are due.
  void settle_refused_and_resend(Seconds now, Effects& out);
  /// Moves the direct commands that outcomes have caused since the last call to `out`.
  void take_direct_commands(Effects& out);

  /// Rate of recently written changes.
  const WriteRate& write_rate() const { return write_rate_; }
  /// Decays the write rate; to be called once a cycle.
  void advance_write_rate(Seconds now) { write_rate_.advance(now); }

 private:
  struct PendingTransaction {
    Transaction txn;
    Urgency urgency = Urgency::other;
    JobIndex job;
    std::vector<MachineIndex> machines;
    std::vector<PlacedTask> placed_tasks;
    std::vector<ReleasedTask> released_tasks;
    std::vector<WakeUp> wake_ups;
    JobSpec spec;
    std::function<void()> on_settled;
    Revision refused_at_revision = 0;
    Seconds resend_at = 0;
    bool unconfirmed = false;  // an earlier copy got no answer and may still be applied
  };
  using Pending = std::map<std::uint64_t, PendingTransaction>;

  void send(Effects& out, PendingTransaction transaction);
  void settle(Pending::iterator position, Seconds now, double backoff_s);
  void send_clears(const PendingTransaction& transaction);
  void wake_agents(const PendingTransaction& transaction, Revision revision, Seconds now);
  void wake_for_placement(MachineIndex machine_index, Revision revision, Seconds now);

  ClusterState& state_;
  const PartitionOwnership& ownership_;
  WriteRate write_rate_;
  std::uint64_t next_write_id_ = 0;
  Pending pending_;
  std::vector<DirectCommands> direct_commands_;  // for the next cycle's effects
};

}  // namespace oxbowmill
