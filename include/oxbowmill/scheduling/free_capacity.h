// Free capacity of one partition's machines, kept in the order in which placement prefers them. It is fed
// machine by machine as their state changes, so that a scheduling cycle visits the machines that it chooses
// and no others. Owns the index of the machines. Pure: whoever owns it says when a machine changed. Amounts
// and seconds as in types.h.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "oxbowmill/scheduling/machine_selection.h"

namespace oxbowmill {

/// What one machine offers to new tasks.
struct MachineCapacity {
  CandidateMachine candidate;  ///< `start_s` and `opportunity_cost_s` depend on the job and are not filled in
  Resources releasing;         ///< on top of `candidate.free_capacity`: of tasks that are being stopped
  bool booting = false;        ///< requested, not up yet: forecast capacity only
  Seconds expected_up_at = 0;  ///< of a booting machine: when it is expected
  bool fetching_images = false;  ///< images are being fetched there
  bool preemptible = false;      ///< some task there may be stopped for work of higher priority
  Priority lowest_priority = Priority::production;  ///< of such tasks
  std::vector<ImageIndex> images;                   ///< that the machine has cached
};
/// Equal in every field.
bool operator==(const MachineCapacity& left, const MachineCapacity& right);

/// How a job looks at the machines.
struct SelectionQuery {
  const JobSpec* spec = nullptr;      ///< of the job
  bool has_start_deadline = false;    ///< it has to start soon: fetches under way at a machine count as well
  bool avoid_whole_machines = false;  ///< whole on-demand machines are left to gangs
  std::vector<bool> unreachable;      ///< by zone; empty: none
  /// Seconds that fetches under way on the machine still take.
  std::function<Seconds(MachineIndex)> fetch_backlog_s;
};

/// The machines chosen for tasks of a job.
struct Selection {
  /// Those that were chosen, with their free capacity less the tasks that they are to get.
  std::vector<CandidateMachine> machines;
  std::vector<TaskAssignment> assignments;  ///< `candidate` is a position in `machines`
  /// When the last of the chosen tasks could run.
  Seconds last_start_s() const;
};

/// The index of one partition's machines.
class FreeCapacity {
 public:
  /// `model` must outlive this object.
  explicit FreeCapacity(const ClusterState& model) : state_(&model) {}

  /// Sets what the machine offers; none: nothing. True: it offers something else than before.
  bool update(MachineIndex machine, std::optional<MachineCapacity> capacity);
  /// What the machine offers; null: nothing.
  const MachineCapacity* find(MachineIndex machine) const;
  /// Machines that offer something.
  std::size_t size() const { return machines_.size(); }
  /// Forgets all machines.
  void clear();

  /// Chooses machines for these tasks of the job, at most as many as fit; a gang gets all or none. `forecast`
  /// are candidates next to the free ones, with their `start_s` and `opportunity_cost_s`; `by_zone` holds
  /// where the job's other tasks are.
  Selection select(const SelectionQuery& query, const std::vector<TaskNumber>& tasks,
                   const std::vector<std::uint32_t>& by_zone,
                   const std::vector<CandidateMachine>& forecast = {}) const;
  /// How many tasks of the job fit into machines of types on which it is packed with others, counted up to
  /// `most`.
  std::size_t count_packed_places(const SelectionQuery& query, std::size_t most) const;

  /// Takes free capacity for a task that is about to be placed, until the machine is updated the next time.
  void take(MachineIndex machine, const Resources& need);
  /// The same from the capacity that is being released there.
  void take_releasing(MachineIndex machine, const Resources& need);
  /// A fetch of that length is about to begin there.
  void add_fetch(MachineIndex machine, Seconds seconds);
  /// A service's task is about to be placed there.
  void host_service(MachineIndex machine);
  /// Machines that one of these four has changed, to be updated before the next cycle; forgets them.
  std::vector<MachineIndex> take_provisional();

  /// Machines with capacity that is being released.
  const std::set<MachineIndex>& with_releasing() const { return with_releasing_; }
  /// Machines that are booting.
  const std::set<MachineIndex>& booting() const { return booting_; }
  /// Machines with tasks that may be stopped for work of higher priority.
  const std::set<MachineIndex>& preemptible() const { return preemptible_; }
  /// Entries that were looked at since it was made: what a cycle costs.
  std::uint64_t visits() const { return visits_; }

 private:
  /// Machines between which a job sees no difference but their free capacity and whether they have its image.
  struct GroupKey {
    TypeIndex type;
    ZoneIndex zone;
    bool spot = false, long_running = false, whole = false, fetching = false;
    friend bool operator<(const GroupKey& a, const GroupKey& b) {
      return std::tie(a.type, a.zone, a.spot, a.long_running, a.whole, a.fetching) <
             std::tie(b.type, b.zone, b.spot, b.long_running, b.whole, b.fetching);
    }
  };
  struct CapacityKey {
    double gpus = 0, cpus = 0;
    MachineIndex machine;
    friend bool operator<(const CapacityKey& a, const CapacityKey& b) {
      return std::tie(a.gpus, a.cpus, a.machine) < std::tie(b.gpus, b.cpus, b.machine);
    }
  };
  using CapacityOrder = std::set<CapacityKey>;
  struct Group {
    CapacityOrder all;
    std::unordered_map<std::uint32_t, CapacityOrder> by_image;
  };
  struct Entry {
    MachineCapacity capacity;
    Seconds added_fetch_s = 0;  // provisional
  };
  class Stream;
  class Merge;

  GroupKey group_of(const Entry& entry) const;
  static CapacityKey capacity_key_of(const Entry& entry, MachineIndex machine);
  void insert(MachineIndex machine, const Entry& entry);
  void erase(MachineIndex machine, const Entry& entry);
  template <class Change>
  void change(MachineIndex machine, Change change);
  bool is_offered(const SelectionQuery& query, const GroupKey& key) const;
  Selection fill(const SelectionQuery& query, const std::vector<TaskNumber>& tasks,
                 const std::vector<std::uint32_t>& by_zone, ZoneIndex only,
                 const std::vector<CandidateMachine>& forecast) const;

  const ClusterState* state_;
  std::unordered_map<std::uint32_t, Entry> machines_;
  std::map<GroupKey, Group> groups_;
  std::set<MachineIndex> with_releasing_, booting_, preemptible_, provisional_;
  mutable std::uint64_t visits_ = 0;
};

}  // namespace oxbowmill
