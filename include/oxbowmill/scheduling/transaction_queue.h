// Transactions that were handed out to be written and whose outcome is not known yet. Owns them, their ids
// and the direct commands that outcomes bring about between two cycles. Pure; `on_settled` callbacks run
// inside `on_outcome` and `settle_refused_and_resend` and must not call back into the queue's settling.
#pragma once

#include <functional>
#include <map>

#include "oxbowmill/scheduling/effects.h"
#include "oxbowmill/scheduling/partition_ownership.h"
#include "oxbowmill/scheduling/write_rate.h"

namespace oxbowmill {

/// An ended task that its agent may forget once the transaction is durable.
struct ReleasedTask {
  MachineIndex machine;  ///< where it ran
  TaskNumber task = 0;   ///< of the transaction's job
  Attempt attempt = 0;   ///< that has ended
};

/// What a transaction on a job's records brings with it.
struct JobTransaction {
  JobIndex job;                          ///< whose records change; no other transaction of it until settled
  Urgency urgency = Urgency::other;      ///< rank among the writes that wait
  Transaction txn;                       ///< guards and changes
  std::vector<PlacedTask> placed_tasks;  ///< hold capacity and quota until the outcome is known
  std::vector<ReleasedTask> released_tasks;  ///< cleared at their agents once applied
};

/// Keeps machines, jobs and capacity reserved until the outcome of their transaction is known, and repeats a
/// transaction until its outcome is definite.
class TransactionQueue {
 public:
  /// Both must outlive this object.
  TransactionQueue(ClusterState& state, const PartitionOwnership& ownership)
      : state_(state), ownership_(ownership), write_rate_(state.settings) {}

  /// Sends a transaction off; no other one touches the machines until its outcome is known. Once it is
  /// durable, the agents to wake learn of their new owner without waiting for their next report. `on_settled`
  /// is called once the outcome is known and has been applied.
  void queue(Effects& out, Urgency urgency, Transaction txn, const std::vector<MachineIndex>& machines,
             std::vector<WakeUp> wake_ups, std::function<void()> on_settled);
  /// The same for a job's records.
  void queue_job(Effects& out, JobTransaction transaction);
  /// Takes the outcome of a transaction. True: it is going to be repeated.
  bool on_outcome(std::uint64_t write_id, TransactionOutcome outcome, Revision revision, Seconds now);
  /// Settles refused transactions whose refusal has been applied and sends those that are due again.
  void settle_refused_and_resend(Seconds now, Effects& out);
  /// Moves the direct commands that outcomes have brought about since the last call.
  void take_direct_commands(Effects& out);

  /// Changes written lately.
  const WriteRate& write_rate() const { return write_rate_; }
  /// Lets the write rate decay; once a cycle.
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
    bool unconfirmed = false;  // sent without an answer before: a copy may still be applied
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
  std::vector<DirectCommands> direct_commands_;  // to be sent with the next cycle's effects
};

}  // namespace oxbowmill
