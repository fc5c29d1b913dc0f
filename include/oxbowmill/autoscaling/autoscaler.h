// Renting: which machines the leader gives to which part, rents and returns.
#pragma once

#include "oxbowmill/autoscaling/machine_source.h"
#include "oxbowmill/scheduling/scheduler.h"

namespace oxbowmill {

struct ListedMachine {
  std::string name, address, type, zone;
  bool spot = false;
  enum class Phase : std::uint8_t { starting, running, failed } phase = Phase::running;
  double age_s = 0;
};

enum class ScaleOutState : std::uint8_t { requested, unconfirmed };

constexpr Seconds demand_interval_s = 0.25;  // between two looks of the leader at who needs machines

class Autoscaler {
 public:
  Autoscaler(ClusterState& model, Scheduler& scheduler);

  void run_cycle(Clock clock, Effects& out);
  /// `answered`: the cloud gave a definite answer; an empty list is a refusal.
  void on_scale_out_result(const std::string& request, bool answered,
                           const std::vector<std::string>& machines, Seconds now);
  void on_deleted(const std::vector<MachineIndex>& machines, bool confirmed);
  void on_listed(const std::vector<ListedMachine>& machines, Seconds now);
  void on_list_failed() { listing_ = false; }
  /// From now on needs go to it first, and the cloud gets what it leaves.
  void set_source(MachineSource* source) { source_ = source; }
  /// Rentals and returns go through it from now on.
  void set_recovery_admission(RecoveryAdmission* recovery_admission) {
    recovery_admission_ = recovery_admission;
  }
  /// A machine of a market is there.
  void adopt(const std::string& name, const std::string& address, const MachineRecord& record);
  /// Work is to leave these machines, and they go back.
  void drain(const std::vector<MachineIndex>& machines);

 private:
  struct ScaleOut {
    ScaleOutRequest request;
    ScaleOutState state = ScaleOutState::requested;
    Seconds retry_at = 0;
  };
  void queue_adoption(const std::string& name, const MachineRecord& record, std::uint64_t agent_epoch = 0);
  void write_adoptions(Effects& out);
  void write_moves(Effects& out);
  void reconcile_demand(Clock clock, Effects& out);
  std::vector<WaitingJob> demand_order(Clock clock, std::set<JobIndex>& guaranteed) const;
  std::vector<CandidateMachine> partition_candidates(PartitionIndex partition, Seconds now) const;
  /// Machines of other parts that may be drained for this job.
  std::vector<CandidateMachine> preemption_candidates(const Job& job, bool guaranteed, Clock clock) const;
  void move_machine(MachineIndex machine_index, PartitionIndex target, bool ask_owner);
  void request_machines(const Job& job, std::uint32_t tasks, Clock clock,
                        std::vector<CandidateMachine>& bins);
  void note_unmet_demand(JobIndex job_index, std::uint32_t tasks, bool guaranteed, Clock clock);
  void serve_unmet_demands(std::vector<std::vector<CandidateMachine>>& candidates_by_partition, Clock clock,
                           Effects& out);
  void note_turnover(const Job& job, const CandidateMachine& right, std::uint32_t count, Seconds now);
  /// Rents whole machines ahead of the gangs that will want them.
  void keep_warm_machines(const std::vector<CandidateMachine>& idle, Clock clock);
  /// Has machines ready for the work of those that may be gone, beyond what stands idle.
  void replace_suspected_machines(std::size_t idle, Clock clock);
  bool may_scale_out(PartitionIndex partition, JobIndex job, bool guaranteed, Seconds now) const {
    return recovery_admission_ == nullptr ||
           recovery_admission_->may_scale_out(partition, job, guaranteed, now);
  }
  /// This pass's request for the kind.
  ScaleOutRequest& new_request_for(const MachineKind& kind);
  void return_machines(Clock clock, Effects& out);
  bool is_refused(const MachineKind& kind, Seconds now) const;
  /// A request for it is under way.
  bool is_requested(const MachineKind& kind) const;
  /// The job may have cheap machines, and the cloud has not refused them of late.
  bool is_spot_available_for(const JobSpec& spec, Seconds now) const;

  ClusterState& state_;
  Scheduler& scheduler_;
  MachineSource* source_ = nullptr;
  RecoveryAdmission* recovery_admission_ = nullptr;
  std::vector<UnmetDemand> unmet_demands_;  // of this pass
  struct Adoption {
    MachineRecord record;
    std::uint64_t agent_epoch = 0;  // of the worker that showed itself; 0: not heard
  };
  std::map<std::string, Adoption> adoptions_;
  std::vector<std::pair<MachineIndex, MachineRecord>> moves_;  // of this pass
  std::map<std::string, ScaleOut> scale_outs_;
  std::vector<ScaleOutRequest> new_requests_;  // this pass's requests, one per kind
  /// Machines' worth of room that tasks have left lately, a second.
  double freed_rate_ = 0, freed_observed_ = 0;
  struct Turnover {
    Seconds at = 0;
    MachineKind kind;
    std::uint32_t count = 0;
  };
  std::deque<Turnover> turnover_;               // whole machines that gangs took or had rented of late
  std::map<MachineKind, double> warm_targets_;  // how many are to stand idle for them
  struct Refusal {
    Seconds until = 0;
    int consecutive = 0;
  };
  std::map<MachineKind, Refusal> refusals_;
  std::map<std::string, Seconds> unknown_listed_;  // first listed without a record
  std::set<MachineIndex> deleting_;
  std::set<MachineIndex> draining_;  // being drained, not to be used by any part
  std::set<MachineIndex> deleted_;
  std::uint64_t request_count_ = 0;
  Seconds next_cycle_at_ = 0, next_list_at_ = 0;
  Seconds listing_since_ = 0;
  bool listing_ = false;
};

}  // namespace oxbowmill
