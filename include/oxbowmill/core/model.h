// The tables: jobs, machines and who is possibly on what. Fed by durable changes and by workers' reports.
#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include "oxbowmill/core/counsel.h"
#include "oxbowmill/core/settings.h"

namespace oxbowmill {

/// A start that is stopped by command sooner than this does not count (PROTOCOL, "How aims are counted").
constexpr Seconds begun_after_s = 30;

/// A task that is possibly on a machine: from the durable placement until its durable removal.
enum class PlacementState : std::uint8_t {
  placed,    // durable, no start sent by us
  sent,      // a response carried the start
  seen,      // the worker reports it
  stopping,  // we want it off; kills are sent until it is off
  finished,  // reported done; the mark is not durable yet
  gone,      // proved to be off its machine; the removal is not durable yet
};
const char* name_of(PlacementState s);
/// The task is proved to be off its machine; only the record of that may be missing.
inline bool is_off(PlacementState s) {
  return s == PlacementState::finished || s == PlacementState::gone;
}

struct Placement {
  TaskNo task = 0;
  JobIndex job;
  MachineIndex machine;
  Attempt attempt = 0;
  PlacementState state = PlacementState::placed;
  bool restarting = false;  // durable mark of a slow task's restart
  bool want_restart = false;
  bool leftover = false;    // the worker still lists an ended earlier start of the same attempt
  bool taken_over = false;  // came from an earlier owner: it may be on its machine though we sent nothing
  TaskPhase phase = TaskPhase::fetching;
  EndCause cause = EndCause::none;
  double wind_down_s = 0;
  Seconds stop_since = 0;
  std::uint64_t sent_tenure = 0, sent_serial = 0;
  Seconds started_at = 0;  // first start order by this owner, or takeover
  Seconds running_at = -1;
  Seconds known_at = 0;    // record first seen by this node
  Seconds ran_until = -1;  // last report that showed it running
  double ran_s = 0;        // between reports that did, close enough together for nothing to hang between them
  double placed_at_s = -1;  // since its job came, by whoever placed it; below 0: not known
  bool stored = false;      // its worker said so as it stopped
  /// Runs for so long that its start counts, whatever becomes of it.
  bool has_begun(Seconds now) const { return running_at >= 0 && now - running_at >= begun_after_s; }
};

/// What keeps a job from beginning.
enum class WaitCause : std::uint8_t {
  none,
  turn,         // others come first, or nobody has looked yet
  limit,        // its team is at its limit
  room,         // no machine that fits has room
  cheap,        // cheap machines come, and whole ordinary ones are left to gangs
  coming,       // room that tasks are leaving, or machines that come
  leader,       // the leader is given a moment to ask for machines with the image
  changes,      // few changes are to be had: it is placed in larger parts
  transaction,  // one of its own is under way, or in doubt
  pause,        // after errors
  attempt,      // a gang's earlier attempt has not ended
  word,         // an earlier owner's placement, whose machine has not spoken
  start,        // a start order that no report has shown yet
  image,
  gang,  // its other members
  stop,  // it was told to stop
};

enum class GangState : std::uint8_t { idle, unknown, gathering, running, stopping };

struct Chunk {
  Stamp stamp = 0;
  std::uint64_t done = 0, restarted = 0;
  std::vector<progress::Finish> finishes;
};

struct Job {
  JobSpec spec;
  JobPhase phase = JobPhase::open;
  Stamp stamp = 0;  // 0: no record
  std::unordered_map<std::uint32_t, Chunk> chunks;
  std::map<TaskNo, Placement> placed;
  std::vector<std::uint64_t> busy;  // bit per task: done or placed
  /// Bit per task: has begun at some time, as far as this owner saw. A task that had and waits again is a
  /// repetition, not a job that never began.
  std::vector<std::uint64_t> begun;
  double share = 1;  // of a machine that one task takes up
  std::uint32_t done = 0;
  std::uint32_t scan_from = 0;  // no free bit in words before this one
  // Owner's working state.
  bool writing = false;
  Seconds write_after = 0;    // back-off after a refused or unanswered transaction
  Seconds marks_due = -1;     // done marks that may wait are written by then; below 0: none waits
  bool marks_now = false;     // somebody needs them: they wait no longer
  Seconds place_after = 0;    // back-off after errors
  Seconds planned_at = -1e9;  // last placement of a part of it
  std::uint32_t errors = 0;
  Attempt broken = 0;           // attempt of the gang of which a member has said that it lost its peers
  Seconds stranded_since = -1;  // a gang in part placed, whose missing members have nowhere to go
  Seconds first_seen = 0;
  WaitCause waits_for = WaitCause::turn;  // its tasks without a place
  Seconds wait_told_at = -1e9;
  std::vector<double> finished_times;  // the detector's: in order of finishing
  double baseline = -1;
  std::map<TaskNo, progress::Saved> saved;         // what tasks go on from; of a gang under task 0
  Attempt saved_attempt = 0;                       // of a gang: whose progress is counted already
  std::map<TaskNo, progress::Finish> finished_as;  // not in a record yet
  progress::Saved saved_of(TaskNo t) const {
    auto it = saved.find(spec.shape == Shape::gang ? 0 : t);
    return it == saved.end() ? progress::Saved() : it->second;
  }
  /// Run time that its tasks without a machine still need, one with another, by the owner's estimate.
  Seconds remaining_s() const;
  bool final_phase() const { return phase != JobPhase::open; }
  bool has_begun(TaskNo t) const { return t / 64 < begun.size() && (begun[t / 64] >> (t % 64) & 1) != 0; }
  std::uint32_t pending() const {
    return phase == JobPhase::open ? spec.tasks - done - static_cast<std::uint32_t>(placed.size()) : 0;
  }
};

enum class MachineState : std::uint8_t {
  unknown,      // named somewhere, but no record
  expected,     // recorded, has not reported to us
  unaccounted,  // taken over with tasks possibly on it; has not shown our token
  ready,
  silent,    // no report for longer than its lease
  deleting,  // a delete may have been sent: never used again
};
const char* name_of(MachineState s);

struct Machine {
  MachineRecord rec;
  Stamp stamp = 0;  // 0: no record
  MachineState state = MachineState::unknown;
  Seconds known_since = 0;     // record first seen
  Seconds part_since = 0;      // in its present part since, as far as this node saw
  Seconds last_answered = -1;  // last report that we answered with 200
  Seconds woken_at = -1e9;     // when it was last asked to report at once
  Stamp placed_at = 0;         // latest placement here that our claim and the machine's record guarded
  Seconds first_report = -1;
  Seconds idle_since = 0;
  Seconds blocked_until = 0;
  Seconds faulty_until = 0;
  std::uint64_t tenure = 0, serial = 0;
  Stamp first_token = 0;      // of our first answer since it came to us: all later ones are no lower
  std::uint32_t unheard = 0;  // reports in a row that showed that an answer of ours was not taken
  bool taken_over = false;    // in its part since a takeover of the part, not since a move
  bool recalled = false;      // spot notice
  bool failed_listed = false;
  bool up = false;  // has run something or been moved: known to have booted, also where it reports elsewhere
  bool writing = false;
  std::uint32_t errors = 0;
  std::string address;
  Amounts used;
  std::uint32_t lasting = 0;  // services' tasks among those that take up room
  std::vector<TaskId> on;
  Amounts reserved;
  std::uint32_t reservations = 0;
  std::vector<ImageIndex> images;  // most recently used last
  std::uint32_t changes = 0;       // how often it was opened for a change
  bool change_noted = false;
};

/// Bids, what has been paid and what markets did: written by the leader, known to all.
struct MoneyTables {
  template <class R>
  struct Entry {
    R rec;
    Stamp stamp = 0;  // 0: no record
  };
  std::map<std::string, Entry<BidRecord>> bids;
  Entry<LedgerRecord> ledger;
  std::map<MarketIndex, Entry<MarketRecord>> markets;
};

struct Agreed {
  AgreedRecord rec;
  Stamp stamp = 0;
};

struct Claim {
  ClaimRecord rec;
  Stamp stamp = 0;
  Seconds since = 0;
};

/// A live controller and since when this node has known of its present hold.
struct LiveNode {
  ClaimRecord rec;
  Seconds since = 0;
};

class Model {
 public:
  Model(Settings settings, Names names);

