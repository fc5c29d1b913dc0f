// Dense indices for everything that has a name, the table that assigns them, and the basic scalar types.
// Values only; no state is shared between threads.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

namespace oxbowmill {

/// Position in a dense table. The tag keeps a job's index from being used as a machine's.
template <class Tag>
struct Index {
  static constexpr std::uint32_t none_value =
      std::numeric_limits<std::uint32_t>::max();  ///< refers to nothing
  std::uint32_t value = none_value;               ///< position
  /// Whether it refers to an entry.
  bool valid() const { return value != none_value; }
  /// Same position.
  friend bool operator==(Index a, Index b) { return a.value == b.value; }
  /// Different positions.
  friend bool operator!=(Index a, Index b) { return a.value != b.value; }
  /// Order of interning; index sets iterate in it.
  friend bool operator<(Index a, Index b) { return a.value < b.value; }
};

using JobIndex = Index<struct JobTag>;              ///< a job known to this controller
using MachineIndex = Index<struct MachineTag>;      ///< a machine known to this controller
using PartitionIndex = Index<struct PartitionTag>;  ///< a partition: the idle pool or a team's
using ZoneIndex = Index<struct ZoneTag>;            ///< a zone
using TypeIndex = Index<struct TypeTag>;            ///< a machine type
using ImageIndex = Index<struct ImageTag>;          ///< a container image
using ClassIndex = Index<struct ClassTag>;          ///< a job class
using MarketIndex = Index<struct MarketTag>;        ///< a market
using TaskNumber = std::uint32_t;                   ///< position of a task in its job
using Revision = std::uint64_t;                     ///< revision of the state service
using Attempt = std::uint64_t;                      ///< distinguishes the starts of one task
using Seconds = double;                             ///< a time of the steady clock, or a duration
using MoneyAmount = std::int64_t;                   ///< millionths of the currency, so that sums are exact

constexpr Revision no_record = 0;     ///< revision of what the state service holds no record of
constexpr Seconds time_not_set = -1;  ///< a time or duration below 0 is not set
constexpr Seconds long_ago = -1e9;    ///< for "last done at": before every time of the steady clock

/// One reading of both clocks, in seconds.
struct Clock {
  Seconds now = 0;  ///< steady clock
  double wall = 0;  ///< time of day
};

/// Maps names to dense indices where messages enter; inside only indices are used.
template <class I>
class NameTable {
 public:
  /// The name's index; assigns the next one to a new name.
  I intern(const std::string& name) {
    auto [it, added] = by_name_.try_emplace(name, I{static_cast<std::uint32_t>(names_.size())});
    if (added) names_.push_back(name);
    return it->second;
  }
  /// The name's index, or an invalid one where the name is unknown.
  I find(const std::string& name) const {
    auto it = by_name_.find(name);
    return it == by_name_.end() ? I{} : it->second;
  }
  /// The name of a valid index of this table.
  const std::string& name(I index) const { return names_[index.value]; }
  /// Number of names.
  std::uint32_t size() const { return static_cast<std::uint32_t>(names_.size()); }

 private:
  std::unordered_map<std::string, I> by_name_;
  std::vector<std::string> names_;
};

}  // namespace oxbowmill
