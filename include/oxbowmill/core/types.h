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
  std::uint32_t v = none_value;
  bool valid() const { return v != none_value; }
  friend bool operator==(Index a, Index b) { return a.v == b.v; }
  friend bool operator!=(Index a, Index b) { return a.v != b.v; }
  friend bool operator<(Index a, Index b) { return a.v < b.v; }
};

using JobIndex = Index<struct JobTag>;
using MachineIndex = Index<struct MachineTag>;
using PartIndex = Index<struct PartTag>;
using ZoneIndex = Index<struct ZoneTag>;
using TypeIndex = Index<struct TypeTag>;
using ImageIndex = Index<struct ImageTag>;
using ClassIndex = Index<struct ClassTag>;
using MarketIndex = Index<struct MarketTag>;
using TaskNo = std::uint32_t;
using Stamp = std::uint64_t;    // revision of the state service
using Attempt = std::uint64_t;  // tells one start of a task from another
using Seconds = double;         // steady clock, or a duration
using Money = std::int64_t;     // millionths of the currency, so that sums are exact

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
  const std::string& name(I i) const { return names_[i.v]; }
  std::uint32_t size() const { return static_cast<std::uint32_t>(names_.size()); }

 private:
  std::unordered_map<std::string, I> by_name_;
  std::vector<std::string> names_;
};

struct Amounts {
  double cpus = 0, gpus = 0, memory_gb = 0;
  Amounts& operator+=(const Amounts& o) {
    cpus += o.cpus, gpus += o.gpus, memory_gb += o.memory_gb;
    return *this;
  }
  Amounts& operator-=(const Amounts& o) {
    cpus -= o.cpus, gpus -= o.gpus, memory_gb -= o.memory_gb;
    return *this;
  }
  friend Amounts operator*(double n, const Amounts& a) { return {n * a.cpus, n * a.gpus, n * a.memory_gb}; }
  friend Amounts operator-(Amounts a, const Amounts& b) { return a -= b; }
  friend Amounts operator+(Amounts a, const Amounts& b) { return a += b; }
};

constexpr double amount_slack = 1e-6;  // sums of decimals are compared with this much give

inline bool fits(const Amounts& need, const Amounts& room) {
  return need.cpus <= room.cpus + amount_slack && need.gpus <= room.gpus + amount_slack &&
         need.memory_gb <= room.memory_gb + amount_slack;
}

/// How many tasks of this size go into the room.
int how_many_fit(const Amounts& need, const Amounts& room);

enum class Shape : std::uint8_t { array, gang, service };
enum class Rank : std::uint8_t { low, normal, high, production };
enum class JobPhase : std::uint8_t { open, done, cancelled };
enum class TaskPhase : std::uint8_t { fetching, gathering, running, saving, ended };
enum class EndCause : std::uint8_t { none, done, stopped, peers, incomplete, error, no_room, busy, no_such };

struct JobSpec {
  std::string ref;
  ClassIndex job_class;
  PartIndex part;
  Shape shape = Shape::array;
  Rank rank = Rank::normal;
  std::uint32_t tasks = 0;
  Amounts need;
  ImageIndex image;
  double image_gb = 0;
  std::vector<TypeIndex> types;  // empty: any
  ZoneIndex zone;                // none: any
  bool one_zone = false, scatter = false, spot = false;
  double estimate_s = 0, save_every_s = 0, flush_s = 0;
  double deadline_s = -1;   // below 0: none
  double submitted_at = 0;  // time of day
  bool allows(TypeIndex type) const {
    return types.empty() || std::find(types.begin(), types.end(), type) != types.end();
  }
};

struct MachineType {
  Amounts room;
  double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
  std::vector<ZoneIndex> zones;
};

/// A kind of machine that can be rented.
struct Kind {
  TypeIndex type;
  ZoneIndex zone;
  bool spot = false;
  friend bool operator<(const Kind& a, const Kind& b) {
    return std::tie(a.type, a.zone, a.spot) < std::tie(b.type, b.zone, b.spot);
  }
  friend bool operator==(const Kind& a, const Kind& b) {
    return a.type == b.type && a.zone == b.zone && a.spot == b.spot;
  }
};

struct TaskId {
  JobIndex job;
  TaskNo task = 0;
};

struct TaskReport {
  std::string job;  // mapped at once; kept by name since the job may be unknown
  TaskNo task = 0;
  Attempt attempt = 0;
  TaskPhase phase = TaskPhase::running;
  EndCause cause = EndCause::none;
  bool saved = false;
};

struct WorkerReport {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t tenure = 0, serial = 0, token = 0;
  double recall_s = -1;  // below 0: no notice
  std::vector<TaskReport> tasks;
};

enum class OrderVerb : std::uint8_t { start, kill, clear };
struct Order {
  OrderVerb verb = OrderVerb::start;
  std::string job;
  TaskNo task = 0;
  Attempt attempt = 0;
  double wind_down_s = 0;
};

const char* name_of(JobPhase p);
const char* name_of(Shape s);
const char* name_of(EndCause c);

}  // namespace oxbowmill
