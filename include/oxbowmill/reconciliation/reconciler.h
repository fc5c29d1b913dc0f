// The start of a controller's parts, from the claim to ordinary service, and the doubt about single machines
// after it. Pure: reports, peers' words and the time come in; what may be ordered goes out through core's
// `RecoveryAdmission`. docs/reconciliation.md holds the reasons.
#pragma once

#include <functional>
#include <map>

#include "oxbowmill/cluster/token_bucket.h"
#include "oxbowmill/reconciliation/agent_liveness.h"
#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill::reconciliation {

enum class PartitionPhase : std::uint8_t {
  not_owned,         // not ours
  loading_state,     // claimed, but the tables have not reached the claim
  awaiting_reports,  // machines speak one by one
  reconciling,       // enough have spoken to judge by; differences and suspects are being settled
  observing_demand,  // the pool's: demand is watched anew, nothing idle goes back
  ramping_down,      // the pool's: what is idle goes back at a limited pace
  serving,
};
const char* name_of(PartitionPhase phase);

/// What controllers tell each other of a part's start.
struct PartitionStatus {
  PartitionIndex partition;
  Revision ownership_revision = 0;  // which start it speaks of
  PartitionPhase phase = PartitionPhase::not_owned;
  std::uint32_t expected = 0, reported = 0;
};

class Reconciler : public RecoveryAdmission {
 public:
  /// The scheduler is read only.
  Reconciler(const ClusterState& model, const Scheduler& scheduler, Settings settings);

  /// The state of a part has changed.
  std::function<void()> on_phase_change;
  /// Before the scheduler judges the report, after it has noticed takeovers. Full authority only.
  void on_report(const WorkerReport& report, Seconds now);
  /// After the scheduler's, before the fleet's. Full authority only: a node that may not act cannot know
  /// whose fault a silence is, and begins to listen anew when it may.
  void run_cycle(Seconds now);

  /// What the others should know: the starts under way here, and whom this node suspects. Hints only.
  std::vector<PartitionStatus> partition_statuses() const;
  std::vector<MachineIndex> suspects(std::size_t most) const;
  void on_peer_status(const PartitionStatus& w, Seconds now);
  void on_peer_suspect(MachineIndex machine_index, Seconds now);

  // core's Gate
  bool suspected(MachineIndex machine_index) const override;
  bool marked_for_deletion(MachineIndex machine_index) const override;
  bool may_scale_out(PartitionIndex partition, JobIndex job, bool guaranteed, Seconds now) override;
  bool may_return(MachineIndex machine_index, Seconds now) override;
  std::vector<Replacement> replacements(Seconds now) const override;
  void replacement_started(MachineIndex suspect) override;

  PartitionPhase phase(PartitionIndex partition) const { return partitions_.at(partition.value).phase; }
  AgentLiveness agent_liveness(MachineIndex machine_index) const {
    return machine_index.value < liveness_.size() ? liveness_[machine_index.value] : AgentLiveness::none;
  }
  const SuspicionStatistics& suspicion_statistics() const { return suspicion_statistics_; }
  /// Of the start that is under way or was last: for logs, tests and the laboratory.
  struct Counts {
    std::uint32_t expected = 0, reported = 0, matched = 0, suspected = 0, marked_for_deletion = 0, lost = 0;
    std::uint32_t returned = 0, stale = 0, unregistered = 0;
    std::set<JobIndex> delayed_scale_outs;   // jobs that waited for a rental because of the start
    std::set<MachineIndex> delayed_returns;  // machines that were idle and kept because of it
    Differences first_differences;           // as the machines' first words had them
  };
  const Counts& counts(PartitionIndex partition) const { return partitions_.at(partition.value).counts; }
  Seconds reconciled_at(PartitionIndex partition) const {
    return partitions_.at(partition.value).reconciled_at;
  }

 private:
  struct Zone {
    std::uint32_t reports_due = 0, reported = 0;  // now
    bool has_enough_reports = false;              // enough of them for one that does not to be doubted
    std::uint32_t expected = 0;                   // whose first words the start waits for
    std::vector<double> first_report_delays_s;    // seconds from the part's takeover, in order
    Seconds silence_counted_from = 0;             // silence counts from here on
  };
  struct PartitionState {
    PartitionPhase phase = PartitionPhase::not_owned;
    Revision ownership_revision = 0;
    Seconds since = 0;  // of the start
    Seconds reconciled_at = -1;
    std::vector<Zone> zones;
    Counts counts;
  };
  void start_reconciliation(PartitionIndex partition, Seconds now);
  /// The only place where a part's state changes.
  void set_state(PartitionIndex partition, PartitionPhase phase, Seconds now);
  /// The only place where a machine's word changes.
  void set_state(MachineIndex machine_index, AgentLiveness liveness);
  void count_zones(PartitionIndex partition, Seconds now);
  void update_suspicions(PartitionIndex partition, Seconds now);
  void advance_phase(PartitionIndex partition, Seconds now);
  void expire_peer_hints(Seconds now);
  /// No word of the machine is waited for: it never was up, or it is on its way out.
  bool may_be_silent(const Machine& machine) const;
  AgentLiveness& mutable_liveness(MachineIndex machine_index);
  /// Another owner's start has not yet heard enough, or nothing is known of it and it is too early.
  bool still_awaiting_reports(PartitionIndex partition, Seconds now) const;

  const ClusterState& state_;
  const Scheduler& scheduler_;
  Settings settings_;
  std::vector<PartitionState> partitions_;
  std::vector<AgentLiveness> liveness_;  // by machine
  SuspicionStatistics suspicion_statistics_;
  TokenBucket return_budget_;  // machines that a start, or a doubt, gives back
  struct PeerStatus {
    PartitionStatus status;
    Seconds received_at = -1e9;
  };
  std::vector<PeerStatus> peer_status_;            // by part
  std::map<MachineIndex, Seconds> peer_suspects_;  // by peers, and when
  /// Suspects for whose work a machine was asked for, and when. What others tell comes and goes; a suspect is
  /// replaced once all the same, and those of late count against the bound.
  std::map<MachineIndex, Seconds> replacement_requested_at_;
  Seconds last_cycle_at_ = -1e9, silence_counted_from_ = -1e9;
  Seconds first_cycle_at_ = -1;  // first pass of this process
};

}  // namespace oxbowmill::reconciliation