  /// The one way in which a durable fact enters: own transactions and the watch both come through here.
  void apply(const Change& change, Stamp stamp, Seconds now);

  JobIndex intern_job(const std::string& ref);
  JobIndex find_job(const std::string& ref) const;
  Job& job(JobIndex j) { return jobs_.at(j.v); }
  const Job& job(JobIndex j) const { return jobs_.at(j.v); }
  /// Null once the job's record and placements are gone.
  Job* live_job(JobIndex j) {
    auto it = jobs_.find(j.v);
    return it == jobs_.end() || it->second.stamp == 0 ? nullptr : &it->second;
  }
  const Job* live_job(JobIndex j) const { return const_cast<Model*>(this)->live_job(j); }
  /// Null where neither record nor placement of it is known.
  const Job* known_job(JobIndex j) const {
    auto it = jobs_.find(j.v);
    return it == jobs_.end() ? nullptr : &it->second;
  }
  const Machine& machine(MachineIndex m) const { return machines_[m.v]; }
  /// For changing it: whoever keeps something worked out from the machine hears that it may have changed.
  Machine& edit_machine(MachineIndex m) {
    note_change(m);
    return machines_[m.v];
  }
  /// Machines that were, or whose placements were, opened for a change since this was last asked, each once.
  std::vector<MachineIndex> take_changed();
  MachineIndex intern_machine(const std::string& name);
  /// None where the state service holds no record of it.
  MachineIndex find_recorded(const std::string& name) const;
  TypeIndex intern_type(const std::string& name);
  std::uint32_t machine_count() const { return static_cast<std::uint32_t>(machines_.size()); }
  const std::set<JobIndex>& live_jobs(PartIndex part) const { return live_[part.v]; }
  const std::set<MachineIndex>& machines_of(PartIndex part) const { return part_machines_[part.v]; }
  /// Machines of other partitions that are to be handed over to this one.
  const std::set<MachineIndex>& machines_wanted_by(PartIndex part) const { return wanted_[part.v]; }
  const Claim& claim(PartIndex p) const { return claims_[p.v]; }
  std::uint32_t parts() const { return names.parts.size(); }
  const std::map<std::string, LiveNode>& nodes() const { return nodes_; }
  /// Since when every controller there is has been known to act under its present hold only: what any of them
  /// answered under an earlier one was answered before. Below 0: one is missing.
  Seconds all_anew_since() const;
  Amounts room(const Machine& m) const;
  const Amounts& team_use(PartIndex p) const { return team_use_[p.v]; }
  const Placement* find_placement(TaskId id) const;
  /// For changing it, as with `edit_machine`. Null where there is none.
  Placement* edit_placement(TaskId id);
  /// Takes (or gives back, with -1) room and quota for a task whose placement is being written.
  void reserve(MachineIndex i, const JobSpec& spec, int sign);
  /// What durable decisions say of the job.
  Advice advice(JobIndex j) const;
  /// Of its pending tasks, how many may be placed now.
  std::uint32_t placeable(JobIndex j) const;
  /// The lowest tasks that are neither done nor placed, up to `most`.
  std::vector<TaskNo> pending_tasks(Job& j, std::size_t most) const;
  /// Machines' worth of room that ended tasks have left since this controller started.
  double freed() const { return freed_; }
  bool catalog_known() const { return !catalog.empty(); }
  /// Lowest token that only the present owner can have given a machine.
  Stamp least_token(const Machine& m) const;
  Stamp token(const Machine& m) const;

