// A set of states of an enumeration, for tables of allowed transitions. A constant value.
#pragma once

#include <cstdint>
#include <initializer_list>

namespace oxbowmill::market {

/// A set of enumerators, which must lie between 0 and 31.
template <class State>
class StateSet {
 public:
  /// The set of these states.
  constexpr StateSet(std::initializer_list<State> states) {
    for (State state : states) bits_ |= bit(state);
  }
  /// Whether the state is one of the set.
  [[nodiscard]] constexpr bool contains(State state) const { return (bits_ & bit(state)) != 0; }

 private:
  static constexpr std::uint32_t bit(State state) { return 1U << static_cast<unsigned>(state); }
  std::uint32_t bits_ = 0;
};

}  // namespace oxbowmill::market
