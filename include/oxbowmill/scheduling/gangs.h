// The state of a gang as its placements show it. Stateless.
#pragma once

#include "oxbowmill/cluster/cluster_state.h"

namespace oxbowmill {

/// The state of the gang's present attempt, read off its placements. Before it runs, a member that is lost or
/// gave up waiting is replaced under the same attempt number while the others go on fetching and waiting:
/// stopping them all would throw away fetches that take longer than the gang waits, and so for ever.
GangState gang_state(const Job& job);
/// What is to be done with the members that are still on their machines.
enum class GangAction : std::uint8_t {
  none,        ///< nothing
  finish_all,  ///< one is done, so all are
  stop_all,    ///< they cannot go on
};
/// What the state of the gang asks for.
GangAction gang_action(const Job& job);

}  // namespace oxbowmill