  /// The only place where a placement's state changes.
  void set_state(Placement& p, PlacementState s, Seconds now);
  /// The only place where a machine's state changes.
  void set_state(MachineIndex i, MachineState s, Seconds now);
  void image_used(Machine& m, const JobSpec& spec);
  static bool has_image(const Machine& m, ImageIndex image);
  void take_over(PartIndex part, Seconds now);

  Settings settings;
  Names names;
  double wall_ahead = 0;  // time of day minus steady clock; 0: not known
  MoneyTables money;
  std::map<std::string, Agreed> agreed;  // by kind/name
  const Counsel* counsel = nullptr;      // none: no decision holds anything
  std::vector<MachineType> catalog;      // by type
  std::vector<double> image_gb;          // by image
  std::set<JobIndex> dirty;              // jobs whose placements, phase or pending tasks changed
  std::set<MachineIndex> kick;           // machines with kills to be sent at once

 private:
  void note_change(MachineIndex m) {
    Machine& machine = machines_[m.v];
    ++machine.changes;
    if (machine.change_noted) return;
    machine.change_noted = true;
    changed_.push_back(m);
  }
  /// Keeps the sets of machines by partition as the record says.
  void list_by_partition(MachineIndex m, const MachineRecord& rec);
  void unlist(MachineIndex m, const MachineRecord& rec);
  void apply_job(JobIndex index, const JobRecord* rec, Stamp stamp, Seconds now);
  void apply_chunk(const ChunkKey& key, const ChunkRecord* rec, Stamp stamp, Seconds now);
  void apply_money(const Change& change, Stamp stamp);
  void apply_machine(MachineIndex index, const MachineRecord* rec, Stamp stamp, Seconds now);
  static void note_begun(Job& j, TaskNo task);
  /// A task has left its machine: what it can go on from.
  void note_saved(const Placement& p, Seconds now);
  void add_placement(Job& j, const PlacedTask& t, JobIndex index, Seconds now);
  /// Room and quota that a task takes up, from its placement until it is proved to be off.
  void occupy(const Job& j, const Placement& p, int sign);
  void remove_placement(Job& j, std::map<TaskNo, Placement>::iterator it, Seconds now);
  void drop_if_empty(JobIndex index);
  /// How much of a machine one task takes up, on the allowed type that holds most of them.
  double share_of_machine(const JobSpec& spec) const;

  std::unordered_map<std::string, JobIndex> job_names_;
  std::unordered_map<std::uint32_t, Job>
      jobs_;  // live jobs only: entries go once the job's record and chunks are gone
  std::uint32_t next_job_ = 0;
  std::vector<Machine> machines_;
  std::vector<std::set<JobIndex>> live_;
  std::vector<std::set<MachineIndex>> part_machines_;
  std::vector<std::set<MachineIndex>> wanted_;  // by the partition that is to get them
  std::vector<MachineIndex> changed_;
  std::vector<Claim> claims_;
  std::vector<Amounts> team_use_;
  std::map<std::string, LiveNode> nodes_;
  double freed_ = 0;
};

}  // namespace oxbowmill
