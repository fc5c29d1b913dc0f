// Decisions of one controller for the parts it owns: answers to reports, placements, stops, done marks and
// moves. Pure: events and the time go in, effects come out.
#pragma once

#include <deque>

#include "oxbowmill/core/capacity_tracker.h"
#include "oxbowmill/core/claims.h"
#include "oxbowmill/core/gangs.h"
#include "oxbowmill/core/gate.h"
#include "oxbowmill/core/order.h"
#include "oxbowmill/core/placement.h"

namespace oxbowmill {

enum class Urgency : std::uint8_t { claim, user, cancel, placement, done_mark, rest };

struct Write {
  std::uint64_t id = 0;
  Urgency urgency = Urgency::rest;
  Transaction txn;
};

struct DirectOrders {
  MachineIndex machine;
  std::uint64_t tenure = 0;
  Stamp token = 0;
  std::vector<Order> orders;
};

struct RentOrder {
  std::string request;
  TypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  std::uint32_t count = 0;
  std::vector<PartIndex> parts;  // which part each machine is for
};

struct Effects {
  std::vector<Write> writes;
  std::vector<DirectOrders> direct;
  std::vector<RentOrder> rents;
  std::vector<MachineIndex> deletes;
  bool list_machines = false;
};

struct ReportAnswer {
  enum class Kind : std::uint8_t { ok, redirect, refuse } kind = Kind::refuse;
  std::string owner;  // redirect: node to report to; may be empty
  Stamp token = 0;
  std::vector<Order> orders;
  bool left_owner = false;  // redirect: the worker has served this owner for long and cannot reach it now
};

/// Placement records that one transaction changes, with the job's record and its final phase beside them.
inline std::size_t most_chunks(const Settings& s) {
  return std::min<std::size_t>(s.txn_ops - 2, 8);
}
/// Decisions that a placement may have to find unchanged.
constexpr std::size_t most_advice_guards = 3;
/// Machines that one transaction can guard beside the claim, the job, those records and decisions.
inline std::size_t most_machines(const Settings& s) {
  return 4 * s.txn_ops - 2 - most_advice_guards - most_chunks(s);
}

/// A worker that is to report at once, by a command without orders whose token it has not seen.
struct WakeUp {
  MachineIndex machine;
  std::uint64_t tenure = 0;
};

/// What found no room in this scheduling cycle. Room only shrinks within a cycle, so a job that asks for as
/// much or more of the same need not look again.
class FailedSelections {
 public:
  void add(const Job& j, std::size_t tasks, bool spare_whole, bool preempting);
  bool covers(const Job& j, std::size_t tasks, bool spare_whole, bool preempting) const;

 private:
  struct Failure {
    const JobSpec* spec = nullptr;
    std::size_t tasks = 0;
    bool spare_whole = false, preempting = false;
  };
  std::vector<Failure> failed_;
};

class Scheduler {
 public:
  Scheduler(Model& model, Hold& hold)
      : model_(model), hold_(hold), capacity_(model), last_cycles_(model.parts()) {}

  ReportAnswer on_report(const WorkerReport& r, Clock clock);
  void pass(Clock clock, Effects& out);
  /// True: the transaction is going to be repeated.
  bool on_outcome(std::uint64_t write_id, Outcome outcome, Stamp revision, Seconds now);

