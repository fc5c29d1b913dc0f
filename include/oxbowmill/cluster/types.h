// Shared vocabulary of the scheduler: dense indices, amounts and the facts of jobs and machines.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace oxbowmill {

/// Position in a dense table. The tag keeps a job's index from being used as a machine's.
template <class Tag>
struct Index {
  static constexpr std::uint32_t none_value = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t value = none_value;
  bool valid() const { return value != none_value; }
  friend bool operator==(Index a, Index b) { return a.value == b.value; }
  friend bool operator!=(Index a, Index b) { return a.value != b.value; }
  friend bool operator<(Index a, Index b) { return a.value < b.value; }
};

using JobIndex = Index<struct JobTag>;
using MachineIndex = Index<struct MachineTag>;
using PartitionIndex = Index<struct PartitionTag>;
using ZoneIndex = Index<struct ZoneTag>;
using TypeIndex = Index<struct TypeTag>;
using ImageIndex = Index<struct ImageTag>;
using ClassIndex = Index<struct ClassTag>;
using MarketIndex = Index<struct MarketTag>;
using TaskNumber = std::uint32_t;
using Revision = std::uint64_t;    // revision of the state service
using Attempt = std::uint64_t;     // tells one start of a task from another
using Seconds = double;            // steady clock, or a duration
using MoneyAmount = std::int64_t;  // millionths of the currency, so that sums are exact

struct Clock {
  Seconds now = 0;  // steady
  double wall = 0;  // time of day
};

/// Maps names to dense indices at the door; inside only indices are used.
template <class I>
class NameTable {
 public:
  I intern(const std::string& name) {
    auto [it, added] = by_name_.try_emplace(name, I{static_cast<std::uint32_t>(names_.size())});
    if (added) names_.push_back(name);
    return it->second;
  }
  I find(const std::string& name) const {
    auto it = by_name_.find(name);
    return it == by_name_.end() ? I{} : it->second;
  }
  const std::string& name(I i) const { return names_[i.value]; }
  std::uint32_t size() const { return static_cast<std::uint32_t>(names_.size()); }

 private:
  std::unordered_map<std::string, I> by_name_;
  std::vector<std::string> names_;
};

struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;
  Resources& operator+=(const Resources& o) {
    cpus += o.cpus, gpus += o.gpus, memory_gb += o.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus, gpus -= o.gpus, memory_gb -= o.memory_gb;
    return *this;
  }
  friend Resources operator*(double sample_weight, const Resources& a) {
    return {sample_weight * a.cpus, sample_weight * a.gpus, sample_weight * a.memory_gb};
  }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
};

constexpr double resource_tolerance = 1e-6;  // sums of decimals are compared with this much give

inline bool fits(const Resources& need, const Resources& room) {
  return need.cpus <= room.cpus + resource_tolerance && need.gpus <= room.gpus + resource_tolerance &&
         need.memory_gb <= room.memory_gb + resource_tolerance;
}

/// How many tasks of this size go into the room.
int how_many_fit(const Resources& need, const Resources& room);

enum class JobShape : std::uint8_t { array, gang, service };
enum class Priority : std::uint8_t { low, normal, high, production };
enum class JobPhase : std::uint8_t { open, done, cancelled };
enum class TaskPhase : std::uint8_t { fetching, gathering, running, saving, ended };
enum class EndCause : std::uint8_t {
  none,
  done,
  stopped,
  peers_lost,
  incomplete,
  error,
  no_capacity,
  busy,
  no_such
};

struct JobSpec {
  std::string ref;
  ClassIndex job_class;
  PartitionIndex partition;
  JobShape shape = JobShape::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 0;
  Resources task_resources;
  ImageIndex image;
  double image_gb = 0;
  std::vector<TypeIndex> types;  // empty: any
  ZoneIndex zone;                // none: any
  bool single_zone = false, spread_zones = false, spot = false;
  double estimate_s = 0, checkpoint_interval_s = 0, flush_s = 0;
  double deadline_s = -1;   // below 0: none
  double submitted_at = 0;  // time of day
  bool allows(TypeIndex type) const {
    return types.empty() || std::find(types.begin(), types.end(), type) != types.end();
  }
};

struct MachineType {
  Resources capacity;
  double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
  std::vector<ZoneIndex> zones;
};

/// A kind of machine that can be rented.
struct MachineKind {
  TypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  friend bool operator<(const MachineKind& a, const MachineKind& b) {
    return std::tie(a.type, a.zone, a.spot) < std::tie(b.type, b.zone, b.spot);
  }
  friend bool operator==(const MachineKind& a, const MachineKind& b) {
    return a.type == b.type && a.zone == b.zone && a.spot == b.spot;
  }
};

struct TaskId {
  JobIndex job;
  TaskNumber task = 0;
};

struct TaskReport {
  std::string job;  // mapped at once; kept by name since the job may be unknown
  TaskNumber task = 0;
  Attempt attempt = 0;
  TaskPhase phase = TaskPhase::running;
  EndCause cause = EndCause::none;
  bool checkpoint_saved = false;
};

struct WorkerReport {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t agent_epoch = 0, report_sequence = 0, fencing_token = 0;
  double preemption_notice_s = -1;  // below 0: no notice
  std::vector<TaskReport> tasks;
};

enum class CommandKind : std::uint8_t { start, kill, clear };
struct AgentCommand {
  CommandKind kind = CommandKind::start;
  std::string job;
  TaskNumber task = 0;
  Attempt attempt = 0;
  double termination_timeout_s = 0;
};

const char* name_of(JobPhase p);
const char* name_of(JobShape s);
const char* name_of(EndCause c);

}  // namespace oxbowmill
