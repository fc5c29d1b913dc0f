#include "oxbowmill/market/market_state.h"

#include <array>
#include <cstddef>

#include "oxbowmill/market/state_set.h"

namespace oxbowmill::market {

namespace {
using State = MarketState;
constexpr std::size_t state_count = static_cast<std::size_t>(State::suspended) + 1;

/// Allowed successors of each state.
constexpr std::array<StateSet<State>, state_count> allowed_transitions = {{
    /* untried      */ {State::trading, State::throttled, State::unresponsive, State::suspended},
    /* trading      */ {State::throttled, State::unresponsive, State::suspended},
    /* throttled    */ {State::trading, State::unresponsive, State::probing, State::suspended},
    /* unresponsive */ {State::trading, State::probing, State::suspended},
    /* probing      */ {State::trading, State::throttled, State::unresponsive, State::suspended},
    /* suspended    */ {},
}};
}  // namespace

const char* name_of(MarketState state) {
  static constexpr std::array<const char*, state_count> names = {"untried",      "trading", "throttled",
                                                                 "unresponsive", "probing", "suspended"};
  return names.at(static_cast<std::size_t>(state));
}

bool may_follow(MarketState from, MarketState to) {
  return allowed_transitions.at(static_cast<std::size_t>(from)).contains(to);
}

}  // namespace oxbowmill::market