  /// Everything up to this revision has been applied.
  void seen_revision(Stamp rev) { seen_ = std::max(seen_, rev); }
  Stamp seen_revision() const { return seen_; }
  bool owns(PartIndex p) const;
  bool owns_any() const;
  /// Some gang of the part takes machines whole.
  bool needs_whole_machines(PartIndex part) const;
  bool leads() const { return owns(pool_part); }
  Guard claim_guard(PartIndex p) const;
  /// Most machines of the zone that should report here have not for a while, or another owner says so: what
  /// is rented, booted or free there is of no use for now.
  bool dark(ZoneIndex z, Seconds now) const;
  /// What this node sees itself, for the others.
  std::vector<ZoneIndex> dark_zones(Seconds now) const;
  void heard_of_dark(ZoneIndex z, Seconds now);
  /// Begins the terms of parts that have become ours. Every report and pass does so itself.
  void notice_takeovers(Seconds now);
  /// What is held back while it is not known who is still there. None: nothing is.
  void set_gate(const Gate* gate) { gate_ = gate; }
  /// From when on no earlier owner can answer this machine's worker: it speaks to us or to nobody.
  Seconds ours_alone_since(const Machine& m) const;
  /// Silence of this machine of ours that is over then proves it empty.
  Seconds proved_empty_at(const Machine& m) const;
  /// A machine without a record showed itself; the leader takes it in.
  std::function<void(const WorkerReport&)> on_unrecorded;
  /// Has every cycle compare the index of free capacity with a full scan. For tests.
  void check_capacity() { checks_capacity_ = true; }
  /// Machines that placement has looked at since the start.
  std::uint64_t visits() const;
  /// Sends a transaction off; the machines (or the job, below) are left alone until its outcome is known.
  /// Once it is durable, the workers to wake hear of their new owner without waiting for their next report.
  /// `settled` is called once its outcome is known and stands in the tables.
  void queue(Effects& out, Urgency urgency, Transaction txn, const std::vector<MachineIndex>& machines,
             std::vector<WakeUp> wake_ups = {}, std::function<void()> settled = nullptr);

