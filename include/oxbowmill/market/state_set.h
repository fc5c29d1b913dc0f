// A constant set of enumerators, used in tables of allowed state transitions.
#pragma once

#include <cstdint>
#include <initializer_list>

namespace oxbowmill::market {

/// A set of enumerators, whose values must lie between 0 and 31.
template <class State>
class StateSet {
 public:
  /// Creates the set of the given states.
  constexpr StateSet(std::initializer_list<State> states) {
    for (State state : states) bits_ |= bit(state);
  }
  /// Whether the set contains the state.
  [[nodiscard]] constexpr bool contains(State state) const { return (bits_ & bit(state)) != 0; }

 private:
  static constexpr std::uint32_t bit(State state) { return 1U << static_cast<unsigned>(state); }
  std::uint32_t bits_ = 0;
};

}  // namespace oxbowmill::market
