// Dense indices of named objects, the table that assigns them, and the basic scalar types. Value types
// without shared state.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

namespace oxbowmill {

/// Position in a dense table. The tag prevents, for example, a job's index from being used as a machine's.
template <class Tag>
struct Index {
  static constexpr std::uint32_t none_value =
      std::numeric_limits<std::uint32_t>::max();  ///< value of an index that refers to nothing
  std::uint32_t value = none_value;               ///< position
  /// Whether it refers to an entry.
  bool valid() const { return value != none_value; }
  /// Whether the positions are equal.
  friend bool operator==(Index a, Index b) { return a.value == b.value; }
  /// Whether the positions differ.
  friend bool operator!=(Index a, Index b) { return a.value != b.value; }
  /// Compares positions, so that sets of indices iterate in the order in which names were interned.
  friend bool operator<(Index a, Index b) { return a.value < b.value; }
};

using JobIndex = Index<struct JobTag>;              ///< a job known to this controller
using MachineIndex = Index<struct MachineTag>;      ///< a machine known to this controller
using PartitionIndex = Index<struct PartitionTag>;  ///< a partition: the idle pool or a team's share
using ZoneIndex = Index<struct ZoneTag>;            ///< a zone
using TypeIndex = Index<struct TypeTag>;            ///< a machine type
using ImageIndex = Index<struct ImageTag>;          ///< a container image
using ClassIndex = Index<struct ClassTag>;          ///< a job class
using MarketIndex = Index<struct MarketTag>;        ///< a market
using TaskNumber = std::uint32_t;                   ///< position of a task in its job
using Revision = std::uint64_t;                     ///< revision number of the state service
using Attempt = std::uint64_t;                      ///< number that distinguishes the attempts of one task
using Seconds = double;                             ///< a time of the steady clock, or a duration
using MoneyAmount = std::int64_t;                   ///< millionths of the currency, so that sums are exact

constexpr Revision no_record = 0;     ///< revision of an object without a record in the state service
constexpr Seconds time_not_set = -1;  ///< value of an unset time or duration; every value below 0 means unset
constexpr Seconds long_ago = -1e9;    ///< initial "last done" time, before every time of the steady clock

/// One reading of both clocks, in seconds.
struct Clock {
  Seconds now = 0;  ///< steady clock
  double wall = 0;  ///< time of day, since the epoch
};

/// Maps names to dense indices. Names are translated where messages enter; other code uses only indices.
template <class I>
class NameTable {
 public:
  /// The name's index. Assigns the next index if the name is new.
  I intern(const std::string& name) {
    auto [it, added] = by_name_.try_emplace(name, I{static_cast<std::uint32_t>(names_.size())});
    if (added) names_.push_back(name);
    return it->second;
  }
  /// The name's index, or an invalid one if the name is unknown.
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