 private:
  struct Released {
    MachineIndex machine;
    TaskNo task = 0;
    Attempt attempt = 0;
  };
  struct Pending {
    Transaction txn;
    Urgency urgency = Urgency::rest;
    JobIndex job;
    std::vector<MachineIndex> machines;
    std::vector<PlacedTask> planned;  // room and quota are taken while the outcome is open
    std::vector<Released> released;   // ended tasks that the worker may forget once this is durable
    std::vector<WakeUp> wake_ups;
    JobSpec spec;
    Stamp refused_at = 0;
    Seconds resend_at = 0;
    bool in_doubt = false;  // sent without an answer before: a copy may still be applied
    std::function<void()> settled;
  };
  void queue_job(Effects& out, Urgency urgency, Transaction txn, JobIndex job,
                 std::vector<PlacedTask> planned, std::vector<Released> released);
  void direct_clears(const Pending& p, Effects& out);
  void wake(const Pending& p, Stamp revision, Seconds now, Effects& out);
  double arrival_s() const { return model_.settings.arrival_s(); }
  void settle(std::map<std::uint64_t, Pending>::iterator it, Seconds now, double back_off);
  void settle_pending(Seconds now, Effects& out);
  /// Whether starts that were sent have arrived, or not.
  struct StartNews {
    bool lost = false, arrived = false;
  };
  /// `none_taken`: the worker has taken no answer of ours.
  StartNews read_tasks(MachineIndex mi, const WorkerReport& r, bool token_shown, bool none_taken,
                       Seconds now);
  /// Nothing is left on the machine, by whatever proof.
  void prove_empty(MachineIndex mi, Seconds now);
  /// What has not started on a machine that does not hear goes elsewhere, and nothing new goes there for a
  /// while.
  void spare(MachineIndex mi, Seconds now);
  void task_ended(Placement& p, const TaskReport& t, Machine& m, Seconds now);
  /// Kills for what is not ours to run and what is to stop; of the latter, unless `all`, only what its user
  /// has cancelled. Clears only if `all`.
  void kills(MachineIndex mi, const WorkerReport& r, bool all, std::vector<Order>& orders, Seconds now);
  void response_orders(MachineIndex mi, const WorkerReport& r, std::vector<Order>& orders, Seconds now);
  bool may_start(const Job& j, const Placement& p) const;
  void stop(Placement& p, double wind_down_s, Seconds now);
  void check_gang(Job& j, Seconds now);
  bool holds_tasks(const Machine& m) const;
  void watch_machines(PartIndex part, Clock clock, Effects& out);
  /// Capacity that is not free yet: a booting machine, or one that another partition hands over.
  struct ForecastNode {
    CandidateNode node;
    Amounts coming;
  };
  /// What the last scheduling cycle of a partition saw, and when time alone asks for the next.
  struct LastCycle {
    std::uint64_t version = 0;
    Seconds wake_at = 0;
    void wake_by(Seconds at) { wake_at = std::min(wake_at, at); }
  };
  /// A scheduling cycle of one partition, while it fills the free capacity.
  struct Cycle {
    PartIndex part;
    Clock clock;
    bool thorough = false;
    bool spare_whole = false;
    FreeCapacity* capacity = nullptr;
    std::vector<ForecastNode> forecast;
    Amounts quota_left;
    FailedSelections failed;
    LastCycle* last = nullptr;
    std::map<JobIndex, std::vector<PlacedTask>>* planned = nullptr;
  };
  SelectionQuery query_for(const Job& j, Seconds now) const;
  std::vector<ForecastNode> forecast_of(PartIndex part, Seconds now);
  /// Nodes that would have room for this job: once tasks have left, once machines have come and, if asked,
  /// once tasks of lower rank were stopped.
  std::vector<CandidateNode> forecast_for(const Job& j, const Cycle& cycle, bool preempting);
  /// Adds to the node's room what may be stopped there for this job.
  void add_victims(const Job& j, CandidateNode& node, Clock clock) const;
  bool may_make_room(const Job& victim, const Placement& p, const Job& j, Clock clock) const;
  void make_room(const Job& j, const Selection& selection, Clock clock);
  void find_slow(PartIndex part, Seconds now);
  /// One line for each job that has waited for long to begin.
  void tell_waits(PartIndex part, Clock clock);
  void place(PartIndex part, Clock clock, bool thorough,
             std::map<JobIndex, std::vector<PlacedTask>>& planned);
  /// Nothing has happened since that could let a waiting job be placed.
  bool is_unchanged(PartIndex part, const LastCycle& last, Seconds now) const;
  Amounts quota_left(PartIndex part) const;
  WaitCause place_job(Cycle& cycle, const Waiting& waiting);
  Selection select_nodes(Cycle& cycle, const Job& j, const SelectionQuery& query,
                         const std::vector<TaskNo>& tasks);
  /// Takes the chosen room for the rest of the cycle and plans what can start at once.
  WaitCause hold_and_plan(Cycle& cycle, JobIndex ji, std::size_t wanted, const Selection& selection);
  /// Takes room for one task. True: it is there, and the task may be placed.
  static bool hold(Cycle& cycle, const Job& j, const CandidateNode& node, bool look_first);
  /// Those of the tasks that need not wait for cheap machines; whole ordinary ones are kept from them.
  std::vector<TaskNo> leave_whole_ones(const Job& j, Cycle& cycle, SelectionQuery& query,
                                       std::vector<TaskNo> tasks);
  void let_go_if_stranded(Job& j, Seconds now);
  void plan(JobIndex ji, const std::vector<PlacedTask>& here,
            std::map<JobIndex, std::vector<PlacedTask>>& planned);
  void write_job(JobIndex ji, const std::vector<PlacedTask>& planned, Seconds now, Effects& out);
  /// This owner writes more than that share of all changes that the state service takes.
  bool busy(double share) const;
  /// Nothing but done marks (or what is left of a job that is over) is to be written, and nobody needs them.
  bool marks_may_wait(JobIndex ji, Seconds now);
  /// Marks of tasks that have ended on this machine wait no longer.
  void need_marks(MachineIndex mi);
  void direct_kills(Effects& out);
  Attempt next_attempt(PartIndex part) { return (model_.claim(part).stamp << 24) | ++attempts_; }
  Order kill_order(const Placement& p, Seconds now) const;

  Model& model_;
  Hold& hold_;
  CapacityTracker capacity_;
  std::vector<LastCycle> last_cycles_;  // by partition
  bool checks_capacity_ = false;
  const Gate* gate_ = nullptr;
  Stamp seen_ = 0;
  std::uint64_t next_write_ = 0;
  std::uint64_t attempts_ = 0;
  Effects later_;  // what outcomes bring about between passes
  std::map<std::uint64_t, Pending> pending_;
  std::set<std::pair<Seconds, JobIndex>> marks_due_;
  double changes_ = 0;     // written of late, decaying
  double lost_share_ = 0;  // of the answers of which reports told of late, those that were not taken
  Seconds passed_at_ = 0;
  std::map<std::uint32_t, Stamp> term_;  // by part: the claim we last prepared for
  struct ZoneSight {
    Seconds dark_until = -1e9;         // by what this node sees
    Seconds told_until = -1e9;         // by what others said
    std::uint32_t heard = 0, due = 0;  // machines in the check under way
  };
  void begin_zone_check();
  void end_zone_check(Seconds now);
  std::vector<ZoneSight> zones_;
  Seconds next_machine_check_ = 0, next_slow_check_ = 0;
};

}  // namespace oxbowmill
