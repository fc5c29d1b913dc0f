// Index of the free capacity of one partition's machines, in the order in which placement prefers them. Each
// machine is updated when its state changes, so that a scheduling cycle visits only the machines that it
// chooses. Owns the index. No I/O: the index's owner calls `update` when a machine changes. Times in seconds.
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
  CandidateMachine candidate;  ///< without `start_s` and `opportunity_cost_s`, which depend on the job
  Resources releasing;         ///< capacity of tasks that are being stopped, not in `candidate.free_capacity`
  bool booting = false;        ///< requested and not up yet: it counts in forecasts only
  Seconds expected_up_at = 0;  ///< when a booting machine is expected to be up
  bool fetching_images = false;                     ///< image fetches are in progress on the machine
  bool preemptible = false;                         ///< some task there may be preempted by a higher priority
  Priority lowest_priority = Priority::production;  ///< lowest priority of the preemptible tasks
  std::vector<ImageIndex> images;                   ///< images in the machine's cache
};
/// Whether both offer the same capacity. The machine and what depends on the job or the time are not
/// compared.
bool operator==(const MachineCapacity& left, const MachineCapacity& right);

/// The requirements of a job in a selection of machines.
struct SelectionQuery {
  const JobSpec* spec = nullptr;  ///< the job's spec
  /// Whether the job has to start soon: start times include the fetches in progress on a machine.
  bool has_start_deadline = false;
  bool avoid_whole_machines = false;  ///< whole on-demand machines are reserved for gangs
  std::vector<bool> unreachable;      ///< by zone: whether it is unreachable; empty: none is
  /// Seconds until the fetches in progress on the machine end. Called only if `has_start_deadline` is set.
  std::function<Seconds(MachineIndex)> fetch_backlog_s;
};

/// The machines chosen for tasks of a job.
struct Selection {
  /// The chosen machines; their free capacity is reduced by the assigned tasks.
  std::vector<CandidateMachine> machines;
  std::vector<TaskAssignment> assignments;  ///< `candidate` is an index into `machines`
  /// Seconds until the last of the assigned tasks could run; 0 if none is assigned.
  Seconds last_start_s() const;
};

/// The index of one partition's machines.
class FreeCapacity {
 public:
  /// `state` must outlive this object.
  explicit FreeCapacity(const ClusterState& state) : state_(&state) {}

  /// Sets the machine's capacity; without a value the machine is removed. Returns whether anything changed.
  bool update(MachineIndex machine, std::optional<MachineCapacity> capacity);
  /// The machine's capacity; null if it is not in the index.
  const MachineCapacity* find(MachineIndex machine) const;
  /// Number of machines in the index.
  std::size_t size() const { return machines_.size(); }
  /// Removes all machines.
  void clear();

  /// Chooses machines for as many of these tasks of the job as fit; a gang gets all or none. `forecast` holds
  /// further candidates with their `start_s` and `opportunity_cost_s`; `tasks_per_zone` counts the job's
  /// tasks that are placed already.
  Selection select(const SelectionQuery& query, const std::vector<TaskNumber>& tasks,
                   const std::vector<std::uint32_t>& tasks_per_zone,
                   const std::vector<CandidateMachine>& forecast = {}) const;
  /// How many tasks of the job fit on machines whose type lets it share a machine with other tasks. Stops
  /// counting once the count exceeds `limit`.
  std::size_t count_packed_places(const SelectionQuery& query, std::size_t limit) const;

  /// Whether a machine has capacity for a task of the job but no room for it in its messages.
  bool has_message_limited_place(const JobSpec& spec) const;

  /// Takes free capacity for a task that is about to be placed, until the next update of the machine.
  void take(MachineIndex machine, const Resources& need);
  /// Like `take`, but takes from the capacity that is being released there.
  void take_releasing(MachineIndex machine, const Resources& need);
  /// Notes that an image fetch of this duration is about to begin on the machine.
  void add_fetch(MachineIndex machine, Seconds seconds);
  /// Notes that a service's task is about to be placed on the machine.
  void mark_long_running(MachineIndex machine);
  /// Returns and clears the machines changed by `take`, `take_releasing`, `add_fetch` and
  /// `mark_long_running`. They have to be updated before the next cycle.
  std::vector<MachineIndex> take_provisional();

  /// Machines with capacity that is being released.
  const std::set<MachineIndex>& with_releasing() const { return with_releasing_; }
  /// Machines that are booting.
  const std::set<MachineIndex>& booting() const { return booting_; }
  /// Machines with tasks that may be preempted by work of higher priority.
  const std::set<MachineIndex>& preemptible() const { return preemptible_; }
  /// Machines whose messages have no room for further tasks.
  const std::set<MachineIndex>& message_limited() const { return message_limited_; }
  /// Number of entries visited since construction: the cost of the selections.
  std::uint64_t visits() const { return visits_; }

 private:
  /// Machines of one group differ for a job only in free capacity and cached images.
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
    Seconds added_fetch_s = 0;  // provisional, by `add_fetch`
  };
  class GroupCursor;
  class CandidateMerge;

  GroupKey group_of(const Entry& entry) const;
  static CapacityKey capacity_key_of(const Entry& entry, MachineIndex machine);
  void insert(MachineIndex machine, const Entry& entry);
  void erase(MachineIndex machine, const Entry& entry);
  template <class Change>
  void change(MachineIndex machine, Change change);
  bool is_offered(const SelectionQuery& query, const GroupKey& key) const;
  Selection fill(const SelectionQuery& query, const std::vector<TaskNumber>& tasks,
                 const std::vector<std::uint32_t>& tasks_per_zone, ZoneIndex only_zone,
                 const std::vector<CandidateMachine>& forecast) const;

  const ClusterState* state_;
  std::unordered_map<std::uint32_t, Entry> machines_;
  std::map<GroupKey, Group> groups_;
  std::set<MachineIndex> with_releasing_, booting_, preemptible_, message_limited_, provisional_;
  mutable std::uint64_t visits_ = 0;
};

}  // namespace oxbowmill
