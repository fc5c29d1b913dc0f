// Renting: which machines the leader gives to which part, rents and returns.
#pragma once

#include "oxbowmill/core/scheduler.h"
#include "oxbowmill/core/source.h"

namespace oxbowmill {

struct ListedMachine {
  std::string name, address, type, zone;
  bool spot = false;
  enum class Phase : std::uint8_t { starting, running, failed } phase = Phase::running;
  double age_s = 0;
};

enum class RentState : std::uint8_t { asked, in_doubt };

constexpr Seconds demand_interval_s = 0.25;  // between two looks of the leader at who needs machines

class Fleet {
 public:
  Fleet(Model& model, Scheduler& scheduler);

  void pass(Clock clock, Effects& out);
  /// `answered`: the cloud gave a definite answer; an empty list is a refusal.
  void on_rented(const std::string& request, bool answered, const std::vector<std::string>& machines,
                 Seconds now);
  void on_deleted(const std::vector<MachineIndex>& machines, bool confirmed);
  void on_listed(const std::vector<ListedMachine>& machines, Seconds now);
  void on_list_failed() { listing_ = false; }
  /// From now on needs go to it first, and the cloud gets what it leaves.
  void set_source(MachineSource* source) { source_ = source; }
  /// Rentals and returns go through it from now on.
  void set_gate(Gate* gate) { gate_ = gate; }
  /// A machine of a market is there.
  void take_in(const std::string& name, const std::string& address, const MachineRecord& rec);
  /// Work is to leave these machines, and they go back.
  void drain(const std::vector<MachineIndex>& machines);

 private:
  struct Rent {
    RentOrder order;
    RentState state = RentState::asked;
    Seconds retry_at = 0;
  };
  void adopt(const std::string& name, const MachineRecord& rec, std::uint64_t tenure = 0);
  void write_adoptions(Effects& out);
  void write_moves(Effects& out);
  void serve_demand(Clock clock, Effects& out);
  std::vector<Waiting> demand_order(Clock clock, std::set<JobIndex>& guaranteed) const;
  std::vector<CandidateNode> part_bins(PartIndex part, Seconds now) const;
  /// Machines of other parts that may be drained for this job.
  std::vector<CandidateNode> victims(const Job& j, bool guaranteed, Clock clock) const;
  void move_machine(MachineIndex m, PartIndex to, bool ask_owner);
  void rent_for(const Job& j, std::uint32_t tasks, Clock clock, std::vector<CandidateNode>& bins);
  void note_need(JobIndex ji, std::uint32_t tasks, bool guaranteed, Clock clock);
  void serve_needs(std::vector<std::vector<CandidateNode>>& own, Clock clock, Effects& out);
  void note_turnover(const Job& j, const CandidateNode& b, std::uint32_t count, Seconds now);
  /// Rents whole machines ahead of the gangs that will want them.
  void stand_by(const std::vector<CandidateNode>& idle, Clock clock);
  /// Has machines ready for the work of those that may be gone, beyond what stands idle.
  void replace_suspects(std::size_t idle, Clock clock);
  bool may_rent(PartIndex part, JobIndex job, bool guaranteed, Seconds now) const {
    return gate_ == nullptr || gate_->may_rent(part, job, guaranteed, now);
  }
  /// This pass's request for the kind.
  RentOrder& asking(const Kind& k);
  void return_machines(Clock clock, Effects& out);
  bool refused(const Kind& k, Seconds now) const;
  /// A request for it is under way.
  bool asked_for(const Kind& k) const;
  /// The job may have cheap machines, and the cloud has not refused them of late.
  bool cheap_to_be_had(const JobSpec& spec, Seconds now) const;

  Model& model_;
  Scheduler& scheduler_;
  MachineSource* source_ = nullptr;
  Gate* gate_ = nullptr;
  std::vector<Need> needs_;  // of this pass
  struct Adoption {
    MachineRecord rec;
    std::uint64_t tenure = 0;  // of the worker that showed itself; 0: not heard
  };
  std::map<std::string, Adoption> adopt_;
  std::vector<std::pair<MachineIndex, MachineRecord>> moves_;  // of this pass
  std::map<std::string, Rent> rents_;
  std::vector<RentOrder> asking_;  // this pass's requests, one per kind
  /// Machines' worth of room that tasks have left lately, a second.
  double freed_rate_ = 0, freed_seen_ = 0;
  struct Turnover {
    Seconds at = 0;
    Kind kind;
    std::uint32_t count = 0;
  };
  std::deque<Turnover> turnover_;   // whole machines that gangs took or had rented of late
  std::map<Kind, double> standby_;  // how many are to stand idle for them
  struct Refusal {
    Seconds until = 0;
    int in_a_row = 0;
  };
  std::map<Kind, Refusal> refusals_;
  std::map<std::string, Seconds> unknown_listed_;  // first listed without a record
  std::set<MachineIndex> deleting_;
  std::set<MachineIndex> unwanted_;  // being drained, not to be used by any part
  std::set<MachineIndex> deleted_;
  std::uint64_t requests_ = 0;
  Seconds next_ = 0, next_list_ = 0;
  Seconds listing_since_ = 0;
  bool listing_ = false;
};

}  // namespace oxbowmill
